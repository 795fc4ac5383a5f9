"""HTTP client with pooled connections to upstreams and other nodes."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from sequoiaspoke.core.mesh.outcome import FINAL_STATUSES
from sequoiaspoke.errors import (
    CallError,
    ConnectError,
    ConnectionLostError,
    DeadlineNotRunError,
    DeadlineUnknownError,
    InvalidStatusError,
    TruncatedAnswerError,
)
from sequoiaspoke.node import silence
from sequoiaspoke.node.pipe import BodyPipe
from sequoiaspoke.node.resolver import NumericResolver

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from sequoiaspoke.node.pipe import ReplayableBody
    from sequoiaspoke.settings.schema import LimitSettings

# Statuses of answers that precede the final one, and the one of them that ends HTTP on
# the connection; no request asks for it.
INFORMATIONAL, UPGRADE = range(100, 200), 101
NO_BODY_STATUSES = frozenset({204, 304})
# Part of the keep-alive limit for which an idle connection is reused. Close to the
# limit the server may close it just as the next call is sent, and a call that never
# ran would have to be answered with "outcome unknown".
REUSE_FRACTION = 0.4
# Bytes of an unused body that are read, and seconds for it, so that the connection can
# be reused. A new connection costs less than more than that.
DISCARD_BYTES, DISCARD_SECONDS = 64 << 10, 0.5


@dataclass(frozen=True)
class Address:
    """Host and port of a server."""

    host: str
    port: int


class Answer(HTTPMessageDelegate):
    """A response that is being received; await `head`, then read the body."""

    def __init__(self, method: str) -> None:
        self.method = method
        self.status = 0
        self.reason = ""
        self.headers = HTTPHeaders()
        self.body = BodyPipe()
        self.complete = False
        self.error: CallError | None = None
        self.replayed = False
        self.reusable = False
        self.head: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.close_callbacks: list[Callable[[], None]] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the status and headers; called by Tornado."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code in INFORMATIONAL and start_line.code != UPGRADE:
            return
        if start_line.code not in FINAL_STATUSES:
            self.fail(InvalidStatusError(f"status {start_line.code}"))
            return
        self.status, self.reason = start_line.code, start_line.reason
        self.headers = headers
        if not self.is_framed():
            # If only the close of the connection ends the body, a truncated answer
            # cannot be told from a complete one, and the caller would take half
            # of a recording for all of it. So such an answer fails at once.
            self.fail(
                TruncatedAnswerError("the answer has no length and is not chunked")
            )
            return
        wants_close = headers.get("Connection", "").lower() == "close"
        self.reusable = start_line.version == "HTTP/1.1" and not wants_close
        if not self.head.done():
            self.head.set_result(None)

    def is_framed(self) -> bool:
        """Return whether the framing shows where the body ends."""
        if self.method == "HEAD" or self.status in NO_BODY_STATUSES:
            return True
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Pass a chunk of the body to the reader; called by Tornado."""
        return self.body.put(chunk)

    def finish(self) -> None:
        """Mark the body as complete; called by Tornado."""
        if self.error is None:
            self.complete = True
            self.body.end()

    def on_connection_close(self) -> None:
        """Fail the answer of a lost connection; called by Tornado."""
        self.fail(
            TruncatedAnswerError("the connection closed before the answer was complete")
        )

    def fail(self, error: CallError) -> None:
        """Raise the error in the code that waits for the head or the body."""
        self.error = error
        self.body.fail(error)
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()

    def on_close(self, callback: Callable[[], None]) -> None:
        """Add a callback that `close` runs once."""
        self.close_callbacks.append(callback)

    def close(self) -> None:
        """Run the close callbacks; further calls do nothing."""
        callbacks, self.close_callbacks = self.close_callbacks, []
        for callback in callbacks:
            callback()


class Pool:
    """Keep-alive connections to one address."""

    def __init__(
        self,
        address: Address,
        limits: LimitSettings,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self.limits = limits
        self.tls = tls
        self.idle: deque[tuple[IOStream, float]] = deque()
        self.opened = 0
        self.closed = False
        self.tcp = TCPClient(resolver=NumericResolver())
        self.parameters = HTTP1ConnectionParameters(
            max_header_size=limits.head_bytes,
            max_body_size=limits.body_bytes,
            chunk_size=limits.chunk_bytes,
        )

    async def acquire(self) -> IOStream:
        """Return an idle connection, or open one.

        Raises
        ------
        ConnectError
            No connection could be opened in time.
        """
        oldest = time.monotonic() - REUSE_FRACTION * self.limits.keepalive
        while self.idle:
            stream, since = self.idle.pop()
            if not stream.closed() and since > oldest and not has_unread(stream):
                return stream
            stream.close()
        try:
            async with silence.timeout(self.limits.connect):
                stream = await self.tcp.connect(
                    self.address.host,
                    self.address.port,
                    ssl_options=self.tls,
                    max_buffer_size=4 * self.limits.chunk_bytes
                    + self.limits.head_bytes,
                )
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise ConnectError(f"{self.address}: {error}") from error
        self.opened += 1
        stream.set_nodelay(True)
        return stream

    def release(self, stream: IOStream) -> None:
        """Return a connection to the pool."""
        if stream.closed():
            return
        if self.closed:
            stream.close()
            return
        # With a close callback Tornado watches the idle stream, so that a close by
        # the server, or a second answer, is noticed before a call is sent on it.
        stream.set_close_callback(_ignore_close)
        self.idle.append((stream, time.monotonic()))

    def close(self) -> None:
        """Close the idle connections now and the others when their calls end."""
        self.closed = True
        while self.idle:
            self.idle.pop()[0].close()
        self.tcp.close()

    async def call(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: ReplayableBody | None,
        deadline: float,
    ) -> Answer:
        """Send a request and return its answer once the head has arrived.

        Parameters
        ----------
        deadline : float
            Latest time, by the event loop's clock, for the head to arrive.

        Raises
        ------
        NotRunError
            The call failed before anything was sent.
        CallError
            The call failed after that.
        """
        try:
            async with silence.timeout_at(deadline):
                stream = await self.acquire()
        except TimeoutError as error:
            raise DeadlineNotRunError(f"connecting to {self.address}") from error
        if asyncio.get_running_loop().time() >= deadline:
            self.release(stream)
            raise DeadlineNotRunError(f"connected to {self.address} too late")
        exchange = Exchange(self, stream, start_line, headers, body)
        try:
            async with silence.timeout_at(deadline):
                return await exchange.run()
        except TimeoutError as error:
            raise DeadlineUnknownError(f"waiting for {self.address}") from error


class Exchange:
    """One request and its response on one connection."""

    def __init__(
        self,
        pool: Pool,
        stream: IOStream,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: ReplayableBody | None,
    ) -> None:
        self.pool = pool
        self.stream = stream
        self.start_line = start_line
        self.headers = headers
        self.body = body
        self.sent = body is None
        self.connection = HTTP1Connection(stream, True, pool.parameters)
        self.answer = Answer(start_line.method)
        self.answer.on_close(self.close)
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> Answer:
        """Send the request and wait for the head of the answer."""
        loop = asyncio.get_running_loop()
        self.connection.write_headers(self.start_line, self.headers)
        if self.body is None:
            self.connection.finish()
        else:
            self.tasks.append(loop.create_task(self.send(self.body)))
        self.tasks.append(loop.create_task(self.receive()))
        try:
            await self.answer.head
        except BaseException:
            self.answer.close()
            raise
        return self.answer

    async def send(self, body: ReplayableBody) -> None:
        """Send the body chunk by chunk, waiting until each has been written."""
        try:
            while chunk := await body.get():
                await self.connection.write(chunk)
            self.connection.finish()
            self.sent = True
        except (CallError, StreamClosedError, ValueError) as error:
            if isinstance(error, CallError):
                self.answer.fail(error)
            self.stream.close()

    async def receive(self) -> None:
        """Read the answer; fail it if the connection closes before its head."""
        try:
            await self.connection.read_response(self.answer)
        except StreamClosedError:
            pass
        if not self.answer.head.done():
            self.answer.fail(
                ConnectionLostError(f"{self.pool.address}: closed before an answer")
            )

    def close(self) -> None:
        """Return the connection to the pool if it is reusable, else close it."""
        reusable = self.answer.complete and self.sent and self.answer.reusable
        if reusable and self.tasks[-1].done():
            self.pool.release(self.stream)
            return
        if reusable:
            self.tasks[-1].add_done_callback(lambda _: self.pool.release(self.stream))
            return
        self.answer.body.abandon()
        self.stream.close()
        for task in self.tasks[:-1]:
            task.cancel()


async def discard(answer: Answer, deadline: float) -> None:
    """Read the rest of a short answer, so that its connection can be reused."""
    seconds = deadline - asyncio.get_running_loop().time()
    unread = DISCARD_BYTES
    try:
        async with silence.timeout(min(seconds, DISCARD_SECONDS)):
            while unread > 0 and (chunk := await answer.body.get()):
                unread -= len(chunk)
    except TimeoutError:
        pass
    finally:
        answer.close()


def has_unread(stream: IOStream) -> bool:
    """Return whether bytes have come that belong to no call.

    They would be taken for the answer to the next one. Tornado has no public attribute
    for them.
    """
    return stream._read_buffer_size > 0


def _ignore_close() -> None:
    return None
