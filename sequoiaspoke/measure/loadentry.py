"""A call and the node it enters at in a load scenario."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.model import Outcome, RouteContext
from sequoiaspoke.core.routing.policies import make_balancer
from sequoiaspoke.core.routing.retry import Retry, RetryPolicy
from sequoiaspoke.errors import CallError, ConnectionLostError, DeadlineUnknownError
from sequoiaspoke.measure.loadhome import HOP

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.deadline import Progress
    from sequoiaspoke.core.routing.model import LoadReport
    from sequoiaspoke.measure.loadhome import Home
    from sequoiaspoke.measure.loadmodel import Traffic
    from sequoiaspoke.measure.loadrun import Run

SERVICE = "service"


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


class Entry:
    """The node that a caller hands its call to."""

    def __init__(self, run: Run, zone: str) -> None:
        self.run = run
        routing = run.policy.routing
        self.balancer = make_balancer(routing, zone, Random(run.rng.random()))
        self.retries = RetryPolicy(routing, Random(run.rng.random()))

    def begin(self, call: Call) -> None:
        """Take a call from its caller."""
        self.retries.first_attempt(SERVICE)
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
