"""Decide at the home node which calls to a target run, wait or are refused.

An overloaded target answers no call in time. Admission control therefore limits
its concurrent calls, keeps a short queue and refuses the rest at once, while
they can still be sent to another target. Every call to a target passes its home
node, so its slots are counted exactly without coordination between nodes. See
the modules `limit`, `queue`, `shares`, `longcalls` and `durations`.
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

MIN_RETRY_AFTER = 1.0  # seconds; the HTTP header has no fractions
MAX_RETRY_AFTER = 30.0
DEFAULT_DURATION = 0.05  # assumed seconds per call before any call has finished


@dataclass(frozen=True)
class RunningCall:
    """A call that holds a slot.

    Attributes
    ----------
    expected_cost : float
        Slot time in seconds that its caller and key were charged at the start.
    concurrency : int
        Calls that ran when it started, itself included.
    """

    arrival: Arrival
    started_at: float
    expected_cost: float
    concurrency: int
    is_long: bool


class Admission:
    """Control the admission of calls to one target.

    Attributes
    ----------
    refused : Counter of RefusalReason
        Number of refusals by reason.
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
        """Admit, queue or refuse a new call; verdicts may also concern other calls."""
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
        # Slots that waiting long calls may not use may be free for this call.
        return verdicts + self.start_waiting(now)

    def release(
        self, call: int, outcome: Outcome, latency: float, now: float
    ) -> list[Verdict]:
        """Release the slot of a call and start waiting calls.

        Parameters
        ----------
        outcome : Outcome
            `FAILED` means that no connection could be opened.
        latency : float
            Seconds from passing the call to the upstream to the response head.
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
        """Remove a waiting call that its caller has cancelled."""
        return self.queue.remove(call)

    def tick(self, now: float) -> list[Verdict]:
        """Refuse calls that waited too long and start calls; to be called often."""
        verdicts: list[Verdict] = [self.refuse(each) for each in self.queue.expire(now)]
        return verdicts + self.start_waiting(now)

    def drain(self) -> None:
        """Refuse new calls from now on; waiting and running calls still finish."""
        self.draining = True

    def report(self, now: float) -> LoadReport:
        """Return the load report for other nodes."""
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
        """Return the number of slots that neither a call nor a grant holds."""
        return self.limit.current() - self.reserved - len(self.running)

    def has_slot(self, call: Arrival, now: float) -> bool:
        """Return whether a slot is free for a call of this kind."""
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
        """Give a slot to a call and charge its caller and key."""
        cost = self.durations.expected(call.kind)
        self.shares.start(call, cost)
        is_long = self.long_calls.is_long(call.kind)
        concurrency = len(self.running) + self.reserved + 1
        self.running[call.call] = RunningCall(call, now, cost, concurrency, is_long)
        self.long_running += is_long
        return Started(call.call)

    def completion_rate(self) -> float:
        """Estimate how many calls the target completes per second."""
        mean = self.durations.overall.held.mean or DEFAULT_DURATION
        return max(1, self.limit.current() - self.reserved) / mean

    def refuse(self, refusal: Refusal) -> Refused:
        """Count a refusal and return its verdict."""
        call, reason = refusal
        self.refused[reason] += 1
        return Refused(call.call, reason, self.error(reason))

    def error(self, reason: RefusalReason) -> CallError:
        """Return the error to answer for a refusal reason."""
        if reason is RefusalReason.DRAINING:
            return DrainingError(reason.value)
        if reason in (RefusalReason.DEADLINE_TOO_CLOSE, RefusalReason.EXPIRED):
            return DeadlineNotRunError(reason.value, self.retry_after())
        return OverloadedError(reason.value, self.retry_after())

    def retry_after(self) -> float:
        """Return the seconds until the present queue has drained, with jitter.

        Without the jitter all callers refused at one time would retry at one time.
        """
        seconds = MIN_RETRY_AFTER + len(self.queue) / self.completion_rate()
        return min(MAX_RETRY_AFTER, seconds * (1 + self.rng.random()))
