"""What callers got in a run, by class."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.measure.percentiles import Percentiles

if TYPE_CHECKING:
    from sequoiaspoke.errors import CallError

MILLISECONDS = 1000


@dataclass
class ClassResult:
    """What the callers of one class got.

    Attributes
    ----------
    latency : Percentiles
        Of the calls that a target began; one cut at its deadline counts with
        its deadline.
    work : float
        Seconds of target time asked for.
    good_work : float
        Seconds of target time of the answers, in time, within the measured
        part of the run, whenever their calls began.
    refused : Counter of str
        Calls that ended in an error, by code.
    """

    offered: int = 0
    answered: int = 0
    late: int = 0
    retried: int = 0
    work: float = 0.0
    good_work: float = 0.0
    refused: Counter[str] = field(default_factory=Counter)
    latency: Percentiles = field(default_factory=Percentiles)

    def offer(self, seconds: float) -> None:
        """Note a call that will take so long."""
        self.offered += 1
        self.work += seconds

    def answer(self, latency: float) -> None:
        """Note an answer in time."""
        self.answered += 1
        self.latency.add(latency)

    def fail(self, error: CallError, latency: float, began: bool) -> None:
        """Note an error; `began` if a target still ran it at its deadline."""
        self.refused[error.code] += 1
        if began:
            self.late += 1
            self.latency.add(latency)

    def ms(self, percentile: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return round((self.latency.at(percentile) or 0.0) * MILLISECONDS, 1)

    def summary(self) -> dict[str, object]:
        """Return the figures for the JSON line."""
        return {
            "offered": self.offered,
            "success_ratio": round(self.answered / max(1, self.offered), 4),
            "p50_ms": self.ms(50),
            "p99_ms": self.ms(99),
            "late": self.late,
            "refused": dict(sorted(self.refused.items())),
            "retried": self.retried,
        }


def total_of(results: dict[str, ClassResult]) -> ClassResult:
    """Return all classes as one."""
    total = ClassResult()
    for each in results.values():
        total.offered += each.offered
        total.answered += each.answered
        total.late += each.late
        total.retried += each.retried
        total.work += each.work
        total.good_work += each.good_work
        total.refused += each.refused
        total.latency.histogram.add(each.latency.histogram)
    return total
