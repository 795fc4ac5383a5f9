"""Send calls to the upstream beside this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import (
    CONNECTION_LOST,
    RESET_AT_ONCE,
    Answer,
    NotRun,
    Unknown,
    find_header,
)
from sequoiaspoke.core.mesh.slots import Load
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.httpclient import FRESH_SECONDS, connect, open_connection
from sequoiaspoke.sidecar.httptext import end_to_end, request_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Outcome, Request
    from sequoiaspoke.sidecar.httpclient import ClientConnection
    from sequoiaspoke.sidecar.names import HeaderNames


# A call whose connection is reset within this part of a usual call's time was turned
# away by a full upstream: one that was run, and whose answer was lost, takes the time
# of its work, which is less than a quarter of the mean for few calls. Never sooner than
# so many seconds, which a busy VM may need to see a reset.
RESET_PART, RESET_SECONDS = 0.25, 0.02
# Reason of a call for which no connection could be opened.
UNREACHABLE = "upstream-unreachable"
# Weight of the newest call in the usual time.
NEWEST = 0.05


def read_load(text: str) -> Load | None:
    """Return what an upstream says of its load."""
    parts = [part.strip() for part in text.split(",")]
    # Longer numbers are not a count of calls.
    if len(parts) < 2 or not all(p.isdecimal() and len(p) < 7 for p in parts):
        return None
    return Load(*(int(part) for part in parts[:3]))


def read_milliseconds(text: str) -> float:
    """Return seconds from a header in milliseconds; 0 without one that can be read."""
    return int(text) / 1000 if text.isdecimal() and len(text) < 9 else 0.0


class Upstream:
    """The upstream beside this node.

    Attributes
    ----------
    told_load : Load or None
        What it said of its load with the last answer, until that is taken.
    usual_seconds : float
        Time in which it usually answers.
    """

    def __init__(self, host: str, port: int, names: HeaderNames) -> None:
        self.host = host
        self.port = port
        self.names = names
        self.deadlines = Deadlines()
        self.idle: list[ClientConnection] = []
        self.connects = 0
        self.told_load: Load | None = None
        self.usual_seconds = 0.0

    async def call(
        self,
        request: Request,
        instance: str,
        deadline: float,
        idempotent: bool,
        on_send: Callable[[], None],
    ) -> Outcome:
        """Have a call run; cancelling it closes its connection.

        Parameters
        ----------
        on_send : callable
            Called as the request goes out, which may be long after this was called.
        """
        connection = self.reuse(idempotent) or await self.connect()
        if connection is None:
            return NotRun(UNREACHABLE)
        idle = clock.now() - connection.used
        left = deadline - clock.now()
        if left <= 0:
            self.release(connection)
            return NotRun("no-time")
        extra = (
            (self.names.time_left, str(int(left * 1000))),
            (self.names.instance, instance),
        )
        call_id = request.header(self.names.call_id)
        text = request_text(request, extra)
        if connection.closed:
            return NotRun("connection-closed")
        begun = clock.now()
        on_send()
        outcome = await connection.exchange(
            text, call_id, request.method == "HEAD", deadline
        )
        self.release(connection)
        seconds = clock.now() - begun
        if isinstance(outcome, Unknown):
            # A connection that idled for long may have been forgotten.
            soon = max(RESET_SECONDS, RESET_PART * self.usual_seconds)
            full = seconds < soon and idle < FRESH_SECONDS
            silent = outcome.reason == CONNECTION_LOST and not connection.answering
            return Unknown(RESET_AT_ONCE) if full and silent else outcome
        usual = self.usual_seconds or seconds
        self.usual_seconds = usual + NEWEST * (seconds - usual)
        return self.judge(outcome, seconds)

    async def ask_cold(self, path: str, deadline: float) -> float | None:
        """Return the seconds for which the upstream stays cold by its health answer.

        None if it does not say.
        """
        connection = self.reuse(idempotent=True) or await self.connect()
        if connection is None:
            return None
        text = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        outcome = await connection.exchange(text.encode(), "", False, deadline)
        self.release(connection)
        if not isinstance(outcome, Answer):
            return None
        if find_header(outcome.headers, self.names.not_run):
            return None
        return read_milliseconds(find_header(outcome.headers, self.names.cold))

    def judge(self, answer: Answer, seconds: float) -> Outcome:
        """Tell an answer from a refusal and from bytes that are not an answer."""
        self.told_load = read_load(find_header(answer.headers, self.names.load))
        if find_header(answer.headers, self.names.not_run):
            return NotRun("upstream-refused", from_upstream=True)
        if answer.status == 421:
            return NotRun("instance-replaced", from_upstream=True)
        success = 200 <= answer.status < 300
        if success and not find_header(answer.headers, self.names.stamp):
            return Unknown("answer-unstamped")
        if success and find_header(answer.headers, "content-encoding"):
            return Unknown("answer-encoded")
        return Answer(answer.status, end_to_end(answer.headers), answer.body, seconds)

    def reuse(self, idempotent: bool) -> ClientConnection | None:
        """Return the connection that was used last, if it may be used again."""
        now = clock.now()
        while self.idle:
            connection = self.idle[-1]
            if connection.usable(idempotent=True, now=now):
                if not connection.usable(idempotent, now):
                    return None
                return self.idle.pop()
            self.idle.pop().close()
        return None

    async def connect(self) -> ClientConnection | None:
        """Open a connection; None if the upstream does not accept one."""
        self.connects += 1
        return await open_connection(
            (self.host, self.port), self.names.call_id, self.deadlines
        )

    async def refuses(self) -> bool:
        """Return whether nobody accepts connections at the upstream."""
        try:
            connection = await connect(
                (self.host, self.port), self.names.call_id, self.deadlines
            )
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            return False
        self.connects += 1
        self.release(connection)
        return False

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for the next call, or close it."""
        if connection.tainted or connection.closed:
            connection.close()
            return
        self.idle.append(connection)

    def forget_connections(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def tick(self, now: float) -> None:
        """Close connections that will not be used again."""
        # The last used are last; the first is the first that is too old.
        while self.idle and not self.idle[0].usable(idempotent=True, now=now):
            self.idle.pop(0).close()
