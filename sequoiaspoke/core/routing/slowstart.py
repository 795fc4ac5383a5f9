"""Raise the share of a new or recovered target gradually.

A process that has just started has empty caches and no pooled connections. A
balancer by calls in flight takes it for idle, sends it all calls, and they are
answered late: one replaced VM of three can stall the service. The share therefore
grows linearly over the ten seconds that upstreams need to warm up. It starts at a
tenth, which warms the target and leaves it free slots.
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
        """Start or restart the warm-up of a target."""
        self.started_at[target] = now

    def share(self, target: str, now: float) -> float:
        """Return the part of its full share that a target gets, up to 1."""
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
        """Drop a target that was removed."""
        self.started_at.pop(target, None)
