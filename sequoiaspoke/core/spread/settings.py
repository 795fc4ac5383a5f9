"""Settings of the spread decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SpreadSettings:
    """Settings of the spread decisions."""
