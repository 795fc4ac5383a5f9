"""Send calls to the upstream beside this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import (
    CONNECTION_LOST,
    NOT_RUN_STATUSES,
    RESET_AT_ONCE,
    Answer,
    NotRun,
    Unknown,
    find_header,
)
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import TIMER_RESOLUTION, Deadlines
from sequoiaspoke.sidecar.httpclient import (
    CONNECT_TIMEOUT,
    FRESH_SECONDS,
    connect,
    open_connection,
)
from sequoiaspoke.sidecar.httptext import encode_request, end_to_end
from sequoiaspoke.sidecar.newheaders import NewHeaders
from sequoiaspoke.sidecar.upstreamreport import parse_health, parse_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.answerroom import AnswerRoom
    from sequoiaspoke.core.mesh.outcome import Outcome, Request
    from sequoiaspoke.sidecar.answerlog import AnswerLog
    from sequoiaspoke.sidecar.httpclient import ClientConnection
    from sequoiaspoke.sidecar.names import HeaderNames
    from sequoiaspoke.sidecar.upstreamreport import HealthAnswer, UpstreamReport


# A connection that is reset within this fraction of the average call time was refused
# by a full upstream. A call that ran takes the time of its work, which is less than a
# quarter of the average for few calls. The limit is at least MIN_RESET_SECONDS, which a
# busy VM may need to notice a reset.
RESET_FRACTION, MIN_RESET_SECONDS = 0.25, 0.02
# Reason of the outcome if no connection could be opened.
UNREACHABLE = "upstream-unreachable"
# Seconds before the deadline of a call by which connecting ends, so that its caller is
# told in time that it has not run. A call with little time waits for half of it.
REPORT_SECONDS = 0.06
# Idle connections that are kept. A call without an id never reuses one, so that callers
# which send none would have them take all descriptors.
MAX_IDLE = 64
# Bytes of the largest accepted body of an answer to a health check.
MAX_HEALTH_BYTES = 64 << 10
# Weight of the newest call in the moving average of call times.
NEWEST_WEIGHT = 0.05


def connect_timeout(left: float) -> float:
    """Return the seconds for connecting, after which a call is still told in time.

    Parameters
    ----------
    left : float
        Seconds until the deadline of the call.
    """
    return min(CONNECT_TIMEOUT, max(left / 2, left - REPORT_SECONDS))


class Upstream:
    """Client of the upstream beside this node.

    Attributes
    ----------
    room : AnswerRoom or None
        Memory for its answers, None if that is not limited beyond their size.
    idle : list of ClientConnection
        Connections that may be reused, the last used at the end.
    busy : set of ClientConnection
        Connections on which calls run.
    connects, opened : int
        Number of attempts to connect so far, and of connections that were opened.
    report : UpstreamReport or None
        Report with the last answer, until the home reads it.
    new_headers : NewHeaders
        Header names of its answers.
    answer_log : AnswerLog or None
        Log of refusals and skipped answers, None if they are not logged.
    average_seconds : float
        Moving average of the time from sending a call to its answer.
    """

    def __init__(
        self,
        host: str,
        port: int,
        names: HeaderNames,
        room: AnswerRoom | None = None,
    ) -> None:
        self.room = room
        self.host = host
        self.port = port
        self.names = names
        self.deadlines = Deadlines()
        self.idle: list[ClientConnection] = []
        self.busy: set[ClientConnection] = set()
        self.connects = self.opened = 0
        self.report: UpstreamReport | None = None
        self.average_seconds = 0.0
        self.new_headers = NewHeaders()
        self.answer_log: AnswerLog | None = None

    async def call(
        self,
        request: Request,
        instance: str,
        deadline: float,
        idempotent: bool,
        on_send: Callable[[], None],
    ) -> Outcome:
        """Run a call; cancelling the coroutine closes the connection.

        Parameters
        ----------
        on_send : callable
            Called just before the request is sent, which may be long after the start
            of this coroutine, as opening a connection takes time.
        """
        call_id = request.header(self.names.call_id)
        connection = self.take_idle(idempotent, call_id)
        if connection is None:
            timeout = connect_timeout(deadline - clock.now())
            latest = clock.now() + timeout - TIMER_RESOLUTION
            connection = await self.connect(timeout)
            if connection is None:
                # Too short a time does not show that the upstream is down.
                late = timeout < CONNECT_TIMEOUT and clock.now() >= latest
                return NotRun("no-time" if late else UNREACHABLE)
        idle_seconds = clock.now() - connection.last_used
        remaining = deadline - clock.now()
        if remaining <= 0:
            self.release(connection)
            return NotRun("no-time")
        extra = (
            (self.names.time_left, str(int(remaining * 1000))),
            (self.names.instance, instance),
        )
        text, body = encode_request(request, extra)
        if connection.closing:
            # Nothing has been written on it, and nothing would be sent any more.
            return NotRun("connection-closed")
        started_at = clock.now()
        on_send()
        self.busy.add(connection)
        try:
            outcome = await connection.exchange(
                text, call_id, request.method == "HEAD", deadline, body=body
            )
        finally:
            self.busy.discard(connection)
        self.release(connection)
        seconds = clock.now() - started_at
        if isinstance(outcome, Unknown):
            # An early reset means a full upstream only on a connection used lately; one
            # that was idle for long may have been dropped for that reason.
            reset_limit = max(MIN_RESET_SECONDS, RESET_FRACTION * self.average_seconds)
            early = seconds < reset_limit and idle_seconds < FRESH_SECONDS
            silent = outcome.reason == CONNECTION_LOST and not connection.answer_started
            return Unknown(RESET_AT_ONCE) if early and silent else outcome
        average = self.average_seconds or seconds
        self.average_seconds = average + NEWEST_WEIGHT * (seconds - average)
        if self.answer_log is not None and outcome.status in NOT_RUN_STATUSES:
            marked = bool(find_header(outcome.headers, self.names.not_run))
            self.answer_log.refused(connection.source(outcome.headers), marked)
        return self.classify(outcome, seconds, idempotent)

    async def check_health(self, path: str, deadline: float) -> HealthAnswer | None:
        """Make a health check; return None if the upstream gives no answer."""
        connection = self.take_idle(idempotent=True) or await self.connect()
        if connection is None:
            return None
        text = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        outcome = await connection.exchange(
            text.encode(), "", False, deadline, max_body=MAX_HEALTH_BYTES
        )
        self.release(connection)
        if not isinstance(outcome, Answer):
            return None
        return parse_health(outcome.headers, self.names)

    def classify(self, answer: Answer, seconds: float, idempotent: bool) -> Outcome:
        """Return the outcome of a call by the status and headers of its answer.

        Callers take some statuses for a promise that the call has not run, but only a
        mark of the upstream shows that.
        """
        self.new_headers.record(answer.headers)
        replaced = answer.status == 421
        self.report = parse_report(answer.headers, self.names, replaced)
        if find_header(answer.headers, self.names.not_run):
            return NotRun("upstream-refused", from_upstream=True)
        if replaced:
            return NotRun("instance-replaced", from_upstream=True)
        if answer.status in NOT_RUN_STATUSES and not idempotent:
            return Unknown("refusal-unmarked")
        success = 200 <= answer.status < 300
        if success and not find_header(answer.headers, self.names.stamp):
            return Unknown("answer-unstamped")
        if success and find_header(answer.headers, "content-encoding"):
            return Unknown("answer-encoded")
        return Answer(answer.status, end_to_end(answer.headers), answer.body, seconds)

    def take_idle(
        self, idempotent: bool, call_id: str | None = None
    ) -> ClientConnection | None:
        """Take the most recently used connection that a call may reuse, if any.

        Connections that no call may use any more are closed.

        Parameters
        ----------
        call_id : str or None
            Id of the call; None for a health check, for which a late answer to an
            earlier check will do.
        """
        now = clock.now()
        for position in reversed(range(len(self.idle))):
            connection = self.idle[position]
            if not connection.usable(idempotent=True, now=now):
                self.idle.pop(position).close()
            elif not connection.usable(idempotent, now):
                # The others were used even earlier.
                return None
            elif call_id is None or not connection.may_confuse(call_id):
                return self.idle.pop(position)
        return None

    async def connect(
        self, timeout: float = CONNECT_TIMEOUT
    ) -> ClientConnection | None:
        """Open a connection; return None if that fails."""
        self.connects += 1
        connection = await open_connection(
            (self.host, self.port), self.names.call_id, self.deadlines, timeout
        )
        if connection is not None:
            self.adopt(connection)
        return connection

    def adopt(self, connection: ClientConnection) -> None:
        """Number a new connection, and have it use this upstream's memory and log."""
        self.opened += 1
        connection.number = self.opened
        connection.room = self.room
        connection.answer_log = self.answer_log

    async def refuses_connections(self) -> bool:
        """Return whether the upstream actively refuses connections.

        A connection that opens is kept for the next call.
        """
        try:
            connection = await connect(
                (self.host, self.port), self.names.call_id, self.deadlines
            )
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            return False
        self.connects += 1
        self.adopt(connection)
        self.release(connection)
        return False

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the idle ones, or close it if it cannot be reused."""
        if connection.not_reusable or connection.closed:
            connection.close()
            return
        self.idle.append(connection)
        if len(self.idle) > MAX_IDLE:
            self.idle.pop(0).close()

    def unsent_bytes(self) -> int:
        """Return how many bytes of running calls wait in this process."""
        return sum(connection.unsent_bytes() for connection in self.busy)

    def close_idle_connections(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def tick(self, now: float) -> None:
        """Close idle connections that are too old, and admit waiting answers."""
        if self.room is not None:
            self.room.tick(now)
        # Sorted by last use, the oldest first.
        while self.idle and not self.idle[0].usable(idempotent=True, now=now):
            self.idle.pop(0).close()
