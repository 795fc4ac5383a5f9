"""Run calls at the upstream beside this node.

Every call to the upstream goes through its home.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from functools import partial
from itertools import chain
from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import (
    MIN_RETRY_AFTER,
    Admission,
    Arrival,
    RefusalReason,
    Refused,
)
from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.leaving import LeavingUpstreams
from sequoiaspoke.core.mesh.ledger import Ledger
from sequoiaspoke.core.mesh.memory import SMALL_BODY, MemoryAccount
from sequoiaspoke.core.mesh.outcome import (
    RESET_AT_ONCE,
    UPSTREAM_CRASHED,
    Answer,
    NotRun,
    Unknown,
)
from sequoiaspoke.core.mesh.parents import CallingKinds, RunningParents
from sequoiaspoke.core.mesh.slots import CANCEL_SECONDS
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.bodypolicy import MEMORY_REFUSED, MEMORY_RETRY_AFTER
from sequoiaspoke.sidecar.crashdetector import CrashDetector, SentCall
from sequoiaspoke.sidecar.crashguard import CrashGuard
from sequoiaspoke.sidecar.healthmonitor import HealthMonitor
from sequoiaspoke.sidecar.homecall import ActiveCall
from sequoiaspoke.sidecar.outagelog import OutageLog
from sequoiaspoke.sidecar.overdue import OverdueTimer
from sequoiaspoke.sidecar.stopplan import RUNNING
from sequoiaspoke.sidecar.transfers import BodyReceiver, IncomingBodies
from sequoiaspoke.sidecar.upstream import UNREACHABLE

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from sequoiaspoke.core.mesh.directory import Directory
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.core.mesh.slots import Load
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.stopplan import StopPlan
    from sequoiaspoke.sidecar.transfers import AnnouncedBody, BodySource
    from sequoiaspoke.sidecar.upstream import Upstream
    from sequoiaspoke.sidecar.upstreamreport import UpstreamReport

WITHDRAWN = RefusalReason.WITHDRAWN
# Reason logged and counted when a stopping node refuses a call that could outlast it.
OUTLASTING = "outlasting"
# Slots assumed until the platform publishes a number; every upstream has at least one.
INITIAL_SLOTS = 1
# Retry-After, in seconds, of refusals by a node that is about to stop.
LEAVING_RETRY_AFTER = 0.3
# Share of the time until its deadline that a call of another node is assumed to take if
# its route was measured for less than that time. Timeouts leave room for a second
# attempt.
UNMEASURED_SHARE = 0.5
# Longest Retry-After, in seconds, of refusals by a node that keeps too many calls.
LEDGER_RETRY_AFTER = 5.0
# Retry-After, in seconds, of refusals by a node whose zone is evacuated. A caller gets
# it only if no other zone has served its call.
EVACUATED_RETRY_AFTER = 0.3


class Home(BodyReceiver):
    """Admits calls to the upstream, runs them and records their outcomes.

    Attributes
    ----------
    leaving : bool
        Whether this node is about to stop and refuses new calls.
    plan : StopPlan
        What is taken until the exit, once the node stops.
    reachable : callable
        Tells whether the home of an endpoint takes calls, as far as this node knows.
    evacuated : bool
        Whether the zone is evacuated and new calls are refused.
    evacuation_ended_at : int
        Revision of the store at which the last known evacuation of the zone ended.
    incarnation : Incarnation or None
        Current incarnation of the upstream, as last published by the platform.
    last_load : Load or None
        Load that the upstream reported with the last outcome, for the log.
    memory : MemoryAccount
        Memory of the node. The requests of its own callers are counted where they
        arrive.
    call_id_header : str
        Header with the id of a call; empty if nested calls are not recognized by ids.
    previous_incarnation : Incarnation or None
        The one before the current one; late answers of it say nothing about that one.
    """

    def __init__(
        self,
        upstream: Upstream,
        directory: Directory,
        log: EventLog,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.upstream = upstream
        self.directory = directory
        self.log = log
        self.admission = Admission(INITIAL_SLOTS)
        self.nested_room = self.admission.nested_room
        self.parents = RunningParents()
        self.calling_kinds = CallingKinds()
        self.call_id_header = ""
        self.upstream_bytes = self.admission.upstream_bytes
        self.ledger = Ledger()
        self.calls: dict[Hashable, ActiveCall] = {}
        self.leaving = False
        self.plan = RUNNING
        self.reachable: Callable[[Endpoint], bool] = lambda endpoint: True  # noqa: ARG005
        self.evacuated = False
        self.evacuation_ended_at = 0
        self.health_monitor = HealthMonitor(
            self.admission, upstream, log, self.apply_health_report, self.dispatch
        )
        self.crash_guard = CrashGuard(directory, log)
        self.crash_guard.on_change = self.apply_quarantine
        self.crash_detector = CrashDetector(
            lambda: self.upstream.refuses_connections(),
            self.crash_guard.service_of,
            self.crash_guard.report,
            self.upstream_bytes.record_crash,
        )
        self.incarnation: Incarnation | None = None
        self.last_load: Load | None = None
        self.previous_incarnation: Incarnation | None = None
        self.outage_log = OutageLog(log)
        self.leaving_upstreams = LeavingUpstreams(directory.is_leaving)
        self.counts: Counter[str] = Counter()
        self.overdue_timer = OverdueTimer(self.admission, self.dispatch)
        self.memory = MemoryAccount() if memory is None else memory
        self.bodies = IncomingBodies(self.admission, self.counts, self, self.memory)

    def submit(
        self,
        key: Hashable,
        call: HomeCall,
        on_outcome: Callable[[Outcome], None],
        body: AnnouncedBody | None = None,
    ) -> None:
        """Accept a call and report its outcome once.

        A key that is known already is not run again: its stored outcome is reported, or
        `on_outcome` replaces the callback of the running call.

        Parameters
        ----------
        body : AnnouncedBody or None
            The body if it follows in parts; None if the call has it.
        """
        now = clock.now()
        known = self.ledger.find(key)
        if known is not None:
            self.counts["asked-again"] += 1
            running = self.calls.get(key)
            if running is not None:
                running.on_outcome = on_outcome
                if body is not None:
                    self.bodies.resume(key, body, now)
            else:
                on_outcome(known.outcome or Unknown("answer-forgotten"))
            return
        refusal = self.find_refusal(call) or self.memory_refusal(call, body)
        if refusal is not None:
            on_outcome(refusal)
            return
        arrival = Arrival(
            key,
            call.route,
            call.rank,
            call.on_time,
            call.deadline,
            call.idempotent,
            call.max_wait,
        )
        if self.suspected(call):
            self.admission.suspects.add(key)
        if body is not None:
            self.bodies.announce(key, call.route, call.rank, body, now)
        refused = self.admission.arrive(arrival, now)
        if refused is not None and refused.arrival is arrival:
            self.admission.suspects.discard(key)
            self.bodies.drop(key)
            self.record_refusal(refused, call)
            on_outcome(NotRun(refused.reason, refused.retry_after))
            return
        self.ledger.begin(key, None if call.idempotent else call.deadline)
        reserved = 0
        if call.remote:
            reserved = call.request.head_memory + len(call.request.body)
            self.memory.reserve(reserved)
        self.calls[key] = ActiveCall(call, on_outcome, reserved=reserved)
        self.upstream_bytes.add(key, len(call.request.body))
        if refused is not None:
            self.refuse(refused)
        self.dispatch()

    def body_complete(self, key: Hashable, body: bytes) -> None:
        """Let a queued call start, as its body has arrived.

        Whether its request is in quarantine or suspected shows only now.
        """
        running = self.calls[key]
        call = running.call
        call = replace(call, request=replace(call.request, body=body))
        running.call = call
        self.upstream_bytes.add(key, len(body))
        seconds = self.held_seconds(call)
        if seconds:
            arrival = self.admission.queue[key]
            self.refuse_queued(Refused(arrival, RefusalReason.HELD_BACK, seconds))
        elif self.suspected(call):
            self.admission.suspects.add(key)
        self.dispatch()

    def refuse_queued(self, refused: Refused) -> None:
        """Take a call out of the queue and refuse it."""
        self.admission.cancel(refused.arrival.ticket)
        self.refuse(refused)

    def stop(self, plan: StopPlan) -> None:
        """Start no call from now on that the exit of this process might cut off."""
        self.plan = plan
        for arrival in list(self.admission.queue.values()):
            call = self.calls[arrival.ticket].call
            refusal = self.outlasting_refusal(call, queued=True)
            if refusal is not None:
                self.refuse_queued(
                    Refused(arrival, refusal.reason, refusal.retry_after)
                )

    @property
    def ends_by(self) -> float:
        """Return when calls that are started have to end, infinite until a stop."""
        return self.plan.ends_by

    @property
    def stopping(self) -> bool:
        """Return whether this node was told to stop."""
        return self.ends_by != inf

    @property
    def calling(self) -> int:
        """Return how many calls those that run or wait here may make at once."""
        running = self.nested_room.running.values()
        waiting = (each.kind for each in self.admission.queue.values())
        return sum(map(self.calling_kinds.calls_at_once, chain(running, waiting)))

    def link_lost(self, source: BodySource) -> None:
        """Allow for bodies whose link to their entry has ended."""
        self.bodies.link_lost(source, clock.now())

    def expect_earlier_calls(self) -> None:
        """Allow for calls that a previous process of this node sent to the upstream.

        They may still run there, and the upstream may be cold or limit its calls.
        """
        self.admission.rate_limit.forget()
        self.admission.upstream_slots.has_answered = False
        self.admission.cold_start.expect_earlier_calls(clock.STARTED)
        self.health_monitor.assume_cold(clock.STARTED)

    def find_refusal(self, call: HomeCall) -> NotRun | None:
        """Return why a call is refused regardless of load, None if it is not."""
        if self.leaving or clock.now() > self.ends_by:
            # The process may not have run when it was due to leave.
            retry_after = self.leaving_retry_after(self.goes_elsewhere(call))
            return NotRun(RefusalReason.LEAVING, retry_after)
        refusal = self.outlasting_refusal(call)
        if refusal is not None:
            return refusal
        if self.evacuated:
            self.counts[RefusalReason.ZONE_EVACUATED] += 1
            return NotRun(RefusalReason.ZONE_EVACUATED, EVACUATED_RETRY_AFTER)
        if self.directory.is_leaving(call.incarnation):
            return NotRun(self.departure_reason(call.incarnation))
        seconds = self.held_seconds(call)
        if seconds:
            self.counts[RefusalReason.HELD_BACK] += 1
            return NotRun(RefusalReason.HELD_BACK, seconds)
        if self.ledger.full and not call.idempotent:
            self.counts[RefusalReason.LEDGER_FULL] += 1
            seconds = self.ledger.next_expiry() - clock.now()
            return NotRun(
                RefusalReason.LEDGER_FULL,
                min(max(seconds, MIN_RETRY_AFTER), LEDGER_RETRY_AFTER),
            )
        return None

    def memory_refusal(
        self, call: HomeCall, body: AnnouncedBody | None
    ) -> NotRun | None:
        """Return the refusal of a call that has no room in memory, None if it has.

        A small head and a small body always have. A body that follows in parts is
        refused only if it never has; otherwise it is requested once it has.
        """
        request = call.request
        size = request.head_memory + len(request.body)
        small = max(request.head_memory, len(request.body)) <= SMALL_BODY
        if body is not None and not self.bodies.room.possible(body.size):
            size += body.size
        elif not call.remote or small or self.memory.fits(size):
            return None
        self.counts[MEMORY_REFUSED] += 1
        self.log.call(
            "home-refused",
            call.request,
            reason=MEMORY_REFUSED,
            instance=call.incarnation.instance,
            size=size,
            held=self.memory.held,
            limit=self.memory.limit,
        )
        return NotRun(MEMORY_REFUSED, MEMORY_RETRY_AFTER)

    def outlasting_refusal(self, call: HomeCall, queued: bool = False) -> NotRun | None:
        """Return the refusal of a call that may outlast this node, None without one.

        After the exit of this process has cut it off, the node that has sent it could
        not try it again if it may run only once, or if that node is stopping too. If
        no other home takes the call, it is taken if it ends before by all that is
        known, and otherwise told when this home is back.

        Parameters
        ----------
        queued : bool
            Whether the call waits at this home already.
        """
        if not call.remote or call.deadline <= self.ends_by:
            return None
        now = clock.now()
        wait = 0.0 if queued else self.admission.wait_for_rank(call.rank, now)
        longest, elsewhere = self.longest(call, now), self.goes_elsewhere(call)
        if now + wait + longest <= self.ends_by and not elsewhere:
            return None
        return self.refuse_outlasting(call, longest, elsewhere, wait, queued)

    def refuse_outlasting(
        self,
        call: HomeCall,
        longest: float,
        elsewhere: bool,
        wait: float = 0.0,
        queued: bool = True,
    ) -> NotRun:
        """Count and log the refusal of a call that may outlast this node."""
        now, retry_after = clock.now(), self.leaving_retry_after(elsewhere)
        self.counts[OUTLASTING] += 1
        self.log.call(
            "home-refused",
            call.request,
            reason=OUTLASTING,
            instance=call.incarnation.instance,
            left=f"{call.deadline - now:.3f}",
            ends=f"{self.ends_by - now:.3f}",
            wait=f"{wait:.3f}",
            longest=f"{longest:.3f}",
            elsewhere=elsewhere,
            last_resort=call.last_resort,
            queued=queued,
            retry_after=f"{retry_after:.3f}",
        )
        return NotRun(RefusalReason.LEAVING, retry_after)

    def longest(self, call: HomeCall, now: float) -> float:
        """Return the seconds that a call is assumed to take at most."""
        left, durations = call.deadline - now, self.admission.durations
        told = call.measured
        longest = max(durations.longest(call.route, now), told.longest)
        measured_for = max(durations.measured_for(call.route, now), told.seconds)
        if call.remote and measured_for < left:
            longest = max(longest, UNMEASURED_SHARE * left)
        return min(longest, left)

    def goes_elsewhere(self, call: HomeCall) -> bool:
        """Return whether another home may take a call that this one refuses."""
        return not call.last_resort and self.has_other_homes(call.incarnation)

    def leaving_retry_after(self, elsewhere: bool) -> float:
        """Return the Retry-After of a call that is refused as this node stops.

        Parameters
        ----------
        elsewhere : bool
            Whether another home may take the call.
        """
        if elsewhere or not self.stopping:
            return LEAVING_RETRY_AFTER
        return self.plan.back_after(clock.now())

    def has_other_homes(self, incarnation: Incarnation) -> bool:
        """Return whether another home takes calls of the service of an upstream."""
        record = self.directory.records.get(incarnation.instance)
        if record is None:
            return False
        return any(
            each.host != record.endpoint.host and self.reachable(each)
            for each in self.directory.serving(record.endpoint.service)
        )

    def departure_reason(self, incarnation: Incarnation) -> RefusalReason:
        """Return why an incarnation that is leaving or gone gets no calls."""
        if self.directory.is_draining(incarnation):
            return RefusalReason.INSTANCE_LEAVING
        return RefusalReason.INSTANCE_LEFT

    def suspected(self, call: HomeCall) -> bool:
        """Return whether a call's request is suspected of crashing an upstream."""
        return self.crash_guard.suspected_at(call.incarnation, call.request)

    def held_seconds(self, call: HomeCall) -> float:
        """Return the seconds for which a call's request stays in quarantine."""
        return self.crash_guard.held_seconds_at(call.incarnation, call.request)

    def apply_quarantine(self) -> None:
        """Refuse queued calls that are now in quarantine, and update the suspects.

        Admission runs no two suspects at the same time.
        """
        self.admission.suspects = {
            key for key, running in self.calls.items() if self.suspected(running.call)
        }
        for arrival in list(self.admission.queue.values()):
            seconds = self.held_seconds(self.calls[arrival.ticket].call)
            if seconds:
                self.refuse_queued(Refused(arrival, RefusalReason.HELD_BACK, seconds))
        self.dispatch()

    def dispatch(self) -> None:
        """Start queued calls while there are free slots."""
        if self.stopping:
            self.refuse_calls_beyond_exit(clock.now())
        while True:
            arrival, late = self.admission.next(clock.now())
            for refused in late:
                self.refuse(refused)
            if arrival is None:
                break
            running = self.calls[arrival.ticket]
            running.task = asyncio.ensure_future(self.run(arrival.ticket, running))
            running.task.add_done_callback(partial(self.task_ended, arrival.ticket))
        self.overdue_timer.update()
        self.bodies.request(clock.now())

    async def run(self, key: Hashable, running: ActiveCall) -> None:
        """Run a call at the upstream."""
        call = running.call
        outcome: Outcome | None = None
        try:
            outcome = await self.upstream.call(
                call.request,
                call.incarnation.instance,
                call.deadline,
                call.idempotent,
                partial(self.record_sent, key, running),
            )
            outcome = await self.crash_detector.classify(key, outcome)
            self.apply_outcome(running, outcome)
            if isinstance(outcome, Answer):
                self.crash_guard.answered(call.incarnation, call.request)
                self.calling_kinds.record_answer(self.nested_room.running.get(key))
        finally:
            self.crash_detector.call_ended(key)
            if outcome is None:
                self.end_interrupted(key, running)
            else:
                self.free_slot(key, isinstance(outcome, Answer))
                self.finish(key, outcome)

    def record_sent(self, key: Hashable, running: ActiveCall) -> None:
        """Record that a call is being sent to the upstream."""
        call, running.sent_at = running.call, clock.now()
        self.admission.send(key, running.sent_at)
        kind = self.nested_room.running[key]
        self.parents.begin(call.request.header(self.call_id_header), kind)
        sent = SentCall(call.request, call.incarnation, self.suspected(call))
        self.crash_detector.call_sent(key, sent)

    def task_ended(self, key: Hashable, task: asyncio.Task[None]) -> None:  # noqa: ARG002
        """Finish a call whose task was cancelled before it started."""
        running = self.calls.get(key)
        if running is not None:
            self.end_interrupted(key, running)

    def end_interrupted(self, key: Hashable, running: ActiveCall) -> None:
        """Finish a call whose task has ended without an outcome.

        One that was not sent to the upstream has not run and occupies nothing there.
        """
        if running.sent:
            self.abandon(key)
            self.finish(key, Unknown(running.stop_reason))
        else:
            self.free_slot(key, answered=False)
            self.finish(key, NotRun(running.stop_reason))

    def apply_outcome(self, running: ActiveCall, outcome: Outcome) -> None:
        """Update admission from the upstream's report, or from the kind of failure."""
        report, self.upstream.report = self.upstream.report, None
        load = self.last_load = report.load if report else None
        now = clock.now()
        self.outage_log.record(outcome, now)
        if report is not None and not report.replaced:
            self.apply_report(running.call.incarnation, report, running.sent_at)
        if isinstance(outcome, Answer):
            self.admission.record_answer(load, now)
        elif isinstance(outcome, NotRun) and outcome.from_upstream:
            self.admission.record_refusal(load, now)
        elif outcome.reason in (UNREACHABLE, UPSTREAM_CRASHED):
            # The upstream may be restarting, and is then cold once it is reachable.
            self.health_monitor.assume_cold(now)
        elif isinstance(outcome, Unknown) and outcome.reason == RESET_AT_ONCE:
            self.admission.record_reset(now)

    def apply_health_report(
        self, instance: str, report: UpstreamReport, sent_at: float
    ) -> None:
        """Apply what the upstream reports with the answer to a health check."""
        incarnation = self.incarnation
        if incarnation is not None and instance in ("", incarnation.instance):
            self.apply_report(incarnation, report, sent_at)

    def apply_report(
        self, incarnation: Incarnation, report: UpstreamReport, sent_at: float
    ) -> None:
        """Apply the rate limit and the departure that an incarnation reports.

        Parameters
        ----------
        sent_at : float
            When the answered call was sent.
        """
        if report.leaving and self.directory.mark_draining(incarnation):
            self.log.event("upstream-leaving", instance=incarnation.instance)
        if incarnation == self.previous_incarnation:
            return
        self.record_pace(report)
        if report.invalid_rate_limit:
            self.log.event(
                "upstream-limit-refused",
                instance=incarnation.instance,
                limit=report.invalid_rate_limit,
            )
            return
        rate_limit = self.admission.rate_limit
        before = rate_limit.rate
        rate_limit.record(report.rate_limit, sent_at, clock.now())
        if rate_limit.rate != before:
            self.log.event(
                "upstream-limit",
                instance=incarnation.instance,
                limit="none" if rate_limit.rate is None else rate_limit.rate,
                running=self.admission.running,
                waiting=self.admission.waiting,
            )

    def record_pace(self, report: UpstreamReport) -> None:
        """Apply the pace that the upstream reports, if any."""
        self.counts["pace-dropped"] += report.invalid_pace
        if report.load is not None and report.load.pace is not None:
            for refused in self.admission.record_pace(report.load.pace, clock.now()):
                self.counts["passed-on"] += 1
                self.refuse(refused)

    def free_slot(self, key: Hashable, answered: bool) -> None:
        """Release a call's slot and start the next call."""
        self.upstream_bytes.end(key, answered)
        self.admission.finish(key, answered, clock.now())
        self.dispatch()

    def abandon(self, key: Hashable) -> None:
        """Release the slot of a cancelled call.

        The upstream may work on for a moment, so queued calls start only after that.
        """
        self.admission.abandon(key, clock.now())
        asyncio.get_running_loop().call_later(CANCEL_SECONDS, self.dispatch)

    def finish(self, key: Hashable, outcome: Outcome) -> None:
        """Store a call's outcome and report it."""
        running = self.calls.pop(key)
        self.parents.end(running.call.request.header(self.call_id_header))
        self.admission.suspects.discard(key)
        self.bodies.drop(key)
        self.memory.release(running.reserved)
        self.upstream_bytes.end(key, answered=False)
        size = outcome.memory if isinstance(outcome, Answer) else 0
        self.ledger.finish(key, outcome, size, clock.now())
        self.counts[type(outcome).__name__] += 1
        if not isinstance(outcome, Answer):
            self.log.request(
                "home-failed",
                running.call.request,
                instance=running.call.incarnation.instance,
                outcome=type(outcome).__name__,
                reason=outcome.reason,
                running=self.admission.running,
                waiting=self.admission.waiting,
                load=str(self.last_load) if self.last_load else "untold",
            )
        if not running.cancelled:
            running.on_outcome(outcome)

    def refuse(self, refused: Refused) -> None:
        """Refuse a call that was accepted but has not started."""
        key = refused.arrival.ticket
        self.record_refusal(refused, self.calls[key].call)
        self.finish(key, NotRun(refused.reason, refused.retry_after))

    def record_refusal(self, refused: Refused, call: HomeCall) -> None:
        """Count and log a refusal."""
        self.counts[refused.reason] += 1
        if refused.reason == RefusalReason.BUSY:
            # One for each slot request of an overload; the entry asks elsewhere.
            return
        self.log.call(
            "home-refused",
            call.request,
            reason=refused.reason,
            instance=call.incarnation.instance,
            running=self.admission.running,
            waiting=self.admission.waiting,
            slots=self.admission.slots,
            left=f"{refused.arrival.deadline - clock.now():.3f}",
            pace=f"{self.admission.durations.pace.current(clock.now()):.2f}",
        )

    def load_report(self, route: str = "", rank: int = 0) -> LoadReport:
        """Return the load report that is sent to entries.

        Parameters
        ----------
        route : str
            Route of the call whose answer carries the report, empty for none.
        rank : int
            Rank of that call in the queue.
        """
        if self.leaving:
            # No call is sent to this home, and an estimate takes time for each call.
            return LoadReport()
        now = clock.now()
        durations = self.admission.durations
        if not route:
            return LoadReport(slowdown=durations.slowdown(now))
        return LoadReport(
            durations.slowdown(now),
            durations.expected(route, now),
            max(
                self.admission.wait_for_rank(rank, now),
                self.bodies.route_wait(route, rank, now),
            ),
        )

    def cancel(self, key: Hashable) -> None:
        """Cancel a call whose caller has gone.

        A call that was sent to the upstream and is not idempotent continues, as it
        would be unknown whether an interrupted one took effect.
        """
        running = self.calls.get(key)
        if running is None:
            return
        if self.admission.cancel(key):
            running.cancelled = True
            self.finish(key, NotRun("cancelled"))
            self.bodies.request(clock.now())
        elif running.task is not None and (running.call.idempotent or not running.sent):
            running.cancelled = True
            running.task.cancel()

    def withdraw(
        self, key: Hashable, on_outcome: Callable[[Outcome], None] | None = None
    ) -> None:
        """Take a call back as not run, unless it was sent to the upstream.

        An unknown call is recorded as withdrawn, so that a late copy of it is not
        started.

        Parameters
        ----------
        on_outcome : callable or None
            Replaces the callback of the call, as its link may have ended; also called
            for a call that has ended. None if the outcome is reported in any case.
        """
        running = self.calls.get(key)
        if running is None:
            known = self.ledger.find(key)
            if known is None:
                self.ledger.begin(key)
                self.ledger.finish(key, NotRun(WITHDRAWN), 0, clock.now())
                known = self.ledger.calls[key]
            if on_outcome is not None:
                on_outcome(known.outcome or Unknown("answer-forgotten"))
            return
        running.on_outcome = on_outcome or running.on_outcome
        if self.admission.cancel(key):
            self.counts[WITHDRAWN] += 1
            self.finish(key, NotRun(WITHDRAWN))
            self.bodies.request(clock.now())
        elif running.task is not None and not running.sent:
            # Whether it was sent shows for certain once its task has ended.
            self.counts[WITHDRAWN] += 1
            running.stop_reason = WITHDRAWN
            running.task.cancel()

    def tick(self, now: float) -> None:
        """Expire old outcomes and connections, and refuse overdue calls."""
        self.ledger.expire(now)
        self.upstream.tick(now)
        self.health_monitor.probe_if_due(now)
        if not self.admission.waiting:
            self.leaving_upstreams.clear()
            return
        for refused in self.admission.drop_overdue(now):
            self.refuse(refused)
        self.refuse_calls_to_leaving(now)
        self.bodies.tick(now)
        self.dispatch()

    def refuse_calls_to_leaving(self, now: float) -> None:
        """Refuse queued calls for an upstream that has been draining for some time.

        The end of a long queue would otherwise reach the upstream just before it exits
        and be interrupted. Refused now, the calls can still be served elsewhere.
        """
        waiting = list(self.admission.queue.values())
        incarnations = {self.calls[each.ticket].call.incarnation for each in waiting}
        overdue = self.leaving_upstreams.overdue(incarnations, now)
        for arrival in waiting:
            incarnation = self.calls[arrival.ticket].call.incarnation
            if incarnation in overdue:
                reason = self.departure_reason(incarnation)
                self.refuse_queued(Refused(arrival, reason, LEAVING_RETRY_AFTER))

    def refuse_calls_beyond_exit(self, now: float) -> None:
        """Refuse queued calls that the exit of this process might cut off.

        Nobody would know whether they took effect. Refused before they start, they can
        be served elsewhere. Those of this node are refused only once it leaves, as its
        entry ends with it.
        """
        for arrival in list(self.admission.queue.values()):
            call = self.calls[arrival.ticket].call
            if arrival.deadline <= self.ends_by or not (call.remote or self.leaving):
                continue
            longest = self.longest(call, now)
            if now + longest > self.ends_by:
                elsewhere = self.goes_elsewhere(call)
                refusal = self.refuse_outlasting(call, longest, elsewhere)
                self.refuse_queued(
                    Refused(arrival, refusal.reason, refusal.retry_after)
                )

    def set_evacuated(self, evacuated: bool, ended_at: int) -> None:
        """Set whether the zone is evacuated; while it is, the upstream gets no calls.

        Parameters
        ----------
        ended_at : int
            Revision of the store at which the last evacuation of the zone ended.
        """
        was_evacuated, self.evacuated = self.evacuated, evacuated
        self.health_monitor.paused = evacuated
        ended, self.evacuation_ended_at = ended_at > self.evacuation_ended_at, ended_at
        now = clock.now()
        if evacuated and not was_evacuated:
            # Entries may not know of the evacuation yet. Queued calls are refused so
            # that they can still be served in another zone.
            for arrival in list(self.admission.queue.values()):
                self.refuse_queued(
                    Refused(
                        arrival, RefusalReason.ZONE_EVACUATED, EVACUATED_RETRY_AFTER
                    )
                )
        elif ended:
            # The evacuation may have been too short for this node to see its start.
            self.health_monitor.assume_cold(now)

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Apply what the platform publishes of the upstream beside this node."""
        previous, self.incarnation = self.incarnation, endpoint.incarnation
        self.outage_log.instance = endpoint.instance
        if previous is not None and previous != endpoint.incarnation:
            self.log.event(
                "upstream-restarted",
                instance=endpoint.instance,
                born=endpoint.born,
                before=previous.instance,
            )
            self.previous_incarnation = previous
            # Measurements belong to the previous incarnation. Idle connections lead to
            # a process that has ended: a call that is not idempotent, sent on one and
            # reset, would have an unknown outcome.
            self.admission.restarted()
            self.upstream.close_idle_connections()
        record = self.directory.records.get(endpoint.instance)
        if record is not None:
            self.health_monitor.update_from_endpoint(record)
        if endpoint.slots != self.admission.upstream_slots.published:
            self.set_slots(endpoint.slots)

    def set_slots(self, slots: int) -> None:
        """Set the number of calls that the upstream runs at once."""
        self.admission.upstream_slots.published = slots
        self.dispatch()
