"""Stand-ins for the platform's store, targets and the network between machines.

They follow the users' pages and use the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from mesh import World

# Seconds for which the store keeps its history.
HISTORY_SECONDS = 20
# Items and bytes of one page of a range.
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20
HEARTBEAT_SECONDS = 1.5


class Message:
    """The head and the body of a request or an answer."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.first = lines[0].split(" ", 2)
        pairs = (line.partition(":") for line in lines[1:] if line)
        self.headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        self.body = body


def take_message(buffer: bytearray) -> Message | None:
    """Take a complete message with a Content-Length off a buffer."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    message = Message(bytes(buffer[:end]), b"")
    whole = end + 4 + int(message.headers.get("content-length", 0))
    if len(buffer) < whole:
        return None
    message.body = bytes(buffer[end + 4 : whole])
    del buffer[:whole]
    return message


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a first line, headers and a body."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if body or first.startswith("HTTP/"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class ServerConnection(asyncio.Protocol):
    """Serves one request after the other; drops the one whose connection closes."""

    def __init__(self, serve: Callable[[Message], Awaitable[bytes | None]]) -> None:
        self.serve = serve
        self.buffer = bytearray()
        self.task: asyncio.Task | None = None

    def connection_made(self, transport) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer bytes and serve the request that they complete."""
        self.buffer += data
        self.next()

    def connection_lost(self, error) -> None:  # noqa: ARG002
        """Drop the request under way."""
        if self.task is not None:
            self.task.cancel()

    def next(self) -> None:
        """Serve the next complete request, if no other is under way."""
        if self.task is None:
            message = take_message(self.buffer)
            if message is not None:
                self.task = asyncio.ensure_future(self.run(message))

    async def run(self, message: Message) -> None:
        """Serve a request and send its answer."""
        answer = await self.serve(message)
        self.task = None
        if answer is not None:
            self.transport.write(answer)
            self.next()


async def listen(serve, host: str, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve requests on a port of a host; return the server and the port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: ServerConnection(serve), host, port)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's store: reads, watches and a history of some seconds."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.forgotten = 0
        self.revision = 1
        self.changed = asyncio.Event()

    async def start(self, host: str) -> None:
        """Listen on a free port of a host."""
        self.server, port = await listen(self.serve, host)
        self.address = f"{host}:{port}"

    def put(self, key: str, document: dict | None) -> None:
        """Write an item, or delete it with None."""
        self.revision += 1
        if document is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            made = self.items.get(key, {"created": self.revision})["created"]
            value = base64.b64encode(json.dumps(document).encode()).decode()
            event = {"key": key, "value": value, "revision": self.revision}
            event |= {"created": made, "lease": 0}
            self.items[key] = event
        now = time.monotonic()
        self.events.append((now, self.revision, key, json.dumps(event)))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget(self) -> None:
        """Drop the history that is older than the settings say."""
        oldest = time.monotonic() - HISTORY_SECONDS
        while self.events and self.events[0][0] < oldest:
            self.forgotten = self.events.pop(0)[1]

    async def serve(self, request: Message) -> bytes:
        """Answer a read."""
        path = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(path.query).items()}
        if path.path == "/api/kv-range":
            return self.range(query)
        if path.path == "/api/kv-watch":
            return await self.watch(query)
        item = self.items.get(query.get("key", ""))
        if item is None:
            return self.answer(404, "{}")
        return self.answer(200, json.dumps(item | {"currentRev": self.revision}))

    def answer(self, status: int, text: str) -> bytes:
        """Return the bytes of an answer."""
        headers = {"Content-Type": "application/json"}
        return encode(f"HTTP/1.1 {status} x", headers, text.encode())

    def range(self, query: dict[str, str]) -> bytes:
        """Return one page of the items of a prefix."""
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key].get("value", ""))
            if page and (size > PAGE_BYTES or len(page) >= PAGE_ITEMS):
                break
            page.append(self.items[key])
        more = len(page) < len(keys)
        body = {"items": page, "hasMore": more, "currentRev": self.revision}
        return self.answer(200, json.dumps(body))

    async def watch(self, query: dict[str, str]) -> bytes:
        """Return all events after a revision, as soon as there is one."""
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            self.forget()
            if after < self.forgotten or after > self.revision:
                return self.answer(410, "{}")
            found = [
                text
                for _, revision, key, text in self.events
                if revision > after and key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
        text = f'{{"events": [{",".join(found)}], "currentRev": {self.revision}}}'
        return self.answer(200, text)


class Target:
    """The application target on a machine."""

    def __init__(self, world: World, number: int, zone: str, service: str) -> None:
        self.world, self.zone, self.service = world, zone, service
        self.instance = f"i-{number}-{os.getpid()}"
        self.host = world.host(number)
        self.slots = 18
        self.work_seconds, self.answer_bytes = 0.1, 1500
        self.running = self.sequence = 0
        self.state = "ready"

    async def start(self) -> None:
        """Listen and report to the store."""
        self.server, self.port = await listen(self.serve, self.host)
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self) -> None:
        """Report at intervals."""
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def report(self) -> None:
        """Write the entry of this target."""
        self.sequence += 1
        document = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingS": 0,
            "sequence": self.sequence,
        }
        self.world.store.put(f"servers/{self.instance}", document)

    async def serve(self, request: Message) -> bytes:
        """Run a request, unless it is for another target or there is no free slot."""
        method, path, _ = request.first
        if path == "/health":
            headers = {"Sequoiaspoke-Instance-Id": self.instance}
            return encode("HTTP/1.1 200 OK", headers | self.load())
        call = request.headers.get("sequoiaspoke-request-id", "")
        echo = {"Sequoiaspoke-Request-Id": call}
        if request.headers.get("sequoiaspoke-expect-instance") != self.instance:
            return encode("HTTP/1.1 421 x", echo)
        if self.running >= self.slots:
            return encode("HTTP/1.1 503 x", echo | {"Sequoiaspoke-Not-Executed": "1"})
        self.world.runs.append((call, self.service))
        self.world.record.line(f"run      {call} {method} {path} at {self.instance}")
        self.running += 1
        try:
            await asyncio.sleep(self.world.work_seconds.get(call, self.work_seconds))
        except asyncio.CancelledError:
            self.world.record.line(f"dropped  {call} at {self.instance}")
            raise
        finally:
            self.running -= 1
        self.world.record.line(f"finished {call} at {self.instance}")
        self.world.finished.append(call)
        headers = echo | self.load()
        headers["Sequoiaspoke-Server-Stamp"] = f"stamp.{self.service}.{call}"
        headers["Keep-Alive"] = "timeout=10"
        return encode("HTTP/1.1 200 OK", headers, self.body(call))

    def load(self) -> dict[str, str]:
        """Return the header that tells the load."""
        return {"Sequoiaspoke-Server-Load": f"{self.running},0,{self.slots}"}

    def body(self, call: str) -> bytes:
        """Return the body of an answer, which names the service and the request."""
        return (f"{self.service} {call} ".encode() * self.answer_bytes)[
            : self.answer_bytes
        ]


class Proxy:
    """Forwards connections; while it is cut, nothing comes through.

    Connections that lived through a cut, or were dialled in it, end with it. Between
    real machines the processes' keep-alive ends them within some three seconds, and a
    connection cannot be opened.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.transports: set[asyncio.Transport] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a port of a host."""
        self.server = await asyncio.start_server(self.accept, host, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def accept(self, reader, writer) -> None:
        """Forward a connection in both directions."""
        self.transports.add(writer.transport)
        try:
            await self.open.wait()
            if not writer.is_closing():
                await self.connect(reader, writer)
        except OSError:
            pass
        finally:
            self.transports.discard(writer.transport)
            writer.transport.abort()

    async def connect(self, reader, writer) -> None:
        """Connect to the target and forward until both directions have ended."""
        other_reader, other_writer = await asyncio.open_connection(*self.target)
        self.transports.add(other_writer.transport)
        try:
            await asyncio.gather(
                self.forward(reader, other_writer), self.forward(other_reader, writer)
            )
        finally:
            self.transports.discard(other_writer.transport)
            other_writer.transport.abort()

    async def forward(self, reader, writer) -> None:
        """Forward one direction."""
        while data := await reader.read(65536):
            await self.open.wait()
            writer.write(data)
            await writer.drain()
        await self.open.wait()
        writer.close()

    def cut(self) -> None:
        """Let nothing through, without a reset."""
        self.open.clear()

    def heal(self) -> None:
        """Let new connections through again."""
        for transport in self.transports:
            transport.abort()
        self.open.set()
