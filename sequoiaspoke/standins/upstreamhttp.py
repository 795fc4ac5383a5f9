"""The HTTP side of the upstream's stand-in."""

from __future__ import annotations

import asyncio
import json
import zlib
from dataclasses import asdict
from typing import TYPE_CHECKING

import tornado.iostream
import tornado.web

from sequoiaspoke.errors import Ran
from sequoiaspoke.standins import faults as fault
from sequoiaspoke.standins.base import StandinHandler

if TYPE_CHECKING:
    from sequoiaspoke.standins.upstream import UpstreamStandin

DEADLINE_HEADER = "Sequoiaspoke-Deadline-Ms"
RAN_HEADER = "Sequoiaspoke-Ran"
REASON_HEADER = "Sequoiaspoke-Reason"
KEY_HEADER = "Idempotency-Key"
FAULT_HEADER = "Standin-Fault"
SERVICE_HEADER = "Standin-Service-Ms"
HOLD_HEADER = "Standin-Hold"
READ_DELAY_HEADER = "Standin-Read-Delay-Ms"
PIECE = bytes(range(256)) * 256  # 64 KiB, what large answers are made of
MAX_BYTES = 1 << 40
RETRY_AFTER = "1"  # seconds


class UpstreamHandler(StandinHandler):
    """What the pages of the upstream share."""

    standin: UpstreamStandin

    def number(self, header: str) -> float | None:
        """Return a header's milliseconds, or None without a usable one."""
        try:
            return max(0.0, float(self.request.headers[header]))
        except (KeyError, ValueError):
            return None

    @property
    def call_fault(self) -> str:
        """Return what is to go wrong with this call."""
        return self.request.headers.get(FAULT_HEADER, self.standin.faults.call)

    def refuse(self, status: int, reason: str, ran: Ran) -> None:
        """Answer that the call was not run or not finished."""
        self.set_status(status)
        self.set_header(RAN_HEADER, ran.value)
        self.set_header(REASON_HEADER, reason)
        self.set_header("Retry-After", RETRY_AFTER)

    def send_json(self, value: dict[str, object]) -> None:
        """Answer with JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class HealthHandler(UpstreamHandler):
    """GET /health: 200 while new work is welcome, else 503."""

    async def get(self) -> None:
        """Tell the status."""
        await self.hold_if_silenced()
        told = self.standin.tell()
        self.set_status(503 if told.status == fault.DRAINING else 200)
        self.send_json({"status": told.status})


class LoadHandler(UpstreamHandler):
    """GET /load: the slots in use."""

    async def get(self) -> None:
        """Tell the load."""
        await self.hold_if_silenced()
        self.send_json(asdict(self.standin.tell()))


@tornado.web.stream_request_body
class CallHandler(UpstreamHandler):
    """A call: waits for a slot, works, answers with what it received."""

    async def prepare(self) -> None:
        """Let a connection fail before the body is read."""
        self.received = 0
        self.crc = 0
        self.deadline = self.find_deadline()
        await self.hold_if_silenced()
        if self.call_fault == fault.SILENT_BEFORE:
            await self.pause(None)
        if self.call_fault == fault.BREAK_BEFORE:
            self.break_connection()

    def find_deadline(self) -> float | None:
        """Return the loop's time at which the caller gives up."""
        remaining = self.number(DEADLINE_HEADER)
        if remaining is None:
            return None
        return asyncio.get_running_loop().time() + remaining / 1000

    def remaining(self) -> float | None:
        """Return the seconds left, None without a deadline."""
        if self.deadline is None:
            return None
        return max(0.0, self.deadline - asyncio.get_running_loop().time())

    async def data_received(self, chunk: bytes) -> None:
        """Drain the body; only its length and checksum are kept."""
        self.received += len(chunk)
        self.crc = zlib.crc32(chunk, self.crc)
        if self.call_fault == fault.BREAK_WITHIN:
            self.break_connection()
            return
        await self.pause((self.number(READ_DELAY_HEADER) or 0.0) / 1000)

    async def get(self) -> None:
        """Run the call."""
        await self.serve()

    head = post = put = delete = patch = options = get

    async def serve(self) -> None:
        """Take the call in, or say that it was not run."""
        standin = self.standin
        if self.gone.done() or self.call_fault == fault.BREAK_WITHIN:
            standin.counts.abandoned += 1
            self.break_connection()
            return
        if standin.draining:
            standin.counts.refused_draining += 1
            self.refuse(503, "draining", Ran.NOT_RUN)
            return
        if standin.slots.full:
            standin.counts.shed += 1
            self.refuse(503, "overloaded", Ran.NOT_RUN)
            return
        if not await standin.slots.take(self.gone, self.remaining()):
            standin.counts.abandoned += 1
            self.refuse(504, "deadline-before-run", Ran.NOT_RUN)
            return
        try:
            await self.work()
        finally:
            standin.slots.give()

    async def work(self) -> None:
        """Run in a slot until done, cancelled or late."""
        standin = self.standin
        if self.remaining() == 0 or self.gone.done():
            standin.counts.abandoned += 1
            self.refuse(504, "deadline-before-run", Ran.NOT_RUN)
            return
        run = standin.count_run(self.request.headers.get(KEY_HEADER, ""))
        if HOLD_HEADER in self.request.headers:
            await self.hold()
        needed = standin.service_time(self.number(SERVICE_HEADER))
        left = self.remaining()
        if not await self.pause(needed if left is None else min(needed, left)):
            standin.counts.cancelled += 1
            return
        if left is not None and left < needed:
            standin.counts.late += 1
            self.refuse(504, "deadline-after-hand-over", Ran.OUTCOME_UNKNOWN)
            return
        standin.counts.completed += 1
        await self.answer(run)

    async def hold(self) -> None:
        """Run on until released, cancelled or late."""
        await asyncio.wait(
            [self.standin.released, self.gone],
            timeout=self.remaining(),
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def answer(self, run: int) -> None:
        """Send what was received, unless the answer is to fail."""
        if (
            self.call_fault == fault.SILENT_AFTER
            or self.stream in self.standin.silenced
        ):
            await self.pause(None)
            return
        if self.call_fault == fault.BREAK_AFTER:
            self.break_connection()
            return
        body = self.body(run)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        if self.call_fault != fault.TRUNCATE:
            self.finish(body)
            return
        self.write(body[: len(body) // 2])
        await self.flush()
        self.break_connection()

    def body(self, run: int) -> bytes:
        """Describe the call, padded to the least length."""
        described = {
            "target": self.standin.settings.target,
            "method": self.request.method,
            "uri": self.request.uri,
            "key": self.request.headers.get(KEY_HEADER, ""),
            "run": run,
            "received": self.received,
            "crc32": self.crc,
        }
        if self.request.path == "/echo":
            described["headers"] = list(self.request.headers.get_all())
        text = json.dumps(described)
        return text.ljust(self.standin.settings.answer_bytes).encode()


class BytesHandler(UpstreamHandler):
    """GET /bytes?n=COUNT[&chunked=1]: a large answer, written as it is read."""

    async def get(self) -> None:
        """Stream the bytes; without `chunked` their length is told first."""
        try:
            left = int(self.get_query_argument("n", "0"))
        except ValueError:
            left = -1
        if not 0 <= left <= MAX_BYTES:
            self.set_status(400)
            return
        self.standin.count_run(self.request.headers.get(KEY_HEADER, ""))
        self.set_header("Content-Type", "application/octet-stream")
        if not self.get_query_argument("chunked", ""):
            self.set_header("Content-Length", str(left))
        try:
            await self.stream_out(left)
        except tornado.iostream.StreamClosedError:
            self.standin.counts.cancelled += 1
            return
        self.standin.counts.completed += 1

    async def stream_out(self, left: int) -> None:
        """Write piece by piece, each once the one before went out."""
        half = left // 2
        while left > 0:
            size = min(left, len(PIECE))
            self.write(PIECE[:size])
            # The answer would pile up in memory if the client reads slowly.
            await self.flush()
            left -= size
            if left <= half and self.call_fault == fault.TRUNCATE:
                self.break_connection()
                raise tornado.iostream.StreamClosedError
