"""Play an overloaded home on a virtual clock, with callers that return when told."""

import heapq
import random
from collections import Counter, namedtuple

from sequoiaspoke.core.mesh.admission import Admission, Arrival, queue_rank

# Share of the arrivals, mean work, objective and deadline in seconds.
Kind = namedtuple("Kind", "name priority nested share work objective deadline")
KINDS = (
    Kind("nested", 1, True, 0.3, 0.02, 0.327, 0.485),
    Kind("order", 0, False, 0.4, 0.085, 0.484, 3.633),
    Kind("read", 1, False, 0.3, 0.068, 0.475, 2.374),
)
OVERLOAD_SECONDS, CALM_SECONDS, CALM = 10.0, 4.0, 0.7
# Part of its deadline for which a caller waits before it returns, as in `measure mesh`.
PATIENCE = 1 / 3
# Share of the callers that return at once, how often they do, and after how long.
HASTY, HASTY_RETURNS, HASTY_WAIT = 1 / 3, 3, 0.01


class SheddingSim:
    """A home with an upstream whose work varies by half of its mean.

    Callers return once at the time that they were told, and some several times at once.

    Attributes
    ----------
    useful : float
        Share of the slots' time in the overload that ended in an answer on time.
    told, told_served : int
        Callers that returned when they were told, and those of them that were served.
    """

    def __init__(self, overload, slots, seed, hasty=HASTY):
        self.rng, self.overload, self.hasty = random.Random(seed), overload, hasty
        self.admission = Admission(slots)
        self.admission.load_shedding = True
        self.now, self.number, self.events = 0.0, 0, []
        self.asked, self.served = Counter(), Counter()
        self.told, self.told_served = 0, 0
        self.useful = 0.0
        self.callers = {}
        work = sum(kind.share * kind.work for kind in KINDS)
        self.rate = slots / work

    def at(self, when, act, *args):
        self.number += 1
        heapq.heappush(self.events, (when, self.number, act, args))

    def play(self):
        self.at(0.0, self.arrive)
        while self.events:
            self.now, _, act, args = heapq.heappop(self.events)
            act(*args)
        return self

    def arrive(self):
        overloaded = self.now < OVERLOAD_SECONDS
        load = self.overload if overloaded else CALM
        if self.now < OVERLOAD_SECONDS + CALM_SECONDS:
            self.at(self.now + self.rng.expovariate(load * self.rate), self.arrive)
        (kind,) = self.rng.choices(KINDS, [each.share for each in KINDS])
        hasty = not kind.nested and self.rng.random() < self.hasty
        self.asked[kind.name] += overloaded
        self.submit(kind, overloaded, hasty, 0)

    def submit(self, kind, counted, hasty, returns):
        self.number += 1
        self.callers[self.number] = (kind, counted, hasty, returns, self.now)
        arrival = Arrival(
            self.number,
            kind.name,
            queue_rank(kind.priority, kind.nested),
            self.now + kind.objective,
            self.now + kind.deadline,
        )
        refused = self.admission.arrive(arrival, self.now)
        if refused is not None:
            self.refuse(refused)
        self.advance()

    def advance(self):
        while True:
            arrival, late = self.admission.next(self.now)
            for refused in late:
                self.refuse(refused)
            if arrival is None:
                return
            work = self.callers[arrival.ticket][0].work * self.rng.uniform(0.5, 1.5)
            self.at(self.now + work, self.answer, arrival.ticket, work)

    def answer(self, ticket, work):
        self.admission.finish(ticket, True, self.now)
        kind, counted, hasty, returns, begun = self.callers.pop(ticket)
        on_time = self.now <= begun + kind.objective
        if self.now <= OVERLOAD_SECONDS:
            self.useful += work * on_time / (OVERLOAD_SECONDS * self.admission.slots)
        self.served[kind.name] += counted
        self.told_served += counted and returns > 0 and not hasty
        self.advance()

    def refuse(self, refused):
        kind, counted, hasty, returns, _ = self.callers.pop(refused.arrival.ticket)
        if kind.nested or returns >= (HASTY_RETURNS if hasty else 1):
            return
        wait = HASTY_WAIT if hasty else refused.retry_after
        if wait > PATIENCE * kind.deadline:
            return
        self.told += counted and not returns and not hasty
        self.at(self.now + wait, self.submit, kind, counted, hasty, returns + 1)
