"""`sequoiaspoke measure`: benchmarks with real processes on loopback or simulations.

Unlike a node, these commands start processes: they are tools outside the mesh that
emulate the VMs of a fleet on one machine.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import signal
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


def spread(
    *,
    nodes: int = 12,
    changes: int = 10,
    interval: float = 3.0,
    idle: float = 10.0,
    fault: str = "none",
    strategy: str = "",
    services: int = 4,
    endpoints: int = 13,
) -> None:
    """Measure convergence and control traffic; the last line is JSON.

    Parameters
    ----------
    nodes : int
        Nodes, spread over three zones.
    changes : int
        Versions to publish.
    interval : float
        Seconds from one version to the next.
    idle : float
        Seconds without changes to measure first.
    fault : str
        none, platform-outage, half-die, pause, stale-start or
        silent-platform.
    strategy : str
        Strategy for spreading versions; empty for the nodes' default.
    services : int
        Services of the configuration.
    endpoints : int
        Endpoints of all services together.
    """
    from sequoiaspoke.measure.plan import FleetPlan
    from sequoiaspoke.measure.spread import SpreadPlan, measure_spread

    fleet = FleetPlan(nodes, services, endpoints, strategy)
    plan = SpreadPlan(fleet, changes, interval, idle, fault)
    report = run_measurement(measure_spread(plan))
    print(json.dumps(dataclasses.asdict(report)))


def load(
    *, scenario: str = "saturation-5x", policy: str = "sequoiaspoke", seed: int = 1
) -> None:
    """Simulate load and print the callers' results, one JSON line per run.

    Parameters
    ----------
    scenario : str
        Name of the load pattern, or all; an unknown name lists them.
    policy : str
        sequoiaspoke, the name of a baseline, or all.
    seed : int
        Seed of the random numbers.
    """
    from sequoiaspoke.measure.load import measure_all

    for figures in measure_all(scenario, policy, seed):
        print(json.dumps(figures))


def hop(
    *,
    rates: tuple[int, ...] = (50, 200, 500),
    seconds: float = 10.0,
    grants: bool = False,
) -> None:
    """Measure the latency that one and two hops add; the last line is JSON.

    Parameters
    ----------
    rates : tuple[int, ...]
        Calls per second at the one entry node; each rate is measured in turn.
    seconds : float
        Seconds of calls for each way at each rate.
    grants : bool
        Whether the home grants direct connections.
    """
    from sequoiaspoke.measure.hop import measure_hop

    report = run_measurement(measure_hop(rates, seconds, grants))
    for each in report.results:
        print(
            f"{each.rate:5}/s {each.way:9} calls={each.calls} failed={each.failed} "
            f"p50={each.p50_ms:.2f} p99={each.p99_ms:.2f} "
            f"added p50={each.added_p50_ms:.2f} p99={each.added_p99_ms:.2f} "
            f"cpu entry={each.entry_cpu_ms:.2f} home={each.home_cpu_ms:.2f} ms"
        )
    print(json.dumps(dataclasses.asdict(report)))


def stream(*, megabytes: int = 1000) -> None:
    """Measure nodes' memory while a recording is streamed; the last line is JSON.

    Parameters
    ----------
    megabytes : int
        Size of the recording in each direction.
    """
    from sequoiaspoke.measure.stream import measure_stream

    results = run_measurement(measure_stream(megabytes))
    print(json.dumps([dataclasses.asdict(each) for each in results]))


def bare_proxy(address: str, port: int, upstream_port: int) -> None:
    """Forward calls without any decision, as a baseline for a node.

    Parameters
    ----------
    address : str
        IP address to listen on, also that of the upstream.
    port : int
        TCP port for callers.
    upstream_port : int
        TCP port of the upstream.
    """
    from sequoiaspoke.measure.bareproxy import run_bare_proxy
    from sequoiaspoke.node.client import Address

    listening, upstream = Address(address, port), Address(address, upstream_port)
    asyncio.run(run_bare_proxy(listening, upstream))


def run_measurement(measurement: Coroutine[Any, Any, Any]) -> Any:
    """Run a measurement; SIGTERM also stops its processes."""
    return asyncio.run(cancelled_by_signal(measurement))


async def cancelled_by_signal(measurement: Coroutine[Any, Any, Any]) -> Any:
    """Await a measurement and cancel it on SIGTERM.

    Otherwise its processes would keep running after it.
    """
    task = asyncio.ensure_future(measurement)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def rules(*, rules: int = 200, services: int = 200, endpoints: int = 2000) -> None:
    """Measure the cost of rules; the output is one line of JSON.

    Parameters
    ----------
    rules : int
        Rules of the configuration.
    services : int
        Services that they route to.
    endpoints : int
        Endpoints of all services together.
    """
    from sequoiaspoke.measure.rules import measure_rules

    report = measure_rules(rules, services, endpoints)
    print(json.dumps(dataclasses.asdict(report)))


def idempotency(
    *,
    nodes: int = 12,
    calls: int = 20000,
    rate: float = 150.0,
    fault: str = "rolling",
    issued: bool = False,
) -> None:
    """Measure keyed calls with retries; the last line is JSON.

    Parameters
    ----------
    nodes : int
        Nodes, spread over three zones.
    calls : int
        Keyed calls in total, each retried until its outcome is known.
    rate : float
        New calls per second.
    fault : str
        none, platform-outage, rolling (nodes are killed or stopped in turn) or
        rolling-moves (as rolling, and new versions move keys).
    issued : bool
        Whether callers use keys that nodes issue.
    """
    from sequoiaspoke.measure.keyed import measure_keyed

    report = run_measurement(measure_keyed(nodes, calls, rate, fault, issued))
    print(json.dumps(dataclasses.asdict(report)))


def witnesses(*, sizes: tuple[int, ...] = (4, 12, 90)) -> None:
    """Measure the cost of witnesses for a node, one JSON line per size.

    Parameters
    ----------
    sizes : tuple[int, ...]
        VMs in a zone.
    """
    from sequoiaspoke.measure.witnesscost import measure_witnesses

    for size in sizes:
        print(json.dumps(dataclasses.asdict(measure_witnesses(size))))


def cost(
    *, sizes: tuple[int, ...] = (12, 90, 200, 500), calls: int = 4000, plot: str = ""
) -> None:
    """Measure a node's processor time by the size of its fleet; the last line is JSON.

    Parameters
    ----------
    sizes : tuple[int, ...]
        Nodes of each fleet, of which one is real.
    calls : int
        Calls of each kind at each size.
    plot : str
        File for a plot of the figures as SVG, empty for none.
    """
    from sequoiaspoke.measure.cost import measure_cost
    from sequoiaspoke.measure.costreport import cost_plot, cost_table

    results = run_measurement(measure_cost(sizes, calls))
    print(cost_table(results))
    if plot:
        Path(plot).write_text(cost_plot(results), encoding="utf-8")
    print(json.dumps([dataclasses.asdict(each) for each in results]))


def cost_node(peers: int) -> None:
    """Run the one real node of a cost measurement.

    Parameters
    ----------
    peers : int
        Nodes of its fleet.
    """
    import uvloop

    from sequoiaspoke.measure.costnode import CostFleet, run_cost_node

    uvloop.run(run_cost_node(CostFleet(peers)))


def mesh(*, seeds: int = 3, scenarios: tuple[str, ...] = ()) -> None:
    """Simulate faults of zones and slot requests; the last line is JSON.

    Parameters
    ----------
    seeds : int
        Runs of each scenario.
    scenarios : tuple[str, ...]
        Names of the scenarios; none for all.
    """
    from sequoiaspoke.measure.meshreport import measure_mesh, mesh_table

    results = measure_mesh(scenarios, seeds)
    print(mesh_table(results))
    print(json.dumps([dataclasses.asdict(each) for each in results]))


def bodies(
    *,
    loads: tuple[float, ...] = (0.7, 1.0),
    seconds: float = 40.0,
    uploads: int = 200,
    seed: int = 1,
) -> None:
    """Measure small calls beside bodies on a narrow link; the last line is JSON.

    Parameters
    ----------
    loads : tuple[float, ...]
        Shares of the link's rate that the bodies take.
    seconds : float
        Seconds of calls for each way and load.
    uploads : int
        Uploads from slow callers at once, for the memory of the nodes.
    seed : int
        Seed of the times of calls, which are the same for each way.
    """
    from sequoiaspoke.measure.bodies import BodyPlan, measure_bodies

    report = run_measurement(measure_bodies(BodyPlan(loads, seconds, uploads, seed)))
    for each in report.latency:
        print(
            f"{each.load:4} {each.way:17} small p50={each.small_p50_ms} "
            f"p99={each.small_p99_ms} {each.small} bodies p50={each.body_p50_ms} "
            f"p99={each.body_p99_ms} {each.bodies}"
        )
    print(json.dumps(dataclasses.asdict(report)))


def body_node(
    host: str, upstream_port: int, link_port: int, *, whole: bool = False
) -> None:
    """Run an entry or the home of a measurement of bodies.

    Parameters
    ----------
    host : str
        Address of the node, which says what it is.
    upstream_port : int
        Port of the upstream beside the home.
    link_port : int
        Port through which an entry reaches the home.
    whole : bool
        Whether bodies are sent whole with the first frame of their call.
    """
    import uvloop

    from sequoiaspoke.measure.bodynode import BodyNode, run_body_node

    node = BodyNode(host, upstream_port, link_port, parts=not whole)
    uvloop.run(run_body_node(node))


COMMANDS = {
    "bodies": bodies,
    "body-node": body_node,
    "cost": cost,
    "cost-node": cost_node,
    "idempotency": idempotency,
    "witnesses": witnesses,
    "load": load,
    "mesh": mesh,
    "rules": rules,
    "spread": spread,
    "hop": hop,
    "stream": stream,
    "bare-proxy": bare_proxy,
}
