"""Notices that this process itself stood still.

A paused process wakes up believing that no time has passed: its leases look
valid and its version looks current while the fleet has moved on. The loop
looks at the clock often, so a gap between two looks means a pause.
"""

from __future__ import annotations


class PauseDetector:
    """Finds jumps of the clock; `threshold` is in seconds."""

    def __init__(self, threshold: float) -> None:
        self.threshold = threshold
        self.last_observed: float | None = None

    def observe(self, now: float) -> float:
        """Return the length of the pause that just ended, or 0."""
        gap = self.gap(now)
        self.last_observed = now
        return gap

    def gap(self, now: float) -> float:
        """Return the length of a pause that nobody has taken note of yet."""
        gap = 0.0 if self.last_observed is None else now - self.last_observed
        return gap if gap > self.threshold else 0.0
