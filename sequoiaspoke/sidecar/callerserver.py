"""Serve callers over HTTP/1.1.

A connection is read while its calls run, because callers pipeline requests and give
up on those that are not read within a second. The calls of a connection run
concurrently and are answered in the order of the requests. Reading also detects a
caller that disconnects: its calls are cancelled, so that no upstream does work that
nobody waits for. A caller that only ends its input is answered.
"""

from __future__ import annotations

import asyncio
from collections import deque
from errno import errorcode
from functools import partial
from io import BytesIO
from itertools import islice
from typing import TYPE_CHECKING

import httptools

from sequoiaspoke.core.mesh.memory import SMALL_BODY, MemoryAccount, header_size
from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.core.mesh.outcome import Request, find_header, headers_size
from sequoiaspoke.descriptors import NEW_SHARE
from sequoiaspoke.endedinput import EndedInput, caller_end
from sequoiaspoke.errors import BadRequestError
from sequoiaspoke.polling import PolledCall, PolledTimer
from sequoiaspoke.requesttarget import split_absolute
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.bodypolicy import ReadAllBodies
from sequoiaspoke.sidecar.httptext import (
    CONTINUE,
    FRAMING_PER_BYTE,
    PARSE_BYTES,
    encode_answer,
    local_answer,
)
from sequoiaspoke.sidecar.sockets import (
    PATIENT_PROBES,
    USER_TIMEOUT_MS,
    Connection,
    ConnectionServer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sequoiaspoke.core.mesh.outcome import Answer
    from sequoiaspoke.endedinput import CallerEnd
    from sequoiaspoke.sidecar.bodypolicy import BodyPolicy

HEAD_END = b"\r\n\r\n"
# Bytes that are read from a connection at a time.
RECEIVE_BYTES = 32 << 10
# Calls of one connection that may be unanswered before reading from it pauses, and
# bytes that their requests may take in memory.
MAX_PIPELINED, MAX_PIPELINED_BYTES = 64, 256 << 10
# Bytes that a call takes in memory beside its request, and calls of one connection that
# may be unanswered while there is no room for all that are in progress.
CALL_BYTES, MAX_CROWDED = 8 << 10, 2
# Heads that a piece may have at least; a body may have bytes that look like their ends.
MIN_HEADS = 16
# Bytes a second below which a body arrives too slowly to keep its place in memory.
MIN_BODY_RATE = 64 << 10
# Share of the memory account that unread answers may exceed its limit by. Otherwise, an
# account full of request bodies would end the connections of callers that read as fast
# as their links allow.
UNREAD_SHARE = 0.125
# Size of the unread answers at which a connection is closed: a caller that does not
# read would fill this node's memory.
MAX_UNREAD_BYTES = 16 << 20
# Seconds without progress after which a caller with unread answers is taken to have
# stopped reading: those within which a peer that reads at once acknowledges.
STOPPED_SECONDS = USER_TIMEOUT_MS / 1000
# Bytes that a caller may send after the last answer before its connection is closed.
MAX_DISCARDED_BYTES = 16 << 20
# Seconds after the last answer of a connection in which the caller may close it. They
# start again with each part of a refused body that the caller still sends, up to the
# second value in total.
CLOSE_TIMEOUT, MAX_CLOSE_SECONDS = 1.0, 5.0
# Seconds after its opening in which a connection without a request stays open although
# the server accepts no more. Its caller may be about to send one.
FIRST_REQUEST_SECONDS = 1.0
# Share of the connections that are found to be the next to close in one search.
SURPLUS_SHARE = 1 / 32
# Reason of the answer to a call whose task has ended without one, and its Retry-After
# in seconds if the call was not started: the time for this process to restart.
CUT, CUT_RETRY_AFTER = "cut", 1.0


class Exchange:
    """A request of a connection and its answer, which is sent in its turn.

    Attributes
    ----------
    keep_alive : bool
        Whether the connection stays open after the answer.
    head_only : bool
        Whether the answer is sent without its body.
    takes_interim : bool
        Whether interim responses may be sent before the answer.
    read_at : float
        When the request was complete.
    started : bool
        Whether the request may have been passed on.
    answer_bytes : int
        Bytes reserved for an answer that waits for its turn.
    """

    def __init__(
        self, keep_alive: bool, head_only: bool = False, takes_interim: bool = True
    ) -> None:
        self.keep_alive = keep_alive
        self.head_only = head_only
        self.takes_interim = takes_interim
        self.read_at = clock.now()
        self.started = False
        self.task: asyncio.Task[None] | None = None
        self.answer: Answer | None = None
        self.answer_bytes = 0

    @property
    def finished(self) -> bool:
        """Return whether the request was served, and its answer waits for its turn."""
        return self.answer is not None and self.task is not None


class CallerConnection(Connection, asyncio.BufferedProtocol):
    """The connection of a caller.

    Attributes
    ----------
    nested : bool
        Whether the caller is the upstream beside this node.
    pending : deque of Exchange
        Requests whose answers have not been sent, in their order.
    input_ended : bool
        Whether further data from the caller is ignored.
    ended_input : EndedInput or None
        Set once the caller has ended its input before its calls were answered.
    held_by_calls : int
        Bytes reserved for the requests of unanswered calls.
    rest : bytes
        Received bytes that are parsed once earlier requests have been answered.
    head_size : int
        Bytes of the incomplete head so far.
    head_memory : int
        Bytes that the lines of the head take in memory so far.
    chunk_body_bytes : int
        Bytes of bodies in the data now parsed.
    boundary_in_chunk : bool
        Whether a request began or ended in the data now parsed.
    framing_size, framing_run : int
        Bytes besides the body that came after the head, or before one, and those of
        them since the last byte of the body.
    discarded : int
        Bytes that came after the last request.
    asks_upgrade : bool
        Whether the head asks for an upgrade, and is parsed again without that header.
    reserved : int
        Bytes reserved for the request that is arriving.
    continue_due : bool
        Whether `100 Continue` is to be sent after the answers before it.
    written, acknowledged : int
        Bytes sent to the caller, and those that its kernel had taken when they were
        counted last.
    resumed_at : float
        When reading went on after a pause; minus infinity before.
    read_at : float
        When the caller was found to have read, or bytes began to wait for it.
    """

    probing = PATIENT_PROBES

    def __init__(self, server: CallerServer) -> None:
        super().__init__()
        self.server = server
        self.nested = False
        self.limits = server.limits()
        self.pending: deque[Exchange] = deque()
        self.reading_paused = False
        self.parser: httptools.HttpRequestParser | None
        self.parser = httptools.HttpRequestParser(self)
        self.rest = b""
        self.held_by_calls = 0
        self.last_active = self.read_at = clock.now()
        self.resumed_at = float("-inf")
        self.written = self.acknowledged = 0
        self.input_ended = False
        self.ended_input: EndedInput | None = None
        self.reserved = self.discarded = 0
        self.reset_request()

    def opened(self) -> None:
        """Register the connection."""
        host, *_ = self.transport.get_extra_info("peername") or ("",)
        self.nested = host == self.server.upstream_host
        self.server.connections.add(self)
        self.server.close_surplus()
        # The transport then tells as soon as it has to buffer bytes.
        self.transport.set_write_buffer_limits(0)
        if self.server.input_ended:
            self.end_input()

    @property
    def reading(self) -> bool:
        """Return whether part of a request has arrived that is still to be served."""
        return self.request_started is not None and not self.input_ended

    @property
    def may_be_surplus(self) -> bool:
        """Return whether the connection may be closed as there are too many."""
        busy = self.closed or self.pending or self.unread
        return not (busy or self.waiting_bytes())

    def reset_request(self) -> None:
        """Reset the state of the request that is parsed."""
        self.method = self.target = b""
        self.asks_upgrade = False
        self.headers: list[tuple[str, str]] = []
        self.body = BytesIO()
        self.body_size = 0
        self.head_size = self.head_memory = 0
        self.framing_size = self.framing_run = 0
        self.chunk_body_bytes = 0
        self.boundary_in_chunk = False
        self.request_started: float | None = None
        self.head_complete = False
        self.continue_due = False

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return where the event loop puts what it reads next."""
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        """Handle the bytes that were read."""
        self.data_received(bytes(self.server.buffer[:size]))

    def received(self, data: bytes) -> None:
        """Parse data from the caller.

        Data after the last request is read and ignored: only by reading is a disconnect
        detected, and without it the call would run on with nobody to answer.
        """
        self.last_active = self.server.last_input_at = clock.now()
        self.parse(data)

    @property
    def max_pending(self) -> int:
        """Return how many calls of the connection may be unanswered."""
        return MAX_CROWDED if self.server.crowded else MAX_PIPELINED

    @property
    def must_wait(self) -> bool:
        """Return whether no more requests are parsed until calls have been answered."""
        size = SMALL_BODY if self.server.crowded else MAX_PIPELINED_BYTES
        return bool(self.pending) and (
            len(self.pending) >= self.max_pending or self.held_by_calls > size
        )

    def pause_reading(self) -> None:
        """Read no more for now."""
        if not (self.reading_paused or self.closed):
            self.reading_paused = True
            self.transport.pause_reading()

    def discard(self, data: bytes) -> None:
        """Count data that is not served; close the connection if there is no end."""
        self.discarded += len(data)
        if self.discarded > MAX_DISCARDED_BYTES and not self.pending:
            self.close()

    def eof_received(self) -> bool:
        """Answer the calls of a caller that may read on; return whether it has any."""
        if self.closed or not self.pending:
            return False
        self.end_input()
        self.end_request()
        self.ended_input = EndedInput(self.socket, len(self.pending), self.caller_left)
        if not self.pending[0].takes_interim:
            self.ended_input.give_time()
            return True
        if not self.unsent_bytes():
            self.write(CONTINUE)
        self.ended_input.expect_reset()
        return True

    def caller_left(self, end: CallerEnd) -> None:
        """Cancel the calls of a caller that has left after the end of its input."""
        if not self.closed:
            self.server.policy.caller_left(end, len(self.pending))
            self.close()

    def lost(self, error: Exception | None, closed_locally: bool) -> None:
        """Cancel the calls of a caller that has disconnected."""
        if isinstance(error, OSError) and not closed_locally:
            code = errorcode.get(error.errno, "unknown")
            if self.unread or isinstance(error, TimeoutError):
                self.server.policy.caller_lost(code, len(self.pending), self.unread)
        if self.pending and not closed_locally:
            self.server.policy.caller_left(caller_end(error), len(self.pending))
        self.server.connections.discard(self)
        if self.ended_input is not None:
            self.ended_input.stop()
        self.drop_request()
        self.end_request()
        for exchange in self.pending:
            self.server.memory.release(exchange.answer_bytes)
            if exchange.task is not None:
                exchange.task.cancel()
        self.pending.clear()

    def parse(self, data: bytes) -> None:
        """Parse data piece by piece, up to a request that has to wait."""
        if self.rest:
            data, self.rest = self.rest + data, b""
        start = 0
        while start < len(data):
            if self.closed:
                return
            if self.input_ended:
                self.parser = None
                self.discard(data[start:])
                return
            if self.must_wait:
                self.rest = data[start:]
                self.pause_reading()
                return
            piece = self.cut(data[start : start + PARSE_BYTES])
            start += len(piece)
            self.parse_piece(piece)
        if self.input_ended:
            self.parser = None
        elif len(self.pending) >= MAX_PIPELINED:
            self.pause_reading()

    def cut(self, data: bytes) -> bytes:
        """Return the start of data with no more heads than may be served next."""
        most = self.max_pending
        heads = max(min(MIN_HEADS, most), most - len(self.pending))
        if data.count(HEAD_END) < heads:
            return data
        parts = data.split(HEAD_END, heads)
        return data[: -len(parts[-1])] if parts[-1] else data

    def parse_piece(self, data: bytes) -> None:
        """Feed data to the parser, and check the size of what is no body."""
        self.chunk_body_bytes = 0
        self.boundary_in_chunk = False
        try:
            self.feed(data)
        except httptools.HttpParserError:
            self.refuse(400, "malformed request")
        else:
            if self.request_started is not None and not self.head_complete:
                self.check_head_size(data)
                self.reserve_or_refuse()
            elif not self.boundary_in_chunk:
                self.check_framing(len(data) - self.chunk_body_bytes)

    def feed(self, data: bytes) -> None:
        """Feed data to the parser, which stops after a head that asks for an upgrade.

        Upgrades are not supported. The head is parsed again without that header, as the
        parser would take a body for data of the other protocol.
        """
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as stopped:
                (end,) = stopped.args
                head = self.head_without_upgrade() if self.asks_upgrade else b""
                data = head + data[end:]

    def head_without_upgrade(self) -> bytes:
        """Return the head that was parsed last, without its Upgrade header."""
        version = self.parser.get_http_version()
        lines = [b"%s %s HTTP/%s" % (self.method, self.target, version.encode())]
        lines += [
            f"{name}: {value}".encode("latin-1")
            for name, value in self.headers
            if name.lower() != "upgrade"
        ]
        return b"\r\n".join([*lines, b"", b""])

    def check_head_size(self, data: bytes) -> None:
        """Refuse an incomplete head that is already too large."""
        if self.boundary_in_chunk:
            # The data before it belongs to complete requests.
            _, _, tail = data.rpartition(HEAD_END)
            self.head_size = len(tail) - self.chunk_body_bytes
        else:
            self.head_size += len(data)
        if self.head_size > self.limits.header_bytes:
            self.refuse(431, "headers too large")

    def check_framing(self, size: int) -> None:
        """Refuse a request with too much besides its body, such as trailers."""
        self.framing_size += size
        self.framing_run = 0 if self.chunk_body_bytes else self.framing_run + size
        limit = self.limits.header_bytes
        total = limit + FRAMING_PER_BYTE * self.body_size
        if self.framing_size > total or self.framing_run > limit:
            self.refuse(400, "request without end")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.input_ended:
            return
        self.reset_request()
        self.boundary_in_chunk = True
        self.request_started = clock.now()
        self.server.arriving[self] = None

    def on_url(self, data: bytes) -> None:
        """Append to the request target."""
        self.target += data
        self.head_memory += len(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped, as RFC 9110, section 6.5.1, allows."""
        if self.head_complete or self.input_ended:
            return
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self.head_memory += header_size(name, value)

    def on_headers_complete(self) -> None:
        """Complete the head; refuse the body or let the caller send it."""
        if self.input_ended:
            return
        self.method = self.parser.get_method()
        # After a CONNECT the parser stops as well, but it has no body.
        self.asks_upgrade = self.parser.should_upgrade() and self.method != b"CONNECT"
        if self.asks_upgrade:
            return
        self.head_complete = True
        if not self.reserve_or_refuse():
            return
        if self.pending and self.server.ends_connections:
            self.leave_unread()
            return
        if not self.target.startswith(b"/") and not self.use_origin_form():
            return
        expects = find_header(self.headers, "expect").lower() == "100-continue"
        length = find_header(self.headers, "content-length")
        size = int(length) if length.isdecimal() else 0
        if size > self.limits.body_bytes:
            self.refuse(413, "body")
        elif size > SMALL_BODY:
            self.admit_body(size)
        if expects and not self.input_ended:
            self.continue_due = True
            self.flush()

    def leave_unread(self) -> None:
        """End the input before a request whose answer would wait for those before it.

        It would be lost with the process if that was killed. Behind an answer that
        closes the connection the request counts as not read, and is sent again.
        """
        self.server.policy.call_unread(self.request(b""))
        self.end_request()
        self.end_input()

    def use_origin_form(self) -> bool:
        """Split an absolute target; refuse a malformed one and return False."""
        try:
            parts = split_absolute(self.target.decode("latin-1"))
        except BadRequestError as error:
            self.refuse(400, error.detail)
            return False
        if parts is not None:
            host, target = parts
            self.target = target.encode("latin-1")
            others = [pair for pair in self.headers if pair[0].lower() != "host"]
            self.headers = [("Host", host), *others]
        return True

    def admit_body(self, size: int) -> None:
        """Reserve the bytes of a large body, or refuse it before it is read."""
        head = self.request(b"")
        refusal = self.server.policy.early_refusal(head)
        if refusal is not None:
            self.refuse_with(refusal)
        elif self.server.make_room(size, self):
            self.server.memory.reserve(size)
            self.reserved += size
        else:
            self.refuse_for_memory()

    def on_body(self, data: bytes) -> None:
        """Append to the body; refuse one that is too large."""
        if self.input_ended:
            return
        self.body_size += len(data)
        self.chunk_body_bytes += len(data)
        self.continue_due = False
        if self.body_size > self.limits.body_bytes:
            self.refuse(413, "body")
        elif self.reserve_or_refuse():
            self.body.write(data)

    def reserve_or_refuse(self) -> bool:
        """Reserve memory for what has arrived; refuse the request without room for it.

        Return whether it fits. A small request always does.
        """
        if self.input_ended:
            return False
        head = self.head_memory
        if not self.head_complete:
            # The parser holds the last line until it is complete.
            head += self.head_size
        missing = head + self.body_size - self.reserved
        if missing <= 0:
            return True
        large = max(head, self.body_size) > SMALL_BODY
        if large and not self.server.make_room(missing, self):
            self.refuse_for_memory()
            return False
        self.server.memory.reserve(missing)
        self.reserved += missing
        return True

    def refuse_for_memory(self) -> None:
        """Refuse the request that is arriving, as there is no room for it."""
        refusal = self.server.policy.refuse_for_memory(self.request(b""))
        self.refuse_with(refusal)

    def outstays(self, now: float) -> bool:
        """Return whether the request takes too long to keep its place in memory.

        Heads are sent at once, and a body that belongs to a call arrives steadily.
        """
        if not self.head_complete:
            return True
        assert self.request_started is not None
        allowed = self.limits.header_timeout + self.body_size / MIN_BODY_RATE
        return now - max(self.request_started, self.resumed_at) > allowed

    def drop_request(self) -> None:
        """Drop what has arrived of a request and release what was reserved."""
        self.server.memory.release(self.reserved)
        self.reserved = 0
        self.body = BytesIO()
        self.headers = []

    def end_request(self) -> None:
        """Note that no request is arriving any more."""
        self.request_started = None
        self.continue_due = False
        self.server.arriving.pop(self, None)

    def request(self, body: bytes) -> Request:
        """Return the request whose head is complete."""
        assert self.request_started is not None
        return Request(
            self.method.decode("ascii"),
            self.target.decode("latin-1"),
            tuple(self.headers),
            body,
            self.nested,
            clock.now() - self.request_started,
        )

    def on_message_complete(self) -> None:
        """Start to serve a complete request."""
        if self.input_ended or self.asks_upgrade:
            return
        self.server.last_request_at = clock.now()
        self.server.requests += 1
        self.boundary_in_chunk = True
        self.framing_size = 0
        keep_alive = self.parser.should_keep_alive()
        # Not a copy, unlike the value of a bytearray.
        request = self.request(self.body.getvalue())
        self.body, self.headers = BytesIO(), []
        exchange = Exchange(
            keep_alive,
            head_only=request.method == "HEAD",
            takes_interim=self.parser.get_http_version() != "1.0",
        )
        self.pending.append(exchange)
        self.end_request()
        if not keep_alive:
            self.input_ended = True
        reserved, self.reserved = self.reserved, 0
        self.held_by_calls += reserved
        self.server.calls += 1
        exchange.task = asyncio.ensure_future(self.serve(exchange, request))
        # In a callback, because a task cancelled before its start runs no code at all.
        exchange.task.add_done_callback(
            partial(self.task_ended, exchange, request, reserved)
        )

    # Answers.

    def refuse(self, status: int, reason: str) -> None:
        """Queue the answer to an invalid request and ignore further input."""
        self.refuse_with(local_answer(status, reason))

    def refuse_with(self, answer: Answer) -> None:
        """Queue an answer to an incomplete request and ignore further input."""
        if self.input_ended:
            return
        exchange = Exchange(keep_alive=False)
        exchange.answer = answer
        self.pending.append(exchange)
        self.drop_request()
        self.end_request()
        self.input_ended = True
        self.flush()

    async def serve(self, exchange: Exchange, request: Request) -> None:
        """Call the handler and send its answer."""
        exchange.started = True
        try:
            answer = await self.server.handle(request)
        except Exception as error:
            # An error in one call must not affect the others.
            self.server.on_crash(error)
            answer = local_answer(502, "internal error")
        self.send_answer(exchange, answer)

    def task_ended(
        self,
        exchange: Exchange,
        request: Request,
        reserved: int,
        task: asyncio.Task[None],
    ) -> None:
        """Release the body of a request; answer it if its task has not done so."""
        self.server.memory.release(reserved)
        self.server.calls -= 1
        self.held_by_calls -= reserved
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.server.on_crash(error)
        if self.closed:
            return
        if exchange.answer is not None:
            if not self.must_wait:
                self.resume_reading()
            return
        self.server.policy.call_cut(request)
        if exchange.started:
            answer = local_answer(502, CUT)
        else:
            answer = local_answer(503, CUT, CUT_RETRY_AFTER)
        self.send_answer(exchange, answer)

    def send_answer(self, exchange: Exchange, answer: Answer) -> None:
        """Send an answer once those to the requests before it have been sent."""
        exchange.answer = answer
        self.flush()
        if exchange in self.pending:
            exchange.answer_bytes = headers_size(answer.headers) + len(answer.body)
            self.server.memory.reserve(exchange.answer_bytes)
            if self.pending[0].read_at <= self.server.may_break_off:
                # Answers to the calls before it may have been read as well.
                PolledCall(self.break_off_before_answers)

    def break_off_before_answers(self) -> None:
        """Break off the calls that finished answers wait for, if that is allowed.

        Refusals of requests that were not read to their end may wait.
        """
        finished = [n for n, each in enumerate(self.pending) if each.finished]
        for exchange in islice(self.pending, max(finished, default=0)):
            if exchange.answer is not None or exchange.task is None:
                continue
            if exchange.read_at > self.server.may_break_off:
                return
            exchange.task.cancel()

    def flush(self) -> None:
        """Send the answers that are ready, in the order of their requests."""
        while self.pending and self.pending[0].answer is not None:
            exchange = self.pending.popleft()
            last = not self.pending
            close = not exchange.keep_alive or (last and self.server.closing)
            self.last_active = clock.now()
            self.server.memory.release(exchange.answer_bytes)
            for part in self.encode(exchange, close):
                self.write(part)
            if close:
                self.input_ended = True
                self.drop_request()
                self.end_request()
                self.half_close()
                return
        if self.continue_due and not self.pending:
            # Sent before the earlier answers, it would be taken for part of them.
            self.continue_due = False
            self.write(CONTINUE)
        if not self.must_wait:
            self.resume_reading()

    def encode(self, exchange: Exchange, close: bool) -> tuple[bytes, ...]:
        """Return the bytes of an answer, or of a failure if it has no valid form."""
        assert exchange.answer is not None
        try:
            return encode_answer(exchange.answer, close, exchange.head_only)
        except ValueError as error:
            # The next answer would be taken for one that is left out.
            self.server.on_crash(error)
            failure = local_answer(502, "internal error")
            return encode_answer(failure, close, exchange.head_only)

    def resume_reading(self) -> None:
        """Read on if that was paused."""
        if not self.reading_paused or self.closed:
            return
        self.reading_paused = False
        self.resumed_at = clock.now()
        self.parse(b"")
        if not (self.reading_paused or self.closed):
            self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send data; close the connection of a caller that does not read."""
        if self.unsent_bytes() > MAX_UNREAD_BYTES:
            self.close_unread()
            return
        self.written += len(data)
        super().write(data)

    def unread_changed(self, change: int) -> None:
        """Reserve the memory of answers that the caller has not read."""
        if self.unread == change:
            self.read_at = clock.now()
        self.server.unread_changed(self, change)

    def close_unread(self) -> None:
        """Close the connection of a caller that does not read its answers."""
        self.server.policy.caller_closed(self.unsent_bytes())
        self.close()

    def end_if_idle(self) -> None:
        """Serve no further request if none is in progress, arriving or expected.

        One that is arriving is refused if that is known from its head.
        """
        if self.pending or self.input_ended:
            return
        if self.request_started is not None:
            self.refuse_early()
        elif not (self.waiting_bytes() or self.expects_first_request):
            self.end_input()

    @property
    def expects_first_request(self) -> bool:
        """Return whether the connection was opened a moment ago for a request."""
        waited = clock.now() - self.last_active
        return not self.written and waited < FIRST_REQUEST_SECONDS

    def refuse_early(self) -> None:
        """Refuse a request whose head tells that it can't be served."""
        if self.head_complete:
            refusal = self.server.policy.early_refusal(self.request(b""))
            if refusal is not None:
                self.refuse_with(refusal)

    def refuse_incomplete(self) -> None:
        """Refuse a request whose body has not arrived."""
        if self.reading and self.head_complete:
            refusal = self.server.policy.refuse_incomplete(self.request(b""))
            self.refuse_with(refusal)

    def end_input(self) -> None:
        """Serve no further request; close the connection once all are answered."""
        if self.input_ended:
            return
        self.input_ended = True
        self.rest = b""
        self.drop_request()
        if self.pending:
            self.pending[-1].keep_alive = False
        else:
            self.report_dropped_input()
            self.half_close()

    def report_dropped_input(self) -> None:
        """Report bytes that have come unread to a connection that is closed."""
        size = self.waiting_bytes()
        if size:
            self.server.policy.input_dropped(size)

    def half_close(self) -> None:
        """Close the sending side and keep reading for a while before closing.

        Closing a connection with unread data resets it, and the reset can overtake the
        last answer, so that a caller with pipelined requests would lose it.
        """
        if self.closed:
            return
        if self.ended_input is None:
            self.transport.write_eof()
            self.resume_reading()
        else:
            self.close_answered(self.ended_input)
        self.close_if_silent(clock.now() + MAX_CLOSE_SECONDS)

    def close_answered(self, ended: EndedInput) -> None:
        """Close the connection of a caller that sends no more, once all is sent."""
        ended.stop()
        self.server.policy.caller_left(ended.end_now(), ended.calls)
        self.transport.close()

    def close_if_silent(self, latest: float) -> None:
        """Close the connection unless the caller still sends a refused body.

        A caller that reads slowly first gets all that it was sent.
        """
        now = clock.now()
        if self.undelivered_bytes() and not self.stalled(now):
            left, latest = CLOSE_TIMEOUT, now + MAX_CLOSE_SECONDS
        else:
            left = min(latest, self.seen_at + CLOSE_TIMEOUT) - now
        if left <= 0:
            self.close()
        else:
            PolledTimer(left, partial(self.close_if_silent, latest))

    def stalled(self, now: float) -> bool:
        """Return whether the caller has neither sent nor read for the idle timeout.

        A caller that has vanished is found by this if it has not acknowledged all that
        it was sent; otherwise the kernel's probes find it earlier.
        """
        self.observe_reading(now)
        return now - self.seen_at > self.limits.idle_timeout

    @property
    def seen_at(self) -> float:
        """Return when the caller has last sent or was found to have read."""
        return max(self.last_active, self.read_at)

    def observe_reading(self, now: float) -> None:
        """Find out whether the caller has read since this was called last.

        The bytes of the transport do not show it: the kernel takes more of them only
        once the caller has read a large part of its own buffer, which may take a
        narrow link longer than any timeout.
        """
        self.count_unread()
        before = self.acknowledged
        self.acknowledged = self.written - self.undelivered_bytes()
        if self.acknowledged > before:
            self.read_at = now

    def stopped_reading(self, now: float) -> bool:
        """Return whether the caller leaves answers unread, and may be gone."""
        return bool(self.unread) and now - self.read_at >= STOPPED_SECONDS

    def tick(self, now: float) -> None:
        """Close an idle connection; refuse a head that takes too long."""
        if self.pending or self.closed:
            return
        if self.request_started is not None and not self.head_complete:
            since = max(self.request_started, self.resumed_at)
            if now - since > self.limits.header_timeout:
                self.refuse(408, "headers took too long")
        elif self.stalled(now) and not self.waiting_bytes():
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
    memory : MemoryAccount
        Counts request bodies and unread answers.
    surplus : deque of CallerConnection and float
        Those that are closed next, and when they were active last.
    slow_callers : set of CallerConnection
        Connections with unread answers.
    arriving : dict of CallerConnection
        Connections on which part of a request has arrived, the earliest first.
    buffer : memoryview
        Where the event loop puts what it reads.
    policy : BodyPolicy
        Answers requests whose bodies are not read.
    last_input_at : float
        When the last connection was accepted or data read; minus infinity before.
    last_request_at : float
        When the last request was complete; minus infinity before the first one.
    requests, calls : int
        Complete requests so far, and those in progress.
    may_break_off : float
        Calls read by this time are broken off if finished answers wait for them.
    accepting : bool
        Whether connections are accepted.
    ends_connections : bool
        Whether connections end with the calls that are on them.
    input_ended : bool
        Whether no further requests are read.
    """

    def __init__(
        self,
        handle: Callable[[Request], Awaitable[Answer]],
        on_crash: Callable[[BaseException], None],
        upstream_host: str = "",
        memory: MemoryAccount | None = None,
    ) -> None:
        super().__init__()
        self.handle = handle
        self.on_crash = on_crash
        self.upstream_host = upstream_host
        self.memory = MemoryAccount() if memory is None else memory
        self.policy: BodyPolicy = ReadAllBodies()
        self.connections: set[CallerConnection] = set()
        self.surplus: deque[tuple[CallerConnection, float]] = deque()
        self.slow_callers: set[CallerConnection] = set()
        self.arriving: dict[CallerConnection, None] = {}
        self.buffer = memoryview(bytearray(RECEIVE_BYTES))
        self.closing = False
        self.last_input_at = self.last_request_at = float("-inf")
        self.may_break_off = float("-inf")
        self.requests = self.calls = 0
        self.accepting = True
        self.ends_connections = False
        self.input_ended = False
        self.current_limits = CallerLimits()

    def limits(self) -> CallerLimits:
        """Return the limits for callers in force."""
        return self.current_limits

    def new_connection(self) -> CallerConnection:
        """Return the protocol for a new connection."""
        self.last_input_at = clock.now()
        return CallerConnection(self)

    def close_surplus(self) -> None:
        """Close a connection without calls if there are more than the limit.

        Those that have not brought a request yet are first while they are many, and
        else the one that was silent for longest. Callers expect that an idle connection
        may be closed, but not one whose request has arrived.
        """
        if len(self.connections) <= self.max_connections:
            return
        worst = self.next_surplus()
        if worst is not None:
            self.closed_beyond_limit += 1
            worst.close()
            # Its descriptor is free in the next iteration of the event loop.
            self.connections.discard(worst)

    def next_surplus(self) -> CallerConnection | None:
        """Return the connection to close next, None if all have calls."""
        while self.surplus:
            connection, last_active = self.surplus.popleft()
            if connection.last_active == last_active and connection.may_be_surplus:
                return connection
        self.surplus.extend((each, each.last_active) for each in self.find_surplus())
        return self.surplus.popleft()[0] if self.surplus else None

    def find_surplus(self) -> list[CallerConnection]:
        """Return the connections to close next, the first one first.

        There are several, as all connections are searched for them.
        """
        silent = [x for x in self.connections if not (x.pending or x.unread)]
        new = sum(not each.written for each in silent)
        many_new = new > max(1, NEW_SHARE * self.max_connections)
        silent.sort(key=lambda each: (bool(each.written) == many_new, each.last_active))
        count = max(1, int(SURPLUS_SHARE * self.max_connections))
        surplus = list(islice((x for x in silent if x.may_be_surplus), count))
        if surplus or not silent:
            return surplus
        return [max(silent, key=lambda each: each.last_active)]

    # Memory.

    @property
    def crowded(self) -> bool:
        """Return whether there is no room for what the calls in progress take."""
        return not self.memory.fits(CALL_BYTES * self.calls)

    def make_room(self, size: int, receiver: CallerConnection) -> bool:
        """Refuse requests that take too long to arrive; return whether bytes fit then.

        The earliest is first. None is refused if all of them leave too little room.

        Parameters
        ----------
        receiver : CallerConnection
            Connection of the request that needs room.
        """
        if self.memory.fits(size):
            return True
        now = clock.now()
        dropped = [
            each
            for each in self.arriving
            if each is not receiver and each.outstays(now)
        ]
        if not self.memory.fits(size - sum(each.reserved for each in dropped)):
            return False
        for connection in dropped:
            if self.memory.fits(size):
                break
            connection.refuse_for_memory()
        return True

    def unread_changed(self, connection: CallerConnection, change: int) -> None:
        """Record that the unread bytes of a connection have changed."""
        if connection.unread:
            self.slow_callers.add(connection)
        else:
            self.slow_callers.discard(connection)
        self.memory.change_unread(change)
        if change > 0:
            self.close_slow_callers()

    def close_slow_callers(self) -> None:
        """Close connections with unread answers while these are too many.

        Those whose callers have stopped reading are first, as the others will be read,
        and then those with the most unread bytes.
        """
        if not self.holds_too_much_unread:
            return
        now = clock.now()
        self.observe_reading(now)
        while self.holds_too_much_unread:
            worst = max(
                self.slow_callers,
                key=lambda each: (each.stopped_reading(now), each.unread),
            )
            worst.close_unread()

    def close_stopped_callers(self, now: float) -> None:
        """Close connections whose callers have stopped reading if memory is short."""
        stopped = [each for each in self.slow_callers if each.stopped_reading(now)]
        for connection in sorted(stopped, key=lambda each: -each.unread):
            if not self.memory.short:
                return
            connection.close_unread()

    def observe_reading(self, now: float) -> None:
        """Find out which callers have read, and how much of their answers is left."""
        for connection in list(self.slow_callers):
            connection.observe_reading(now)

    @property
    def holds_too_much_unread(self) -> bool:
        """Return whether unread answers exceed the limit of the account."""
        share = UNREAD_SHARE * self.memory.limit
        return self.memory.exceeded and self.memory.unread > share

    def tick(self, now: float) -> None:
        """Check the timeouts of all connections."""
        self.report_limited()
        self.observe_reading(now)
        self.close_stopped_callers(now)
        for connection in list(self.connections):
            connection.tick(now)

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and no more; serve what is under way.

        A request that the kernel has accepted would be lost if the process was killed
        before it could read it.
        """
        self.accepting = False
        self.ends_connections = True
        self.accept_waiting()
        self.stop()

    def close_idle(self) -> None:
        """Close the connections without a request in progress, arriving or expected."""
        for connection in list(self.connections):
            connection.end_if_idle()

    def send_finished(self, may_break_off: float) -> None:
        """Send finished answers from now on, and break off the calls before them.

        Parameters
        ----------
        may_break_off : float
            Only calls are broken off that were read by this time.
        """
        self.may_break_off = may_break_off
        for connection in list(self.connections):
            connection.break_off_before_answers()

    @property
    def reads_input(self) -> bool:
        """Return whether a connection may bring a further request."""
        return bool(self.connect_tasks) or any(
            not each.input_ended for each in self.connections
        )

    def end_input(self) -> None:
        """Accept no connections, read no further requests and close idle connections.

        A request that was read later would be passed on and end with this process.
        """
        self.accepting = False
        self.input_ended = True
        self.stop()
        for connection in list(self.connections):
            connection.refuse_incomplete()
            connection.end_input()

    @property
    def unanswered(self) -> int:
        """Return the number of requests whose answers have not been sent."""
        return sum(len(connection.pending) for connection in self.connections)

    @property
    def unsent(self) -> int:
        """Return the total size of the answers that callers have not read."""
        return sum(connection.unsent_bytes() for connection in self.connections)
