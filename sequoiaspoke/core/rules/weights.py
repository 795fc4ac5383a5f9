"""Weight of a service in a split.

It has a module of its own because a sidecar needs nothing else of the rules package:
importing the other modules would take about 3 % of its startup time.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class WeightedService:
    """A service and its weight in a split."""

    service: str
    weight: int = 1
