"""Settings of the routing decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RoutingSettings:
    """Settings of the routing decisions."""
