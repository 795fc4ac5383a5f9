"""Decide at the target's own node which calls run, wait or are turned away.

A target under more load than it bears answers nobody in time, unless something
in front of it runs as many calls as it does well, keeps a short queue and turns
the rest away at once, while they can still go elsewhere. Every call to a target
passes here, so the count of its slots is exact without agreement between nodes.
The parts explain themselves: `limit`, `queue`, `shares`, `lanes`, `durations`.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.admission.durations import Durations
from sequoiaspoke.core.admission.health import UpstreamHealth
from sequoiaspoke.core.admission.limit import UNBOUNDED, make_limit
from sequoiaspoke.core.admission.longcalls import LongCallLimiter
from sequoiaspoke.core.admission.model import (
    Arrival,
    Queued,
    RefusalReason,
    Refused,
    Started,
    Verdict,
)
from sequoiaspoke.core.admission.queue import make_queue
from sequoiaspoke.core.admission.shares import Shares
from sequoiaspoke.core.routing.model import LoadReport, Outcome, UpstreamState
from sequoiaspoke.errors import DeadlineNotRunError, DrainingError, OverloadedError

if TYPE_CHECKING:
    from random import Random

    from sequoiaspoke.core.admission.queue import Refusal
    from sequoiaspoke.core.admission.settings import AdmissionSettings
    from sequoiaspoke.errors import CallError

MIN_RETRY_AFTER = 1.0  # seconds; HTTP knows no fractions
MAX_RETRY_AFTER = 30.0
DEFAULT_DURATION = 0.05  # seconds a call is taken to last before any has ended


@dataclass(frozen=True)
class RunningCall:
    """A call that holds a slot."""

    arrival: Arrival
    started_at: float
    expected_cost: float
    concurrency: int
    is_long: bool


class Admission:
    """Admit calls to one target.

    Attributes
    ----------
    refused : Counter of RefusalReason
        Refusals so far by reason.
    reserved : int
        Slots held by granted direct connections.
    """

    def __init__(self, settings: AdmissionSettings, slots: int, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.limit = make_limit(settings, slots)
        self.durations = Durations()
        self.shares = Shares()
        self.long_calls = LongCallLimiter(settings, self.durations)
        self.queue = make_queue(settings, self.durations, self.shares)
        self.running: dict[int, RunningCall] = {}
        self.long_running = 0
        self.reserved = 0
        self.draining = False
        self.health = UpstreamHealth(settings)
        self.refused: Counter[RefusalReason] = Counter()

    def arrive(self, call: Arrival, now: float) -> list[Verdict]:
        """Decide on a new call; the verdicts may concern others, too."""
        if self.draining:
            return [self.refuse((call, RefusalReason.DRAINING))]
        if call.deadline <= now:
            return [self.refuse((call, RefusalReason.DEADLINE_TOO_CLOSE))]
        self.long_calls.arrived(call.kind, now)
        if not len(self.queue) and self.has_slot(call, now):
            return [self.start(call, now)]
        refusals = self.queue.push(call, self.completion_rate(), now)
        verdicts = [self.refuse(each) for each in refusals]
        if all(verdict.call != call.call for verdict in verdicts):
            verdicts.append(Queued(call.call))
        # Slots kept from the long calls that wait may be free for this one.
        return verdicts + self.start_waiting(now)

    def release(
        self, call: int, outcome: Outcome, latency: float, now: float
    ) -> list[Verdict]:
        """Take back the slot of a call and pass it on.

        Parameters
        ----------
        outcome : Outcome
            `FAILED` means that no connection could be opened.
        latency : float
            Seconds from hand-over to the head of the answer.
        """
        running = self.running.pop(call, None)
        if running is None:
            return []
        self.long_running -= running.is_long
        held = now - running.started_at
        arrival = running.arrival
        self.shares.charge(arrival, held - running.expected_cost)
        if outcome is Outcome.ANSWERED:
            self.health.answered(now)
            self.durations.add(arrival.kind, held, latency)
            self.long_calls.finished(arrival.kind, held, now)
            self.limit.answered(arrival.kind, latency, running.concurrency, now)
        elif outcome is Outcome.FAILED:
            self.health.connection_refused()
        elif outcome is Outcome.REFUSED:
            self.limit.shed(running.concurrency, now)
        return self.tick(now)

    def cancel(self, call: int) -> bool:
        """Forget a waiting call whose caller went away."""
        return self.queue.remove(call)

    def tick(self, now: float) -> list[Verdict]:
        """Give up on what is too late and start what fits; call it often."""
        verdicts: list[Verdict] = [self.refuse(each) for each in self.queue.expire(now)]
        return verdicts + self.start_waiting(now)

    def drain(self) -> None:
        """Take no new calls; those that wait or run finish."""
        self.draining = True

    def report(self, now: float) -> LoadReport:
        """Return the load to tell other nodes."""
        limit = self.limit.current()
        state = self.health.state(now)
        if self.draining:
            state = UpstreamState.LEAVING
        return LoadReport(
            len(self.running) + self.reserved,
            len(self.queue),
            0 if limit == UNBOUNDED else limit,
            state,
        )

    def free_slots(self) -> int:
        """Return the slots that nothing holds."""
        return self.limit.current() - self.reserved - len(self.running)

    def has_slot(self, call: Arrival, now: float) -> bool:
        """Return whether a call may start now."""
        free = self.free_slots()
        if free <= 0:
            return False
        if not self.long_calls.is_long(call.kind):
            return True
        limit = self.limit.current() - self.reserved
        return self.long_running < max(
            1, limit - self.long_calls.slots_for_short(limit, now)
        )

    def start_waiting(self, now: float) -> list[Verdict]:
        """Start waiting calls while slots are free."""
        verdicts: list[Verdict] = []
        while len(self.queue) and self.free_slots() > 0:
            call = self.queue.pop(lambda each: self.has_slot(each, now), now)
            if call is None:
                break
            verdicts.append(self.start(call, now))
        return verdicts

    def start(self, call: Arrival, now: float) -> Started:
        """Give a slot to a call."""
        cost = self.durations.expected(call.kind)
        self.shares.start(call, cost)
        is_long = self.long_calls.is_long(call.kind)
        concurrency = len(self.running) + self.reserved + 1
        self.running[call.call] = RunningCall(call, now, cost, concurrency, is_long)
        self.long_running += is_long
        return Started(call.call)

    def completion_rate(self) -> float:
        """Estimate the calls that the target finishes per second."""
        mean = self.durations.overall.held.mean or DEFAULT_DURATION
        return max(1, self.limit.current() - self.reserved) / mean

    def refuse(self, refusal: Refusal) -> Refused:
        """Make the final answer of a call that is given up on."""
        call, reason = refusal
        self.refused[reason] += 1
        return Refused(call.call, reason, self.error(reason))

    def error(self, reason: RefusalReason) -> CallError:
        """Return the typed error of a refusal."""
        if reason is RefusalReason.DRAINING:
            return DrainingError(reason.value)
        if reason in (RefusalReason.DEADLINE_TOO_CLOSE, RefusalReason.EXPIRED):
            return DeadlineNotRunError(reason.value, self.retry_after())
        return OverloadedError(reason.value, self.retry_after())

    def retry_after(self) -> float:
        """Return when the queue of now will be gone, spread by chance.

        Without the spread all that were refused together return together.
        """
        seconds = MIN_RETRY_AFTER + len(self.queue) / self.completion_rate()
        return min(MAX_RETRY_AFTER, seconds * (1 + self.rng.random()))
