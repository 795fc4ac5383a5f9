"""Log when the upstream beside this node becomes unreachable and when it is back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer, NotRun
from sequoiaspoke.sidecar.upstream import UNREACHABLE

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.logs import EventLog


class OutageLog:
    """Logs outages of the upstream as the outcomes of calls show them.

    Attributes
    ----------
    instance : str
        Instance name of the upstream, empty while it is unknown.
    down_since : float or None
        Time of the first failed connection; None while the upstream is reachable.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.instance = ""
        self.down_since: float | None = None

    def record(self, outcome: Outcome, now: float) -> None:
        """Record the outcome of a call, and log a change."""
        unreachable = isinstance(outcome, NotRun) and outcome.reason == UNREACHABLE
        if unreachable and self.down_since is None:
            self.down_since = now
            self.log.event("upstream-down", instance=self.instance)
        elif isinstance(outcome, Answer) and self.down_since is not None:
            away = now - self.down_since
            self.down_since = None
            self.log.event("upstream-up", instance=self.instance, away=f"{away:.2f}")
