"""HTTP towards callers and other nodes: calls in, answers out."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from loguru import logger as log
from tornado.http1connection import is_transfer_encoding_chunked
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from sequoiaspoke.errors import BadRequestError, CallError, ConnectionLostError
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.pipe import BodyPipe

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.settings.schema import LimitSettings

# The library frames a body without a length only for these methods; passing it
# on for others would send it unframed, and its bytes would be read as the next
# caller's request.
CHUNKED_METHODS = frozenset({"POST", "PUT", "PATCH"})


class Writer:
    """Write one answer to the connection that asked."""

    def __init__(self, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.started = False
        self.close_after = False
        self.refusal_headers: dict[str, str] = {}

    async def write_head(self, status: int, headers: HTTPHeaders, first: bytes) -> None:
        """Write the head of an answer and what is there of its body."""
        self.started = True
        if self.close_after:
            headers["Connection"] = "close"
        reason = responses.get(status, "Unknown")
        await self.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), headers, first or None
        )

    async def write(self, chunk: bytes) -> None:
        """Write a piece of the body once the caller can take it."""
        await self.connection.write(chunk)

    def finish(self) -> None:
        """End the answer."""
        self.connection.finish()

    def abort(self) -> None:
        """Break the connection, so that a cut answer never looks whole."""
        self.connection.close()

    def write_complete(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a complete short answer."""
        self.started = True
        headers["Content-Length"] = str(len(body))
        if self.close_after:
            headers["Connection"] = "close"
        reason = responses.get(status, "Unknown")
        self.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), headers, body
        )
        self.connection.finish()

    def refuse(self, error: CallError) -> None:
        """Answer with a typed failure that says whether the call ran."""
        headers = HTTPHeaders({"Content-Type": "text/plain; charset=utf-8"})
        headers[names.RAN] = error.ran.value
        headers[names.REASON] = error.code
        headers.update(self.refusal_headers)
        if error.retried:
            headers[names.RETRIED] = "yes"
        if error.settled:
            headers[names.SETTLED] = names.YES
        if error.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(error.retry_after)))
        self.write_complete(
            error.status, headers, f"{error.code}: {error.detail}\n".encode()
        )

    async def relay(self, answer: Answer, headers: HTTPHeaders, idle: float) -> None:
        """Pass an answer on as it arrives.

        Raises
        ------
        CallError
            The answer broke off or stood still for `idle` seconds; the
            connection has then been broken too.
        """
        try:
            # A short answer goes out whole at once: sent in two pieces it would
            # wake the next node twice, and the hop would take longer.
            await self.write_head(answer.status, headers, answer.body.take_ready())
            while True:
                async with asyncio.timeout(idle):
                    chunk = await answer.body.get()
                    if not chunk:
                        break
                    await self.write(chunk)
            self.finish()
        except StreamClosedError as error:
            raise ConnectionLostError("the caller has gone") from error
        except TimeoutError as error:
            self.abort()
            raise ConnectionLostError(f"no progress for {idle:g} s") from error
        except BaseException:
            self.abort()
            raise


class IncomingCall:
    """One request as it came in, and the way to answer it."""

    def __init__(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
        body: BodyPipe | None,
        remote: str,
        writer: Writer,
    ) -> None:
        self.method = start_line.method
        self.uri = start_line.path
        self.headers = headers
        self.body = body
        self.remote = remote
        self.writer = writer


class CallHandler(ABC):
    """What a listening port does with a call."""

    @abstractmethod
    async def handle(self, call: IncomingCall) -> None:
        """Answer a call; typed failures may be raised."""


class CallServer(HTTPServerConnectionDelegate):
    """A listening port whose calls go to a handler."""

    def __init__(
        self,
        handler: CallHandler,
        limits: LimitSettings,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.handler = handler
        self.in_flight = 0
        self.crashed = 0
        self.draining = False
        self.idle_callbacks: list[Callable[[], None]] = []
        self.server = HTTPServer(
            self,  # type: ignore[arg-type]
            max_header_size=limits.head_bytes,
            max_body_size=limits.body_bytes,
            chunk_size=limits.chunk_bytes,
            max_buffer_size=4 * limits.chunk_bytes + limits.head_bytes,
            idle_connection_timeout=limits.keepalive,
            ssl_options=tls,
        )

    def start_request(
        self,
        server_conn: object,  # noqa: ARG002
        request_conn: HTTP1Connection,
    ) -> HTTPMessageDelegate:
        """Begin a request; called by the library."""
        return CallReader(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Take the end of a connection; called by the library."""

    async def wait_idle(self) -> None:
        """Wait until no call is in flight."""
        if self.in_flight == 0:
            return
        idle = asyncio.get_running_loop().create_future()
        self.idle_callbacks.append(lambda: idle.done() or idle.set_result(None))
        await idle

    def call_ended(self) -> None:
        """Count a call that has ended."""
        self.in_flight -= 1
        if self.in_flight:
            return
        callbacks, self.idle_callbacks = self.idle_callbacks, []
        for callback in callbacks:
            callback()


class CallReader(HTTPMessageDelegate):
    """Read one request and run its handler beside the reading."""

    def __init__(self, server: CallServer, connection: HTTP1Connection) -> None:
        self.server = server
        self.connection = connection
        self.body: BodyPipe | None = None
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the request's head; called by the library."""
        assert isinstance(start_line, RequestStartLine)
        writer = Writer(self.connection)
        writer.close_after = self.server.draining
        try:
            if has_body(start_line.method, headers):
                self.body = BodyPipe()
        except (BadRequestError, HTTPInputError) as error:
            writer.close_after = True
            writer.refuse(BadRequestError(str(error)))
            return
        remote = self.connection.context.remote_ip  # type: ignore[union-attr]
        call = IncomingCall(start_line, headers, self.body, remote, writer)
        self.server.in_flight += 1
        self.connection.set_close_callback(self.on_connection_close)
        self.task = asyncio.get_running_loop().create_task(self.run(call))
        # A call whose caller breaks off at once is cancelled before `run` takes
        # its first step. Counted there, it would stay in flight for good, and
        # every later stop would wait for it until its grace is over.
        self.task.add_done_callback(self.handle_task_end)

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Take a piece of the body; called by the library."""
        return self.body.put(chunk) if self.body else None

    def finish(self) -> None:
        """Take the end of the body; called by the library."""
        if self.body:
            self.body.end()

    def on_connection_close(self) -> None:
        """Cancel the call of a caller who has gone; called by the library."""
        if self.body:
            self.body.fail(ConnectionLostError("the caller has gone"))
        if self.task:
            self.task.cancel()

    async def run(self, call: IncomingCall) -> None:
        """Run the handler and turn its failure into an answer."""
        try:
            await self.server.handler.handle(call)
        except CallError as error:
            self.answer_failure(call, error)
        except asyncio.CancelledError:
            self.connection.close()
        except Exception as error:
            self.server.crashed += 1
            log.opt(exception=error).error("call-crashed", uri=call.uri)
            self.answer_failure(call, CallError("internal error"))

    def handle_task_end(self, task: asyncio.Task[None]) -> None:  # noqa: ARG002
        """Let go of what the call held."""
        if self.body:
            self.body.abandon()
        self.server.call_ended()

    def answer_failure(self, call: IncomingCall, error: CallError) -> None:
        """Send the failure, or break an answer that has begun."""
        if call.writer.started:
            call.writer.abort()
            return
        if self.connection.stream is not None and not self.connection.stream.closed():
            call.writer.refuse(error)


def has_body(method: str, headers: HTTPHeaders) -> bool:
    """Return whether a request has a body.

    Raises
    ------
    BadRequestError
        Its length is told in two ways, or in none that can be passed on. Two
        readers of such a request would see two different requests in it, and
        the second could be run in another caller's name.
    HTTPInputError
        The library refuses the transfer encoding.
    """
    lengths = headers.get_list("Content-Length")
    if len(lengths) > 1 or (lengths and not _is_number(lengths[0])):
        raise BadRequestError("Content-Length is not one whole number")
    if is_transfer_encoding_chunked(headers):
        if method not in CHUNKED_METHODS:
            raise BadRequestError(f"a chunked body is not accepted with {method}")
        return True
    return bool(lengths) and int(lengths[0]) > 0


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 19
