"""Limit how long calls wait for an upstream that is leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.model import Incarnation

# Seconds for which queued calls still run at an upstream after this node learned that
# it is leaving. Two seconds are allowed from the upstream's report on, and the report
# may have taken some tenths of a second to arrive here.
LEAVING_QUEUE_SECONDS = 1.2


class LeavingUpstreams:
    """Leaving upstreams for which calls wait, and since when they are known to leave.

    Parameters
    ----------
    is_leaving : callable
        Returns whether an incarnation drains or has departed.
    """

    def __init__(self, is_leaving: Callable[[Incarnation], bool]) -> None:
        self.is_leaving = is_leaving
        self.leaving_since: dict[Incarnation, float] = {}

    def overdue(
        self, incarnations: Iterable[Incarnation], now: float
    ) -> set[Incarnation]:
        """Return the given incarnations that have been leaving for too long."""
        self.leaving_since = {
            incarnation: self.leaving_since.get(incarnation, now)
            for incarnation in incarnations
            if self.is_leaving(incarnation)
        }
        return {
            incarnation
            for incarnation, since in self.leaving_since.items()
            if now - since > LEAVING_QUEUE_SECONDS
        }

    def clear(self) -> None:
        """Forget all incarnations, as no call waits."""
        self.leaving_since.clear()
