"""Times of a planned stop, and the calls that may still be taken in it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.durations import LONGEST_CALL_FACTOR

if TYPE_CHECKING:
    from sequoiaspoke.settings.schema import NodeSettings

# Seconds of the grace, and the largest share of it, that are left for a process that
# gets its processor late, or is killed at its end.
SPARE_SECONDS, MAX_SPARE_SHARE = 0.75, 1 / 6


@dataclass(frozen=True)
class StopTimes:
    """When what happens in a planned stop, by the event loop's clock.

    Attributes
    ----------
    callers_moved_at : float
        Until when callers are moved to other nodes.
    answers_at : float
        When all calls that are still in flight are answered.
    """

    callers_moved_at: float
    answers_at: float

    def takes(self, now: float, deadline: float, usual: float) -> bool:
        """Return whether a new call is likely to be answered in time.

        While callers are moved away, its usual duration tells, as all calls with a long
        timeout would fail otherwise; after that only its deadline does.
        """
        if deadline <= self.answers_at:
            return True
        likely_end = now + LONGEST_CALL_FACTOR * usual
        return now < self.callers_moved_at and likely_end <= self.answers_at


def stop_times(settings: NodeSettings, now: float) -> StopTimes:
    """Return the times of a stop that begins now; the grace counts from now."""
    spare = min(SPARE_SECONDS, MAX_SPARE_SHARE * settings.grace)
    moved = now + settings.drain
    return StopTimes(moved, max(moved, now + settings.grace - spare))
