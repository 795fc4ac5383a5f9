"""Compare the choice of homes by load reports with slot requests, on a virtual clock.

Entries choose by `Balancer` and `Sampler` and, with slot requests, by `Asking`; homes
admit by `Admission`. Messages between nodes take time, so that a slot request that is
refused costs a round trip.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from math import inf, pi, sin
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import Arrival, RefusalReason
from sequoiaspoke.core.mesh.asking import Asking, Choices, SlotRequests
from sequoiaspoke.core.mesh.model import Endpoint
from sequoiaspoke.core.mesh.records import EndpointGroup
from sequoiaspoke.measure.meshmodel import (
    MOST_TRIED,
    SERVICE,
    Call,
    CallKind,
    MeshEntry,
    MeshHome,
    MeshModel,
    MeshScenario,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.admission import Refused
    from sequoiaspoke.core.mesh.balancer import LoadReport

# Factors on the work of the slowest and the fastest upstream, evenly distributed.
FASTEST, SLOWEST = 0.5, 1.6
# Seconds of a message within a zone, and those that another zone adds.
DELAY, ZONE_DELAY = 0.004, 0.002
# Seconds of a play that are not counted: entries measure the homes in them.
WARM_UP = 3.0
# How much longer a slow upstream works, and seconds for which it stays so.
SLOW_WORK, SLOW_SECONDS = 2.5, 0.6
# Seconds between two peaks in a zone, which reach the zones one after the other.
WAVE_SECONDS = 5.6


@dataclass(frozen=True)
class SizedKind(CallKind):
    """A kind of calls whose bodies have a size.

    Attributes
    ----------
    size : int
        Bytes of the bodies of request and answer.
    """

    size: int = 2000


@dataclass(frozen=True)
class PlacementScenario(MeshScenario):
    """A load of a service whose upstreams differ in speed.

    Attributes
    ----------
    upstreams : int
        Upstreams over all zones.
    asking : bool
        Whether entries request slots.
    wave : float
        Amplitude of the load of each zone, as a part of its mean.
    delay : float
        Seconds of a message within a zone.
    slow_share : float
        Share of the time in which an upstream is slow.
    """

    zones: int = 4
    entries: int = 20
    most_cold: int | None = None
    seconds: float = 13.0
    upstreams: int = 38
    asking: bool = False
    wave: float = 0.0
    delay: float = DELAY
    slow_share: float = 0.0

    def model(self, seed: int) -> PlacementModel:
        """Return the model that plays this scenario."""
        return PlacementModel(self, seed)


@dataclass
class KindResult:
    """What the calls of one kind met.

    Attributes
    ----------
    late : int
        Calls that were answered late or not at all.
    failed : int
        Calls that were not answered.
    waited : int
        Calls that waited in the queue of the home that ran them.
    crossed, requests, busy : int
        Calls sent to another zone, slot requests, and those that met a busy home.
    """

    calls: int = 0
    late: int = 0
    failed: int = 0
    waited: int = 0
    crossed: int = 0
    requests: int = 0
    busy: int = 0
    seconds: float = 0.0


@dataclass
class PlacedCall(Call):
    """A call with its slot requests, if it makes any."""

    requests: SlotRequests | None = None
    submitted: float = 0.0
    max_wait: float = inf


class PlacementEntry(MeshEntry):
    """An entry that can request slots."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        super().__init__(zone, rng)
        self.asking = Asking(self.balancer, self.sampler)


class PlacementModel(MeshModel):
    """One play of a scenario."""

    def __init__(self, scenario: PlacementScenario, seed: int) -> None:
        super().__init__(scenario, seed)
        self.scenario = scenario
        self.kinds = {kind.route.name: KindResult() for kind in scenario.kinds}
        self.entries = [PlacementEntry(entry.zone, self.rng) for entry in self.entries]
        self.homes = self.make_homes(scenario)
        self.slow: dict[tuple[str, int], bool] = {}
        self.group = EndpointGroup.of(home.endpoint for home in self.homes.values())
        able = sum(scenario.slots / home.speed for home in self.homes.values())
        self.rate = (1 + scenario.wave) * scenario.load * able / scenario.mean_work

    def play_placement(self) -> dict[str, KindResult]:
        """Play to the end and return what the calls of each kind met."""
        self.play()
        return self.kinds

    def make_homes(self, scenario: PlacementScenario) -> dict[str, MeshHome]:
        """Return homes whose speeds are dealt at random."""
        step = (SLOWEST - FASTEST) / (scenario.upstreams - 1)
        speeds = [FASTEST + step * number for number in range(scenario.upstreams)]
        self.rng.shuffle(speeds)
        homes = {}
        for number, speed in enumerate(speeds):
            zone = f"z{number % scenario.zones}"
            name = f"{zone}-{number}"
            endpoint = Endpoint(name, SERVICE, name, 80, zone, scenario.slots)
            homes[name] = MeshHome(endpoint, speed, None)
        return homes

    def arrive(self) -> None:
        """Let a caller begin a call, and another soon."""
        scenario = self.scenario
        if self.now < scenario.seconds:
            self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        entry = self.rng.choice(self.entries)
        zone = int(entry.zone[1:]) / scenario.zones
        load = 1 + scenario.wave * sin(2 * pi * (self.now / WAVE_SECONDS - zone))
        if self.rng.random() * (1 + scenario.wave) > load:
            return
        (kind,) = self.rng.choices(
            scenario.kinds, [kind.share for kind in scenario.kinds]
        )
        call = PlacedCall(self.count, self.now, entry, kind)
        self.calls[call.number] = call
        if scenario.asking:
            call.requests = SlotRequests(
                kind.route, kind.nested, kind.size, call.on_time
            )
        self.count_call(call, calls=1)
        self.attempt(call)

    def count_call(self, call: Call, **counts: float) -> None:
        """Count something about a call that began after the warm-up."""
        if call.begun < WARM_UP:
            return
        result = self.kinds[call.kind.route.name]
        for name, count in counts.items():
            setattr(result, name, getattr(result, name) + count)

    def attempt(self, call: Call) -> None:
        """Send a call to the next home."""
        endpoint, call.max_wait = self.choose(call)
        over = len(call.tried) > MOST_TRIED or self.now > call.deadline
        if endpoint is None or over:
            self.count_call(call, late=1, failed=1)
            return
        asks = call.max_wait < inf
        crosses = endpoint.zone != call.entry.zone
        self.count_call(call, requests=asks, crossed=crosses)
        call.entry.balancer.begin(endpoint.incarnation)
        home = self.homes[endpoint.instance]
        self.carry(home, call, partial(self.submit, home, call))

    def choose(self, call: PlacedCall) -> tuple[Endpoint | None, float]:
        """Return where a call is sent next, and how long it may wait there."""
        is_eligible, is_cold = self.eligibility(call), self.is_cold
        if call.requests is not None:
            choices = Choices(self.group, is_eligible, is_cold)
            placement = call.entry.asking.place(call.requests, choices, self.now)
            if placement is not None:
                return placement.endpoint, placement.max_wait
        drawn = call.entry.sampler.candidates(
            self.group.endpoints, self.group.in_zone(call.entry.zone), is_eligible
        )
        left = call.on_time - self.now
        balancer, route = call.entry.balancer, call.kind.route
        return balancer.choose(route, drawn, is_cold, self.now, left), inf

    def eligibility(self, call: Call) -> Callable[[Endpoint], bool]:
        """Return the test whether a call may be sent to an endpoint."""
        return lambda endpoint: endpoint.instance not in call.tried

    def is_cold(self, name: str) -> bool:  # noqa: ARG002
        """Return whether an upstream is cold; none is."""
        return False

    def carry(self, home: MeshHome, call: Call, act: Callable[[], None]) -> None:
        """Have a message between an entry and a home arrive."""
        delay = self.scenario.delay * self.rng.uniform(0.5, 1.5)
        if home.endpoint.zone != call.entry.zone:
            delay += ZONE_DELAY
        self.at(self.now + delay, act)

    def arrival(self, call: PlacedCall) -> Arrival:
        """Return a call as it requests a slot."""
        return replace(super().arrival(call), max_wait=call.max_wait)

    def run(self, home: MeshHome, call: PlacedCall) -> None:
        """Let the upstream work on a call."""
        self.count_call(call, waited=self.now > call.submitted)
        super().run(home, call)

    def work(self, home: MeshHome, call: Call) -> float:
        """Return the seconds of work on a call."""
        key = (home.endpoint.instance, int(self.now / SLOW_SECONDS))
        slow = self.slow.get(key)
        if slow is None:
            slow = self.slow[key] = self.rng.random() < self.scenario.slow_share
        return super().work(home, call) * (SLOW_WORK if slow else 1.0)

    def submit(self, home: MeshHome, call: PlacedCall) -> None:
        """Have a home take a call or refuse it."""
        call.submitted = self.now
        super().submit(home, call)

    def answer(self, home: MeshHome, call: PlacedCall, work: float) -> None:
        """Free the slot of a call, and send its answer."""
        home.admission.record_answer(None, self.now)
        home.admission.finish(call.number, True, self.now)
        report = home.news(call.kind, self.now)
        self.advance(home)
        self.carry(home, call, partial(self.answered, home, call, work, report))

    def answered(
        self, home: MeshHome, call: PlacedCall, work: float, report: LoadReport
    ) -> None:
        """Take an answer at its entry."""
        self.record_report(home, call, report)
        balancer, route = call.entry.balancer, call.kind.route.name
        incarnation = home.endpoint.incarnation
        balancer.record_answer(route, incarnation, work, call.kind.size)
        if call.max_wait < inf:
            self.record_request(home, call, busy=False)
        late, failed = self.now > call.on_time, self.now > call.deadline
        self.count_call(call, late=late, failed=failed, seconds=self.now - call.begun)

    def turned_away(self, home: MeshHome, refused: Refused) -> None:
        """Send a home's refusal of a call to its entry."""
        call = self.calls[refused.arrival.ticket]
        busy = refused.reason == RefusalReason.BUSY
        report = home.news(call.kind, self.now)
        self.carry(home, call, partial(self.refused_by, home, call, busy, report))

    def refused_by(
        self, home: MeshHome, call: PlacedCall, busy: bool, report: LoadReport
    ) -> None:
        """Take a refusal at its entry, and try another home."""
        self.record_report(home, call, report)
        if busy:
            call.requests.record_busy(home.endpoint, report.wait)
            self.record_request(home, call, busy=True)
        else:
            call.tried.add(home.endpoint.instance)
        self.attempt(call)

    def record_request(self, home: MeshHome, call: Call, busy: bool) -> None:
        """Record the result of a slot request at its entry."""
        room = call.entry.asking.room(SERVICE)
        room.record(home.endpoint.zone, busy, self.now)
        self.count_call(call, busy=busy)

    def record_report(self, home: MeshHome, call: Call, report: LoadReport) -> None:
        """Record a home's load report at an entry."""
        incarnation, balancer = home.endpoint.incarnation, call.entry.balancer
        balancer.end(incarnation)
        balancer.record_load(incarnation, call.kind.route.name, report, self.now)
