"""Detects pauses of this process.

A process that resumes after a pause acts as if no time had passed: its leases
look valid and its version looks current although other nodes have moved on. The
event loop reads the clock often, so a gap between two readings means a pause.
"""

from __future__ import annotations


class PauseDetector:
    """Detects gaps between readings of the clock; `threshold` is in seconds."""

    def __init__(self, threshold: float) -> None:
        self.threshold = threshold
        self.last_observed: float | None = None

    def observe(self, now: float) -> float:
        """Record a reading; return the seconds of the pause that just ended, or 0."""
        gap = self.gap(now)
        self.last_observed = now
        return gap

    def gap(self, now: float) -> float:
        """Return the seconds of a pause since the last recorded reading, or 0."""
        gap = 0.0 if self.last_observed is None else now - self.last_observed
        return gap if gap > self.threshold else 0.0
