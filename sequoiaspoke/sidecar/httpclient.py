"""HTTP/1.1 client connections.

A server may answer before it has read the request, answer twice, truncate an answer,
or drop an idle connection. So each connection carries one call at a time, an answer
counts only if it is complete and echoes the id of the call, and a connection with any
unexpected data is not reused. Otherwise the bytes of one call could be taken for the
answer to the next. A second answer may arrive with that of a later call, so a
connection carries no two calls with the same id, and a call without an id is the first
one on its connection.
"""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from io import BytesIO
from typing import TYPE_CHECKING

import httptools

from sequoiaspoke.core.mesh.memory import header_size
from sequoiaspoke.core.mesh.outcome import (
    CONNECTION_LOST,
    INVALID_STATUS,
    STATUSES,
    TIMED_OUT,
    Answer,
    Unknown,
    find_header,
)
from sequoiaspoke.polling import PolledCall, PolledTimeout
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.answerlog import AnswerSource
from sequoiaspoke.sidecar.httptext import (
    BODILESS_STATUSES,
    FRAMING_PER_BYTE,
    PARSE_BYTES,
)
from sequoiaspoke.sidecar.sockets import (
    USER_TIMEOUT_MS,
    Connection,
    set_user_timeout,
)

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.answerroom import AnswerRoom
    from sequoiaspoke.core.mesh.outcome import Headers
    from sequoiaspoke.sidecar.answerlog import AnswerLog
    from sequoiaspoke.sidecar.deadlines import Deadlines

# Seconds for a connection to open, over loopback or within a data centre.
CONNECT_TIMEOUT = 1.0
# Largest accepted answer. Answers are buffered whole, so that a truncated one is
# detected before its first byte goes to the caller.
MAX_ANSWER_BYTES = 8 << 20
# Outcome of a call whose answer is larger.
TOO_LARGE = "answer-too-large"
# Bytes accepted besides bodies, of the head, of interim answers and of chunk lines,
# beyond FRAMING_PER_BYTE. No more of them may follow each other.
MAX_HEAD_BYTES = 64 << 10
# Outcomes of calls whose answers have more bytes besides the body, and have no room in
# memory.
HEAD_TOO_LARGE, WITHOUT_ROOM = "answer-head-too-large", "answer-without-room"
# Bytes in memory of the largest head whose body may wait for room. Larger heads that
# waited could fill the room that their bodies need.
MAX_WAITING_HEAD = 64 << 10
# Seconds for which an idle connection is reused if the server's Keep-Alive header names
# no timeout, and the margin taken off a timeout for clock error and transit.
IDLE_SECONDS, IDLE_MARGIN = 3.0, 1.0
# A call that is not idempotent only reuses a connection used within so many seconds:
# the server may have dropped an older one, and the reset that follows does not show
# whether the call ran.
FRESH_SECONDS = 1.0
# Number of the last calls whose ids a connection remembers. Answers come in the order
# of the calls, so a second one is not far behind.
REMEMBERED_CALLS = 64
# Largest request in bytes that fits into the receive buffer of a server, whether it is
# read at once or not.
MAX_BUFFERED_REQUEST = 4096
# Bytes of a large body that are given to the transport at a time. What it cannot send
# at once it copies.
WRITE_BYTES = 64 << 10
# Seconds past its deadline by which an answer that keeps arriving has to be complete.
MAX_EXTENSION_SECONDS = 10.0


async def open_connection(
    address: tuple[str, int],
    call_header: str,
    deadlines: Deadlines,
    timeout: float = CONNECT_TIMEOUT,
) -> ClientConnection | None:
    """Open a connection; None if the server does not accept one in time."""
    try:
        return await connect(address, call_header, deadlines, timeout)
    except (TimeoutError, OSError):
        return None


async def connect(
    address: tuple[str, int],
    call_header: str,
    deadlines: Deadlines,
    timeout: float = CONNECT_TIMEOUT,
) -> ClientConnection:
    """Open a connection; raise TimeoutError or OSError if that fails."""
    connecting = asyncio.get_running_loop().create_connection(
        lambda: ClientConnection(call_header, deadlines), *address
    )
    async with PolledTimeout(timeout):
        _, connection = await connecting
    return connection


class ClientConnection(Connection):
    """A connection to a server.

    Attributes
    ----------
    call_header : str
        Header in which the server echoes the id of a call.
    pending : asyncio.Future or None
        The outcome of the call under way.
    not_reusable : bool
        Whether no further call may use this connection.
    answer_started : bool
        Whether any part of an answer has come since the last request.
    last_received : float
        When the last bytes came since the last request, if `silence` is set.
    silence : float
        Seconds for which the call goes on past its deadline after bytes have come.
    latest : float
        When the call ends even if bytes keep coming.
    until_close : bool
        Whether the answer has no length and ends with the connection.
    may_read_slowly : bool
        Whether the server may leave the last request unread for a while.
    room : AnswerRoom or None
        Memory for its answers, None if that is not limited beyond their size.
    max_body : int
        Bytes of the largest accepted body of the call under way.
    unwritten : memoryview
        Rest of the body of the last request that the transport does not have yet.
    framing_bytes, body_bytes : int
        Bytes besides bodies, and of bodies, that have come since the last request.
    framing_run : int
        Those besides bodies since the last byte of a body.
    head_memory : int
        Bytes that the head of the answer now parsed takes in memory so far.
    recent_calls : deque of int
        Hashes of the ids of the last calls; their size is not limited.
    number : int
        Number of this connection among those of its owner, 0 if they have none.
    exchanges : int
        Number of requests sent so far.
    answer_log : AnswerLog or None
        Log of skipped answers, None if they are not logged.
    """

    peer_reads_at_once = True

    def __init__(self, call_header: str, deadlines: Deadlines) -> None:
        super().__init__()
        self.call_header = call_header
        self.room: AnswerRoom | None = None
        self.max_body = MAX_ANSWER_BYTES
        self.unwritten = memoryview(b"")
        self.reset_counts()
        self.deadlines = deadlines
        self.pending: asyncio.Future[Answer | Unknown] | None = None
        self.call_id = ""
        self.recent_calls: deque[int] = deque(maxlen=REMEMBERED_CALLS)
        self.number = self.exchanges = 0
        self.answer_log: AnswerLog | None = None
        self.head_only = False
        self.not_reusable = False
        self.may_read_slowly = False
        self.answer_started = False
        self.last_received = float("-inf")
        self.silence = 0.0
        self.latest = float("-inf")
        self.last_used = clock.now()
        self.idle_seconds = IDLE_SECONDS
        self.reset_answer()
        self.parser: httptools.HttpResponseParser | None
        self.parser = httptools.HttpResponseParser(self)

    def reset_counts(self) -> None:
        """Count what comes from here on."""
        self.framing_bytes = self.framing_run = self.body_bytes = 0

    def reset_answer(self) -> None:
        """Reset the state of the answer that is parsed."""
        self.status = self.head_memory = 0
        self.until_close = False
        self.drop_answer()

    def drop_answer(self) -> None:
        """Drop what has come of the answer, or was handed over."""
        self.headers: list[tuple[str, str]] = []
        self.body = BytesIO()

    def received(self, data: bytes) -> None:
        """Parse data from the server; close on data while no call is under way."""
        if self.pending is None:
            self.close()
            return
        if self.silence:
            self.last_received = clock.now()
        pieces = memoryview(data)
        for start in range(0, len(data), PARSE_BYTES):
            self.parse_piece(pieces[start : start + PARSE_BYTES])
            if self.closed:
                return

    def parse_piece(self, data: memoryview) -> None:
        """Feed data to the parser, and check the size of what is no body."""
        body_before = self.body_bytes
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # No request asks for an upgrade, so that none may be granted.
            self.reject("answer-malformed")
            return
        body = self.body_bytes - body_before
        framing = len(data) - body
        self.framing_bytes += framing
        self.framing_run = 0 if body else self.framing_run + framing
        total = MAX_HEAD_BYTES + FRAMING_PER_BYTE * self.body_bytes
        if self.framing_bytes > total or self.framing_run > MAX_HEAD_BYTES:
            self.reject(HEAD_TOO_LARGE)
        elif not self.has_room():
            self.reject(WITHOUT_ROOM)

    def lost(self, error: Exception | None, closed_locally: bool) -> None:  # noqa: ARG002
        """End the call under way, as the connection has ended."""
        if self.until_close and error is None:
            self.complete()
        self.fail(CONNECTION_LOST)
        self.drop_answer()
        self.drop_body()
        # It refers to this connection, and holds an incomplete line.
        self.parser = None

    def fail(self, reason: str) -> None:
        """End the call under way with an unknown outcome."""
        self.not_reusable = True
        if self.awaited:
            self.pending.set_result(Unknown(reason))

    @property
    def awaited(self) -> bool:
        """Return whether a call under way has no outcome yet."""
        return self.pending is not None and not self.pending.done()

    def reject(self, reason: str) -> None:
        """End the call under way, and read no more of what the server sends.

        A server may go on for as long as the connection is open.
        """
        self.fail(reason)
        self.close()
        self.drop_answer()
        if self.room is not None:
            self.room.release(self)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start an answer; a second one makes the connection not reusable."""
        self.answer_started = True
        if not self.awaited:
            self.not_reusable = True
        self.reset_answer()

    def on_status(self, reason: bytes) -> None:  # noqa: ARG002
        """Check the status as soon as the first line is known."""
        self.check_status()

    def check_status(self) -> bool:
        """Return whether the status is one of HTTP; reject the answer if it is not."""
        valid = self.parser.get_status_code() in STATUSES
        if not valid:
            self.reject(INVALID_STATUS)
        return valid

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, unless nobody waits for it."""
        if not self.awaited:
            return
        self.head_memory += header_size(name, value)
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Complete the head; find out how the end of the body is marked."""
        if not self.check_status():
            return
        self.status = self.parser.get_status_code()
        headers = tuple(self.headers)
        encoding = find_header(headers, "transfer-encoding").lower()
        has_length = find_header(headers, "content-length") or "chunked" in encoding
        bodiless = (
            self.status in BODILESS_STATUSES or self.status < 200 or self.head_only
        )
        self.until_close = not has_length and not bodiless
        self.not_reusable |= self.until_close
        if not self.has_room():
            self.reject(WITHOUT_ROOM)
            return
        if self.ends_with_head(headers):
            # The parser waits for the body that the head announces.
            self.not_reusable = True
            self.complete()
            return
        length = find_header(headers, "content-length")
        if length.isdecimal() and not bodiless:
            self.expect_body(int(length))

    def ends_with_head(self, headers: Headers) -> bool:
        """Return whether this is the answer to the HEAD request under way.

        A late one to an earlier call has its body.
        """
        if not self.head_only or self.status < 200:
            return False
        return find_header(headers, self.call_header) in ("", self.call_id)

    def expect_body(self, size: int) -> None:
        """Wait until a body of known size has room; reject one that never has."""
        if self.body_bytes + size > self.max_body:
            self.reject(TOO_LARGE)
        elif self.room is not None and self.awaited:
            if not self.room.possible(size):
                self.reject(TOO_LARGE)
            elif self.room.request(self, size, self.resume_reading):
                return
            elif self.head_memory > MAX_WAITING_HEAD:
                self.reject(WITHOUT_ROOM)
            else:
                self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on, as the body has room now."""
        if not self.closing:
            self.transport.resume_reading()

    def on_body(self, data: bytes) -> None:
        """Append to the body unless it is too large."""
        self.body_bytes += len(data)
        if not self.awaited:
            return
        if self.body_bytes > self.max_body:
            self.reject(TOO_LARGE)
        elif not self.has_room():
            self.reject(WITHOUT_ROOM)
        else:
            self.body.write(data)

    def has_room(self) -> bool:
        """Return whether the answer so far has room, or waits for it as a whole."""
        if self.room is None or not self.awaited or self in self.room.waiting:
            return True
        return self.room.extend(self, self.head_memory + self.body_bytes)

    def on_message_complete(self) -> None:
        """Complete an answer unless its status is informational (1xx)."""
        if self.status >= 200:
            self.complete()

    def complete(self) -> None:
        """Return a complete answer to the call under way."""
        if not self.awaited:
            self.not_reusable = True
            return
        headers = tuple(self.headers)
        echoed = find_header(headers, self.call_header)
        if echoed != self.call_id:
            # A late second answer to an earlier call; this call's is still to come.
            if self.answer_log is not None:
                self.answer_log.skipped(self.source(headers))
            if not echoed and self.exchanges == 1:
                # There was no earlier call: this server repeats no ids.
                self.reject("answer-without-id")
            return
        self.read_keep_alive(headers)
        # Not a copy, unlike the value of a bytearray.
        body = self.body.getvalue()
        self.drop_answer()
        self.pending.set_result(Answer(self.status, headers, body))

    def source(self, headers: Headers) -> AnswerSource:
        """Return where an answer with these headers comes from, for the log."""
        echoed = find_header(headers, self.call_header)
        return AnswerSource(
            self.call_id, echoed, self.status, self.number, self.exchanges
        )

    def read_keep_alive(self, headers: Headers) -> None:
        """Read how long the server keeps the connection open."""
        if "close" in find_header(headers, "connection").lower():
            self.not_reusable = True
        for part in find_header(headers, "keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.idle_seconds = max(0.3, int(value) - IDLE_MARGIN)

    async def exchange(
        self,
        text: bytes,
        call_id: str,
        head: bool,
        deadline: float,
        silence: float = 0.0,
        max_body: int = MAX_ANSWER_BYTES,
        body: bytes = b"",
    ) -> Answer | Unknown:
        """Send a request and return its outcome by the deadline.

        The connection is closed if the call is cancelled or times out; its late answer
        would be taken for the answer to the next call.

        Parameters
        ----------
        silence : float
            Seconds without further bytes after which an answer that has begun to arrive
            by the deadline times out; 0 if it has to be complete by then.
        max_body : int
            Bytes of the largest accepted body.
        body : bytes
            Body to send after `text`, as the server reads it.
        """
        self.call_id = call_id
        self.exchanges += 1
        if call_id:
            self.recent_calls.append(hash(call_id))
        self.head_only = head
        self.max_body = max_body
        self.reset_counts()
        self.answer_started = False
        self.last_received = float("-inf")
        self.silence = silence
        self.latest = deadline + MAX_EXTENSION_SECONDS
        self.pending = asyncio.get_running_loop().create_future()
        self.timer = self.deadlines.call_at(deadline, self.timed_out)
        self.expect_slow_reading(len(text) + len(body) > MAX_BUFFERED_REQUEST)
        self.write(text)
        self.unwritten = memoryview(body)
        self.write_body()
        if self.closed:
            self.fail(CONNECTION_LOST)
        try:
            outcome = await self.pending
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.timer.cancel()
            self.pending = None
            self.release_room()
        if self.unsent_bytes():
            # Answered before the request was sent completely: the server would read
            # the rest as a request.
            self.not_reusable = True
        self.drop_body()
        self.last_used = clock.now()
        return outcome

    def write_body(self) -> None:
        """Write as much of the body as the transport sends soon."""
        while self.unwritten and not (self.writing_paused or self.closing):
            piece, self.unwritten = (
                self.unwritten[:WRITE_BYTES],
                self.unwritten[WRITE_BYTES:],
            )
            self.write(piece)

    def resume_writing(self) -> None:
        """Write the next part of the body."""
        super().resume_writing()
        self.write_body()

    def unsent_bytes(self) -> int:
        """Return how many bytes of the request the server has not been sent."""
        return 0 if self.closed else len(self.unwritten) + super().unsent_bytes()

    def drop_body(self) -> None:
        """Write no more of the body."""
        self.unwritten = memoryview(b"")

    def release_room(self) -> None:
        """Release the room of the answer, once it was passed on if others wait."""
        if self.room is None:
            return
        if self.room.waiting and self in self.room.large:
            PolledCall(partial(self.room.release, self.room.pass_on(self)))
        else:
            self.room.release(self)

    def expect_slow_reading(self, slow: bool) -> None:
        """Allow the server to take until the deadline to read a request, or do not.

        A request that fits into its receive buffer is acknowledged at once, and shows
        early that the connection is dead.
        """
        if slow != self.may_read_slowly and not self.closing:
            self.may_read_slowly = slow
            set_user_timeout(self.socket, 0 if slow else USER_TIMEOUT_MS)

    def timed_out(self) -> None:
        """End the call under way with a timeout, unless its answer is arriving."""
        silent_at = min(self.last_received + self.silence, self.latest)
        if clock.now() < silent_at:
            self.timer = self.deadlines.call_at(silent_at, self.timed_out)
            return
        self.fail(TIMED_OUT)
        self.close()

    def usable(self, idempotent: bool, now: float) -> bool:
        """Return whether the next call may use this connection."""
        if self.not_reusable or self.closing:
            return False
        limit = (
            self.idle_seconds if idempotent else min(self.idle_seconds, FRESH_SECONDS)
        )
        return now - self.last_used < limit

    def may_confuse(self, call_id: str) -> bool:
        """Return whether a late answer could be taken for that to the next call."""
        if not call_id:
            return self.exchanges > 0
        return hash(call_id) in self.recent_calls

    def close(self) -> None:
        """Close the connection; the server drops the call that runs on it."""
        self.not_reusable = True
        self.drop_body()
        super().close()
