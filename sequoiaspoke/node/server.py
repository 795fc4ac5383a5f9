"""HTTP server for calls from callers and from other nodes."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from math import inf
from typing import TYPE_CHECKING

from loguru import logger as log
from tornado.http1connection import is_transfer_encoding_chunked
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

from sequoiaspoke.endedinput import CallerEnd
from sequoiaspoke.errors import (
    BadRequestError,
    CallError,
    ConnectionLostError,
    NodeStoppedError,
)
from sequoiaspoke.node import headers as names
from sequoiaspoke.node import silence
from sequoiaspoke.node.callerstream import CallerHTTPServer, CallerStream
from sequoiaspoke.node.client import has_unread
from sequoiaspoke.node.pipe import BodyPipe
from sequoiaspoke.requesttarget import split_absolute

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.settings.schema import LimitSettings

# Tornado sends a body of unknown length with chunked encoding only for these
# methods. With other methods it would be forwarded without framing, and the next
# hop would read its bytes as another caller's request.
CHUNKED_METHODS = frozenset({"POST", "PUT", "PATCH"})
EXPECT, CONTINUE = "Expect", "100-continue"
# Seconds for which a draining server still reads from an idle connection that it will
# close: the caller of a new one sends its request a round trip later.
LAST_REQUEST_SECONDS = 0.2


class Writer:
    """Writer of the response to one request."""

    def __init__(self, connection: HTTP1Connection) -> None:
        self.connection = connection
        self.started = False
        self.close_after = self.closes = False
        self.refusal_headers: dict[str, str] = {}

    def begin(self, headers: HTTPHeaders) -> None:
        """Tell the caller whether its connection ends with this answer."""
        self.started = True
        self.closes = self.close_after
        if self.closes:
            headers["Connection"] = "close"

    async def write_head(self, status: int, headers: HTTPHeaders, first: bytes) -> None:
        """Write the status, the headers and the first chunk of the body, if any."""
        self.begin(headers)
        reason = responses.get(status, "Unknown")
        await self.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), headers, first or None
        )

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body and wait until it is sent."""
        await self.connection.write(chunk)

    def finish(self) -> None:
        """Finish the response."""
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection, so that a truncated answer never looks complete."""
        self.connection.close()

    def write_complete(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Write a complete response of known length."""
        self.begin(headers)
        headers["Content-Length"] = str(len(body))
        reason = responses.get(status, "Unknown")
        self.connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, reason), headers, body
        )
        self.connection.finish()

    def refuse(self, error: CallError) -> None:
        """Answer with an error and headers that say whether the call ran."""
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
        """Stream an answer to the caller as it arrives.

        Raises
        ------
        CallError
            The answer broke off or made no progress for `idle` seconds. The
            connection to the caller is closed then.
        """
        try:
            # The first chunk goes out with the head: two writes would wake the next
            # node twice for a short answer and add latency to the hop.
            await self.write_head(answer.status, headers, answer.body.take_ready())
            while True:
                async with silence.timeout(idle):
                    chunk = await answer.body.get()
                    if not chunk:
                        break
                    await self.write(chunk)
            self.finish()
        except StreamClosedError as error:
            raise ConnectionLostError("the caller disconnected") from error
        except TimeoutError as error:
            self.abort()
            raise ConnectionLostError(f"no progress for {idle:g} s") from error
        except BaseException:
            self.abort()
            raise


class IncomingCall:
    """A request and the writer of its response."""

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
    """Base class of the handlers of a listening port."""

    @abstractmethod
    async def handle(self, call: IncomingCall) -> None:
        """Answer a call; a `CallError` that is raised becomes the answer."""


class CallServer(HTTPServerConnectionDelegate):
    """HTTP server that passes each call to a handler.

    Attributes
    ----------
    draining : bool
        Whether connections are closed after the next answer.
    readers : dict of object to CallReader
        Reader of the current or next request of each connection.
    closes_idle : bool
        Whether connections are closed once they are idle.
    input_ended : bool
        Whether connections are closed in place of serving another call.
    """

    def __init__(
        self,
        handler: CallHandler,
        limits: LimitSettings,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.handler = handler
        self.keepalive = limits.keepalive
        self.readers: dict[object, CallReader] = {}
        self.in_flight = 0
        self.crashed = 0
        self.draining = self.closes_idle = self.input_ended = False
        self.idle_callbacks: list[Callable[[], None]] = []
        self.server = CallerHTTPServer(
            self,  # type: ignore[arg-type]
            max_header_size=limits.head_bytes,
            max_body_size=limits.body_bytes,
            chunk_size=limits.chunk_bytes,
            max_buffer_size=4 * limits.chunk_bytes + limits.head_bytes,
            # Tornado would close idle connections without having read them.
            idle_connection_timeout=inf,
            ssl_options=tls,
        )

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTP1Connection,
    ) -> HTTPMessageDelegate:
        """Return the reader of a new request; called by Tornado."""
        before = self.readers.get(server_conn)
        reader = self.readers[server_conn] = CallReader(self, request_conn)
        reader.behind_last = before is not None and before.ends_connection
        return reader

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended; called by Tornado."""
        reader = self.readers.pop(server_conn, None)
        if reader is not None:
            reader.idle_timer.cancel()

    def drain(self) -> None:
        """Have callers close their connections after the next answer."""
        self.draining = True
        for reader in self.readers.values():
            if reader.call is not None:
                reader.call.writer.close_after = True

    async def close_idle(self) -> None:
        """Close idle connections, those in use after their calls.

        A process that waits for its processor would be killed with the requests that
        come on them meanwhile.
        """
        self.closes_idle = True
        for reader in self.readers.values():
            if reader.waiting:
                reader.wait_for_request()
        if self.readers:
            await asyncio.sleep(LAST_REQUEST_SECONDS)

    def cut_off(self) -> None:
        """Serve no further call, and answer those in flight at once."""
        self.input_ended = True
        for reader in list(self.readers.values()):
            reader.cut_off()

    async def wait_idle(self) -> None:
        """Wait until no call is in flight."""
        if self.in_flight == 0:
            return
        idle = asyncio.get_running_loop().create_future()
        self.idle_callbacks.append(lambda: idle.done() or idle.set_result(None))
        await idle

    def call_ended(self) -> None:
        """Count down the calls in flight and wake those who wait for zero."""
        self.in_flight -= 1
        if self.in_flight:
            return
        callbacks, self.idle_callbacks = self.idle_callbacks, []
        for callback in callbacks:
            callback()


class CallReader(HTTPMessageDelegate):
    """Reader of one request, which runs the handler while the body arrives.

    Attributes
    ----------
    waiting : bool
        Whether the head of the request has not been read yet.
    behind_last : bool
        Whether the answer before has told the caller that the connection is closed.
    idle_timer : PolledTimer
        Closes the connection unless the head of the request is read before.
    """

    def __init__(self, server: CallServer, connection: HTTP1Connection) -> None:
        self.server = server
        self.connection = connection
        self.waiting = True
        self.behind_last = False
        self.idle_timer = silence.call_after(server.keepalive, connection.close)
        self.body: BodyPipe | None = None
        self.call: IncomingCall | None = None
        self.task: asyncio.Task[None] | None = None
        if server.closes_idle:
            self.wait_for_request()

    @property
    def ends_connection(self) -> bool:
        """Return whether no request behind this one is served."""
        unserved = self.call is None and not self.waiting
        return unserved or (self.call is not None and self.call.writer.closes)

    def wait_for_request(self) -> None:
        """Close the connection of a draining server unless a request arrives soon."""
        self.idle_timer.cancel()
        self.idle_timer = silence.call_after(LAST_REQUEST_SECONDS, self.close_if_idle)

    def close_if_idle(self) -> None:
        """Close the connection unless part of a request has arrived."""
        if has_unread(self.connection.stream):
            keepalive = self.server.keepalive
            self.idle_timer = silence.call_after(keepalive, self.connection.close)
        else:
            self.connection.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Start the handler once the request's head is read; called by Tornado."""
        assert isinstance(start_line, RequestStartLine)
        self.waiting = False
        self.server.server.connections.begin_call(self.connection.stream)
        self.idle_timer.cancel()
        # Tornado still passes on what it had read of a connection that has ended.
        if self.server.input_ended or self.connection.stream.closed():
            self.connection.close()
            return
        if self.behind_last:
            # It is sent again. A reset could overtake the answers before it.
            keepalive = self.server.keepalive
            self.idle_timer = silence.call_after(keepalive, self.connection.close)
            return
        normalize_expectation(start_line, headers)
        writer = Writer(self.connection)
        writer.close_after = self.server.draining
        try:
            start_line = use_origin_form(start_line, headers)
            if has_body(start_line.method, headers):
                self.body = BodyPipe()
        except (BadRequestError, HTTPInputError) as error:
            writer.close_after = True
            writer.refuse(BadRequestError(str(error)))
            return
        remote = self.connection.context.remote_ip  # type: ignore[union-attr]
        call = IncomingCall(start_line, headers, self.body, remote, writer)
        self.call = call
        self.server.in_flight += 1
        self.connection.set_close_callback(self.on_connection_close)
        self.task = asyncio.get_running_loop().create_task(self.run(call))
        # If the caller disconnects at once, the task is cancelled before `run` takes
        # its first step. Counting down in `run` would then leave the call in flight
        # for good, and each later stop would wait for its whole grace period.
        self.task.add_done_callback(self.handle_task_end)
        self.watch_input_end(call, start_line.version != "HTTP/1.0")

    def watch_input_end(self, call: IncomingCall, takes_interim: bool) -> None:
        """Find out whether the caller has left once it sends no more."""
        stream = self.connection.stream
        if not isinstance(stream, CallerStream):
            return

        def ask() -> None:
            if self.task is not None and not self.task.done():
                stream.ask_caller(call.writer.started, takes_interim, left)

        def left(end: CallerEnd) -> None:
            if end is CallerEnd.UNKNOWN and call.writer.started:
                stream.expect_reset()
            else:
                stream.close()

        stream.on_input_end = ask
        if stream.input_ended:
            ask()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Pass a chunk of the body to the handler; called by Tornado."""
        return self.body.put(chunk) if self.body else None

    def finish(self) -> None:
        """Mark the body as complete; called by Tornado."""
        if self.body:
            self.body.end()

    def on_connection_close(self) -> None:
        """Cancel the call of a caller who disconnected; called by Tornado."""
        if self.body:
            self.body.fail(ConnectionLostError("the caller disconnected"))
        if self.task:
            self.task.cancel()

    def cut_off(self) -> None:
        """Answer a call in flight and cancel it."""
        if self.call is None or self.task is None or self.task.done():
            return
        self.call.writer.close_after = True
        self.answer_failure(self.call, NodeStoppedError("after its grace period"))
        self.task.cancel()

    async def run(self, call: IncomingCall) -> None:
        """Run the handler and answer with the error that it raises."""
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
        """Discard the rest of the body and count the call as ended."""
        if self.body:
            self.body.abandon()
        self.server.call_ended()

    def answer_failure(self, call: IncomingCall, error: CallError) -> None:
        """Answer with the error, or close the connection if an answer has started."""
        if call.writer.started:
            call.writer.abort()
            return
        if self.connection.stream is not None and not self.connection.stream.closed():
            call.writer.refuse(error)


def normalize_expectation(start_line: RequestStartLine, headers: HTTPHeaders) -> None:
    """Write the expectation of `100 Continue` as Tornado reads it.

    Tornado compares it case-sensitively, and would send the interim answer also to a
    caller of HTTP/1.0, which takes it for the final one.
    """
    if headers.get(EXPECT, "").lower() != CONTINUE:
        return
    if start_line.version == "HTTP/1.0":
        del headers[EXPECT]
    else:
        headers[EXPECT] = CONTINUE


def use_origin_form(
    start_line: RequestStartLine, headers: HTTPHeaders
) -> RequestStartLine:
    """Return the start line in origin form; its authority replaces the Host header.

    Rules match the path, which an absolute target would hide from them.

    Raises
    ------
    BadRequestError
        The authority is empty or malformed.
    """
    parts = split_absolute(start_line.path)
    if parts is None:
        return start_line
    headers["Host"], target = parts
    return start_line._replace(path=target)


def has_body(method: str, headers: HTTPHeaders) -> bool:
    """Return whether a request has a body.

    Raises
    ------
    BadRequestError
        The length is ambiguous or cannot be forwarded. Two servers could split
        such a request differently (request smuggling), and the remainder could
        run as a request of another caller.
    HTTPInputError
        Tornado refuses the transfer encoding.
    """
    lengths = headers.get_list("Content-Length")
    if len(lengths) > 1 or (lengths and not _is_number(lengths[0])):
        raise BadRequestError("Content-Length is not a single whole number")
    if is_transfer_encoding_chunked(headers):
        if method not in CHUNKED_METHODS:
            raise BadRequestError(f"a chunked body is not accepted with {method}")
        return True
    return bool(lengths) and int(lengths[0]) > 0


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 19
