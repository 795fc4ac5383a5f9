"""The fleet in which keyed calls are measured, and what is told of them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.model import (
    CallPolicy,
    Comparison,
    Condition,
    Field,
    RouteTo,
    Rule,
    Service,
)
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.measure.percentiles import Percentiles
from sequoiaspoke.measure.plan import FleetPlan

if TYPE_CHECKING:
    from sequoiaspoke.errors import Ran

KEYED_PATH = "/once/"
ATTEMPT_SECONDS = 4.0


@dataclass(frozen=True)
class KeyedPlan(FleetPlan):
    """A fleet whose nodes all serve one service with keyed calls."""

    services: int = 1
    moves: bool = False

    def rules(self, version: int) -> tuple[Rule, ...]:
        """Return the rules; the keyed one is the same in every version."""
        path = Condition(Field.PATH, Comparison.PREFIX, (KEYED_PATH,))
        route = RouteTo((WeightedService("service-0"),))
        policy = CallPolicy(timeout=ATTEMPT_SECONDS, idempotent=False)
        return (Rule("once", (path,), route, policy), *super().rules(version))

    def service(self, index: int, version: int) -> Service:
        """Return the service; if keys are to move, a target comes and goes."""
        whole = super().service(index, version)
        if not self.moves or version % 4 != 0:
            return whole
        left_out = version // 4 % len(whole.endpoints)
        kept = [each for n, each in enumerate(whole.endpoints) if n != left_out]
        return Service(whole.name, tuple(kept))


@dataclass
class Tally:
    """What callers were told."""

    told: dict[str, Ran] = field(default_factory=dict)
    ended: Counter[Ran] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    wrong_answers: int = 0
    latency: Percentiles = field(default_factory=Percentiles)
    plain_latency: Percentiles = field(default_factory=Percentiles)


@dataclass(frozen=True)
class KeyedReport:
    """What was measured.

    Attributes
    ----------
    reasons : dict
        How often keys ended without an answer, by reason.
    doubled : int
        Keys that ran more than once.
    false_not_run : int
        Keys told not-run that ran.
    missing : int
        Keys told ran that did not run.
    refused_percent : float
        Share of the calls that ended without the upstream's answer.
    unknown_that_ran : int
        Keys of unknown outcome that did run.
    plain_p50_s, plain_p99_s : float or None
        Of calls without a key, made beside the others.
    """

    nodes: int
    fault: str
    issued: bool
    calls: int
    keys: int
    attempts: int
    answered: int
    not_run: int
    unknown: int
    refused_percent: float
    reasons: dict[str, int]
    doubled: int
    false_not_run: int
    missing: int
    wrong_answers: int
    unknown_that_ran: int
    faults_made: int
    versions: int
    p50_s: float | None
    p99_s: float | None
    plain_p50_s: float | None
    plain_p99_s: float | None
    load_average: float


def count(told: dict[str, Ran], wanted: Ran, runs: Counter[str], ran: bool) -> int:
    """Count the keys that were told one thing and did, or did not, run."""
    return sum(
        1 for key, each in told.items() if each is wanted and bool(runs[key]) is ran
    )
