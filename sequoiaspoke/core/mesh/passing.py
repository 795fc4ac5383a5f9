"""Choose the queued calls that a home passes on when its upstream becomes slow.

Upstreams of two services of one deployment become 2.5 times as slow for 0.6 s. Calls
that wait there would be late, while other upstreams of the service are as fast as
usual. They are refused as busy, and their entries send them elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.admission import Arrival

# Multiple of the expected duration that must be left until the deadline of a call that
# is passed on. With less, another home could not answer it in time either.
MIN_DURATIONS_LEFT = 2.0


class PassedCalls:
    """Calls that this home has passed on; each is passed on only once.

    The entry may send a call here again under another ticket, if all homes are slow.
    The call then waits, as it would otherwise be passed around until its deadline.

    Attributes
    ----------
    deadlines : dict of tuple to float
        Deadlines of the calls, by what does not change between attempts.
    """

    def __init__(self) -> None:
        self.deadlines: dict[tuple[str, float, float], float] = {}

    def add(self, calls: Iterable[Arrival], now: float) -> None:
        """Record calls that are passed on, and forget those that have ended."""
        self.deadlines = {
            key: deadline for key, deadline in self.deadlines.items() if deadline > now
        }
        self.deadlines.update((self.key(each), each.deadline) for each in calls)

    def __contains__(self, call: Arrival) -> bool:
        """Return whether a call was passed on before."""
        return self.key(call) in self.deadlines

    def key(self, call: Arrival) -> tuple[str, float, float]:
        """Return what identifies a call across its attempts."""
        return (call.route, call.on_time, call.deadline)
