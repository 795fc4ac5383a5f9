"""Admit calls to the upstream beside this node.

The upstream runs so many calls at once and may leave without a word those that
it cannot queue; what waits inside it is served in order of arrival. So no more
are sent than it runs, and the rest waits here, by priority and then by arrival. A
call that could not finish in time is refused as not run at once, so that its caller
can go elsewhere while there is time.

Under a standing overload a queue in order of arrival makes every answer late: each
call waits the whole queue's length. Among calls of one priority those that can
still be answered on time therefore go first, and no more late ones are let wait than
keep every slot busy; the others are told at once when to come back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sequoiaspoke.core.mesh.coldstart import ColdStart
from sequoiaspoke.core.mesh.durations import Durations
from sequoiaspoke.core.mesh.slots import Load, Slots

# Calls waiting for one slot, at most; beyond, a call would wait longer than any
# objective allows even for the shortest work.
QUEUE_PER_SLOT = 6
# Part of the expected time that must be left when a call is handed over; work varies,
# and a call with half of its mean left still ends in time one time in ten.
MIN_TIME_LEFT = 0.5
# Part of the expected time within which most calls end; work varies by a third to a
# half of its mean.
DURATION_MARGIN = 1.3
# Least Retry-After of a refusal, in seconds.
MIN_RETRY_AFTER = 0.05


# Places in the queue between two priorities, and how far ahead of its own a nested call
# goes: before the fresh calls of the next more urgent one.
RANK_STEP, NESTED_AHEAD = 2, 3


def queue_rank(priority: int, nested: bool) -> int:
    """Return the rank of a call among those that wait; the lowest goes first.

    A nested call takes tens of milliseconds of a slot; refused, it fails its parent and
    all that the parent's upstream has done so far. Behind fresh calls of several times
    its length it would wait until its own short time is over.
    """
    return RANK_STEP * priority - (NESTED_AHEAD if nested else 0)


class RefusalReason(StrEnum):
    """Why a call was refused; each has a counter and is told to the entry."""

    LEAVING = "leaving"
    INSTANCE_LEFT = "instance-left"
    QUEUE_FULL = "queue-full"
    OVERLOADED = "overloaded"
    NO_TIME = "no-time"
    UPSTREAM_FULL = "upstream-full"
    ZONE_EVACUATED = "zone-evacuated"
    HELD_BACK = "held-back"


@dataclass(frozen=True)
class Arrival:
    """A call that asks for a slot.

    Attributes
    ----------
    ticket : object
        What the caller of this class knows the call by.
    route : str
        Name under which durations are measured.
    rank : int
        Its place among the calls that wait; the lowest goes first.
    on_time : float
        Until when an answer is on time.
    deadline : float
        When the answer has no use any more.
    idempotent : bool
        Whether the call may run more than once.
    """

    ticket: object
    route: str
    rank: int
    on_time: float
    deadline: float
    idempotent: bool = True


@dataclass(frozen=True)
class Refused:
    """A call that is not run.

    Attributes
    ----------
    retry_after : float
        Seconds after which there should be room.
    """

    arrival: Arrival
    reason: RefusalReason
    retry_after: float


class Admission:
    """The slots of one upstream and the calls that wait for them.

    Attributes
    ----------
    suspects : set of object
        Calls, waiting or running, whose request may have crashed an upstream. One of
        them runs at a time: if the upstream crashes again it is known which it was.
    """

    def __init__(self, slots: int) -> None:
        self.suspects: set[object] = set()
        self.upstream_slots = Slots(slots)
        self.cold_start = ColdStart()
        self.queue: dict[object, Arrival] = {}
        self.durations = Durations()

    @property
    def slots(self) -> int:
        """Return how many calls the upstream runs at once."""
        return self.upstream_slots.count

    def record_answer(self, load: Load | None, now: float) -> None:
        """Take an answer of the upstream, whose call still counts as running."""
        self.upstream_slots.record_answer(load, self.running, now)

    def record_refusal(self, load: Load | None, now: float) -> None:
        """Take a refusal by the upstream, whose call still counts as running."""
        self.upstream_slots.record_refusal(load, self.running - 1, now)

    def record_reset(self, now: float) -> None:
        """Take a reset in place of an answer, whose call still counts as running."""
        self.upstream_slots.record_reset(self.running, now)

    def free_slots(self, now: float) -> int:
        """Return how many more calls the upstream can run."""
        free = self.upstream_slots.free(self.running, now)
        cold_limit = self.cold_start.remaining(now)
        return free if cold_limit is None else min(free, cold_limit)

    @property
    def running(self) -> int:
        """Return how many calls run."""
        return len(self.durations.running)

    @property
    def waiting(self) -> int:
        """Return how many calls wait."""
        return len(self.queue)

    def arrive(self, arrival: Arrival, now: float) -> Refused | None:
        """Queue a call; return the one that is refused for it, if any."""
        if self.would_be_reset(arrival, now):
            return self.refuse_full(arrival)
        wait = max(self.queue_wait(arrival, now), self.suspect_wait(arrival, now))
        if now + wait + self.min_duration(arrival, now) > arrival.deadline:
            return Refused(arrival, RefusalReason.NO_TIME, max(wait, MIN_RETRY_AFTER))
        ahead = sum(each.rank <= arrival.rank for each in self.queue.values())
        if ahead >= self.slots and self.would_be_late(arrival, now + wait):
            return Refused(
                arrival, RefusalReason.OVERLOADED, max(wait, MIN_RETRY_AFTER)
            )
        refused = self.make_room(arrival, wait, now)
        if refused is None or refused.arrival is not arrival:
            self.queue[arrival.ticket] = arrival
        return refused

    def make_room(self, arrival: Arrival, wait: float, now: float) -> Refused | None:
        """Return the call for which a full queue has no room, the new one or another.

        A queue full of patient calls would otherwise refuse the urgent ones, which
        would be served next.
        """
        if self.waiting < self.slots * QUEUE_PER_SLOT:
            return None
        last = max(self.queue.values(), key=lambda each: self.sort_key(each, now))
        if self.sort_key(last, now) <= self.sort_key(arrival, now):
            last = arrival
        else:
            del self.queue[last.ticket]
        return Refused(last, RefusalReason.QUEUE_FULL, max(wait, MIN_RETRY_AFTER))

    def min_duration(self, arrival: Arrival, now: float) -> float:
        """Return the seconds that a call needs at least."""
        return MIN_TIME_LEFT * self.durations.expected(arrival.route, now)

    def queue_wait(self, arrival: Arrival, now: float) -> float:
        """Return the seconds until a new call would get a slot."""
        return self.wait_for_rank(arrival.rank, now)

    def suspect_wait(self, arrival: Arrival, now: float) -> float:
        """Return the seconds until the suspects before a new call have run."""
        if arrival.ticket not in self.suspects:
            return 0.0
        before = len(self.suspects) - 1
        return before * self.durations.expected(arrival.route, now)

    def wait_for_rank(self, rank: int, now: float) -> float:
        """Return the seconds until a new call of a priority would get a slot.

        With all slots busy one is free after a mean call divided by the slots.
        """
        if self.free_slots(now) and not self.queue:
            return 0.0
        work = self.durations.mean_running(now)
        ahead = 0
        for waiting in self.queue.values():
            if waiting.rank <= rank:
                work += self.durations.expected(waiting.route, now)
                ahead += 1
        return max(work / max(1, self.slots), self.cold_start.wait(ahead, now))

    def next(self, now: float) -> tuple[Arrival | None, list[Refused]]:
        """Return the call to hand over now, and those it is too late for."""
        refused = self.drop_overdue(now)
        if not self.queue or not self.free_slots(now):
            return None, refused
        ready = [
            each
            for each in self.queue.values()
            if self.upstream_slots.admits(each.idempotent, self.running, now)
            and self.may_run_now(each)
        ]
        if not ready:
            return None, refused
        # Of equals the first in the order of arrival.
        arrival = min(ready, key=lambda each: self.sort_key(each, now))
        del self.queue[arrival.ticket]
        self.durations.begin(arrival.ticket, arrival.route, now)
        self.cold_start.begin(arrival.ticket)
        return arrival, refused

    def may_run_now(self, arrival: Arrival) -> bool:
        """Return whether a call may run beside those that do."""
        if arrival.ticket not in self.suspects:
            return True
        return self.suspects.isdisjoint(self.durations.running)

    def sort_key(self, arrival: Arrival, now: float) -> tuple[int, bool]:
        """Return what orders the calls that wait."""
        return (arrival.rank, self.would_be_late(arrival, now))

    def would_be_late(self, arrival: Arrival, begin: float) -> bool:
        """Return whether a call that begins at some time would be late."""
        expected = self.durations.expected(arrival.route, begin)
        return begin + DURATION_MARGIN * expected > arrival.on_time

    def drop_overdue(self, now: float) -> list[Refused]:
        """Take out the waiting calls that could not be answered any more."""
        refused = []
        for arrival in self.queue.values():
            if self.would_be_reset(arrival, now):
                refused.append(self.refuse_full(arrival))
            elif now + self.min_duration(arrival, now) > arrival.deadline:
                wait = self.durations.overall
                refused.append(Refused(arrival, RefusalReason.NO_TIME, wait))
        for each in refused:
            del self.queue[each.arrival.ticket]
        return refused

    def would_be_reset(self, arrival: Arrival, now: float) -> bool:
        """Return whether a call is an order and the upstream resets what comes."""
        return not arrival.idempotent and self.upstream_slots.resetting(now)

    def refuse_full(self, arrival: Arrival) -> Refused:
        """Return the refusal of an order, until a read tells of a free slot."""
        wait = max(self.durations.overall, MIN_RETRY_AFTER)
        return Refused(arrival, RefusalReason.UPSTREAM_FULL, wait)

    def cancel(self, ticket: object) -> bool:
        """Take a call out of the queue; return whether it waited there."""
        return self.queue.pop(ticket, None) is not None

    def send(self, ticket: object, now: float) -> None:
        """Note that a call goes out to the upstream."""
        self.cold_start.send(ticket, now)

    def finish(self, ticket: object, answered: bool, now: float) -> None:
        """Free a slot; measure the call if it was answered."""
        self.cold_start.end(ticket)
        self.durations.end(ticket, answered, now)

    def abandon(self, ticket: object, now: float) -> None:
        """Note that a running call was cancelled; its slot may not be free yet."""
        self.upstream_slots.abandon(now)
        self.cold_start.end(ticket)
        self.durations.end(ticket, False, now)

    def restarted(self) -> None:
        """Note that the upstream started anew, cold and with nothing to do."""
        self.durations.reset()
        self.upstream_slots.restarted()
        self.cold_start.restarted()
