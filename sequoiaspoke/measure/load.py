"""Measure the decisions under load, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sequoiaspoke.errors import MeasureError
from sequoiaspoke.measure.loadmodel import policies
from sequoiaspoke.measure.loadresult import total_of
from sequoiaspoke.measure.loadrun import Run
from sequoiaspoke.measure.loadscenarios import SCENARIOS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiaspoke.measure.loadmodel import Scenario


def measure_all(scenario: str, policy: str, seed: int) -> Iterator[dict[str, Any]]:
    """Play the named scenarios under the named policies."""
    scenarios = pick("scenario", scenario, list(SCENARIOS))
    chosen = pick("policy", policy, list(policies()))
    for name in scenarios:
        for policy_name in chosen:
            yield measure_load(SCENARIOS[name], policy_name, seed)


def pick(option: str, given: str, known: list[str]) -> list[str]:
    """Return the names that an option stands for.

    Raises
    ------
    MeasureError
        There is no such name.
    """
    if given == "all":
        return known
    if given not in known:
        raise MeasureError(f"--{option} {given}: one of {', '.join(known)}, all")
    return [given]


def measure_load(scenario: Scenario, policy: str, seed: int) -> dict[str, Any]:
    """Play one scenario and return its figures."""
    run = Run(scenario, policies()[policy], seed)
    run.play()
    total = total_of(run.results)
    summary = total.summary()
    summary["refused"] = total.refused.total()
    possible = min(total.work, capacity(scenario))
    added = run.attempts / max(1, next(run.numbers)) - 1
    return {
        "scenario": scenario.name,
        "policy": policy,
        "seed": seed,
        "goodput_ratio": round(total.good_work / possible, 4),
        **summary,
        "load_added": round(added, 4),
        "classes": {name: each.summary() for name, each in run.results.items()},
    }


def capacity(scenario: Scenario) -> float:
    """Return the seconds of calls that all targets could run when healthy."""
    seconds = scenario.duration - scenario.measured_from
    return seconds * sum(each.bears for each in scenario.targets)
