"""Play a loaded service of the mesh on a virtual clock, with the mesh's own decisions.

Entries choose by `Balancer` and `Sampler`, homes admit by `Admission` with its bound on
cold upstreams; only the upstreams' work, the callers and the clock are played. So what
a zone that is evacuated or comes back cold costs callers is known in seconds.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import Admission, Arrival, Refused, queue_rank
from sequoiaspoke.core.mesh.balancer import Balancer, LoadReport
from sequoiaspoke.core.mesh.coldstart import BOUND_SECONDS
from sequoiaspoke.core.mesh.model import Endpoint, Route
from sequoiaspoke.core.mesh.sample import Sampler
from sequoiaspoke.core.rules.weights import WeightedService

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = "service"
# Seconds of a call's work at an upstream of usual speed, and the speeds of the
# upstreams of one service. Work varies by half of its mean.
WORK, SPEEDS, SPREAD = 0.22, (0.7, 1.0, 1.0, 1.5), 0.5
# How much longer a cold upstream works, and how long it stays cold, in seconds.
COLD_WORK, COLD_SECONDS = 2.0, 3.0
# Seconds within which an answer is on time, and within which it is of use.
OBJECTIVE, TIMEOUT = 0.61, 4.0
# Homes that an entry tries before it refuses a call, and the part of the time left that
# a caller waits before it comes back, once.
MOST_TRIED, PATIENCE = 6, 1 / 3
# Share of the calls of a calm second that are on time again when service is back.
BACK = 0.95
ROUTE = Route(
    "read", "x", "/", True, TIMEOUT, OBJECTIVE, 1, 2, (WeightedService(SERVICE),)
)


@dataclass(frozen=True)
class CallKind:
    """A kind of calls to the service.

    Attributes
    ----------
    work : float
        Mean seconds of work at an upstream of usual speed.
    nested : bool
        Whether upstreams make these calls.
    share : float
        Share of all calls.
    """

    route: Route = ROUTE
    work: float = WORK
    nested: bool = False
    share: float = 1.0

    @property
    def rank(self) -> int:
        """Return the rank in the queues of homes."""
        return queue_rank(self.route.priority, self.nested)


@dataclass(frozen=True)
class MeshScenario:
    """A load and what befalls zones meanwhile.

    Attributes
    ----------
    load : float
        Part of what all warm upstreams can do.
    most_cold : int or None
        Calls that a cold upstream may get in a second; None for no bound.
    evacuated : tuple of int
        Zones that are evacuated from `begin` to `end`; they are cold at the end.
    cold : tuple of int
        Zones that become cold at `end`, without an evacuation before.
    """

    name: str
    load: float = 0.7
    most_cold: int | None = 16
    evacuated: tuple[int, ...] = ()
    cold: tuple[int, ...] = ()
    begin: float = 4.0
    end: float = 9.0
    seconds: float = 18.0
    zones: int = 3
    homes: int = 6
    entries: int = 15
    slots: int = 9
    kinds: tuple[CallKind, ...] = (CallKind(),)

    @property
    def mean_work(self) -> float:
        """Return the mean seconds of work of a call."""
        return sum(kind.share * kind.work for kind in self.kinds)

    def model(self, seed: int) -> MeshModel:
        """Return the model that plays this scenario."""
        return MeshModel(self, seed)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        MeshScenario("calm"),
        MeshScenario("evacuated", evacuated=(0,)),
        MeshScenario("cold-zone", cold=(0,)),
        MeshScenario("all-cold", cold=(0, 1, 2)),
        MeshScenario("all-cold-unbounded", cold=(0, 1, 2), most_cold=None),
    )
}


@dataclass
class MeshResult:
    """What callers got, by the second in which their call began."""

    asked: Counter[int] = field(default_factory=Counter)
    on_time: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)
    # Most calls that one cold upstream got in a second.
    busiest_cold: int = 0
    misplaced: int = 0

    def share(self, second: int) -> float:
        """Return the share of a second's calls that were answered on time."""
        return self.on_time[second] / max(1, self.asked[second])

    def total(self, counter: Counter[int]) -> float:
        """Return the share of all calls that a counter counted."""
        return counter.total() / max(1, self.asked.total())

    def back_after(self, begin: int, end: int) -> int | None:
        """Return the seconds from `end` until calls are on time as before `begin`."""
        calm = sum(self.share(second) for second in range(1, begin)) / (begin - 1)
        last = max(self.asked)
        for second in range(end, last):
            if self.share(second) >= BACK * calm:
                return second - end
        return None


@dataclass
class Call:
    """A call of a caller, in its first or second coming."""

    number: int
    begun: float
    entry: MeshEntry
    kind: CallKind = CallKind()
    returned: bool = False
    tried: set[str] = field(default_factory=set)

    @property
    def on_time(self) -> float:
        """Return until when an answer is on time."""
        return self.begun + self.kind.route.objective

    @property
    def deadline(self) -> float:
        """Return until when an answer is of use."""
        return self.begun + self.kind.route.timeout


class MeshEntry:
    """An entry, which knows of homes what their answers told."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        self.balancer = Balancer(zone)
        self.sampler = Sampler(rng)
        self.zone = zone


class MeshHome:
    """A home and the upstream beside it."""

    def __init__(self, endpoint: Endpoint, speed: float, most: int | None) -> None:
        self.endpoint = endpoint
        self.speed = speed
        self.admission = Admission(endpoint.slots)
        self.admission.cold_start.max_calls = most
        self.cold_until = float("-inf")
        self.evacuated = False
        self.sent: deque[float] = deque()

    def news(self, kind: CallKind, now: float) -> LoadReport:
        """Return the home's word on its load."""
        durations = self.admission.durations
        return LoadReport(
            durations.slowdown(now),
            durations.expected(kind.route.name, now),
            self.admission.wait_for_rank(kind.rank, now),
        )


class MeshModel:
    """One play of a scenario."""

    def __init__(self, scenario: MeshScenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.result = MeshResult()
        zones = [f"z{number}" for number in range(scenario.zones)]
        self.entries = [
            MeshEntry(zone, self.rng) for zone in zones for _ in range(scenario.entries)
        ]
        self.homes: dict[str, MeshHome] = {}
        for zone in zones:
            for number in range(scenario.homes):
                name = f"{zone}-{number}"
                endpoint = Endpoint(name, SERVICE, name, 80, zone, scenario.slots)
                speed = SPEEDS[number % len(SPEEDS)]
                self.homes[name] = MeshHome(endpoint, speed, scenario.most_cold)
        self.calls: dict[int, Call] = {}
        able = sum(scenario.slots / home.speed for home in self.homes.values())
        self.rate = scenario.load * able / scenario.mean_work

    def play(self) -> MeshResult:
        """Play to the end and return what callers got."""
        scenario = self.scenario
        self.at(self.rng.expovariate(self.rate), self.arrive)
        for zone in scenario.evacuated:
            self.at(scenario.begin, lambda zone=zone: self.evacuate(zone))
        for zone in (*scenario.evacuated, *scenario.cold):
            self.at(scenario.end, lambda zone=zone: self.chill(zone))
        while self.events:
            self.now, _, act = heapq.heappop(self.events)
            act()
        return self.result

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Have something done at a time."""
        self.count += 1
        heapq.heappush(self.events, (when, self.count, act))

    def of_zone(self, zone: int) -> list[MeshHome]:
        """Return the homes of a zone."""
        return [h for h in self.homes.values() if h.endpoint.zone == f"z{zone}"]

    def evacuate(self, zone: int) -> None:
        """Empty a zone; what waits there goes elsewhere."""
        for home in self.of_zone(zone):
            home.evacuated = True
            for arrival in list(home.admission.queue.values()):
                home.admission.cancel(arrival.ticket)
                self.refused(home, self.calls[arrival.ticket], 0.3)

    def chill(self, zone: int) -> None:
        """Let the upstreams of a zone be cold, and in use."""
        for home in self.of_zone(zone):
            home.evacuated = False
            home.cold_until = self.now + COLD_SECONDS
            home.admission.cold_start.record_cold_time(COLD_SECONDS, self.now)

    # A call.

    def arrive(self) -> None:
        """Let a caller begin a call, and another soon."""
        if self.now < self.scenario.seconds:
            self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        call = Call(self.count, self.now, self.rng.choice(self.entries))
        self.calls[call.number] = call
        self.result.asked[int(call.begun)] += 1
        self.attempt(call)

    def attempt(self, call: Call) -> None:
        """Try the next home."""
        homes = self.homes
        usable = [h.endpoint for h in homes.values() if not h.evacuated]
        near = [each for each in usable if each.zone == call.entry.zone]
        drawn = call.entry.sampler.candidates(
            usable, near, lambda each: each.instance not in call.tried
        )
        chosen = call.entry.balancer.choose(
            call.kind.route,
            drawn,
            lambda name: homes[name].cold_until > self.now,
            self.now,
            call.on_time - self.now,
        )
        if chosen is None or len(call.tried) >= MOST_TRIED:
            return
        call.tried.add(chosen.instance)
        call.entry.balancer.begin(chosen.incarnation)
        self.submit(homes[chosen.instance], call)

    def submit(self, home: MeshHome, call: Call) -> None:
        """Have a home take a call or refuse it."""
        refused = home.admission.arrive(self.arrival(call), self.now)
        self.advance(home)
        if refused is not None:
            self.turned_away(home, refused)

    def arrival(self, call: Call) -> Arrival:
        """Return a call as it requests a slot."""
        return Arrival(
            call.number,
            call.kind.route.name,
            call.kind.rank,
            call.on_time,
            call.deadline,
        )

    def advance(self, home: MeshHome) -> None:
        """Run as many calls as the home hands over, and look again when more may be."""
        while True:
            arrival, late = home.admission.next(self.now)
            for refused in late:
                self.turned_away(home, refused)
            if arrival is None:
                break
            self.run(home, self.calls[arrival.ticket])
        if home.admission.waiting and not home.admission.running:
            self.at(self.now + 0.1, lambda: self.advance(home))

    def run(self, home: MeshHome, call: Call) -> None:
        """Let the upstream work on a call."""
        home.admission.send(call.number, self.now)
        self.count_cold(home, home.cold_until > self.now)
        self.result.misplaced += home.evacuated
        work = self.work(home, call)
        self.at(self.now + work, lambda: self.answer(home, call, work))

    def work(self, home: MeshHome, call: Call) -> float:
        """Return the seconds of work on a call."""
        cold = home.cold_until > self.now
        work = call.kind.work * home.speed * (COLD_WORK if cold else 1.0)
        return work * self.rng.uniform(1 - SPREAD, 1 + SPREAD)

    def count_cold(self, home: MeshHome, cold: bool) -> None:
        """Count the calls that a cold upstream got within a second."""
        home.sent.append(self.now)
        while home.sent[0] <= self.now - BOUND_SECONDS:
            home.sent.popleft()
        if cold:
            most = max(self.result.busiest_cold, len(home.sent))
            self.result.busiest_cold = most

    def answer(self, home: MeshHome, call: Call, work: float) -> None:
        """Bring an answer to its caller."""
        home.admission.record_answer(None, self.now)
        home.admission.finish(call.number, True, self.now)
        self.tell(home, call)
        start = home.endpoint.incarnation
        call.entry.balancer.record_answer(call.kind.route.name, start, work, 0)
        second = int(call.begun)
        self.result.served[second] += 1
        self.result.on_time[second] += self.now <= call.on_time
        self.advance(home)

    def turned_away(self, home: MeshHome, refused: Refused) -> None:
        """Take a home's refusal of a call."""
        call = self.calls[refused.arrival.ticket]
        self.refused(home, call, refused.retry_after)

    def refused(self, home: MeshHome, call: Call, retry_after: float) -> None:
        """Try another home, or let the caller come back once as it was told."""
        self.tell(home, call)
        if len(call.tried) < MOST_TRIED:
            self.attempt(call)
            return
        left = call.deadline - self.now
        if call.returned or retry_after > PATIENCE * left:
            return
        call.returned = True
        call.tried.clear()
        self.at(self.now + retry_after, lambda: self.attempt(call))

    def tell(self, home: MeshHome, call: Call) -> None:
        """Tell an entry of a home's load with what came of its call."""
        start = home.endpoint.incarnation
        call.entry.balancer.end(start)
        call.entry.balancer.record_load(
            start, call.kind.route.name, home.news(call.kind, self.now), self.now
        )


def play_mesh(name: str, seeds: int) -> list[MeshResult]:
    """Return what callers got in a scenario, by seed."""
    return [SCENARIOS[name].model(seed).play() for seed in range(seeds)]
