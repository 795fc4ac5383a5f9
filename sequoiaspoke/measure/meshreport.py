"""Report what callers get while zones are evacuated or cold, or homes are asked."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.errors import MeasureError
from sequoiaspoke.measure.meshmodel import COLD_SECONDS, SCENARIOS, play_mesh
from sequoiaspoke.measure.placementreport import (
    PlacementFigures,
    measure_placement,
    placement_table,
)
from sequoiaspoke.measure.placementscenarios import PLACEMENTS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiaspoke.measure.meshmodel import MeshResult, MeshScenario


@dataclass(frozen=True)
class MeshFigures:
    """Figures of one play.

    Attributes
    ----------
    on_time, served : float
        Shares of all calls.
    on_time_cold : float
        Share of the calls begun while upstreams were cold.
    back_seconds : int or None
        Seconds until calls are on time as before; None if not by the end.
    busiest_cold : int
        Most calls that a cold upstream got in a second.
    """

    scenario: str
    seed: int
    on_time: float
    served: float
    on_time_cold: float
    back_seconds: int | None
    busiest_cold: int


def measure_mesh(
    names: Sequence[str], seeds: int
) -> list[MeshFigures | PlacementFigures]:
    """Return the figures of some scenarios, or all; raise MeasureError."""
    unknown = sorted(set(names) - SCENARIOS.keys() - PLACEMENTS.keys())
    if unknown:
        raise MeasureError(f"no such scenario: {', '.join(unknown)}")
    if seeds < 1:
        raise MeasureError("seeds must be 1 at least")
    found: list[MeshFigures | PlacementFigures] = []
    for name in names or (*SCENARIOS, *PLACEMENTS):
        if name in PLACEMENTS:
            found += measure_placement(name, seeds)
        else:
            results = enumerate(play_mesh(name, seeds))
            found += [figures_of(SCENARIOS[name], *result) for result in results]
    return found


def figures_of(scenario: MeshScenario, seed: int, result: MeshResult) -> MeshFigures:
    """Return the figures of one play."""
    begin, end = int(scenario.begin), int(scenario.end)
    cold = range(end, end + int(COLD_SECONDS))
    asked = sum(result.asked[second] for second in cold)
    on_time = sum(result.on_time[second] for second in cold)
    return MeshFigures(
        scenario.name,
        seed,
        result.total(result.on_time),
        result.total(result.served),
        on_time / max(1, asked),
        result.back_after(begin, end),
        result.busiest_cold,
    )


def mesh_table(found: Sequence[MeshFigures | PlacementFigures]) -> str:
    """Return the figures as tables, one for each kind of scenario."""
    zones = [each for each in found if isinstance(each, MeshFigures)]
    placed = [each for each in found if isinstance(each, PlacementFigures)]
    tables = [zone_table(zones)] if zones else []
    tables += [placement_table(placed)] if placed else []
    return "\n\n".join(tables)


def zone_table(found: Sequence[MeshFigures]) -> str:
    """Return the figures as a table, each as its least and most over the seeds."""
    lines = [f"{'':20}{'on time':>15}{'while cold':>15}{'served':>15}{'back, s':>10}"]
    for name in dict.fromkeys(each.scenario for each in found):
        plays = [each for each in found if each.scenario == name]
        back = [each.back_seconds for each in plays]
        known = [each for each in back if each is not None]
        cells = (
            span([each.on_time for each in plays]),
            span([each.on_time_cold for each in plays]),
            span([each.served for each in plays]),
        )
        last = f"{min(known)} to {max(known)}" if len(known) == len(back) else "-"
        lines.append(f"{name:20}{''.join(f'{c:>15}' for c in cells)}{last:>10}")
    return "\n".join(lines)


def span(values: Sequence[float]) -> str:
    """Return the least and the most of some shares."""
    return f"{min(values):.3f} to {max(values):.3f}"
