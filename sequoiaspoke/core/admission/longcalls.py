"""Keep slots free for short work while long work runs.

A recording's archive page takes a hundred times as long as a look at the
portal. A few archive pages hold every slot for seconds, and everyone's short
calls queue behind them: the slots are busy, yet few callers are served. Long
work, told by measured durations, therefore leaves half as many slots again as
short work has been using, at least one and at most half. More than short work
uses, since short calls come in bunches; twice as many cost long work a tenth of
its throughput in a measured mix for little gain. No more than half, so that
long work never starves in turn; and none once no short call has come for ten
seconds, so that no slot idles.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.durations import Durations
    from sequoiaspoke.core.admission.settings import AdmissionSettings

SHORT_USE_FACTOR = 1.5
MAX_SHORT_SHARE = 0.5
AVERAGING_SECONDS = 1.0  # over which the use by short work is averaged


class LongCallLimiter:
    """Tell long work from short and bound the slots of long work."""

    def __init__(self, settings: AdmissionSettings, durations: Durations) -> None:
        self.settings = settings
        self.durations = durations
        self.last_short_arrival = float("-inf")
        self.short_use = 0.0
        self.short_use_updated_at = 0.0

    def is_long(self, kind: str) -> bool:
        """Return whether calls of a kind are long work."""
        return self.durations.is_long(kind, self.settings.long_factor)

    def arrived(self, kind: str, now: float) -> None:
        """Note an arrival."""
        if not self.is_long(kind):
            self.last_short_arrival = now

    def finished(self, kind: str, seconds: float, now: float) -> None:
        """Note how long a call held its slot."""
        if self.is_long(kind):
            return
        gap = max(0.0, now - self.short_use_updated_at)
        self.short_use_updated_at = now
        self.short_use *= math.exp(-gap / AVERAGING_SECONDS)
        self.short_use += seconds / AVERAGING_SECONDS

    def slots_for_short(self, limit: int, now: float) -> int:
        """Return the slots that long work leaves free."""
        if now - self.last_short_arrival > self.settings.long_memory:
            return 0
        if not self.durations.short_duration:
            return 0
        wanted = max(1, math.ceil(SHORT_USE_FACTOR * self.short_use))
        return min(wanted, math.floor(MAX_SHORT_SHARE * limit))
