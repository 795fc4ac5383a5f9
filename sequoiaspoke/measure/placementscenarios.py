"""Loads of services, each played with and without slot requests."""

from __future__ import annotations

from dataclasses import replace

from sequoiaspoke.core.mesh.model import Route
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.measure.meshmodel import SERVICE
from sequoiaspoke.measure.placement import PlacementScenario, SizedKind

# Names of the routes.
FRESH, NESTED = "fresh", "nested"
# Seconds of work of a nested call, within which its parent is on time, and after which
# the parent fails.
NESTED_WORK, NESTED_OBJECTIVE, NESTED_TIMEOUT = 0.02, 0.3, 0.485
# Amplitude of the wave, and share of the time in which an upstream is slow.
WAVE, SLOW_SHARE = 0.55, 0.15


def fresh(
    work: float, objective: float, timeout: float, size: int = 2000, share: float = 1.0
) -> SizedKind:
    """Return calls from outside."""
    return SizedKind(
        route(FRESH, objective, timeout), work, nested=False, share=share, size=size
    )


def with_nested(call: SizedKind, share: float) -> tuple[SizedKind, ...]:
    """Return calls from outside with a share of nested ones beside them."""
    nested = SizedKind(
        route(NESTED, NESTED_OBJECTIVE, NESTED_TIMEOUT),
        NESTED_WORK,
        nested=True,
        share=share,
        size=500,
    )
    return replace(call, share=1 - share), nested


def route(name: str, objective: float, timeout: float) -> Route:
    """Return the route of a kind of calls."""
    split = (WeightedService(SERVICE),)
    return Route(name, "x", f"/{name}/", True, timeout, objective, 1, 2, split)


LONG = PlacementScenario(
    "5-slots", upstreams=38, slots=5, kinds=(fresh(0.244, 0.964, 3.288),)
)
SHORT = PlacementScenario(
    "2-slots", upstreams=42, slots=2, kinds=(fresh(0.068, 0.475, 2.374),)
)
LOANS = PlacementScenario(
    "loans", upstreams=25, slots=2, kinds=with_nested(fresh(0.085, 0.484, 3.633), 0.69)
)
INGEST = PlacementScenario(
    "ingest",
    upstreams=8,
    slots=2,
    kinds=with_nested(fresh(0.082, 1.021, 5.107, size=60_000), 0.8),
)
SHELVES = PlacementScenario(
    "shelves", upstreams=4, slots=2, kinds=with_nested(fresh(0.027, 0.327, 1.964), 0.42)
)


def steady(scenario: PlacementScenario, load: float) -> PlacementScenario:
    """Return a scenario with a load that does not change."""
    return replace(scenario, name=f"{scenario.name}-{load}", load=load)


def uneven(scenario: PlacementScenario) -> PlacementScenario:
    """Return a scenario with a wave of load and with upstreams that become slow."""
    return replace(
        scenario,
        name=f"{scenario.name}-uneven",
        load=0.7,
        wave=WAVE,
        slow_share=SLOW_SHARE,
    )


def with_requests(scenario: PlacementScenario) -> PlacementScenario:
    """Return a scenario with slot requests."""
    return replace(scenario, name=f"{scenario.name}-asking", asking=True)


PLACEMENTS = {
    each.name: each
    for scenario in (
        *(
            steady(scenario, load)
            for scenario in (LONG, SHORT)
            for load in (0.7, 0.85, 1.0)
        ),
        *(uneven(scenario) for scenario in (LONG, SHORT, LOANS, INGEST, SHELVES)),
    )
    for each in (scenario, with_requests(scenario))
}
