"""Play a load scenario on a virtual clock, through the real decisions.

Entry nodes, home nodes and upstreams are small models; the balancers, retry
policies and admissions are the ones a node runs. Nothing waits and nothing is
random but by the seed, so that a run gives the same figures every time.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, replace
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from sequoiaspoke.core.admission.admission import Admission
from sequoiaspoke.core.admission.model import Arrival, Refused, Started
from sequoiaspoke.core.routing.balancer import make_balancer
from sequoiaspoke.core.routing.deadline import Progress, enter
from sequoiaspoke.core.routing.model import Outcome, RouteContext, UpstreamState
from sequoiaspoke.core.routing.retry import Retry, RetryPolicy
from sequoiaspoke.core.rules.model import Endpoint
from sequoiaspoke.errors import (
    CallError,
    ConnectError,
    ConnectionLostError,
    DeadlineUnknownError,
    OverloadedError,
    UpstreamShedError,
)
from sequoiaspoke.measure.loadresult import ClassResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.admission.model import Verdict
    from sequoiaspoke.core.routing.model import LoadReport
    from sequoiaspoke.measure.loadmodel import (
        Change,
        Policy,
        Scenario,
        TargetModel,
        Traffic,
    )

SERVICE = "service"
HOP = 0.0005  # seconds between nodes, one way
TICK = 0.02  # seconds between a home's looks at its queue
COLD_FACTOR = 5.0  # how much slower a fresh process is at first
SHED_SECONDS = 0.001
FOR_LOAD = (OverloadedError, UpstreamShedError)


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


@dataclass
class Call:
    """A call on its way."""

    number: int
    traffic: Traffic
    caller: str
    seconds: float
    entry: Entry
    began: float
    progress: Progress
    counted: bool
    attempt: int = 0
    tried: frozenset[str] = frozenset()
    home: Home | None = None
    attempt_began: float = 0.0
    open: bool = True


class Upstream:
    """A target: runs what it is given, slower when crowded or cold."""

    def __init__(self, model: TargetModel) -> None:
        self.model = model
        self.running = 0
        self.change: Change | None = None
        self.changed_at = 0.0

    def sheds(self) -> bool:
        """Return whether it turns the next call away."""
        if self.change and self.change.refuses:
            return True
        return 0 < self.model.sheds_at <= self.running

    def seconds(self, call: Call, now: float) -> float:
        """Return how long the next call takes."""
        crowd = max(1.0, (self.running + 1) / self.model.bears)
        seconds = call.seconds * crowd**self.model.collapse
        if self.change is None:
            return seconds
        seconds *= self.change.slower
        warmed = now - self.changed_at
        if warmed < self.change.cold:
            left = 1 - warmed / self.change.cold
            seconds *= 1 + (COLD_FACTOR - 1) * left
        return seconds


class Home:
    """The node on a target's VM."""

    def __init__(self, run: Run, endpoint: Endpoint, model: TargetModel) -> None:
        self.run = run
        self.endpoint = endpoint
        self.upstream = Upstream(model)
        self.dead = False
        self.calls: dict[int, Call] = {}
        self.running: dict[int, float] = {}
        self.reports: deque[tuple[float, LoadReport]] = deque()
        self.start_anew()

    def start_anew(self) -> None:
        """Forget everything, as a fresh process does."""
        rng = Random(self.run.rng.random())
        policy = self.run.policy.admission
        self.admission = Admission(policy, self.endpoint.slots, rng)

    def arrive(self, call: Call) -> None:
        """Take a call from its entry."""
        if not call.open or call.home is not self:
            return
        if self.dead:
            self.fail(call, ConnectError())
            return
        self.calls[call.number] = call
        traffic = call.traffic
        arrival = Arrival(
            call.number,
            call.caller,
            call.progress.deadline,
            traffic.key,
            traffic.name,
            traffic.priority,
            self.run.clock.now,
        )
        self.act(self.admission.arrive(arrival, self.run.clock.now))

    def act(self, verdicts: list[Verdict]) -> None:
        """Carry out what admission decided."""
        for verdict in verdicts:
            if isinstance(verdict, Started):
                self.hand_over(self.calls[verdict.call])
            elif isinstance(verdict, Refused):
                self.fail(self.calls.pop(verdict.call), verdict.error)

    def hand_over(self, call: Call) -> None:
        """Let the upstream run a call."""
        now = self.run.clock.now
        sheds = self.upstream.sheds()
        seconds = SHED_SECONDS if sheds else self.upstream.seconds(call, now)
        self.upstream.running += 1
        self.running[call.number] = now
        event = self.shed if sheds else self.answer
        self.run.clock.after(seconds, lambda: event(call, now))

    def release(self, call: Call, outcome: Outcome) -> None:
        """Free the slot of a call."""
        now = self.run.clock.now
        began = self.running.pop(call.number)
        del self.calls[call.number]
        self.upstream.running -= 1
        self.act(self.admission.release(call.number, outcome, now - began, now))

    def answer(self, call: Call, began: float) -> None:
        """Answer a call that has run."""
        if self.running.get(call.number) != began:
            return
        self.release(call, Outcome.ANSWERED)
        report = self.report()
        self.run.clock.after(HOP, lambda: call.entry.answered(call, self, report))

    def shed(self, call: Call, began: float) -> None:
        """Pass on that the upstream turned a call away."""
        if self.running.get(call.number) != began:
            return
        self.release(call, Outcome.REFUSED)
        self.fail(call, UpstreamShedError())

    def fail(self, call: Call, error: CallError) -> None:
        """Answer a call with an error."""
        report = None if self.dead else self.report()
        self.run.clock.after(HOP, lambda: call.entry.failed(call, self, error, report))

    def cancel(self, call: Call) -> bool:
        """Stop a call whose caller is gone; return whether it ran."""
        if call.number in self.running:
            self.release(call, Outcome.CANCELLED)
            return True
        if self.calls.pop(call.number, None):
            self.admission.cancel(call.number)
        return False

    def report(self) -> LoadReport:
        """Return the load report that rides on an answer."""
        now = self.run.clock.now
        report = self.admission.report(now)
        if self.run.scenario.lie:
            return replace(report, state=UpstreamState.DOWN)
        if not self.run.scenario.report_lag:
            return report
        self.reports.append((now, report))
        oldest = self.reports[0][1]
        while self.reports[0][0] < now - self.run.scenario.report_lag:
            oldest = self.reports.popleft()[1]
        return oldest

    def tick(self) -> None:
        """Look at the queue from time to time."""
        if len(self.admission.queue):
            self.act(self.admission.tick(self.run.clock.now))
        if self.run.clock.now < self.run.scenario.duration + 60:
            self.run.clock.after(TICK, self.tick)

    def apply(self, change: Change) -> None:
        """Change how the target behaves."""
        self.upstream.change = change
        self.upstream.changed_at = self.run.clock.now
        if change.cold:
            self.start_anew()
        self.dead = change.dead
        if not change.dead:
            return
        lost, self.calls = list(self.calls.values()), {}
        ran, self.running = set(self.running), {}
        self.upstream.running = 0
        self.start_anew()
        for call in lost:
            running = call.number in ran
            self.fail(call, ConnectionLostError() if running else ConnectError())


class Entry:
    """The node that a caller hands its call to."""

    def __init__(self, run: Run, zone: str) -> None:
        self.run = run
        routing = run.policy.routing
        self.balancer = make_balancer(routing, zone, Random(run.rng.random()))
        self.retries = RetryPolicy(routing, Random(run.rng.random()))

    def begin(self, call: Call) -> None:
        """Take a call from its caller."""
        self.retries.first(SERVICE)
        self.run.clock.after(call.traffic.timeout, lambda: self.expired(call))
        self.attempt(call)

    def attempt(self, call: Call) -> None:
        """Try a call on the next target."""
        if not call.open:
            return
        now = self.run.clock.now
        call.attempt += 1
        may_probe = call.traffic.idempotent and call.attempt < call.traffic.attempts
        context = RouteContext(call.traffic.key, may_probe)
        try:
            choice = self.balancer.choose(
                SERVICE, self.run.endpoints, context, call.tried, now
            )
        except CallError as error:
            self.finish(call, error)
            return
        target = choice.endpoint.target
        call.home = self.run.homes[target]
        call.tried |= {target}
        call.attempt_began = now
        self.balancer.started(target, now)
        self.run.attempts += 1
        home = call.home
        self.run.clock.after(HOP, lambda: home.arrive(call))

    def answered(self, call: Call, home: Home, report: LoadReport) -> None:
        """Hand an answer to the caller."""
        if not call.open or call.home is not home:
            return
        self.attempt_ended(call, Outcome.ANSWERED, report)
        call.open = False
        now = self.run.clock.now
        result = self.run.results[call.traffic.name]
        if self.run.scenario.measured_from <= now <= self.run.scenario.duration:
            result.good_work += call.seconds
        if call.counted:
            result.answer(now - call.began)

    def failed(
        self, call: Call, home: Home, error: CallError, report: LoadReport | None
    ) -> None:
        """Try a failed call again, or hand the error to its caller."""
        if not call.open or call.home is not home:
            return
        for_load = report is not None and not isinstance(error, ConnectionLostError)
        self.attempt_ended(
            call, Outcome.REFUSED if for_load else Outcome.FAILED, report
        )
        remaining = call.progress.remaining(self.run.clock.now)
        decision = self.retries.decide(
            SERVICE, error, call.traffic.policy, call.attempt, remaining
        )
        if not isinstance(decision, Retry):
            self.finish(call, error)
            return
        if call.counted:
            self.run.results[call.traffic.name].retried += 1
        self.run.clock.after(decision.delay, lambda: self.attempt(call))

    def attempt_ended(
        self, call: Call, outcome: Outcome, report: LoadReport | None
    ) -> None:
        """Tell the balancer how an attempt ended."""
        now = self.run.clock.now
        target = call.home.endpoint.target
        call.home = None
        latency = now - call.attempt_began
        self.balancer.finished(target, outcome, latency, now)
        if report:
            self.balancer.report(target, report, now)

    def expired(self, call: Call) -> None:
        """Give up on a call at its deadline."""
        if not call.open:
            return
        began = False
        if call.home:
            began = call.home.cancel(call)
            self.attempt_ended(call, Outcome.TIMED_OUT, None)
        self.finish(call, DeadlineUnknownError(), began)

    def finish(self, call: Call, error: CallError, began: bool = False) -> None:
        """Hand an error to the caller."""
        call.open = False
        if call.counted:
            latency = self.run.clock.now - call.began
            self.run.results[call.traffic.name].fail(error, latency, began)


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
