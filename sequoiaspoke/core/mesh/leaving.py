"""Tell for which leaving upstreams calls should wait no longer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.model import Incarnation

# Seconds for which calls still go to an upstream after this node learnt that it leaves:
# all of two seconds are allowed from the report on, and the news may have taken some
# tenths to come here.
LEAVING_QUEUE_SECONDS = 1.2


class LeavingUpstreams:
    """Since when this node knows that upstreams leave for which calls wait.

    Parameters
    ----------
    is_leaving : callable
        Tells whether a start of an upstream drains or has left.
    """

    def __init__(self, is_leaving: Callable[[Incarnation], bool]) -> None:
        self.is_leaving = is_leaving
        self.leaving_since: dict[Incarnation, float] = {}

    def overdue(
        self, incarnations: Iterable[Incarnation], now: float
    ) -> set[Incarnation]:
        """Return those of some starts that have been leaving for too long."""
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
        """Forget the starts, as no call waits."""
        self.leaving_since.clear()
