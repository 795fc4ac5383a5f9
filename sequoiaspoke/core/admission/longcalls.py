"""Keep slots free for short calls while long calls run.

Some calls take a hundred times as long as others. A few of them can hold every
slot for seconds while all short calls queue behind them. Long calls, identified
by measured durations, must therefore leave 1.5 times as many slots as short calls
have been using, at least one and at most half of the limit:

- More than short calls use, because short calls arrive in bursts. A factor of 2
  instead of 1.5 cost long calls a tenth of their throughput for little gain.
- At most half, so that long calls are not starved in turn.
- None if no short call has arrived for ten seconds (`long_memory`), so that no
  slot stays idle.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.durations import Durations
    from sequoiaspoke.core.admission.settings import AdmissionSettings

SHORT_USE_FACTOR = 1.5
MAX_SHORT_SHARE = 0.5
AVERAGING_SECONDS = 1.0  # time constant of the average use by short calls


class LongCallLimiter:
    """Tell long calls from short ones and limit the slots of long calls."""

    def __init__(self, settings: AdmissionSettings, durations: Durations) -> None:
        self.settings = settings
        self.durations = durations
        self.last_short_arrival = float("-inf")
        self.short_use = 0.0
        self.short_use_updated_at = 0.0

    def is_long(self, kind: str) -> bool:
        """Return whether calls of a kind are long."""
        return self.durations.is_long(kind, self.settings.long_factor)

    def arrived(self, kind: str, now: float) -> None:
        """Record the arrival of a call."""
        if not self.is_long(kind):
            self.last_short_arrival = now

    def finished(self, kind: str, seconds: float, now: float) -> None:
        """Add the slot time of a finished call to the use by short calls."""
        if self.is_long(kind):
            return
        gap = max(0.0, now - self.short_use_updated_at)
        self.short_use_updated_at = now
        self.short_use *= math.exp(-gap / AVERAGING_SECONDS)
        self.short_use += seconds / AVERAGING_SECONDS

    def slots_for_short(self, limit: int, now: float) -> int:
        """Return the number of slots that long calls must leave free."""
        if now - self.last_short_arrival > self.settings.long_memory:
            return 0
        if not self.durations.short_duration:
            return 0
        wanted = max(1, math.ceil(SHORT_USE_FACTOR * self.short_use))
        return min(wanted, math.floor(MAX_SHORT_SHARE * limit))
