"""Latency that a node adds to a call, over one hop and over two.

The same caller calls the upstream directly, through the shell alone, through
the node on the target's VM (one hop) and through another node (two hops). The
ways take turns in short rounds, so that whatever else the machine does meets
them alike.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections import Counter
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sequoiaspoke.errors import CallError
from sequoiaspoke.measure.bench import Bench
from sequoiaspoke.measure.percentiles import Percentiles
from sequoiaspoke.measure.plan import ADMIN_PORT, CALL_PORT, UPSTREAM_PORT, FleetPlan
from sequoiaspoke.measure.processes import Process
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.settings.schema import LimitSettings

BARE_PORT = 8079
WARM_UP = 100  # calls on each way before the first round
ROUND_SECONDS = 2.0
LEAD_IN_SECONDS = 1.5  # in which steady use gets its grant
UNCOUNTED = 0
PATH = "/service-0/availability"
DEADLINE = 10.0  # seconds
OK = 200
MILLI = 1000
WAYS = ("direct", "bare", "one_hop", "two_hops")


@dataclass
class WayResult:
    """What callers of one way saw at one rate, in milliseconds.

    Attributes
    ----------
    entry_cpu_ms, home_cpu_ms : float
        Processor time of the nodes for each call, their idle work included.
    """

    rate: int
    way: str
    calls: int = 0
    failed: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    added_p50_ms: float = 0.0
    added_p99_ms: float = 0.0
    entry_cpu_ms: float = 0.0
    home_cpu_ms: float = 0.0


@dataclass
class HopReport:
    """The figures of every way at every rate.

    Attributes
    ----------
    ways : dict
        Calls of the other node that went to the upstream directly, under a
        grant, and over two hops.
    """

    seconds: float
    results: list[WayResult] = field(default_factory=list)
    ways: dict[str, int] = field(default_factory=dict)


class Caller:
    """Call one address at a steady rate, whether or not answers are late."""

    def __init__(self, address: Address) -> None:
        self.pool = Pool(address, LimitSettings())
        self.headers = HTTPHeaders({"Host": f"{address.host}:{address.port}"})
        self.times: dict[int, Percentiles] = {}
        self.failed: dict[int, int] = {}

    async def round(self, rate: int, seconds: float, counted: bool = True) -> None:
        """Make the calls of one round and wait for their answers."""
        kept_as = rate if counted else UNCOUNTED
        loop = asyncio.get_running_loop()
        begin = loop.time()
        calls = []
        for number in range(int(rate * seconds)):
            due = begin + number / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            calls.append(loop.create_task(self.call(kept_as)))
        await asyncio.gather(*calls)

    async def call(self, rate: int) -> None:
        """Make one call and note how long its whole answer took."""
        loop = asyncio.get_running_loop()
        start_line = RequestStartLine("GET", PATH, "HTTP/1.1")
        begin = time.perf_counter()
        try:
            answer = await self.pool.call(
                start_line, self.headers, None, loop.time() + DEADLINE
            )
            try:
                while await answer.body.get():
                    pass
            finally:
                answer.close()
        except CallError:
            self.failed[rate] = self.failed.get(rate, 0) + 1
            return
        if answer.status != OK:
            self.failed[rate] = self.failed.get(rate, 0) + 1
            return
        took = time.perf_counter() - begin
        self.times.setdefault(rate, Percentiles()).add(took)


class HopBench:
    """Two nodes, one upstream and a caller for each way.

    Attributes
    ----------
    cpu : dict
        Processor seconds of the entry and of the home by rate and way.
    """

    def __init__(self, grants: bool) -> None:
        self.grants = grants
        self.bench = Bench(FleetPlan(2, 1, 1))
        self.home, self.entry = self.bench.plan.vm(0), self.bench.plan.vm(1)
        if grants:
            address = f"{self.home.address}:{UPSTREAM_PORT}"
            self.bench.node_settings = f"[routing]\ngrant_address = {address}\n"
        self.callers: dict[str, Caller] = {}
        self.ways: Counter[str] = Counter()
        self.cpu: dict[tuple[int, str], tuple[float, float]] = {}

    async def run(self, rates: tuple[int, ...], seconds: float) -> HopReport:
        """Measure every way at every rate for `seconds` each.

        With grants each way has its seconds in one round, since a grant ends
        while the others have their turn.
        """
        round_seconds = seconds if self.grants else ROUND_SECONDS
        rounds = max(1, round(seconds / round_seconds))
        async with self.bench:
            bare = await self.start()
            try:
                await warm_up(self.callers)
                for rate in rates:
                    for _ in range(rounds):
                        for way in WAYS:
                            await self.round(rate, way, round_seconds)
            finally:
                bare.kill()
                for caller in self.callers.values():
                    caller.pool.close()
        return self.report(rates, seconds)

    async def start(self) -> Process:
        """Start the upstream and the bare proxy, which is returned."""
        address = self.home.address
        await self.bench.start_upstream(self.home, service_ms=0)
        words = ["measure", "bare-proxy", address, str(BARE_PORT), str(UPSTREAM_PORT)]
        bare = Process(words, self.bench.path("bare.log"))
        bare.start()
        self.callers = {
            "direct": Caller(Address(address, UPSTREAM_PORT)),
            "bare": Caller(Address(address, BARE_PORT)),
            "one_hop": Caller(Address(address, CALL_PORT)),
            "two_hops": Caller(Address(self.entry.address, CALL_PORT)),
        }
        return bare

    async def round(self, rate: int, way: str, seconds: float) -> None:
        """Call one way for a while and note what it cost the nodes."""
        caller = self.callers[way]
        if self.grants:
            await caller.round(rate, LEAD_IN_SECONDS, False)
        ways, cpu = await read_ways(self.entry.address), self.processor_seconds()
        await caller.round(rate, seconds)
        entry, home = self.processor_seconds()
        self.ways.update(await read_ways(self.entry.address))
        self.ways.subtract(ways)
        before = self.cpu.get((rate, way), (0.0, 0.0))
        added = (before[0] + entry - cpu[0], before[1] + home - cpu[1])
        self.cpu[rate, way] = added

    def processor_seconds(self) -> tuple[float, float]:
        """Return what the entry and the home have used so far."""
        nodes = self.bench.nodes
        entry, home = nodes[self.entry.name], nodes[self.home.name]
        return entry.usage().cpu_seconds, home.usage().cpu_seconds

    def report(self, rates: tuple[int, ...], seconds: float) -> HopReport:
        """Put the figures together, each way against the direct calls."""
        made = HopReport(seconds, ways=dict(self.ways))
        for rate in rates:
            direct = self.callers["direct"].times.get(rate, Percentiles())
            for way in WAYS:
                made.results.append(self.result(rate, way, direct))
        return made

    def result(self, rate: int, way: str, direct: Percentiles) -> WayResult:
        """Return the figures of one way at one rate."""
        caller = self.callers[way]
        times = caller.times.get(rate, Percentiles())
        result = WayResult(rate, way, times.count, caller.failed.get(rate, 0))
        if not times.count or not direct.count:
            return result
        result.p50_ms = milliseconds(times, 50)
        result.p99_ms = milliseconds(times, 99)
        result.added_p50_ms = result.p50_ms - milliseconds(direct, 50)
        result.added_p99_ms = result.p99_ms - milliseconds(direct, 99)
        entry, home = self.cpu[rate, way]
        result.entry_cpu_ms = entry * MILLI / times.count
        result.home_cpu_ms = home * MILLI / times.count
        return result


async def measure_hop(
    rates: tuple[int, ...], seconds: float, grants: bool = False
) -> HopReport:
    """Measure every way at every rate for `seconds` each."""
    return await HopBench(grants).run(rates, seconds)


async def read_ways(address: str) -> Counter[str]:
    """Read how many calls of a node went directly and how many over two hops."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        page = await client.fetch(f"http://{address}:{ADMIN_PORT}/metrics")
    finally:
        client.close()
    found = re.findall(
        r'sequoiaspoke_ways_total{way="(\w+)"} (\S+)', page.body.decode()
    )
    return Counter({way: round(float(value)) for way, value in found})


async def warm_up(callers: dict[str, Caller]) -> None:
    """Open connections and fill caches before anything counts."""
    for caller in callers.values():
        for _ in range(WARM_UP):
            await caller.call(UNCOUNTED)


def milliseconds(times: Percentiles, percent: float) -> float:
    """Return a percentile in milliseconds, to the microsecond."""
    return times.histogram.get_value_at_percentile(percent) / MILLI
