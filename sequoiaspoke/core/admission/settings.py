"""Settings of the admission decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class AdmissionSettings:
    """Settings of the admission decisions."""
