"""Report how late calls are with and without slot requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.measure.placementscenarios import PLACEMENTS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiaspoke.measure.placement import KindResult


@dataclass(frozen=True)
class PlacementFigures:
    """Figures of the calls of one kind in one play.

    Attributes
    ----------
    late, failed, waited : float
        Shares of the calls that were late, not answered, and queued at their home.
    crossed, requests, busy : float
        Calls sent to another zone, slot requests and busy homes for each call.
    seconds : float
        Mean time to the answer.
    """

    scenario: str
    seed: int
    kind: str
    calls: int
    late: float
    failed: float
    waited: float
    crossed: float
    requests: float
    busy: float
    seconds: float


def measure_placement(name: str, seeds: int) -> list[PlacementFigures]:
    """Return the figures of a scenario."""
    return [
        placement_figures(name, seed, kind, result)
        for seed in range(seeds)
        for kind, result in PLACEMENTS[name].model(seed).play_placement().items()
    ]


def placement_figures(
    name: str, seed: int, kind: str, result: KindResult
) -> PlacementFigures:
    """Return the figures of the calls of one kind."""
    calls = max(1, result.calls)
    return PlacementFigures(
        name,
        seed,
        kind,
        result.calls,
        result.late / calls,
        result.failed / calls,
        result.waited / calls,
        result.crossed / calls,
        result.requests / calls,
        result.busy / calls,
        result.seconds / calls,
    )


def placement_table(found: Sequence[PlacementFigures]) -> str:
    """Return the figures as a table: the lateness by seed, else means."""
    columns = ("late", "failed", "waited", "crossed", "requests", "busy", "seconds")
    lines = [f"{'':30}{''.join(f'{each:>10}' for each in columns)}   late, by seed"]
    for name, kind in dict.fromkeys((each.scenario, each.kind) for each in found):
        plays = [each for each in found if (each.scenario, each.kind) == (name, kind)]
        calls = sum(each.calls for each in plays)
        means = [
            sum(each.calls * getattr(each, column) for each in plays) / max(1, calls)
            for column in columns
        ]
        late = [each.late for each in plays]
        cells = "".join(f"{mean:10.4f}" for mean in means)
        lines.append(
            f"{name + ' ' + kind:30}{cells}   {min(late):.4f} to {max(late):.4f}"
        )
    return "\n".join(lines)
