"""Run calls at the upstream beside this node: the only way to it."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import Admission, Arrival, RefusalReason, Refused
from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.leavers import Leavers
from sequoiaspoke.core.mesh.ledger import Ledger
from sequoiaspoke.core.mesh.outcome import (
    RESET_AT_ONCE,
    UPSTREAM_CRASHED,
    Answer,
    NotRun,
    Unknown,
)
from sequoiaspoke.core.mesh.slots import CANCEL_SECONDS
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.coldwatch import ColdWatch
from sequoiaspoke.sidecar.crashwatch import CrashWatch, Sent
from sequoiaspoke.sidecar.downwatch import DownWatch
from sequoiaspoke.sidecar.homecall import Running
from sequoiaspoke.sidecar.suspicion import Suspicion
from sequoiaspoke.sidecar.upstream import UNREACHABLE

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from sequoiaspoke.core.mesh.directory import Directory
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.core.mesh.slots import Load
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.upstream import Upstream

# Slots of an upstream that the platform has not told yet; every one has one.
UNKNOWN_SLOTS = 1
# Retry-After of a node that is about to stop, in seconds.
LEAVING_SECONDS = 0.3
# Retry-After of a node whose zone is evacuated, in seconds; a caller gets it only if no
# other zone has served its call.
EVACUATED_SECONDS = 0.3


class Home:
    """Admits calls, runs them and remembers what came of them.

    Attributes
    ----------
    leaving : bool
        Whether this node is about to stop and takes no new calls.
    evacuated : bool
        Whether this zone is evacuated and the upstream gets no new calls.
    incarnation : Incarnation or None
        The start of the upstream, as the platform last told it.
    load : Load or None
        What the upstream told of itself with the last outcome, for the log.
    """

    def __init__(self, upstream: Upstream, directory: Directory, log: EventLog) -> None:
        self.upstream = upstream
        self.directory = directory
        self.log = log
        self.admission = Admission(UNKNOWN_SLOTS)
        self.ledger = Ledger()
        self.calls: dict[Hashable, Running] = {}
        self.leaving = False
        self.evacuated = False
        self.taken_back_at = 0
        cold_start = self.admission.cold_start
        self.cold_watch = ColdWatch(cold_start, upstream, log, self.advance)
        self.suspicion = Suspicion(directory, log)
        self.suspicion.on_change = self.separate_suspects
        self.crash_watch = CrashWatch(
            lambda: self.upstream.refuses(),
            self.suspicion.service_of,
            self.suspicion.report,
        )
        self.incarnation: Incarnation | None = None
        self.load: Load | None = None
        self.down_watch = DownWatch(log)
        self.leavers = Leavers(directory.left)
        self.counts: Counter[str] = Counter()

    def submit(
        self, key: Hashable, call: HomeCall, tell: Callable[[Outcome], None]
    ) -> None:
        """Take a call, new or asked for again, and tell its outcome once."""
        known = self.ledger.find(key)
        if known is not None:
            self.counts["asked-again"] += 1
            running = self.calls.get(key)
            if running is not None:
                running.tell = tell
            else:
                tell(known.outcome or Unknown("answer-forgotten"))
            return
        refusal = self.unwanted(call)
        if refusal is not None:
            tell(refusal)
            return
        now = clock.now()
        arrival = Arrival(
            key,
            call.route,
            call.rank,
            call.on_time,
            call.deadline,
            call.idempotent,
        )
        if self.suspected(call):
            self.admission.suspects.add(key)
        refused = self.admission.arrive(arrival, now)
        if refused is not None and refused.arrival is arrival:
            self.admission.suspects.discard(key)
            self.turned_away(refused, call)
            tell(NotRun(refused.reason, refused.retry_after))
            return
        self.ledger.begin(key)
        self.calls[key] = Running(call, tell)
        if refused is not None:
            self.give_up(refused)
        self.advance()

    def expect_earlier_calls(self) -> None:
        """Reckon with calls that a process before this one sent to the upstream."""
        self.admission.upstream_slots.has_answered = False
        self.admission.cold_start.expect_earlier_calls(clock.STARTED)
        self.cold_watch.doubt(clock.STARTED)

    def unwanted(self, call: HomeCall) -> NotRun | None:
        """Return why no call may be taken now, whatever the load."""
        if self.leaving:
            return NotRun(RefusalReason.LEAVING, LEAVING_SECONDS)
        if self.evacuated:
            self.counts[RefusalReason.ZONE_EVACUATED] += 1
            return NotRun(RefusalReason.ZONE_EVACUATED, EVACUATED_SECONDS)
        if self.directory.left(call.incarnation):
            return NotRun(RefusalReason.INSTANCE_LEFT)
        held = self.held_seconds(call)
        if held:
            self.counts[RefusalReason.HELD_BACK] += 1
            return NotRun(RefusalReason.HELD_BACK, held)
        return None

    def suspected(self, call: HomeCall) -> bool:
        """Return whether a call's request may have crashed an upstream."""
        return self.suspicion.suspected_at(call.incarnation, call.request)

    def held_seconds(self, call: HomeCall) -> float:
        """Return for how much longer a call's request is held back."""
        return self.suspicion.held_seconds_at(call.incarnation, call.request)

    def separate_suspects(self) -> None:
        """Refuse what waits and is held back now, and let no two suspects run."""
        self.admission.suspects = {
            key for key, running in self.calls.items() if self.suspected(running.call)
        }
        for arrival in list(self.admission.queue.values()):
            seconds = self.held_seconds(self.calls[arrival.ticket].call)
            if seconds:
                self.admission.cancel(arrival.ticket)
                self.give_up(Refused(arrival, RefusalReason.HELD_BACK, seconds))
        self.advance()

    def advance(self) -> None:
        """Hand over as many calls as there are slots."""
        while True:
            arrival, late = self.admission.next(clock.now())
            for refused in late:
                self.give_up(refused)
            if arrival is None:
                return
            running = self.calls[arrival.ticket]
            running.task = asyncio.ensure_future(self.run(arrival.ticket, running))
            running.task.add_done_callback(partial(self.ended, arrival.ticket))

    async def run(self, key: Hashable, running: Running) -> None:
        """Run a call at the upstream."""
        call = running.call
        outcome: Outcome | None = None
        try:
            outcome = await self.upstream.call(
                call.request,
                call.incarnation.instance,
                call.deadline,
                call.idempotent,
                partial(self.sent, key, call),
            )
            outcome = await self.crash_watch.judge(key, outcome)
            self.take_load(outcome)
            if isinstance(outcome, Answer):
                self.suspicion.answered(call.incarnation, call.request)
        finally:
            self.crash_watch.end(key)
            if outcome is None:
                self.abandon(key)
                self.finish(key, Unknown("cancelled"))
            else:
                self.free(key, isinstance(outcome, Answer))
                self.finish(key, outcome)

    def sent(self, key: Hashable, call: HomeCall) -> None:
        """Note that a call goes out to the upstream."""
        self.admission.send(key, clock.now())
        sent = Sent(call.request, call.incarnation, self.suspected(call))
        self.crash_watch.send(key, sent)

    def ended(self, key: Hashable, task: asyncio.Task[None]) -> None:  # noqa: ARG002
        """Give a call up that was cancelled before its task began and ran nothing."""
        if key in self.calls:
            self.abandon(key)
            self.finish(key, Unknown("cancelled"))

    def take_load(self, outcome: Outcome) -> None:
        """Take the upstream's word on its load, or what its silence tells of it."""
        load, self.upstream.told_load = self.upstream.told_load, None
        self.load = load
        now = clock.now()
        self.down_watch.take(outcome, now)
        if isinstance(outcome, Answer):
            self.admission.record_answer(load, now)
        elif isinstance(outcome, NotRun) and outcome.from_upstream:
            self.admission.record_refusal(load, now)
        elif outcome.reason in (UNREACHABLE, UPSTREAM_CRASHED):
            # It may be starting anew, and cold when it can be reached again.
            self.cold_watch.doubt(now)
        elif isinstance(outcome, Unknown) and outcome.reason == RESET_AT_ONCE:
            self.admission.record_reset(now)

    def free(self, key: Hashable, answered: bool) -> None:
        """Give the slot of a call to the next."""
        self.admission.finish(key, answered, clock.now())
        self.advance()

    def abandon(self, key: Hashable) -> None:
        """Give the slot of a cancelled call to the next once it is free."""
        self.admission.abandon(key, clock.now())
        asyncio.get_running_loop().call_later(CANCEL_SECONDS, self.advance)

    def finish(self, key: Hashable, outcome: Outcome) -> None:
        """Remember an outcome and tell it."""
        running = self.calls.pop(key)
        self.admission.suspects.discard(key)
        size = len(outcome.body) if isinstance(outcome, Answer) else 0
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
                load=str(self.load) if self.load else "untold",
            )
        if not running.dropped:
            running.tell(outcome)

    def give_up(self, refused: Refused) -> None:
        """Refuse a call that has waited for nothing."""
        key = refused.arrival.ticket
        self.turned_away(refused, self.calls[key].call)
        self.finish(key, NotRun(refused.reason, refused.retry_after))

    def turned_away(self, refused: Refused, call: HomeCall) -> None:
        """Count and log a refusal."""
        self.counts[refused.reason] += 1
        self.log.call(
            "home-refused",
            call.request,
            reason=refused.reason,
            instance=call.incarnation.instance,
            running=self.admission.running,
            waiting=self.admission.waiting,
            slots=self.admission.slots,
            left=f"{refused.arrival.deadline - clock.now():.3f}",
        )

    def news(self, route: str = "", rank: int = 0) -> LoadReport:
        """Return what entries are told of the upstream's load.

        Parameters
        ----------
        route : str
            Route of the call with whose answer this goes, empty for none.
        rank : int
            Its priority.
        """
        now = clock.now()
        durations = self.admission.durations
        if not route:
            return LoadReport(slowdown=durations.slowdown(now))
        return LoadReport(
            durations.slowdown(now),
            durations.expected(route, now),
            self.admission.wait_for_rank(rank, now),
        )

    def cancel(self, key: Hashable) -> None:
        """Drop a call whose caller has left.

        One that may run once only and has begun goes on: breaking it off would leave
        its effect in doubt.
        """
        running = self.calls.get(key)
        if running is None:
            return
        if self.admission.cancel(key):
            running.dropped = True
            self.finish(key, NotRun("cancelled"))
        elif running.call.idempotent and running.task is not None:
            running.dropped = True
            running.task.cancel()

    def tick(self, now: float) -> None:
        """Give up on what has waited too long."""
        self.ledger.expire(now)
        self.upstream.tick(now)
        self.cold_watch.ask_if_due(now)
        if not self.admission.waiting:
            self.leavers.clear()
            return
        for refused in self.admission.drop_overdue(now):
            self.give_up(refused)
        self.empty_queue_of_leaver(now)
        self.advance()

    def empty_queue_of_leaver(self, now: float) -> None:
        """Refuse what still waits for an upstream that has been leaving for a while.

        A long queue would otherwise reach it when it is about to exit, and its calls
        would be broken off; now they can still go elsewhere.
        """
        waiting = list(self.admission.queue.values())
        starts = {self.calls[each.ticket].call.incarnation for each in waiting}
        gone = self.leavers.overdue(starts, now)
        for arrival in waiting:
            if self.calls[arrival.ticket].call.incarnation in gone:
                self.admission.cancel(arrival.ticket)
                self.give_up(
                    Refused(arrival, RefusalReason.INSTANCE_LEFT, LEAVING_SECONDS)
                )

    def evacuate(self, evacuated: bool, ended_at: int) -> None:
        """Send nothing to the upstream while its zone is evacuated.

        Parameters
        ----------
        ended_at : int
            Revision of the store at which the zone was last taken back.
        """
        before, self.evacuated = self.evacuated, evacuated
        self.cold_watch.held_back = evacuated
        taken_back, self.taken_back_at = ended_at > self.taken_back_at, ended_at
        now = clock.now()
        if evacuated and not before:
            # This node may be the first of all to know. What waits here would reach
            # the upstream; refused now, it can still be served in another zone.
            for arrival in list(self.admission.queue.values()):
                self.admission.cancel(arrival.ticket)
                self.give_up(
                    Refused(arrival, RefusalReason.ZONE_EVACUATED, EVACUATED_SECONDS)
                )
        elif taken_back:
            # Maybe this node never heard that it was empty, for it was only a moment.
            self.cold_watch.doubt(now)

    def take_endpoint(self, endpoint: Endpoint) -> None:
        """Take what the platform says of the upstream beside this node."""
        before, self.incarnation = self.incarnation, endpoint.incarnation
        self.down_watch.instance = endpoint.instance
        if before is not None and before != endpoint.incarnation:
            self.log.event(
                "upstream-restarted",
                instance=endpoint.instance,
                born=endpoint.born,
                before=before.instance,
            )
            # What was measured is of the start before, and a kept connection leads to
            # a process that is gone: an order sent on it would be lost to its reset.
            self.admission.restarted()
            self.upstream.forget_connections()
        held = self.directory.held.get(endpoint.instance)
        if held is not None:
            self.cold_watch.take_entry(held)
        if endpoint.slots != self.admission.upstream_slots.published:
            self.take_slots(endpoint.slots)

    def take_slots(self, slots: int) -> None:
        """Take the platform's word on how many calls the upstream runs at once."""
        self.admission.upstream_slots.published = slots
        self.advance()
