"""Run calls at the home node, which is on the VM of the target upstream."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.core.routing.model import Outcome
from sequoiaspoke.core.rules.model import Priority
from sequoiaspoke.errors import (
    BadRequestError,
    CallError,
    ConnectError,
    DeadlineUnknownError,
    DrainingError,
    Ran,
    UpstreamShedError,
    UpstreamUnsureError,
    WrongHomeError,
)
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.client import Address, Pool, discard
from sequoiaspoke.node.gate import Gate
from sequoiaspoke.node.grantserver import GrantServer
from sequoiaspoke.node.loadheader import write_load
from sequoiaspoke.node.pipe import ReplayableBody
from sequoiaspoke.node.server import CallHandler

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from sequoiaspoke.core.routing.model import LoadReport
    from sequoiaspoke.node.client import Answer
    from sequoiaspoke.node.keyedhome import KeyedHome
    from sequoiaspoke.node.metrics import CallCounters
    from sequoiaspoke.node.server import IncomingCall
    from sequoiaspoke.settings.schema import Settings

FIRST_SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
INITIAL_SLOTS = 10  # until the first configuration version sets the number
PRIORITIES = {priority.value: priority for priority in Priority}


@dataclass(frozen=True)
class HomeCall:
    """A call as the entry node sends it to the home of its target.

    Attributes
    ----------
    deadline : float
        Time of this node's loop clock at which the answer must have begun.
    keyed : bool
        Whether the call has an idempotency key and may run only once.
    before_send : callable or None
        Called just before the call is sent; raises a `CallError` to stop it.
    min_wait : float
        Least time in seconds to wait for the upstream, even past the deadline.
    """

    service: str
    target: str
    method: str
    uri: str
    headers: HTTPHeaders
    body: ReplayableBody | None
    deadline: float
    depth: int = 0
    attempt: int = 1
    caller: str = ""
    priority: Priority = Priority.ORDINARY
    rule: str = ""
    key: str = ""
    keyed: bool = False
    before_send: Callable[[], None] | None = None
    min_wait: float = 0.0


class Home:
    """Calls to this VM's upstream, with admission control."""

    def __init__(
        self, settings: Settings, counters: CallCounters, rng: random.Random
    ) -> None:
        self.settings = settings
        self.counters = counters
        self.gate = Gate(settings.admission, INITIAL_SLOTS, rng)
        upstream = settings.upstream
        self.pool = Pool(Address(upstream.address, upstream.port), settings.limits)
        self.keyed: KeyedHome | None = None

    @property
    def in_flight(self) -> int:
        """Return how many calls hold a slot."""
        return len(self.gate.admission.running)

    def report(self) -> LoadReport:
        """Return the load report for other nodes."""
        return self.gate.admission.report(asyncio.get_running_loop().time())

    async def run(self, call: HomeCall) -> Answer:
        """Answer a call; a keyed call that has run before is not run again.

        Raises
        ------
        CallError
            The call was refused or failed; says whether it ran.
        """
        if self.keyed and call.uri.startswith(names.KEYS_PATH):
            return self.keyed.issue(call)
        if self.keyed and call.keyed:
            return await self.keyed.run(call)
        return await self.admit_and_run(call)

    async def admit_and_run(self, call: HomeCall) -> Answer:
        """Wait for a slot, run the call at the upstream and return its answer.

        Raises
        ------
        CallError
            The call was refused or failed; says whether it ran.
        """
        upstream = self.settings.upstream
        if call.service != upstream.service or call.target != upstream.target:
            raise WrongHomeError(f"{call.service}/{call.target} is not at this node")
        kind = f"{call.rule} {call.method}"
        number = await self.gate.enter(
            call.caller, call.key, kind, call.priority, call.deadline
        )
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            answer = await self.send_to_upstream(call)
        except BaseException as error:
            self.gate.leave(number, outcome_of(error), loop.time() - began)
            raise
        latency = loop.time() - began
        answer.on_close(lambda: self.release_slot(number, answer, latency))
        return answer

    def release_slot(self, number: int, answer: Answer, latency: float) -> None:
        """Release the slot of a call whose answer has ended."""
        outcome = Outcome.ANSWERED if answer.complete else Outcome.CANCELLED
        self.gate.leave(number, outcome, latency)

    async def send_to_upstream(
        self, call: HomeCall, pool: Pool | None = None
    ) -> Answer:
        """Send the call to this VM's upstream, or with `pool` to a granted one.

        Raises
        ------
        UpstreamShedError
            The upstream refused the call without running it.
        UpstreamUnsureError
            The upstream failed and cannot tell whether the call ran.
        DeadlineUnknownError
            The deadline passed, by this node's clock or the upstream's.
        CallError
            The connection failed.
        """
        loop = asyncio.get_running_loop()
        if call.before_send:
            call.before_send()
        headers = names.end_to_end(call.headers)
        remaining = call.deadline - loop.time()
        headers[names.DEADLINE] = str(max(1, int(remaining * 1000)))
        headers[names.DEPTH] = str(call.depth)
        headers[names.ATTEMPT] = str(call.attempt)
        start_line = RequestStartLine(call.method, call.uri, "HTTP/1.1")
        deadline = max(call.deadline, loop.time() + call.min_wait)
        answer = await (pool or self.pool).call(
            start_line, headers, call.body, deadline
        )
        ran = answer.headers.get(names.RAN, Ran.RAN.value)
        if ran == Ran.RAN.value or answer.status < FIRST_SERVER_ERROR:
            return answer
        retry_after = names.whole_number(answer.headers, "Retry-After", 1)
        retried = names.RETRIED in answer.headers
        draining = answer.headers.get(names.REASON) == DrainingError.code
        # A call under a grant went to the upstream of another VM, which is the one
        # that drains.
        if draining and pool is None:
            self.gate.admission.health.upstream_draining(loop.time())
        await discard(answer, deadline)
        error = upstream_error(call.target, ran, answer.status, retry_after)
        error.retried = retried
        raise error


class HomeHandler(CallHandler):
    """Handler of the calls that other nodes send to this home."""

    def __init__(self, settings: Settings, home: Home) -> None:
        self.settings = settings
        self.home = home
        self.grants = GrantServer(settings, home)

    async def handle(self, call: IncomingCall) -> None:
        """Run a call and relay its answer with a load report."""
        if names.GRANT in call.headers:
            await self.grants.answer(call)
            return
        home_call = read_home_call(call)
        try:
            answer = await self.home.run(home_call)
        except CallError as error:
            call.writer.refusal_headers[names.LOAD] = write_load(self.home.report())
            if error.ran is Ran.NOT_RUN:
                self.home.counters.refused[error.code] += 1
            raise
        try:
            headers = names.answer_headers(answer)
            headers[names.LOAD] = write_load(self.home.report())
            await call.writer.relay(answer, headers, self.settings.limits.idle)
        finally:
            answer.close()


def read_home_call(call: IncomingCall) -> HomeCall:
    """Build the call from the headers that the entry node set.

    Raises
    ------
    BadRequestError
        The header of the service or of the target is missing.
    """
    headers = call.headers
    if names.SERVICE not in headers or names.TARGET not in headers:
        raise BadRequestError("no service or target header: not sent by a node")
    remaining = names.whole_number(headers, names.DEADLINE, 10_000) / 1000
    body = ReplayableBody(call.body, 0) if call.body else None
    return HomeCall(
        service=headers[names.SERVICE],
        target=headers[names.TARGET],
        method=call.method,
        uri=call.uri,
        headers=headers,
        body=body,
        deadline=asyncio.get_running_loop().time() + remaining,
        depth=names.whole_number(headers, names.DEPTH, 0),
        attempt=names.whole_number(headers, names.ATTEMPT, 1),
        caller=headers.get(names.CALLER, ""),
        priority=PRIORITIES.get(headers.get(names.PRIORITY, ""), Priority.ORDINARY),
        rule=headers.get(names.RULE, ""),
        key=headers.get(names.KEY, ""),
        keyed=headers.get(names.KEYED) == names.YES,
    )


def outcome_of(error: BaseException) -> Outcome:
    """Return the outcome that an error means for the upstream."""
    if isinstance(error, UpstreamShedError):
        return Outcome.REFUSED
    if isinstance(error, ConnectError):
        return Outcome.FAILED
    return Outcome.CANCELLED


def upstream_error(target: str, ran: str, status: int, retry_after: int) -> CallError:
    """Return the failure that an upstream reported.

    An upstream may notice just before its home that the deadline has passed, as the
    time left is rounded down for it.
    """
    if ran == Ran.NOT_RUN.value:
        return UpstreamShedError(f"{target} shed the call", retry_after)
    if status == GATEWAY_TIMEOUT:
        return DeadlineUnknownError(f"{target} gave the call up at its deadline")
    return UpstreamUnsureError(f"{target} cannot tell whether the call ran")
