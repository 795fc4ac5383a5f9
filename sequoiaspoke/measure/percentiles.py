"""Percentiles of measured seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

MICRO = 1_000_000
LARGEST = 3600 * MICRO
DIGITS = 3
DECIMALS = 4


class Percentiles:
    """Seconds, kept to three digits."""

    def __init__(self, seconds: Iterable[float] = ()) -> None:
        self.histogram = HdrHistogram(1, LARGEST, DIGITS)
        for value in seconds:
            self.add(value)

    def add(self, seconds: float) -> None:
        """Take one measured time."""
        self.histogram.record_value(max(1, min(LARGEST, round(seconds * MICRO))))

    def at(self, percent: float) -> float | None:
        """Return the seconds that a percentage of the values does not exceed.

        Without any value there is no answer: 0 would look like a good one.
        """
        if self.count == 0:
            return None
        value = self.histogram.get_value_at_percentile(percent) / MICRO
        return round(value, DECIMALS)

    @property
    def count(self) -> int:
        """Return how many values were taken."""
        return self.histogram.get_total_count()
