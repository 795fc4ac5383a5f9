"""Log when the upstream beside this node ends and when it is back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer, NotRun
from sequoiaspoke.sidecar.upstream import UNREACHABLE

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.logs import EventLog


class OutageLog:
    """Tells by the outcomes of calls whether the upstream can be reached.

    Attributes
    ----------
    instance : str
        Name of the upstream, empty while none is known.
    down_since : float or None
        Since when it accepts no connection; None if it does.
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.instance = ""
        self.down_since: float | None = None

    def record(self, outcome: Outcome, now: float) -> None:
        """Take what came of a call."""
        unreachable = isinstance(outcome, NotRun) and outcome.reason == UNREACHABLE
        if unreachable and self.down_since is None:
            self.down_since = now
            self.log.event("upstream-down", instance=self.instance)
        elif isinstance(outcome, Answer) and self.down_since is not None:
            away = now - self.down_since
            self.down_since = None
            self.log.event("upstream-up", instance=self.instance, away=f"{away:.2f}")
