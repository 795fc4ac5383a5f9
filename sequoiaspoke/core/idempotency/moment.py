"""The two clocks that decisions on keys need."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Moment:
    """One instant on both clocks.

    Attributes
    ----------
    steady : float
        Seconds on a clock that never steps and also runs while paused.
    wall : float
        Seconds since the epoch, as callers stamp their keys.
    """

    steady: float
    wall: float
