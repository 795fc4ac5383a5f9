"""Bring each caller's call to an endpoint and its final answer back.

A call is decided by the configuration in force when it came. It is tried again
after a failure only if it certainly has not run or may run twice, and only while
there is time, a target left and room in the budget of repeats.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from functools import cached_property
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import MIN_RETRY_AFTER, RefusalReason
from sequoiaspoke.core.mesh.durations import INITIAL_ESTIMATE
from sequoiaspoke.core.mesh.outcome import TIMED_OUT, Answer, NotRun, Unknown
from sequoiaspoke.core.routing.split import Splitter
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.attempts import Attempts
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.httptext import end_to_end, own_answer
from sequoiaspoke.sidecar.race import TRY_ELSEWHERE, Progress

if TYPE_CHECKING:
    from random import Random

    from hdrh.histogram import HdrHistogram

    from sequoiaspoke.core.mesh.model import Endpoint, Route
    from sequoiaspoke.core.mesh.outcome import Outcome, Request
    from sequoiaspoke.core.mesh.retrybudget import RetryLimits
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.names import HeaderNames
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.state import MeshState

# Seconds after which a caller that was refused may come back if nothing better is
# known: time for a link to be opened or a node to start.
COME_BACK = 0.3
# Seconds after which a stopped node should be back: the rest of its end and its start.
STOPPED_SECONDS = 1.0
# How many times its usual time a call may take, with one in a hundred above; a node
# that stops takes no call that would then outlast it.
LONGEST = 4.0
# Attempts that reach no upstream, at most: each costs a round trip only, but a fleet
# that refuses should be told to the caller soon.
FRUITLESS_MOST = 6


class Entry:
    """Serves the callers and the upstream of this VM.

    Attributes
    ----------
    closes_at : float
        When this node ends; infinite until it is told to stop.
    """

    def __init__(
        self,
        service: str,
        regions: dict[str, str],
        names: HeaderNames,
        state: MeshState,
        home: Home,
        peers: Peers,
        repeats: RetryLimits,
        rng: Random,
        log: EventLog,
    ) -> None:
        self.service = service
        self.names = names
        self.state = state
        self.peers = peers
        self.attempts = Attempts(state, home, peers, repeats, regions, log)
        self.log = log
        self.splitter = Splitter(rng)
        self.closes_at = float("inf")
        self.deadlines = Deadlines()
        self.counts: Counter[tuple[str, str]] = Counter()
        self.reasons = self.attempts.reasons
        self.own_headers = frozenset(
            {names.time_left, names.instance, names.caller_service}
        )

    @cached_property
    def latency(self) -> HdrHistogram:
        """Return the time to the final answers, in milliseconds.

        Imported with the first call, as a node has to start soon.
        """
        from hdrh.histogram import HdrHistogram

        return HdrHistogram(1, 3_600_000, 2)

    async def handle(self, request: Request) -> Answer:
        """Return the final answer to a call."""
        arrived = clock.now()
        table = self.state.table
        if table is None:
            return self.refuse(request, "no-configuration", COME_BACK)
        route = table.match(request.header("host"), request.target)
        if route is None:
            return self.no_route(request)
        service = self.splitter.choose(route.name, route.split, "")
        left = self.time_left(request, route)
        if left <= 0:
            return self.refuse(request, "no-time", COME_BACK)
        if self.too_late(route, arrived):
            return self.refuse(request, "stopping", STOPPED_SECONDS, service)
        progress = Progress(
            self.forwarded(request),
            route,
            service,
            min(arrived + left, self.closes_at),
            arrived + route.objective,
        )
        held = self.attempts.held_seconds(progress)
        if held:
            return self.refuse(request, RefusalReason.HELD_BACK, held, service)
        self.attempts.budgets.of(service).record_first(arrived)
        try:
            answer = await self.in_time(progress)
        except TimeoutError:
            answer = self.timed_out(progress)
        except asyncio.CancelledError:
            self.counts[service, "caller-left"] += 1
            raise
        self.counts[service, str(answer.status)] += 1
        self.latency.record_value(max(1, int((clock.now() - arrived) * 1000)))
        return answer

    async def in_time(self, progress: Progress) -> Answer:
        """Serve a call; raise TimeoutError once its time is over."""
        limit = self.deadlines.at(progress.deadline, progress.time_over)
        try:
            return await self.serve(progress)
        finally:
            limit.cancel()

    def woke(self, now: float) -> None:
        """Answer the calls whose time ran out while this VM stood still."""
        self.deadlines.woke(now)

    def stop_at(self, closes_at: float) -> None:
        """Answer every call by a time, at which this node is about to end.

        A call that takes longer than this node has left would keep its caller waiting
        until the connection ends without a word. Worse, the answers to calls behind it
        on the same connection are due after its own: they were ready for seconds, and
        their callers never got them.
        """
        self.closes_at = closes_at
        self.deadlines.cap(closes_at)

    def no_route(self, request: Request) -> Answer:
        """Answer a call that no route matches."""
        if self.state.may_lack_a_route(clock.now()):
            return self.refuse(request, "no-fresh-configuration", COME_BACK)
        self.counts["", "404"] += 1
        self.log.call(
            "no-route",
            request,
            host=request.header("host"),
            target=request.target,
            version=self.state.version,
            age=f"{self.peers.age():.2f}",
        )
        return own_answer(404, "no route")

    def time_left(self, request: Request, route: Route) -> float:
        """Return the seconds until the final answer is due."""
        text = request.header(self.names.time_left)
        try:
            told = float(text) / 1000
        except ValueError:
            return route.timeout
        return min(told, route.timeout)

    def too_late(self, route: Route, now: float) -> bool:
        """Return whether this node might end before a new call does.

        A node that is told to stop goes on serving the callers that have not moved
        away. One that took a long call in its last seconds would cut it at its end, and
        the caller would not know whether it ran.
        """
        usual = self.attempts.placing.mean_seconds.get(route.name, INITIAL_ESTIMATE)
        return now + LONGEST * usual > self.closes_at

    def forwarded(self, request: Request) -> Request:
        """Return the request as upstreams get it."""
        headers = end_to_end(request.headers, self.own_headers)
        headers += ((self.names.caller_service, self.service),)
        return replace(request, headers=headers)

    # Attempts.

    async def serve(self, progress: Progress) -> Answer:
        """Try endpoints until there is a final answer."""
        while True:
            endpoint = self.attempts.choose(progress)
            if endpoint is None:
                return self.final(progress, self.attempts.lacking(progress))
            endpoint, outcome = await self.attempts.call(progress, endpoint)
            progress.last = outcome
            if not self.again(progress, endpoint, outcome):
                return self.final(progress, "gave-up")

    def again(self, progress: Progress, endpoint: Endpoint, outcome: Outcome) -> bool:
        """Return whether another endpoint is tried."""
        progress.tried.add(endpoint.incarnation)
        fruitless = isinstance(outcome, NotRun) and not outcome.from_upstream
        if fruitless:
            progress.fruitless += 1
            decision = (
                outcome.reason != RefusalReason.HELD_BACK
                and progress.fruitless <= FRUITLESS_MOST
            )
        else:
            progress.reached += 1
            progress.may_have_run |= not isinstance(outcome, NotRun)
            decision = self.repeat_allowed(progress, outcome)
        if isinstance(outcome, NotRun):
            progress.retry_after = min(progress.retry_after, outcome.retry_after)
            if outcome.reason == RefusalReason.HELD_BACK:
                # No other home lets it run sooner.
                progress.retry_after = outcome.retry_after
        if not isinstance(outcome, Answer):
            self.reasons[outcome.reason] += 1
            self.log.call(
                "attempt-failed",
                progress.request,
                service=progress.service,
                instance=endpoint.instance,
                outcome=type(outcome).__name__,
                reason=outcome.reason,
                again=decision,
                left=f"{progress.deadline - clock.now():.3f}",
                version=self.state.version,
                age=f"{self.peers.age():.2f}",
            )
        return decision

    def repeat_allowed(self, progress: Progress, outcome: Outcome) -> bool:
        """Return whether a call that reached an upstream is sent to another."""
        if isinstance(outcome, Answer):
            if outcome.status not in TRY_ELSEWHERE or not progress.route.idempotent:
                return False
        elif isinstance(outcome, Unknown) and not progress.route.idempotent:
            return False
        if progress.reached >= progress.route.attempts:
            return False
        if self.attempts.held_seconds(progress):
            return False
        if not self.attempts.others_left(progress):
            return False
        return self.attempts.repeat(progress.service)

    # Final answers.

    def final(self, progress: Progress, reason: str) -> Answer:
        """Return the answer that the last attempt leaves."""
        last = progress.last
        if isinstance(last, Answer):
            return last
        if isinstance(last, Unknown):
            # The home's clock may run out a moment before this node's.
            status = 504 if last.reason == TIMED_OUT else 502
            return self.fail(progress, status, last.reason)
        if progress.may_have_run:
            return self.fail(progress, 502, reason)
        if isinstance(last, NotRun):
            wait = max(progress.retry_after, MIN_RETRY_AFTER)
            return self.refuse(progress.request, last.reason, wait, progress.service)
        return self.refuse(progress.request, reason, COME_BACK, progress.service)

    def timed_out(self, progress: Progress) -> Answer:
        """Answer a call whose time is over while an attempt was under way."""
        return self.fail(progress, 504, TIMED_OUT)

    def fail(self, progress: Progress, status: int, reason: str) -> Answer:
        """Answer a call that may have run."""
        self.reasons[reason] += 1
        self.log.call(
            "call-failed",
            progress.request,
            service=progress.service,
            status=status,
            reason=reason,
            reached=progress.reached,
            version=self.state.version,
            age=f"{self.peers.age():.2f}",
        )
        return own_answer(status, reason)

    def refuse(
        self, request: Request, reason: str, retry_after: float, service: str = ""
    ) -> Answer:
        """Answer a call that has not run and tell when to come back."""
        self.reasons[reason] += 1
        self.log.call(
            "call-refused",
            request,
            service=service,
            status=503,
            reason=reason,
            retry_after=f"{retry_after:.3f}",
            version=self.state.version,
            age=f"{self.peers.age():.2f}",
        )
        return own_answer(503, reason, retry_after)
