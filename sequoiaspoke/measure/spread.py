"""Measure how fast versions come into force, and what that costs."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.measure.bench import Bench
from sequoiaspoke.measure.faults import NONE, make_fault
from sequoiaspoke.measure.percentiles import Percentiles

if TYPE_CHECKING:
    from sequoiaspoke.measure.bench import NodeStatus, Totals
    from sequoiaspoke.measure.faults import Fault
    from sequoiaspoke.measure.plan import FleetPlan

LATEST_SECONDS = 30.0  # after which a node counts as behind
MOMENT = 1.0  # seconds before the nodes are asked, so that asking costs them nothing
USUAL_GAP = 45.0  # seconds between two changes: 1,900 a day
MEGABYTE = 1 << 20


@dataclass(frozen=True)
class SpreadPlan:
    """What is measured.

    Attributes
    ----------
    changes : int
        Versions published without a fault.
    interval : float
        Seconds from one to the next.
    idle : float
        Seconds before them in which nothing changes.
    settle : float
        Seconds after the start, before anything is counted.
    """

    fleet: FleetPlan
    changes: int = 10
    interval: float = 3.0
    idle: float = 10.0
    fault: str = NONE
    settle: float = 5.0


@dataclass(frozen=True)
class SpreadReport:
    """What was measured; bytes are those sent and those received, per node.

    Attributes
    ----------
    control_bytes_per_change : float
        Of the whole fleet, beyond what it spends idle.
    control_bytes_per_node_per_s_usual : float
        At one change every 45 s, from the idle cost and that of a change.
    cpu_percent_per_node, cpu_percent_per_node_changing : float
        Of one core, idle and while changes come.
    behind : int
        Times that a node did not hold a version in time.
    went_back : int
        Times that a node told a lower version than before.
    """

    nodes: int
    services: int
    endpoints: int
    strategy: str
    changes: int
    interval_s: float
    convergence_p50_s: float | None
    convergence_p99_s: float | None
    convergence_max_s: float | None
    behind: int
    went_back: int
    control_bytes_per_node_per_s: float
    control_bytes_per_node_per_s_idle: float
    control_bytes_per_node_per_s_usual: float
    control_bytes_per_change: float
    control_bytes_per_node_per_change: float
    platform_reads_per_s: float
    platform_reads_per_s_idle: float
    platform_reads_per_s_peak: int
    cpu_percent_per_node: float
    cpu_percent_per_node_changing: float
    rss_mb_per_node: float
    rss_mb_largest: float
    fault: str
    fault_nodes: int
    fault_behind: int
    fault_convergence_p50_s: float | None
    fault_convergence_p99_s: float | None
    fault_convergence_max_s: float | None
    fault_platform_reads_per_s_peak: int
    load_average: float


async def measure_spread(plan: SpreadPlan) -> SpreadReport:
    """Run the whole measurement with processes of its own.

    Raises
    ------
    MeasureError
        The plan cannot be measured, or the fleet does not start.
    """
    fault = make_fault(plan.fault)
    async with Bench(plan.fleet) as bench:
        return await SpreadMeasurement(plan, bench, fault).run()


class SpreadMeasurement:
    """An idle time, then changes, then the fault."""

    def __init__(self, plan: SpreadPlan, bench: Bench, fault: Fault | None) -> None:
        self.plan = plan
        self.bench = bench
        self.fault = fault
        self.convergence = Percentiles()
        self.fault_convergence = Percentiles()
        self.behind = 0

    async def run(self) -> SpreadReport:
        """Measure and report."""
        await asyncio.sleep(self.plan.settle)
        start = await self.bench.totals()
        await asyncio.sleep(self.plan.idle)
        idle = await self.bench.totals()
        for _ in range(self.plan.changes):
            await self.change()
        changed = await self.bench.totals()
        memory = self.bench.memory()
        peak = max((await self.bench.control.report())["recent_per_second"])
        if self.fault is not None:
            self.add_all(await self.fault.run(self.bench))
        fault_peak = max((await self.bench.control.report())["recent_per_second"])
        return self.report(start, idle, changed, memory, peak, fault_peak)

    async def change(self) -> None:
        """Publish a version and see when each node held it."""
        loop = asyncio.get_running_loop()
        next_at = loop.time() + self.plan.interval
        change = await self.bench.publish()
        await asyncio.sleep(min(MOMENT, self.plan.interval))
        found: dict[str, NodeStatus] = {}
        left = await self.bench.behind(change.version, LATEST_SECONDS, None, found)
        self.behind += len(left)
        for status in found.values():
            self.convergence.add(status.installed_at - change.accepted_at)
        await asyncio.sleep(max(0.0, next_at - loop.time()))

    def add_all(self, seconds: list[float]) -> None:
        """Take the times of the nodes that the fault hit."""
        for value in seconds:
            self.fault_convergence.add(value)

    def report(
        self,
        start: Totals,
        idle: Totals,
        changed: Totals,
        memory: list[int],
        peak: int,
        fault_peak: int,
    ) -> SpreadReport:
        """Put the figures together."""
        fleet = self.plan.fleet
        resting = Rates(start, idle)
        busy = Rates(idle, changed)
        extra = (busy.bytes_per_s - resting.bytes_per_s) * busy.seconds
        per_change = extra / max(1, self.plan.changes)
        per_node = per_change / fleet.nodes
        idle_bytes = resting.bytes_per_s / fleet.nodes
        hit = self.fault_convergence
        return SpreadReport(
            nodes=fleet.nodes,
            services=fleet.services,
            endpoints=fleet.endpoints,
            strategy=fleet.strategy or "default",
            changes=self.plan.changes,
            interval_s=self.plan.interval,
            convergence_p50_s=self.convergence.at(50),
            convergence_p99_s=self.convergence.at(99),
            convergence_max_s=self.convergence.at(100),
            behind=self.behind,
            went_back=self.bench.went_back,
            control_bytes_per_node_per_s=round(busy.bytes_per_s / fleet.nodes, 1),
            control_bytes_per_node_per_s_idle=round(idle_bytes, 1),
            control_bytes_per_node_per_s_usual=round(
                idle_bytes + per_node / USUAL_GAP, 1
            ),
            control_bytes_per_change=round(per_change),
            control_bytes_per_node_per_change=round(per_node, 1),
            platform_reads_per_s=round(busy.reads_per_s, 2),
            platform_reads_per_s_idle=round(resting.reads_per_s, 2),
            platform_reads_per_s_peak=peak,
            cpu_percent_per_node=round(resting.cpu_percent / fleet.nodes, 3),
            cpu_percent_per_node_changing=round(busy.cpu_percent / fleet.nodes, 3),
            rss_mb_per_node=round(sum(memory) / len(memory) / MEGABYTE, 1),
            rss_mb_largest=round(max(memory) / MEGABYTE, 1),
            fault=self.plan.fault,
            fault_nodes=hit.count,
            fault_behind=self.fault.behind if self.fault else 0,
            fault_convergence_p50_s=hit.at(50),
            fault_convergence_p99_s=hit.at(99),
            fault_convergence_max_s=hit.at(100),
            fault_platform_reads_per_s_peak=fault_peak,
            load_average=round(os.getloadavg()[0], 1),
        )


class Rates:
    """What the fleet used per second between two moments."""

    def __init__(self, before: Totals, after: Totals) -> None:
        self.seconds = after.at - before.at
        self.bytes_per_s = (after.control_bytes - before.control_bytes) / self.seconds
        self.reads_per_s = (after.platform_calls - before.platform_calls) / self.seconds
        used = after.cpu_seconds - before.cpu_seconds
        self.cpu_percent = 100 * used / self.seconds
