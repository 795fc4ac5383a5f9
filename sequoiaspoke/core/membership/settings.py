"""Settings of the membership decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipSettings:
    """Settings of the membership decisions."""
