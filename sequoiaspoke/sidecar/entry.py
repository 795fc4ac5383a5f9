"""Route callers' calls to endpoints and return the final answers.

A call is routed by the configuration in force when it arrived. After a failed attempt
it is retried only if it certainly has not run or its route is idempotent, and only
while there is time, another endpoint and room in the retry budget.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from functools import cached_property, partial
from math import isinf, isnan
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import MIN_RETRY_AFTER, RefusalReason
from sequoiaspoke.core.mesh.durations import INITIAL_ESTIMATE, LONGEST_CALL_FACTOR
from sequoiaspoke.core.mesh.outcome import (
    NOT_RUN_STATUSES,
    TIMED_OUT,
    Answer,
    NotRun,
    Unknown,
)
from sequoiaspoke.core.routing.split import Splitter
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.attempts import Attempts, is_busy
from sequoiaspoke.sidecar.bodypolicy import (
    MEMORY_REFUSED,
    MEMORY_RETRY_AFTER,
    STOPPING,
    BodyPolicy,
)
from sequoiaspoke.sidecar.callerserver import CUT
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.httptext import end_to_end, local_answer
from sequoiaspoke.sidecar.race import (
    MAX_UNREACHED_ATTEMPTS,
    RETRYABLE_STATUSES,
    Progress,
)
from sequoiaspoke.sidecar.stopplan import RESTART_SECONDS, RUNNING

if TYPE_CHECKING:
    from random import Random

    from hdrh.histogram import HdrHistogram

    from sequoiaspoke.core.mesh.model import Endpoint, Route
    from sequoiaspoke.core.mesh.outcome import Outcome, Request
    from sequoiaspoke.core.mesh.retrybudget import RetryLimits
    from sequoiaspoke.endedinput import CallerEnd
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.names import HeaderNames
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.state import MeshState
    from sequoiaspoke.sidecar.stopplan import StopPlan

# Default Retry-After in seconds: time for a link to be opened or a node to start.
RETRY_AFTER_SECONDS = 0.3
# Reason of the answer to a call that was cut off because this process exits.
EXITING = "exiting"
# Reason counted when a connection is closed for its unread answers.
SLOW_CALLER = "slow-caller"
# Reason counted when the kernel ends a connection with unread answers or for a timeout.
LOST_CALLER = "lost-caller"
# Beginning of the reasons counted when a caller ends its connection with calls on it.
LEFT_CALLER = "left-caller"
# Reason counted when a connection is closed with received bytes that were not read.
INPUT_DROPPED = "input-dropped"
# Reason counted when a connection ends before a request behind its last answer.
UNREAD = "unread"
# Seconds before its deadline at which a call is withdrawn: time for the message and
# the outcome to pass a busy home and link, and for the answer to reach the caller.
WITHDRAW_SECONDS, MAX_WITHDRAW_SECONDS = 0.06, 0.1
# The same as a multiple of the round trip of the link to the home, as the shortest
# round trip was measured and messages may wait behind others.
WITHDRAW_ROUND_TRIPS = 3
# Maximum share of a call's time that is left when it is withdrawn. A call that has only
# a tenth of a second would otherwise be withdrawn on its arrival.
MAX_WITHDRAW_SHARE = 0.5
# Statuses of nested calls that were refused or timed out, as their service lacks room.
SHORTAGE_STATUSES = frozenset({503, 504})


class Entry(BodyPolicy):
    """Serves calls from callers and from the upstream on this VM.

    Attributes
    ----------
    plan : StopPlan
        Which calls are taken, and when they are answered, once the node stops.
    active : set of Progress
        Calls without a final answer.
    withdrawals : Deadlines
        Times at which calls are withdrawn if they have not been started.
    counts : Counter of tuple of str and str
        Final answers so far, by service and status.
    stripped_headers : frozenset of str
        Request headers that are not forwarded to upstreams.
    """

    def __init__(
        self,
        service: str,
        regions: dict[str, str],
        names: HeaderNames,
        state: MeshState,
        home: Home,
        peers: Peers,
        retry_limits: RetryLimits,
        rng: Random,
        log: EventLog,
    ) -> None:
        self.service = service
        self.names = names
        self.state = state
        self.peers = peers
        self.attempts = Attempts(state, home, peers, retry_limits, regions, names, log)
        self.log = log
        self.splitter = Splitter(rng)
        self.plan = RUNNING
        self.active: set[Progress] = set()
        self.deadlines = Deadlines()
        self.withdrawals = Deadlines()
        self.counts: Counter[tuple[str, str]] = Counter()
        self.reasons = self.attempts.reasons
        self.stripped_headers = frozenset(
            {names.time_left, names.instance, names.caller_service}
        )

    @cached_property
    def latency(self) -> HdrHistogram:
        """Return the histogram of times to the final answers, in milliseconds.

        Its library is imported at the first call to keep the start of a node short.
        """
        from hdrh.histogram import HdrHistogram

        return HdrHistogram(1, 3_600_000, 2)

    async def handle(self, request: Request) -> Answer:
        """Return the final answer to a call.

        Its time counts from the first byte that its caller has sent.
        """
        arrived = clock.now()
        began = arrived - request.upload_seconds
        table = self.state.table
        if table is None:
            return self.refuse(request, "no-configuration", RETRY_AFTER_SECONDS)
        home = self.attempts.home
        parent = home.parents.find_parent(request.header(self.names.call_id))
        kind = None if parent is None else home.parents.kinds[parent]
        if kind is not None:
            home.calling_kinds.record_nested(kind)
        route = table.match(request.header("host"), request.target)
        if route is None:
            return self.no_route(request)
        service = self.splitter.choose(route.name, route.split, "")
        deadline = began + self.time_left(request, route)
        left = deadline - arrived
        if left <= 0:
            return self.refuse(request, "no-time", RETRY_AFTER_SECONDS)
        if not self.plan.takes(arrived, deadline, self.longest_usual(route)):
            return self.refuse(request, STOPPING, RESTART_SECONDS, service)
        if table.has_large_bodies:
            request = replace(request, nested=parent is not None)
        progress = Progress(
            self.forwarded(request),
            route,
            service,
            self.plan.answer_due(deadline),
            began + route.objective,
            may_withdraw=table.has_large_bodies,
        )
        quarantine = self.attempts.quarantine_seconds(progress)
        if quarantine:
            return self.refuse(request, RefusalReason.HELD_BACK, quarantine, service)
        self.attempts.budgets.of(service).record_first(arrived)
        self.active.add(progress)
        if parent is not None:
            at_once = home.parents.begin_nested(parent)
            home.calling_kinds.record_nested(kind, at_once)
        try:
            answer = await self.serve_until_deadline(progress)
        except TimeoutError:
            answer = self.timed_out(progress)
        except asyncio.CancelledError:
            self.counts[service, "caller-left"] += 1
            raise
        finally:
            self.active.discard(progress)
            progress.discard()
            if parent is not None:
                home.parents.end_nested(parent)
        if parent is not None and table.has_large_bodies:
            failed = answer.status in SHORTAGE_STATUSES
            home.nested_room.record(service, failed, clock.now(), kind)
        self.counts[service, str(answer.status)] += 1
        self.latency.record_value(max(1, int((clock.now() - arrived) * 1000)))
        return answer

    def early_refusal(self, head: Request) -> Answer | None:
        """Refuse a call whose body is still to come if it is known not to be servable.

        Without a configuration nothing is known of its route.
        """
        table = self.state.table
        if table is None:
            return self.refuse(head, "no-configuration", RETRY_AFTER_SECONDS)
        route = table.match(head.header("host"), head.target)
        if route is None:
            return None
        now = clock.now()
        deadline = now - head.upload_seconds + self.time_left(head, route)
        if not self.plan.takes(now, deadline, self.longest_usual(route)):
            return self.refuse(head, STOPPING, RESTART_SECONDS)
        if not route.large_bodies:
            return None
        services = [each.service for each in route.split]
        if any(self.state.directory.serving(service) for service in services):
            return None
        return self.refuse(head, "no-endpoint", RETRY_AFTER_SECONDS, services[0])

    def refuse_incomplete(self, head: Request) -> Answer:
        """Refuse a call whose body has not arrived as this node ends its input."""
        return self.refuse(head, STOPPING, RESTART_SECONDS)

    def refuse_for_memory(self, head: Request) -> Answer:
        """Refuse a call whose body does not fit into the memory account."""
        return self.refuse(head, MEMORY_REFUSED, MEMORY_RETRY_AFTER)

    def caller_closed(self, unread: int) -> None:
        """Count and log a connection that was closed for its unread bytes."""
        self.reasons[SLOW_CALLER] += 1
        self.log.event("caller-closed", unread=unread)

    def caller_lost(self, error: str, calls: int, unread: int) -> None:
        """Count and log a connection that the kernel ended."""
        self.reasons[LOST_CALLER] += 1
        self.log.event("caller-lost", error=error, calls=calls, unread=unread)

    def caller_left(self, end: CallerEnd, calls: int) -> None:
        """Count and log how a connection with unanswered calls has ended."""
        self.reasons[f"{LEFT_CALLER}-{end}"] += 1
        self.log.event("caller-left", end=end, calls=calls)

    def call_cut(self, request: Request) -> None:
        """Count and log a call that was cut off while its caller waits."""
        self.reasons[CUT] += 1
        self.log.call("call-cut", request)

    def call_unread(self, head: Request) -> None:
        """Count and log a call that counts as not read, as its connection ends."""
        self.reasons[UNREAD] += 1
        self.log.call("call-unread", head)

    def input_dropped(self, size: int) -> None:
        """Count and log a connection that is closed with bytes not read yet."""
        self.reasons[INPUT_DROPPED] += 1
        self.log.event("input-dropped", bytes=size)

    async def serve_until_deadline(self, progress: Progress) -> Answer:
        """Serve a call; raise TimeoutError at its deadline."""
        timer = self.deadlines.call_at(progress.deadline, progress.expire)
        if progress.may_withdraw:
            self.schedule_withdrawal(progress)
        try:
            return await self.serve(progress)
        finally:
            timer.cancel()
            if progress.withdrawal is not None:
                progress.withdrawal.cancel()

    def schedule_withdrawal(self, progress: Progress) -> None:
        """Schedule the first time at which a call might have to be withdrawn."""
        left = progress.deadline - clock.now()
        progress.withdraw_seconds = min(MAX_WITHDRAW_SECONDS, MAX_WITHDRAW_SHARE * left)
        progress.withdrawal = self.withdrawals.call_at(
            progress.deadline - progress.withdraw_seconds,
            partial(self.withdraw_in_time, progress),
        )

    def withdraw_in_time(self, progress: Progress) -> None:
        """Withdraw a call, or schedule that if the links to its homes allow for it."""
        seconds = min(self.withdraw_seconds(progress), progress.withdraw_seconds)
        when = progress.deadline - seconds
        if when <= clock.now() or when > self.withdrawals.latest:
            progress.withdraw()
        else:
            progress.withdrawal = self.withdrawals.call_at(when, progress.withdraw)

    def withdraw_seconds(self, progress: Progress) -> float:
        """Return how long before its deadline a call has to be withdrawn."""
        round_trips = [
            link.round_trip
            for attempt in progress.attempts_under_way()
            if (link := self.peers.links.get(attempt.endpoint.host)) is not None
        ]
        longest = max(round_trips, default=0.0)
        return max(WITHDRAW_SECONDS, WITHDRAW_ROUND_TRIPS * longest)

    def vm_resumed(self, now: float) -> None:
        """Answer the calls whose deadline passed while this VM was suspended."""
        self.withdrawals.vm_resumed(now)
        self.deadlines.vm_resumed(now)

    def stop(self, plan: StopPlan) -> None:
        """Have every call answered before this process exits.

        Otherwise a call that runs longer than that ends with a closed connection and no
        answer. Pipelined calls behind it would lose their answers too, even finished
        ones, because answers are sent in the order of the requests.
        """
        self.plan = plan
        self.deadlines.cap(plan.answers_by)
        self.withdrawals.cap(plan.answers_by - MAX_WITHDRAW_SECONDS)
        for progress in self.active:
            progress.deadline = plan.answer_due(progress.deadline)
        self.withdrawals.call_at(plan.withdraws_at, self.withdraw_waiting)

    def withdraw_waiting(self) -> None:
        """Withdraw the calls that no upstream has and the exit would cut off."""
        waiting = [each for each in self.active if self.cut_off(each)]
        for progress in waiting:
            progress.withdraw()
        self.log.event("calls-withdrawn", calls=len(waiting))

    def no_route(self, request: Request) -> Answer:
        """Answer a call that no route matches.

        If the configuration may be out of date, a newer one may have the route: the
        call is refused with 503 instead of answered with 404.
        """
        if self.state.may_lack_route(clock.now()):
            return self.refuse(request, "no-fresh-configuration", RETRY_AFTER_SECONDS)
        self.counts["", "404"] += 1
        self.log.call(
            "no-route",
            request,
            host=request.header("host"),
            target=request.target,
            version=self.state.version,
            age=f"{self.peers.age():.2f}",
        )
        return local_answer(404, "no route")

    def time_left(self, request: Request, route: Route) -> float:
        """Return the seconds until the final answer is due.

        This is the smaller of the caller's header and the timeout of the route.
        """
        text = request.header(self.names.time_left)
        try:
            requested = float(text) / 1000
        except ValueError:
            return route.timeout
        return route.timeout if isnan(requested) else min(requested, route.timeout)

    def longest_usual(self, route: Route) -> float:
        """Return the seconds after which a call of a route has usually ended."""
        usual = self.attempts.balancer.mean_seconds.get(route.name, INITIAL_ESTIMATE)
        return LONGEST_CALL_FACTOR * usual

    def forwarded(self, request: Request) -> Request:
        """Return the request as it is forwarded to upstreams."""
        headers = end_to_end(request.headers, self.stripped_headers)
        headers += ((self.names.caller_service, self.service),)
        return replace(request, headers=headers)

    # Attempts.

    async def serve(self, progress: Progress) -> Answer:
        """Make attempts until there is a final answer."""
        while True:
            endpoint = self.attempts.choose(progress)
            if endpoint is None:
                return self.final_answer(
                    progress, self.attempts.no_endpoint_reason(progress)
                )
            endpoint, outcome = await self.attempts.call(progress, endpoint)
            if is_busy(progress, outcome) and self.has_time(progress):
                continue
            progress.last_outcome = outcome
            progress.record_other_attempt(endpoint)
            if not self.should_retry(progress, endpoint, outcome):
                return self.final_answer(progress, "gave-up")

    def has_time(self, progress: Progress) -> bool:
        """Return whether another attempt of a call may be made in its time."""
        if progress.ending:
            return False
        route = progress.route
        return route.idempotent or self.plan.can_begin(
            clock.now(), progress.deadline, self.longest_usual(route)
        )

    def should_retry(
        self, progress: Progress, endpoint: Endpoint, outcome: Outcome
    ) -> bool:
        """Record the outcome of an attempt; return whether to make another."""
        progress.tried.add(endpoint.incarnation)
        unreached = isinstance(outcome, NotRun) and not outcome.from_upstream
        if unreached:
            progress.unreached += 1
            retry = (
                outcome.reason != RefusalReason.HELD_BACK
                and progress.unreached <= MAX_UNREACHED_ATTEMPTS
                and not progress.out_of_homes(outcome)
                and self.has_time(progress)
            )
        else:
            progress.reached += 1
            progress.possible_runs += not isinstance(outcome, NotRun)
            retry = self.may_retry(progress, outcome)
        if isinstance(outcome, NotRun):
            progress.record_retry_after(outcome)
            if outcome.reason == RefusalReason.HELD_BACK:
                # All homes hold the request back for as long.
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
                again=retry,
                left=f"{progress.deadline - clock.now():.3f}",
                version=self.state.version,
                age=f"{self.peers.age():.2f}",
                **progress.told_wait(),
            )
        return retry

    def may_retry(self, progress: Progress, outcome: Outcome) -> bool:
        """Return whether a call that reached an upstream may be retried.

        If so, the retry is taken out of the budget.
        """
        if isinstance(outcome, Answer):
            progress.last_answer = outcome
            if (
                outcome.status not in RETRYABLE_STATUSES
                or not progress.route.idempotent
            ):
                return False
        elif isinstance(outcome, Unknown) and not progress.route.idempotent:
            return False
        if progress.reached >= progress.route.attempts or not self.has_time(progress):
            return False
        if self.attempts.quarantine_seconds(progress):
            return False
        if not self.attempts.has_endpoints(progress):
            return False
        return self.attempts.take_retry(progress.service)

    # Final answers.

    def final_answer(self, progress: Progress, reason: str) -> Answer:
        """Return the final answer to a call that is not tried again."""
        last_outcome = progress.last_outcome
        if isinstance(last_outcome, NotRun) and progress.route.idempotent:
            # The answer before a refused retry, if any, is complete and true.
            last_outcome = progress.last_answer or last_outcome
        if isinstance(last_outcome, Answer):
            if last_outcome.status in NOT_RUN_STATUSES and (
                progress.possible_runs > 1 or not progress.route.idempotent
            ):
                # It may have run, in this attempt or in another one.
                return self.fail(progress, 502, reason)
            return last_outcome
        if isinstance(last_outcome, Unknown):
            # The home's timer may expire a moment before this node's.
            status = 504 if last_outcome.reason == TIMED_OUT else 502
            return self.fail(progress, status, last_outcome.reason)
        if progress.may_have_run:
            return self.fail(progress, 502, reason)
        if isinstance(last_outcome, NotRun):
            return self.refuse_unserved(progress, last_outcome.reason)
        return self.refuse(
            progress.request, reason, RETRY_AFTER_SECONDS, progress.service
        )

    def timed_out(self, progress: Progress) -> Answer:
        """Answer a call whose deadline passed during or between attempts."""
        if progress.not_run:
            return self.refuse_unserved(progress, TIMED_OUT)
        return self.fail(
            progress, 504, EXITING if self.cut_off(progress) else TIMED_OUT
        )

    def cut_off(self, progress: Progress) -> bool:
        """Return whether a call ends because this node exits, not at its deadline."""
        return progress.deadline >= self.plan.answers_by

    def refuse_unserved(self, progress: Progress, reason: str) -> Answer:
        """Answer a call that no home has started, with the shortest time they told."""
        told = progress.told_retry_after
        wait = MIN_RETRY_AFTER if isinf(told) else max(told, MIN_RETRY_AFTER)
        return self.refuse(progress.request, reason, wait, progress.service)

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
        return local_answer(status, reason)

    def refuse(
        self, request: Request, reason: str, retry_after: float, service: str = ""
    ) -> Answer:
        """Answer a call that has not run, with a Retry-After header."""
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
        return local_answer(503, reason, retry_after)
