"""Admission control for the upstream beside this node.

An upstream runs a limited number of calls at once. It may drop calls that it cannot
queue without an answer, and its own queue is first in, first out. The node therefore
sends no more calls than the upstream has slots and queues the rest itself, by priority
and then by arrival. A call that could not finish before its deadline is refused at
once as not run, so that its caller has time to try another endpoint.

Under sustained overload a first-in, first-out queue makes every answer late, as each
call waits for the whole queue. Among calls of one priority, those that can still meet
their objective therefore go first. Only as many late calls are queued as keep all
slots busy; further ones are refused at once with a Retry-After.

Load shedding is in force only while a route has large bodies. It answers the heaviest
days of two deployments, where a refused nested call wasted the work of its parent, and
where calls that never ran ended as timeouts:

- A nested call is never refused for being late, only if it cannot end by its deadline.
- A call is refused if the nested calls that it would make are failing (`shortage`).
- A queued call whose time runs out is refused early enough for its entry to answer.
- Callers refused for want of room get different times to return (`returns`).
- Calls that would be late as the upstream has become slow are passed on (`passing`).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from sequoiaspoke.core.mesh.coldstart import ColdStart
from sequoiaspoke.core.mesh.durations import Durations
from sequoiaspoke.core.mesh.passing import MIN_DURATIONS_LEFT, PassedCalls
from sequoiaspoke.core.mesh.ratelimit import RateLimit
from sequoiaspoke.core.mesh.returns import ReturnSchedule
from sequoiaspoke.core.mesh.shortage import WINDOW_SECONDS, NestedRoom
from sequoiaspoke.core.mesh.slots import Load, Slots
from sequoiaspoke.core.mesh.transfers import IncomingTransfers
from sequoiaspoke.core.mesh.upstreambytes import UpstreamBytes
from sequoiaspoke.core.mesh.waiting import WaitingCalls

# Maximum number of queued calls per slot. In a longer queue even the shortest calls
# would miss every objective.
QUEUE_PER_SLOT = 6
# Share of the expected duration that must remain before the deadline for a call to be
# sent. Durations vary: with half of the mean left, one call in ten still ends in time.
MIN_TIME_LEFT = 0.5
# Multiple of the expected duration within which most calls end; durations vary by a
# third to a half of their mean.
DURATION_MARGIN = 1.3
# Minimum Retry-After of a refusal, in seconds.
MIN_RETRY_AFTER = 0.05
# Seconds before the deadline by which a call that was not sent is refused: the way to
# an entry in another zone and the timers of both nodes.
REFUSAL_LEAD = 0.02

# Ranks between two priorities, and the ranks that a nested call moves ahead. A nested
# call goes before other calls of the next more urgent priority.
RANK_STEP, NESTED_AHEAD = 2, 3


def queue_rank(priority: int, nested: bool) -> int:
    """Return the rank of a call in the queue; the lowest goes first.

    A nested call takes tens of milliseconds, but its refusal fails the parent call and
    wastes the work done for it so far. Queued behind other calls several times as long,
    it would exceed its own short deadline.
    """
    return RANK_STEP * priority - (NESTED_AHEAD if nested else 0)


class RefusalReason(StrEnum):
    """Reason of a refusal; each has a counter and is reported to the entry."""

    LEAVING = "leaving"
    INSTANCE_LEFT = "instance-left"
    INSTANCE_LEAVING = "instance-leaving"
    QUEUE_FULL = "queue-full"
    OVERLOADED = "overloaded"
    NO_TIME = "no-time"
    UPSTREAM_FULL = "upstream-full"
    ZONE_EVACUATED = "zone-evacuated"
    HELD_BACK = "held-back"
    RATE_LIMITED = "rate-limited"
    BUSY = "busy"
    WITHDRAWN = "withdrawn"
    NESTED_SHORT = "nested-short"
    BODY_EXPIRED = "body-expired"
    LEDGER_FULL = "ledger-full"


# Refusals after which the caller is told when a slot should be free for it.
FOR_WANT_OF_ROOM = frozenset(
    {RefusalReason.OVERLOADED, RefusalReason.NO_TIME, RefusalReason.QUEUE_FULL}
)


@dataclass(frozen=True)
class Arrival:
    """A call that requests a slot.

    Attributes
    ----------
    ticket : object
        Identifier of the call, chosen by the user of this class.
    route : str
        Name of the route, by which durations are measured.
    rank : int
        Rank in the queue; the lowest goes first.
    on_time : float
        Time until which an answer meets the objective.
    deadline : float
        Time after which an answer is useless.
    idempotent : bool
        Whether the call may run more than once.
    max_wait : float
        Seconds that the call may wait for a slot; beyond them it is refused as busy.
    """

    ticket: object
    route: str
    rank: int
    on_time: float
    deadline: float
    idempotent: bool = True
    max_wait: float = inf

    @property
    def nested(self) -> bool:
        """Return whether an upstream makes the call while it runs another."""
        return self.rank % RANK_STEP != 0

    @property
    def kind(self) -> tuple[str, bool]:
        """Return what calls have in common that make the same nested calls."""
        return (self.route, self.nested)


@dataclass(frozen=True)
class Refused:
    """The refusal of a call, which has not run.

    Attributes
    ----------
    retry_after : float
        Seconds after which a slot should be free.
    """

    arrival: Arrival
    reason: RefusalReason
    retry_after: float


class Admission:
    """The slots of one upstream and the queue of calls for them.

    Attributes
    ----------
    suspects : set of object
        Tickets of queued or running calls whose request may have crashed an upstream.
        They run one at a time, so that another crash identifies the request.
    load_shedding : bool
        Whether load shedding is in force.
    incomplete : set of object
        Tickets of queued calls whose bodies are not complete; they cannot start yet.
    transfers : IncomingTransfers
        These bodies, which the network link has still to receive.
    upstream_bytes : UpstreamBytes
        The complete bodies, and how many bytes of them may run at once.
    """

    def __init__(self, slots: int) -> None:
        self.load_shedding = False
        self.suspects: set[object] = set()
        self.incomplete: set[object] = set()
        self.transfers = IncomingTransfers()
        self.upstream_bytes = UpstreamBytes()
        self.upstream_slots = Slots(slots)
        self.cold_start = ColdStart()
        self.rate_limit = RateLimit()
        self.queue = WaitingCalls()
        self.durations = Durations()
        self.nested_room = NestedRoom()
        self.returns = ReturnSchedule()
        self.passed_calls = PassedCalls()

    @property
    def slots(self) -> int:
        """Return the number of calls that the upstream runs at once."""
        return self.upstream_slots.count

    def record_answer(self, load: Load | None, now: float) -> None:
        """Record an answer; its call still counts as running."""
        self.upstream_slots.record_answer(load, self.running, now)

    def record_refusal(self, load: Load | None, now: float) -> None:
        """Record a refusal by the upstream; its call still counts as running."""
        self.upstream_slots.record_refusal(load, self.running - 1, now)

    def record_reset(self, now: float) -> None:
        """Record a connection reset; its call still counts as running."""
        self.upstream_slots.record_reset(self.running, now)

    def record_pace(self, pace: float, now: float) -> list[Refused]:
        """Record the pace that the upstream reports; return the calls passed on."""
        risen = self.durations.pace.record(pace, now)
        return self.pass_on(now) if risen and self.load_shedding else []

    def pass_on(self, now: float) -> list[Refused]:
        """Remove the queued calls that would be late here and in time elsewhere."""
        refused = []
        work = self.durations.mean_running(now)
        for each in sorted(self.queue.values(), key=lambda x: self.sort_key(x, now)):
            expected = self.durations.expected(each.route, now)
            wait = work / max(1, self.slots)
            if (
                self.would_be_late(each, now + wait)
                and now + MIN_DURATIONS_LEFT * expected <= each.deadline
                and each not in self.passed_calls
            ):
                refused.append(Refused(each, RefusalReason.BUSY, wait))
                self.queue.remove(each.ticket)
            else:
                work += expected
        self.passed_calls.add((each.arrival for each in refused), now)
        return refused

    def free_slots(self, now: float) -> int:
        """Return the number of further calls that the upstream can run."""
        limits = (
            self.upstream_slots.free(self.running, now),
            self.cold_start.remaining(now),
            self.rate_limit.remaining(self.running, now),
        )
        return min(limit for limit in limits if limit is not None)

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return len(self.durations.running)

    @property
    def waiting(self) -> int:
        """Return the number of queued calls."""
        return len(self.queue)

    def arrive(self, arrival: Arrival, now: float) -> Refused | None:
        """Queue a call; return the refusal of this or another call, if any."""
        if self.would_be_reset(arrival, now):
            return self.refuse_full(arrival, now)
        wait = max(self.queue_wait(arrival, now), self.suspect_wait(arrival, now))
        wait = max(wait, self.transfers.wait_ahead(arrival.ticket))
        room_wait = self.transfers.room_wait(arrival.ticket)
        if max(wait, room_wait) > arrival.max_wait:
            seconds = max(wait, room_wait, MIN_RETRY_AFTER)
            return Refused(arrival, RefusalReason.BUSY, seconds)
        wait = max(wait, self.transfers.wait(arrival.ticket))
        ahead = sum(count for _, count in self.queue.ahead(arrival.rank))
        limited = self.rate_limit.wait(ahead, now) > 0
        start = now + max(wait, room_wait)
        if start + self.min_time_left(arrival, now) > arrival.deadline:
            reason = RefusalReason.RATE_LIMITED if limited else RefusalReason.NO_TIME
            return Refused(arrival, reason, self.return_after(reason, start - now, now))
        # A single queued call is enough to use up a rate limit.
        enough = 1 if limited else self.slots
        late = ahead >= enough and self.would_be_late(arrival, now + wait)
        if late and not self.may_be_late(arrival):
            reason = RefusalReason.RATE_LIMITED if limited else RefusalReason.OVERLOADED
            return Refused(arrival, reason, self.return_after(reason, wait, now))
        if self.is_nested_short(arrival, now):
            return Refused(arrival, RefusalReason.NESTED_SHORT, WINDOW_SECONDS)
        refused = self.make_room(arrival, wait, now)
        if refused is None or refused.arrival is not arrival:
            self.queue.add(arrival)
        return refused

    def may_be_late(self, arrival: Arrival) -> bool:
        """Return whether a call is queued even if its answer would be late.

        Refusing a nested call fails its parent, whose work so far is then wasted.
        """
        return self.load_shedding and arrival.nested

    def make_room(self, arrival: Arrival, wait: float, now: float) -> Refused | None:
        """Refuse the last call in order, the new one included, if the queue is full.

        Otherwise a queue full of low-priority calls would refuse urgent calls that
        would be served next.
        """
        if self.waiting < self.slots * QUEUE_PER_SLOT:
            return None
        last = max(self.queue.values(), key=lambda each: self.sort_key(each, now))
        if self.sort_key(last, now) <= self.sort_key(arrival, now):
            last = arrival
        else:
            self.queue.remove(last.ticket)
            if self.load_shedding:
                wait = self.queue_wait(last, now)
        reason = RefusalReason.QUEUE_FULL
        return Refused(last, reason, self.return_after(reason, wait, now))

    def is_nested_short(self, arrival: Arrival, now: float) -> bool:
        """Return whether a call would only occupy a slot for failing nested calls."""
        return (
            self.load_shedding
            and not arrival.nested
            and self.nested_room.refuses(arrival.kind, now)
        )

    def return_after(self, reason: RefusalReason, wait: float, now: float) -> float:
        """Return the seconds after which the caller of a refused call may return.

        Parameters
        ----------
        wait : float
            Seconds until the queue is served.
        """
        if self.load_shedding and wait and reason in FOR_WANT_OF_ROOM:
            interval = self.durations.expected_overall(now) / max(1, self.slots)
            wait = self.returns.next_time(now + wait, interval, now) - now
        return max(wait, MIN_RETRY_AFTER)

    def min_duration(self, arrival: Arrival, now: float) -> float:
        """Return the minimum duration of a call in seconds."""
        return MIN_TIME_LEFT * self.durations.expected(arrival.route, now)

    def min_time_left(self, arrival: Arrival, now: float) -> float:
        """Return the seconds before its deadline until which a call is queued."""
        lead = REFUSAL_LEAD if self.load_shedding else 0.0
        return max(lead, self.min_duration(arrival, now))

    def next_overdue(self, now: float) -> float:
        """Return when the first queued call becomes overdue; infinite if none does."""
        return min(
            (
                each.deadline - self.min_time_left(each, now)
                for each in self.queue.values()
            ),
            default=inf,
        )

    def queue_wait(self, arrival: Arrival, now: float) -> float:
        """Return the seconds that a new call would wait for a slot."""
        return self.wait_for_rank(arrival.rank, now)

    def suspect_wait(self, arrival: Arrival, now: float) -> float:
        """Return the seconds until the suspects ahead of a new call have run."""
        if arrival.ticket not in self.suspects:
            return 0.0
        before = len(self.suspects) - 1
        return before * self.durations.expected(arrival.route, now)

    def wait_for_rank(self, rank: int, now: float) -> float:
        """Return the seconds that a new call of a rank would wait for a slot.

        With all slots busy, one is free after the mean duration divided by the slots.
        """
        if self.free_slots(now) and self.queue.keys() <= self.incomplete:
            return 0.0
        work = self.durations.mean_running(now)
        ahead = 0
        for route, count in self.queue.ahead(rank):
            work += count * self.durations.expected(route, now)
            ahead += count
        return max(
            work / max(1, self.slots),
            self.cold_start.wait(ahead, now),
            self.rate_limit.wait(ahead, now),
        )

    def next(self, now: float) -> tuple[Arrival | None, list[Refused]]:
        """Return the call to send now, if any, and the refusals of overdue calls."""
        refused = self.drop_overdue(now)
        if not self.queue or not self.free_slots(now):
            return None, refused
        ready = [
            each
            for each in self.queue.values()
            if self.may_run_now(each)
            and self.upstream_slots.admits(each.idempotent, self.running, now)
        ]
        if not ready:
            return None, refused
        # Among equal keys, min() returns the earliest arrival.
        arrival = min(ready, key=lambda each: self.sort_key(each, now))
        self.queue.remove(arrival.ticket)
        self.durations.begin(arrival.ticket, arrival.route, now)
        self.upstream_bytes.begin(arrival.ticket)
        self.nested_room.begin(arrival.ticket, arrival.kind)
        self.cold_start.begin(arrival.ticket)
        self.rate_limit.take(now)
        return arrival, refused

    def may_run_now(self, arrival: Arrival) -> bool:
        """Return whether a call may run; only one suspect runs at a time."""
        if arrival.ticket in self.incomplete:
            return False
        if not self.upstream_bytes.fits(arrival.ticket):
            return False
        if arrival.ticket not in self.suspects:
            return True
        return self.suspects.isdisjoint(self.durations.running)

    def sort_key(self, arrival: Arrival, now: float) -> tuple[int, bool]:
        """Return the sort key of a queued call."""
        return (arrival.rank, self.would_be_late(arrival, now))

    def would_be_late(self, arrival: Arrival, begin: float) -> bool:
        """Return whether a call started at a time would miss its objective."""
        expected = self.durations.expected(arrival.route, begin)
        return begin + DURATION_MARGIN * expected > arrival.on_time

    def drop_overdue(self, now: float) -> list[Refused]:
        """Remove and refuse queued calls that can no longer be answered."""
        refused = []
        for arrival in self.queue.values():
            if self.would_be_reset(arrival, now):
                refused.append(self.refuse_full(arrival, now))
            elif now + self.min_time_left(arrival, now) > arrival.deadline:
                refused.append(self.refuse_overdue(arrival, now))
        for each in refused:
            self.queue.remove(each.arrival.ticket)
        return refused

    def refuse_overdue(self, arrival: Arrival, now: float) -> Refused:
        """Refuse a queued call that can no longer be answered."""
        wait = self.durations.expected_overall(now)
        if self.load_shedding:
            wait = self.queue_wait(arrival, now)
        reason = RefusalReason.NO_TIME
        return Refused(arrival, reason, self.return_after(reason, wait, now))

    def would_be_reset(self, arrival: Arrival, now: float) -> bool:
        """Return whether the upstream would reset this non-idempotent call."""
        return not arrival.idempotent and self.upstream_slots.resetting(now)

    def refuse_full(self, arrival: Arrival, now: float) -> Refused:
        """Refuse a non-idempotent call because the upstream is full."""
        wait = max(self.durations.expected_overall(now), MIN_RETRY_AFTER)
        return Refused(arrival, RefusalReason.UPSTREAM_FULL, wait)

    def cancel(self, ticket: object) -> bool:
        """Remove a call from the queue; return whether it was queued."""
        return self.queue.remove(ticket)

    def send(self, ticket: object, now: float) -> None:
        """Record that a call is sent to the upstream."""
        self.cold_start.send(ticket, now)

    def finish(self, ticket: object, answered: bool, now: float) -> None:
        """Free the slot of a call; record its duration if it was answered."""
        self.cold_start.end(ticket)
        self.durations.end(ticket, answered, now)
        self.nested_room.end(ticket, answered, now)

    def abandon(self, ticket: object, now: float) -> None:
        """Record a cancelled running call; its slot may still be occupied."""
        self.upstream_slots.abandon(now)
        self.cold_start.end(ticket)
        self.durations.end(ticket, False, now)
        self.nested_room.end(ticket, False, now)

    def restarted(self) -> None:
        """Reset the state after a restart of the upstream."""
        self.durations.reset()
        self.upstream_slots.restarted()
        self.cold_start.restarted()
        self.rate_limit.forget()
        self.nested_room.restarted()
