"""The upstream and the callers of a measurement of bodies."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from sequoiaspoke.measure.bodynode import HOST_NAME
from sequoiaspoke.measure.percentiles import Percentiles

if TYPE_CHECKING:
    from random import Random

# Seconds of work at the upstream, and bytes of its answers.
WORK_SECONDS, ANSWER_BYTES = 0.02, 400
# Bytes of an upload: the mean of the page on heavy load.
UPLOAD_BYTES = 60_000
# A slow caller sends its upload in this many pieces over these seconds.
PIECES, SLOW_SECONDS = 20, 2.0
# Seconds after which a call without an answer counts as failed; the longest route ends
# its calls before.
ANSWER_SECONDS = 100.0
NO_ANSWER = "none"
OK = "200"
MILLI = 1000


class BodyUpstream:
    """Reads each request with its body and answers after some work.

    Attributes
    ----------
    port : int
        Port of the upstream, chosen by the system.
    """

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = parse_headers(head)
                await reader.readexactly(int(headers.get("content-length", "0")))
                await asyncio.sleep(WORK_SECONDS)
                call_id = headers.get("x-request-id", "")
                text = (
                    f"HTTP/1.1 200 OK\r\nX-Upstream-Stamp: s\r\nX-Request-Id: {call_id}"
                    f"\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"
                )
                writer.write(text.encode() + bytes(ANSWER_BYTES))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def parse_headers(head: bytes) -> dict[str, str]:
    """Return the headers of a request by their names in lower case."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


class Caller:
    """Makes calls of one route and records what became of them.

    Attributes
    ----------
    calls : int
        Calls begun, which number the ids of the calls.
    statuses : Counter of str
        Answers by status, `none` for closed connections and calls without an answer.
    all_times, served_times : Percentiles
        Seconds until any answer, and until the answers with status 200.
    """

    def __init__(self, address: tuple[str, int], route: str, size: int) -> None:
        self.address = address
        self.route = route
        self.size = size
        self.calls = 0
        self.statuses: Counter[str] = Counter()
        self.all_times, self.served_times = Percentiles(), Percentiles()

    async def call(self, slow: bool = False) -> None:
        """Make one call on a connection of its own."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                status = await self.exchange(slow)
        except (OSError, TimeoutError, IndexError):
            status = NO_ANSWER
        self.statuses[status] += 1
        seconds = loop.time() - begin
        self.all_times.add(seconds)
        if status == OK:
            self.served_times.add(seconds)

    async def exchange(self, slow: bool) -> str:
        """Send a request and return the status of its answer."""
        self.calls += 1
        call_id = f"{self.route}-{self.calls}"
        reader, writer = await asyncio.open_connection(*self.address)
        method = "POST" if self.size else "GET"
        try:
            writer.write(
                f"{method} /{self.route}/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                f"X-Request-Id: {call_id}\r\n"
                f"Content-Length: {self.size}\r\nConnection: close\r\n\r\n".encode()
            )
            await self.send_body(writer, slow)
            return (await reader.read()).split(b" ", 2)[1].decode()
        finally:
            writer.close()

    async def send_body(self, writer: asyncio.StreamWriter, slow: bool) -> None:
        """Send the body, at once or piece by piece."""
        if not slow:
            writer.write(bytes(self.size))
            return
        for _ in range(PIECES):
            writer.write(bytes(self.size // PIECES))
            await writer.drain()
            await asyncio.sleep(SLOW_SECONDS / PIECES)

    async def poisson(self, rate: float, seconds: float, rng: Random) -> None:
        """Make calls at random times, whether or not answers are late."""
        loop = asyncio.get_running_loop()
        calls = []
        when = loop.time()
        end = when + seconds
        while (when := when + rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, when - loop.time()))
            calls.append(asyncio.ensure_future(self.call()))
        await asyncio.gather(*calls)


def milliseconds(times: Percentiles, percent: float) -> float:
    """Return a percentile in milliseconds, 0 without any value."""
    return round((times.at(percent) or 0.0) * MILLI, 1)
