"""A target and its node in a load scenario."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from sequoiaspoke.core.admission.admission import Admission
from sequoiaspoke.core.admission.model import Arrival, Refused, Started
from sequoiaspoke.core.routing.model import Outcome, UpstreamState
from sequoiaspoke.errors import (
    CallError,
    ConnectError,
    ConnectionLostError,
    UpstreamShedError,
)

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.model import Verdict
    from sequoiaspoke.core.routing.model import LoadReport
    from sequoiaspoke.core.rules.model import Endpoint
    from sequoiaspoke.measure.loadentry import Call
    from sequoiaspoke.measure.loadmodel import Change, TargetModel
    from sequoiaspoke.measure.loadrun import Run

HOP = 0.0005  # seconds between nodes, one way
TICK = 0.02  # seconds between a home's looks at its queue
COLD_FACTOR = 5.0  # how much slower a fresh process is at first
SHED_SECONDS = 0.001


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
