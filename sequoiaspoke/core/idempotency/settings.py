"""Settings of the idempotency decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class IdempotencySettings:
    """Settings of the idempotency decisions."""
