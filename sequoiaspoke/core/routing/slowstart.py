"""Give a target that came, or came back, its share step by step.

A process that has just started has empty caches and unopened pools. Balanced by
calls in flight it looks idle, so it gets every call at once and answers all of
them late: one replaced VM of three turns into a stall of the service. The share
grows evenly from a tenth, which is enough calls to warm it and few enough to
leave its slots free, over the ten seconds that upstreams need.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.settings import RoutingSettings


class SlowStart:
    """Track which targets are warming up."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.started_at: dict[str, float] = {}

    def begin(self, target: str, now: float) -> None:
        """Start a target's warm-up anew."""
        self.started_at[target] = now

    def share(self, target: str, now: float) -> float:
        """Return the part of its share that a target gets, up to 1."""
        started_at = self.started_at.get(target)
        if started_at is None:
            return 1.0
        elapsed = now - started_at
        if elapsed >= self.settings.slow_start:
            del self.started_at[target]
            return 1.0
        least = self.settings.slow_start_least
        return least + (1 - least) * max(0.0, elapsed) / self.settings.slow_start

    def forget(self, target: str) -> None:
        """Drop a target that is gone."""
        self.started_at.pop(target, None)
