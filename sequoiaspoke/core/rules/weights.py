"""The share of a service in a split.

It stands by itself: a sidecar needs it and none of the other parts of the rules, whose
import would take three hundredths of its start.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class WeightedService:
    """A service and its share of a split."""

    service: str
    weight: int = 1
