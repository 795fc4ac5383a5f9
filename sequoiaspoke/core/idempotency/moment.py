"""An instant on the two clocks that decisions on keys use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Moment:
    """One instant on both clocks.

    Attributes
    ----------
    steady : float
        Seconds on a clock that never steps and also runs while the process or the
        VM is paused.
    wall : float
        Seconds since the Unix epoch, the clock of the times in keys.
    """

    steady: float
    wall: float
