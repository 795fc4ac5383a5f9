"""Serve callers over HTTP/1.1.

A connection is read while its calls run, because callers pipeline requests and give
up on those that are not read within a second. The calls of a connection run
concurrently and are answered in the order of the requests. Reading also detects a
caller that disconnects: its calls are cancelled at once, so that no upstream does
work that nobody waits for.
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
# Calls of one connection that may be unanswered before reading from it pauses.
MAX_PIPELINED = 64
# Total size of the request bodies held for all callers; calls beyond it are refused
# with 503.
MAX_BODY_BYTES = 24 << 20
# Size of the unread answers at which a connection is closed: a caller that does not
# read would fill this node's memory.
MAX_UNREAD_BYTES = 16 << 20
# Seconds after the last answer of a connection in which the caller may close it.
CLOSE_TIMEOUT = 1.0


class Exchange:
    """A request of a connection and its answer, which is sent in its turn.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection stays open after the answer.
    """

    def __init__(self, request: Request | None, keep_alive: bool) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.task: asyncio.Task[None] | None = None
        self.answer: Answer | None = None


class CallerConnection(Connection):
    """The connection of a caller.

    Attributes
    ----------
    nested : bool
        Whether the caller is the upstream beside this node.
    pending : deque of Exchange
        Requests whose answers have not been sent, in their order.
    input_ended : bool
        Whether further data from the caller is ignored.
    head_size : int
        Bytes of the incomplete head so far.
    chunk_body_bytes : int
        Bytes of bodies in the data now parsed.
    head_began_in_chunk : bool
        Whether a request began in the data now parsed.
    refused_status : int
        Status with which a request is refused for the size of its body; 0 if it is not.
    """

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
        """Register the connection."""
        host, *_ = self.transport.get_extra_info("peername") or ("",)
        self.nested = host == self.server.upstream_host
        self.server.connections.add(self)

    def reset_request(self) -> None:
        """Reset the state of the request that is parsed."""
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
        """Parse data from the caller.

        Data after the last request is read and ignored: only by reading is a disconnect
        detected, and without it the call would run on with nobody to answer.
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

    def lost(self, error: Exception | None, closed_locally: bool) -> None:  # noqa: ARG002
        """Cancel the calls of a caller that has disconnected."""
        self.server.connections.discard(self)
        for exchange in self.pending:
            if exchange.task is not None:
                exchange.task.cancel()
        self.pending.clear()

    def parse(self, data: bytes) -> None:
        """Feed data to the parser and check the size of an incomplete head."""
        self.chunk_body_bytes = 0
        self.head_began_in_chunk = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported; the request itself is served as usual.
            self.input_ended = True
        except httptools.HttpParserError:
            self.refuse(400, "malformed request")
        else:
            if self.request_started is not None and not self.head_complete:
                self.check_head_size(data)

    def check_head_size(self, data: bytes) -> None:
        """Refuse an incomplete head that is already too large."""
        if self.head_began_in_chunk:
            # The data before it belongs to complete requests.
            _, _, tail = data.rpartition(HEAD_END)
            self.head_size = len(tail) - self.chunk_body_bytes
        else:
            self.head_size += len(data)
        if self.head_size > self.limits.header_bytes:
            self.refuse(431, "headers too large")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self.reset_request()
        self.head_began_in_chunk = True
        self.request_started = clock.now()

    def on_url(self, data: bytes) -> None:
        """Append to the request target."""
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Complete the head; answer `Expect: 100-continue`."""
        self.head_complete = True
        for name, value in self.headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Append to the body unless it is too large."""
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
        """Start to serve a complete request."""
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
        # In a callback, because a task cancelled before its start runs no code at all.
        exchange.task.add_done_callback(lambda _: self.server.release_body(request))

    # Answers.

    def refuse(self, status: int, reason: str) -> None:
        """Queue the answer to an invalid request and ignore further input."""
        exchange = Exchange(None, keep_alive=False)
        exchange.answer = local_answer(status, reason)
        self.pending.append(exchange)
        self.request_started = None
        self.input_ended = True
        self.flush()

    async def serve(self, exchange: Exchange, request: Request) -> None:
        """Call the handler and send its answer."""
        try:
            exchange.answer = await self.server.handle(request)
        except Exception as error:
            # An error in one call must not affect the others.
            self.server.on_crash(error)
            exchange.answer = local_answer(502, "internal error")
        self.flush()

    def flush(self) -> None:
        """Send the answers that are ready, in the order of their requests."""
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
        """Send data; close the connection of a caller that does not read."""
        if self.unsent_bytes() > MAX_UNREAD_BYTES:
            self.close()
        else:
            super().write(data)

    def half_close(self) -> None:
        """Close the sending side and keep reading for a while before closing.

        Closing a connection with unread data resets it, and the reset can overtake the
        last answer, so that a caller with pipelined requests would lose it.
        """
        if not self.closed:
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(CLOSE_TIMEOUT, self.close)

    def tick(self, now: float) -> None:
        """Close an idle connection; refuse a head that takes too long."""
        if self.pending or self.closed:
            return
        if self.request_started is not None and not self.head_complete:
            if now - self.request_started > self.limits.header_timeout:
                self.refuse(408, "headers took too long")
        elif now - self.last_active > self.limits.idle_timeout:
            self.close()


class CallerServer(ConnectionServer):
    """Accepts connections of callers.

    Attributes
    ----------
    on_crash : callable
        Called with an exception that a handler raised.
    closing : bool
        Whether a connection is closed after the answer that leaves it idle.
    upstream_host : str
        Address from which the upstream beside this node calls, empty if unknown.
    body_bytes : int
        Total size of the request bodies held.
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
        """Return the limits for callers in force."""
        return self.current_limits

    def new_connection(self) -> CallerConnection:
        """Return the protocol for a new connection."""
        return CallerConnection(self)

    def release_body(self, request: Request) -> None:
        """Subtract a request's body from the total that is held."""
        self.body_bytes -= len(request.body)

    def tick(self, now: float) -> None:
        """Check the timeouts of all connections."""
        for connection in list(self.connections):
            connection.tick(now)

    def busy(self) -> bool:
        """Return whether any caller waits for an answer."""
        return any(connection.pending for connection in self.connections)
