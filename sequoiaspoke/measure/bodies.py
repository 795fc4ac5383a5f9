"""Small calls beside large bodies on one narrow link, and memory of slow uploads.

An entry and a home are processes of the sidecar. All that the entry sends to the home
passes a loopback proxy with the rate of a narrow link. Bodies are sent whole with the
first frame of their call, as to a home that does not support parts, in parts with
credit, or whole on a second connection over the same link.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from sequoiaspoke.errors import MeasureError
from sequoiaspoke.measure.bodycalls import (
    OK,
    UPLOAD_BYTES,
    BodyUpstream,
    Caller,
    milliseconds,
)
from sequoiaspoke.measure.bodynode import ENTRY, HOME, LINK_MBPS, SECOND_ENTRY
from sequoiaspoke.measure.processes import Process
from sequoiaspoke.measure.slowlink import BYTES_PER_MBIT, SlowLink
from sequoiaspoke.measure.stream import MEGA, Watch

if TYPE_CHECKING:
    from types import TracebackType

WHOLE, PARTS, SECOND = "whole", "parts", "second-connection"
WAYS = (WHOLE, PARTS, SECOND)
# Small calls per second; they take 1 in 100 of the link.
SMALL_RATE = 20.0
# Calls before the measured ones, which open the link.
WARM_UP = 5
# Seconds within which a node has to serve, and between two checks whether it does.
START_SECONDS, POLL = 30.0, 0.05


@dataclass(frozen=True)
class BodyPlan:
    """What is measured.

    Attributes
    ----------
    loads : tuple of float
        Shares of the link's rate that the bodies take.
    seconds : float
        Seconds of calls for each way and load.
    uploads : int
        Uploads from slow callers at once.
    seed : int
        Seed of the times of calls, which are the same for each way.
    """

    loads: tuple[float, ...]
    seconds: float
    uploads: int
    seed: int = 1


@dataclass(frozen=True)
class LatencyResult:
    """Calls of one way at one load, in milliseconds.

    Attributes
    ----------
    small, bodies : dict of str to int
        Answers by status.
    small_p50_ms, small_p99_ms : float
        Time of small calls until any answer.
    body_p50_ms, body_p99_ms : float
        Time of the bodies that were answered with 200.
    """

    way: str
    load: float
    small: dict[str, int]
    small_p50_ms: float
    small_p99_ms: float
    bodies: dict[str, int]
    body_p50_ms: float
    body_p99_ms: float


@dataclass(frozen=True)
class MemoryResult:
    """Resident memory of the nodes during uploads from slow callers, in MB.

    Attributes
    ----------
    answers : dict of str to int
        Answers by status.
    """

    way: str
    uploads: int
    answers: dict[str, int]
    seconds: float
    entry_before_mb: float
    entry_most_mb: float
    home_before_mb: float
    home_most_mb: float


@dataclass
class BodyReport:
    """All figures."""

    latency: list[LatencyResult] = field(default_factory=list)
    memory: list[MemoryResult] = field(default_factory=list)


class BodyBench:
    """An upstream, its home, and the entries that reach it over one narrow link.

    Attributes
    ----------
    nodes : dict of str to Process
        Processes by their addresses.
    ports : dict of str to int
        Ports for callers by the addresses of the nodes.
    """

    def __init__(self, way: str) -> None:
        self.way = way
        self.folder = TemporaryDirectory()
        self.upstream = BodyUpstream()
        self.link: SlowLink | None = None
        self.nodes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}

    async def __aenter__(self) -> BodyBench:
        try:
            await self.upstream.start(HOME)
            link_port = await self.start_node(HOME, 0)
            self.link = SlowLink(LINK_MBPS, (HOME, link_port))
            for host in (ENTRY, SECOND_ENTRY) if self.way == SECOND else (ENTRY,):
                await self.start_node(host, self.link.port)
            for host in self.ports.keys() - {HOME}:
                await self.until_serving(host)
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()

    async def start_node(self, host: str, link_port: int) -> int:
        """Start a node; return the port on which it accepts links."""
        words = ["measure", "body-node", host, str(self.upstream.port), str(link_port)]
        if self.way != PARTS:
            words.append("--whole")
        node = self.nodes[host] = Process(words, Path(self.folder.name) / host)
        node.start()
        ports = await node.first_line()
        self.ports[host] = ports["callers"]
        return ports["links"]

    async def until_serving(self, host: str) -> None:
        """Wait until calls through an entry are served; raise MeasureError."""
        caller = self.caller(host, "small", 0)
        try:
            async with asyncio.timeout(START_SECONDS):
                while caller.statuses[OK] < WARM_UP:
                    await caller.call()
                    await asyncio.sleep(POLL)
        except TimeoutError as error:
            raise MeasureError(f"{host} does not serve: {caller.statuses}") from error

    async def stop(self) -> None:
        """End the processes and the link."""
        for node in self.nodes.values():
            node.kill()
        if self.link is not None:
            await self.link.close()
        self.upstream.stop()
        self.folder.cleanup()

    def caller(self, host: str, route: str, size: int) -> Caller:
        """Return a caller of an entry."""
        return Caller((host, self.ports[host]), route, size)

    async def measure_load(self, load: float, plan: BodyPlan) -> LatencyResult:
        """Make small calls and uploads side by side."""
        small = self.caller(ENTRY, "small", 0)
        upload_entry = SECOND_ENTRY if self.way == SECOND else ENTRY
        uploads = self.caller(upload_entry, "upload", UPLOAD_BYTES)
        rate = load * LINK_MBPS * BYTES_PER_MBIT / UPLOAD_BYTES
        await asyncio.gather(
            small.poisson(SMALL_RATE, plan.seconds, random.Random(plan.seed)),
            uploads.poisson(rate, plan.seconds, random.Random(plan.seed + 1)),
        )
        return LatencyResult(
            self.way,
            load,
            dict(small.statuses),
            milliseconds(small.all_times, 50),
            milliseconds(small.all_times, 99),
            dict(uploads.statuses),
            milliseconds(uploads.served_times, 50),
            milliseconds(uploads.served_times, 99),
        )

    async def measure_memory(self, uploads: int) -> MemoryResult:
        """Make uploads from slow callers at once and sample the nodes' memory."""
        caller = self.caller(ENTRY, "batch", UPLOAD_BYTES)
        watch = Watch([self.nodes[ENTRY], self.nodes[HOME]])
        sampling = asyncio.ensure_future(watch.run())
        loop = asyncio.get_running_loop()
        begin = loop.time()
        try:
            await asyncio.gather(*(caller.call(slow=True) for _ in range(uploads)))
        finally:
            sampling.cancel()
        before = [round(size / MEGA, 1) for size in watch.before]
        most = [round(size / MEGA, 1) for size in watch.most]
        return MemoryResult(
            self.way,
            uploads,
            dict(caller.statuses),
            round(loop.time() - begin, 1),
            before[0],
            most[0],
            before[1],
            most[1],
        )


async def measure_bodies(plan: BodyPlan) -> BodyReport:
    """Measure each way at each load, and the memory of bodies whole and in parts."""
    report = BodyReport()
    for load in plan.loads:
        for way in WAYS:
            async with BodyBench(way) as bench:
                report.latency.append(await bench.measure_load(load, plan))
    for way in (WHOLE, PARTS):
        async with BodyBench(way) as bench:
            report.memory.append(await bench.measure_memory(plan.uploads))
    return report
