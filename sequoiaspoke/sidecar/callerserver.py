"""Serve callers over HTTP/1.1.

A connection is read on while its calls run: callers send several without waiting,
and give up those that are not read within a second. The calls run side by side
and are answered in the order in which they came. Reading on is also how a node
learns that a caller has left: its calls are cancelled at once, so that no
upstream works for nobody.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.core.mesh.outcome import Request
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.httptext import CONTINUE, encode_answer, local_answer
from sequoiaspoke.sidecar.sockets import Connection, ConnectionServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sequoiaspoke.core.mesh.outcome import Answer

HEAD_END = b"\r\n\r\n"
# Calls read ahead on one connection; a caller with more waits for answers first.
MAX_PIPELINED = 64
# Bytes of request bodies that this node holds for all callers; above, calls are
# refused until some have been answered.
MAX_BODY_BYTES = 24 << 20
# Bytes of answers that a caller has not read; beyond, its connection ends, as a
# caller that stands still would fill this node's memory.
MAX_UNREAD_BYTES = 16 << 20
# Seconds that a caller has to close after its last answer.
CLOSE_TIMEOUT = 1.0


class Exchange:
    """One request of a connection and the answer that is due in its turn."""

    def __init__(self, request: Request | None, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.task: asyncio.Task[None] | None = None
        self.answer: Answer | None = None


class CallerConnection(Connection):
    """A caller's connection."""

    def __init__(self, server: CallerServer) -> None:
        super().__init__()
        self.server = server
        self.nested = False
        self.limits = server.limits()
        self.pending: deque[Exchange] = deque()
        self.reading_paused = False
        self.parser = httptools.HttpRequestParser(self)
        self.last_active = clock.now()
        self.input_ended = False
        self.reset_request()

    def opened(self) -> None:
        """Begin to serve."""
        host, *_ = self.transport.get_extra_info("peername") or ("",)
        self.nested = host == self.server.upstream_host
        self.server.connections.add(self)

    def reset_request(self) -> None:
        """Begin to collect a request."""
        self.target = b""
        self.headers: list[tuple[str, str]] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.head_size = 0
        self.chunk_body_bytes = 0
        self.head_began_in_chunk = False
        self.request_started: float | None = None
        self.head_complete = False
        self.refused_status = 0

    def received(self, data: bytes) -> None:
        """Take bytes of the caller.

        Also after the last request: a caller that leaves is noticed by nothing else,
        and its call would run on for nobody. What comes then is not looked at.
        """
        self.last_active = clock.now()
        if self.input_ended:
            return
        self.parse(data)
        if (
            len(self.pending) >= MAX_PIPELINED
            and not self.reading_paused
            and not self.closed
        ):
            self.reading_paused = True
            self.transport.pause_reading()

    def lost(self, error: Exception | None, ended_here: bool) -> None:  # noqa: ARG002
        """Cancel the calls of a caller that has left."""
        self.server.connections.discard(self)
        for exchange in self.pending:
            if exchange.task is not None:
                exchange.task.cancel()
        self.pending.clear()

    def parse(self, data: bytes) -> None:
        """Take bytes of the caller."""
        self.chunk_body_bytes = 0
        self.head_began_in_chunk = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not offered; the request itself was answered as usual.
            self.input_ended = True
        except httptools.HttpParserError:
            self.refuse(400, "malformed request")
        else:
            if self.request_started is not None and not self.head_complete:
                self.check_head_size(data)

    def check_head_size(self, data: bytes) -> None:
        """Refuse a head that is too large before it is complete."""
        if self.head_began_in_chunk:
            # Before it in this piece lie requests that are complete.
            _, _, tail = data.rpartition(HEAD_END)
            self.head_size = len(tail) - self.chunk_body_bytes
        else:
            self.head_size += len(data)
        if self.head_size > self.limits.header_bytes:
            self.refuse(431, "headers too large")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.reset_request()
        self.head_began_in_chunk = True
        self.request_started = clock.now()

    def on_url(self, data: bytes) -> None:
        """Take a piece of the request target."""
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        self.head_complete = True
        for name, value in self.headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.body_size += len(data)
        self.chunk_body_bytes += len(data)
        if self.body_size > self.limits.body_bytes:
            self.refused_status = 413
        elif self.server.body_bytes + self.body_size > MAX_BODY_BYTES:
            self.refused_status = 503
        if self.refused_status:
            self.body.clear()
        else:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """Begin to serve a whole request."""
        if self.input_ended:
            return
        keep_alive = self.parser.should_keep_alive()
        request = Request(
            self.parser.get_method().decode("ascii"),
            self.target.decode("latin-1"),
            tuple(self.headers),
            b"".join(self.body),
            self.nested,
        )
        exchange = Exchange(request, keep_alive)
        self.pending.append(exchange)
        self.request_started = None
        if not keep_alive:
            self.input_ended = True
        if self.refused_status:
            retry_after = 1.0 if self.refused_status == 503 else None
            exchange.answer = local_answer(self.refused_status, "body", retry_after)
            self.flush()
            return
        self.server.body_bytes += len(request.body)
        exchange.task = asyncio.ensure_future(self.serve(exchange, request))
        # Also if the caller leaves before the task has begun, which then runs nothing.
        exchange.task.add_done_callback(lambda _: self.server.release_body(request))

    # Answers.

    def refuse(self, status: int, reason: str) -> None:
        """Answer something that is no request, after those before it."""
        exchange = Exchange(None, keep_alive=False)
        exchange.answer = local_answer(status, reason)
        self.pending.append(exchange)
        self.request_started = None
        self.input_ended = True
        self.flush()

    async def serve(self, exchange: Exchange, request: Request) -> None:
        """Have a call served and take its answer."""
        try:
            exchange.answer = await self.server.handle(request)
        except Exception as error:
            # One call's fault must not end the calls of all others.
            self.server.on_crash(error)
            exchange.answer = local_answer(502, "internal error")
        self.flush()

    def flush(self) -> None:
        """Write the answers whose turn it is."""
        while self.pending and self.pending[0].answer is not None:
            exchange = self.pending.popleft()
            last = not self.pending
            close = not exchange.keep_alive or (last and self.server.closing)
            head = exchange.request is not None and exchange.request.method == "HEAD"
            assert exchange.answer is not None
            self.last_active = clock.now()
            self.write(encode_answer(exchange.answer, close, head))
            if close:
                self.input_ended = True
                self.half_close()
                return
        if (
            self.reading_paused
            and not self.closed
            and len(self.pending) < MAX_PIPELINED
        ):
            self.reading_paused = False
            self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send bytes unless the caller has left or does not read."""
        if self.unsent_bytes() > MAX_UNREAD_BYTES:
            self.close()
        else:
            super().write(data)

    def half_close(self) -> None:
        """Stop sending, and read what still comes before closing.

        Closing with unread bytes resets the connection, and a reset can overtake the
        last answer: a caller with pipelined requests would lose it.
        """
        if not self.closed:
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(CLOSE_TIMEOUT, self.close)

    def tick(self, now: float) -> None:
        """End what has idled or been incomplete for too long."""
        if self.pending or self.closed:
            return
        if self.request_started is not None and not self.head_complete:
            if now - self.request_started > self.limits.header_timeout:
                self.refuse(408, "headers took too long")
        elif now - self.last_active > self.limits.idle_timeout:
            self.close()


class CallerServer(ConnectionServer):
    """Accepts callers.

    Attributes
    ----------
    closing : bool
        Whether connections end with the answer that leaves them idle.
    upstream_host : str
        Address from which the upstream beside this node calls, empty if unknown.
    """

    def __init__(
        self,
        handle: Callable[[Request], Awaitable[Answer]],
        on_crash: Callable[[BaseException], None],
        upstream_host: str = "",
    ) -> None:
        super().__init__()
        self.handle = handle
        self.on_crash = on_crash
        self.upstream_host = upstream_host
        self.connections: set[CallerConnection] = set()
        self.body_bytes = 0
        self.closing = False
        self.current_limits = CallerLimits()

    def limits(self) -> CallerLimits:
        """Return what callers may do."""
        return self.current_limits

    def connection(self) -> CallerConnection:
        """Return what serves the next caller."""
        return CallerConnection(self)

    def release_body(self, request: Request) -> None:
        """Note that a request is held no more."""
        self.body_bytes -= len(request.body)

    def tick(self, now: float) -> None:
        """End connections that have idled for too long."""
        for connection in list(self.connections):
            connection.tick(now)

    def busy(self) -> bool:
        """Return whether a caller waits for an answer."""
        return any(connection.pending for connection in self.connections)
