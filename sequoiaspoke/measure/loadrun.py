"""Play a load scenario on a virtual clock, through the real decisions.

Entry nodes, home nodes and upstreams are small models; the balancers, retry
policies and admissions are the ones a node runs. Nothing waits and nothing is
random but by the seed, so that a run gives the same figures every time.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.deadline import enter
from sequoiaspoke.core.rules.model import Endpoint
from sequoiaspoke.measure.loadentry import Call, Entry
from sequoiaspoke.measure.loadhome import TICK, Home
from sequoiaspoke.measure.loadresult import ClassResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.measure.loadmodel import Policy, Scenario, Traffic


class Clock:
    """Run events in order of their time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()

    def after(self, delay: float, event: Callable[[], None]) -> None:
        """Run an event after a delay in seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), event))

    def run(self) -> None:
        """Run until no event is left."""
        while self.events:
            self.now, _, event = heapq.heappop(self.events)
            event()


class Run:
    """One scenario under one policy.

    Attributes
    ----------
    attempts : int
        Attempts that entries made in all.
    """

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.rng = Random(seed)
        self.clock = Clock()
        self.numbers = count()
        self.attempts = 0
        self.results = {each.name: ClassResult() for each in scenario.traffic}
        self.endpoints = tuple(
            Endpoint(f"target-{n}", f"vm-{n}", each.zone, "127.0.0.1", 1, each.slots)
            for n, each in enumerate(scenario.targets)
        )
        self.homes = {
            endpoint.target: Home(self, endpoint, model)
            for endpoint, model in zip(self.endpoints, scenario.targets, strict=True)
        }
        self.entries = [Entry(self, zone) for zone in scenario.entry_zones]

    def play(self) -> None:
        """Play the scenario to its end."""
        for traffic in self.scenario.traffic:
            self.clock.after(traffic.start, lambda each=traffic: self.next_call(each))
        for home in self.homes.values():
            self.clock.after(TICK, home.tick)
        homes = list(self.homes.values())
        for change in self.scenario.changes:
            home = homes[change.target]
            self.clock.after(
                change.at, lambda home=home, change=change: home.apply(change)
            )
        self.clock.run()

    def next_call(self, traffic: Traffic) -> None:
        """Begin a call and plan the next of its class."""
        now = self.clock.now
        if now >= min(traffic.end, self.scenario.duration):
            return
        if now > traffic.start:
            self.begin(traffic)
        self.clock.after(
            self.rng.expovariate(traffic.rate), lambda: self.next_call(traffic)
        )

    def begin(self, traffic: Traffic) -> None:
        """Begin one call."""
        now = self.clock.now
        # Times vary threefold about the mean, as answers of one kind do.
        seconds = traffic.seconds * self.rng.uniform(0.5, 1.5)
        counted = now >= self.scenario.measured_from
        call = Call(
            next(self.numbers),
            traffic,
            f"{traffic.name}-{self.rng.randrange(traffic.callers)}",
            seconds,
            self.rng.choice(self.entries),
            now,
            enter(self.policy.routing, traffic.timeout, now),
            counted,
        )
        if counted:
            self.results[traffic.name].offer(seconds)
        call.entry.begin(call)
