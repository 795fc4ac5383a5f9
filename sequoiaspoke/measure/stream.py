"""Memory of the nodes while a long recording passes through two of them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.errors import CallError, MeasureError
from sequoiaspoke.measure.bench import Bench
from sequoiaspoke.measure.plan import CALL_PORT, FleetPlan
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.node.pipe import BodyPipe, ReplayableBody
from sequoiaspoke.settings.schema import LimitSettings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sequoiaspoke.measure.processes import Process

PATH = "/service-0/bytes"
UPLOAD_PATH = "/service-0/recording"
DEADLINE = 30.0  # seconds until the head of the answer
SAMPLE_SECONDS = 0.1
WARM_UP_BYTES = 1 << 20
PIECE = bytes(1 << 16)
MEGA = 1_000_000
OK = 200


Transfer: TypeAlias = "Callable[[Pool, int], Awaitable[None]]"


@dataclass
class StreamResult:
    """What one direction cost; memory of the node that grew most."""

    direction: str
    megabytes: int
    seconds: float
    megabytes_per_s: float
    rss_before_mb: float
    rss_most_mb: float


class Watch:
    """Sample the memory of processes while something runs."""

    def __init__(self, processes: list[Process]) -> None:
        self.processes = processes
        self.before = self.sample()
        self.most = self.before

    def sample(self) -> list[int]:
        """Return the bytes that each process holds now."""
        return [process.usage().rss_bytes for process in self.processes]

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.most = list(map(max, self.most, self.sample()))
            await asyncio.sleep(SAMPLE_SECONDS)

    def worst(self) -> tuple[int, int]:
        """Return before and most of the process that grew most."""
        pairs = zip(self.before, self.most, strict=True)
        return max(pairs, key=lambda pair: pair[1] - pair[0])


async def measure_stream(megabytes: int) -> list[StreamResult]:
    """Pass a recording through two nodes, down and then up."""
    async with Bench(FleetPlan(2, 1, 1)) as bench:
        home, entry = bench.plan.vm(0), bench.plan.vm(1)
        await bench.start_upstream(home)
        pool = Pool(Address(entry.address, CALL_PORT), LimitSettings())
        nodes = list(bench.nodes.values())
        try:
            await download(pool, WARM_UP_BYTES)
            await upload(pool, WARM_UP_BYTES)
            return [
                await watched("down", megabytes, nodes, download, pool),
                await watched("up", megabytes, nodes, upload, pool),
            ]
        finally:
            pool.close()


async def watched(
    direction: str, megabytes: int, nodes: list[Process], transfer: Transfer, pool: Pool
) -> StreamResult:
    """Run one transfer beside the sampling."""
    watch = Watch(nodes)
    sampling = asyncio.create_task(watch.run())
    begin = time.monotonic()
    try:
        await transfer(pool, megabytes * MEGA)
    finally:
        sampling.cancel()
    seconds = time.monotonic() - begin
    before, most = watch.worst()
    return StreamResult(
        direction,
        megabytes,
        round(seconds, 2),
        round(megabytes / seconds, 1),
        round(before / MEGA, 1),
        round(most / MEGA, 1),
    )


async def download(pool: Pool, size: int) -> None:
    """Read a recording and check its length."""
    await call(pool, "GET", f"{PATH}?n={size}", HTTPHeaders({"Host": "x"}), None, size)


async def upload(pool: Pool, size: int) -> None:
    """Send a recording."""
    pipe = BodyPipe()
    feeding = asyncio.create_task(feed(pipe, size))
    headers = HTTPHeaders({"Host": "x", "Content-Length": str(size)})
    try:
        await call(pool, "PUT", UPLOAD_PATH, headers, ReplayableBody(pipe, 0), 0)
    finally:
        feeding.cancel()


async def feed(pipe: BodyPipe, size: int) -> None:
    """Put a body into a pipe piece by piece."""
    while size > 0:
        piece = PIECE[: min(size, len(PIECE))]
        size -= len(piece)
        taken = pipe.put(piece)
        if taken:
            await taken
    pipe.end()


async def call(
    pool: Pool,
    method: str,
    path: str,
    headers: HTTPHeaders,
    body: ReplayableBody | None,
    least: int,
) -> None:
    """Make one call and read its answer to the end.

    Raises
    ------
    MeasureError
        It failed or was shorter than it should be.
    """
    deadline = asyncio.get_running_loop().time() + DEADLINE
    received = 0
    try:
        start_line = RequestStartLine(method, path, "HTTP/1.1")
        answer = await pool.call(start_line, headers, body, deadline)
        try:
            while chunk := await answer.body.get():
                received += len(chunk)
        finally:
            answer.close()
    except CallError as error:
        raise MeasureError(f"{method} {path}: {error.code}: {error}") from error
    if answer.status != OK or received < least:
        raise MeasureError(f"{method}: status {answer.status}, {received} bytes")
