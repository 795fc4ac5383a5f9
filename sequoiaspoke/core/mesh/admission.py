"""Admit calls to the upstream beside this node.

The upstream runs so many calls at once and may leave without a word those that
it cannot queue; what waits inside it is served in order of arrival. So no more
are sent than it runs, and the rest waits here, by priority and then by arrival. A
call that could not finish in time is refused as not run at once, so that its caller
can go elsewhere while there is time.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import StrEnum

# Calls waiting for one slot, at most; beyond, a call would wait longer than any
# objective allows even for the shortest work.
QUEUE_PER_SLOT = 6
# Weight of the newest measurement of how long calls take.
NEWEST = 0.05
# Part of the mean service time that must be left when a call is handed over.
LEAST_LEFT = 0.5
# Guess of the seconds of a call before the first was measured.
FIRST_GUESS = 0.1


class Turned(StrEnum):
    """Why a call was refused; each has a counter and is told to the entry."""

    LEAVING = "leaving"
    QUEUE_FULL = "queue-full"
    NO_TIME = "no-time"


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
        Priority of its route; 0 goes first.
    deadline : float
        When the answer has no use any more.
    """

    ticket: object
    route: str
    rank: int
    deadline: float


@dataclass(frozen=True)
class Refused:
    """A call that is not run.

    Attributes
    ----------
    retry_after : float
        Seconds after which there should be room.
    """

    arrival: Arrival
    reason: Turned
    retry_after: float


class Admission:
    """The slots of one upstream and the calls that wait for them."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.queue: list[tuple[int, int, Arrival]] = []
        self.count = 0
        self.cancelled: set[int] = set()
        self.numbers: dict[object, int] = {}
        self.mean: dict[str, float] = {}
        self.overall = FIRST_GUESS

    @property
    def waiting(self) -> int:
        """Return how many calls wait."""
        return len(self.queue) - len(self.cancelled)

    @property
    def occupied(self) -> int:
        """Return how many calls run or wait."""
        return self.running + self.waiting

    def service_time(self, route: str) -> float:
        """Return the seconds that a call of a route takes, by what was seen."""
        return self.mean.get(route, self.overall)

    def arrive(self, arrival: Arrival, now: float) -> Refused | None:
        """Queue a call, or refuse it."""
        ahead = self.ahead(arrival)
        wait = self.wait_for(ahead)
        needed = wait + LEAST_LEFT * self.service_time(arrival.route)
        if now + needed > arrival.deadline:
            return Refused(arrival, Turned.NO_TIME, max(wait, 0.05))
        if self.waiting >= self.slots * QUEUE_PER_SLOT:
            return Refused(arrival, Turned.QUEUE_FULL, max(wait, 0.05))
        self.count += 1
        heapq.heappush(self.queue, (arrival.rank, self.count, arrival))
        self.numbers[arrival.ticket] = self.count
        return None

    def ahead(self, arrival: Arrival) -> int:
        """Return how many waiting calls go before a new one."""
        return sum(
            1
            for rank, number, _ in self.queue
            if rank <= arrival.rank and number not in self.cancelled
        )

    def wait_for(self, ahead: int) -> float:
        """Return the seconds until a call with so many before it gets a slot."""
        excess = self.running + ahead + 1 - self.slots
        return max(0, excess) * self.overall / max(1, self.slots)

    def next(self, now: float) -> tuple[Arrival | None, list[Refused]]:
        """Return the call to hand over now, and those it is too late for."""
        late: list[Refused] = []
        while self.queue and self.running < self.slots:
            _, number, arrival = heapq.heappop(self.queue)
            self.numbers.pop(arrival.ticket, None)
            if number in self.cancelled:
                self.cancelled.discard(number)
                continue
            least = LEAST_LEFT * self.service_time(arrival.route)
            if now + least > arrival.deadline:
                late.append(Refused(arrival, Turned.NO_TIME, self.overall))
                continue
            self.running += 1
            return arrival, late
        return None, late

    def overdue(self, now: float) -> list[Refused]:
        """Take out the waiting calls that could not be answered any more."""
        late = []
        for _, number, arrival in self.queue:
            least = LEAST_LEFT * self.service_time(arrival.route)
            if arrival.deadline <= now + least and number not in self.cancelled:
                late.append(Refused(arrival, Turned.NO_TIME, self.overall))
        for refused in late:
            self.cancel(refused.arrival.ticket)
        return late

    def cancel(self, ticket: object) -> bool:
        """Take a call out of the queue; return whether it waited there."""
        number = self.numbers.pop(ticket, None)
        if number is None:
            return False
        self.cancelled.add(number)
        return True

    def finish(self, route: str, seconds: float | None) -> None:
        """Free a slot; measure the call if it was answered."""
        self.running -= 1
        if seconds is None:
            return
        mean = self.mean.get(route, seconds)
        self.mean[route] = mean + NEWEST * (seconds - mean)
        self.overall += NEWEST * (seconds - self.overall)
