"""Order and bound the calls that wait for a slot.

A queue absorbs a burst but harms under persistent overload: every call waits for
the whole queue, most are answered after their callers have gone, and the target's
work is wasted. So a call waits no longer than its priority allows, nor so long
that it could not be answered before its deadline.

If a priority's queue has not been empty for half of its maximum wait, and its
oldest call has waited a quarter of it, the overload counts as persistent, since a
burst would have passed. Then the newest calls go first, because their callers
are still waiting. A queue that is never empty but keeps moving stays in order of
arrival. Refused callers are told at once, with a time to retry after.

A late answer to an urgent call is worth little, so it waits least and is refused
early; a patient call may wait many seconds. Slots are shared 8 : 4 : 1 between
priorities. Strict priority would starve patient calls under a steady stream of
urgent ones.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, deque
from typing import TYPE_CHECKING

from sequoiaspoke.core.admission.model import RefusalReason
from sequoiaspoke.core.rules.model import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.admission.durations import Durations
    from sequoiaspoke.core.admission.model import Arrival
    from sequoiaspoke.core.admission.settings import AdmissionSettings
    from sequoiaspoke.core.admission.shares import Shares

PRIORITY_WEIGHTS = {Priority.URGENT: 8, Priority.ORDINARY: 4, Priority.PATIENT: 1}

# Covers the 20 ms between checks of the queue and the way back to the entry.
REFUSAL_DELIVERY_SECONDS = 0.03

Refusal = tuple["Arrival", RefusalReason]


class CallQueue(ABC):
    """Hold the calls that wait for a slot."""

    @abstractmethod
    def __len__(self) -> int:
        """Return how many wait."""

    @abstractmethod
    def push(self, call: Arrival, rate: float, now: float) -> list[Refusal]:
        """Queue a call; return the refused calls, which may include others.

        Parameters
        ----------
        rate : float
            Calls that the target completes per second.
        """

    @abstractmethod
    def pop(self, allow: Callable[[Arrival], bool], now: float) -> Arrival | None:
        """Remove and return the next call for which `allow` is true."""

    @abstractmethod
    def remove(self, call: int) -> bool:
        """Remove a call that its caller has cancelled; return whether it waited."""

    @abstractmethod
    def expire(self, now: float) -> list[Refusal]:
        """Remove and return the calls to refuse by now."""


class FifoQueue(CallQueue):
    """Serve in order of arrival regardless of deadlines, as a baseline."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.calls: deque[Arrival] = deque()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self.calls)

    def push(
        self,
        call: Arrival,
        rate: float,  # noqa: ARG002
        now: float,  # noqa: ARG002
    ) -> list[Refusal]:
        """Append a call, or refuse it if the queue is full."""
        if len(self.calls) >= self.settings.queue_calls:
            return [(call, RefusalReason.QUEUE_FULL)]
        self.calls.append(call)
        return []

    def pop(
        self,
        allow: Callable[[Arrival], bool],  # noqa: ARG002
        now: float,  # noqa: ARG002
    ) -> Arrival | None:
        """Remove and return the oldest call."""
        return self.calls.popleft() if self.calls else None

    def remove(self, call: int) -> bool:
        """Remove a call that its caller has cancelled; return whether it waited."""
        for each in self.calls:
            if each.call == call:
                self.calls.remove(each)
                return True
        return False

    def expire(self, now: float) -> list[Refusal]:  # noqa: ARG002
        """Refuse nothing."""
        return []


class WaitingCalls:
    """The waiting calls of one priority.

    Attributes
    ----------
    virtual_time : float
        Virtual time of the priority, which advances with each call served.
    busy_since : float
        When the queue last became non-empty.
    newest_first : bool
        Whether the overload was found to be persistent.
    """

    def __init__(self, max_wait: float) -> None:
        self.max_wait = max_wait
        self.calls: dict[int, Arrival] = {}
        self.virtual_time = 0.0
        self.busy_since = 0.0
        self.newest_first = False

    def begin(self, now: float) -> None:
        """Record that the queue becomes non-empty."""
        self.busy_since = now
        self.newest_first = False

    def overloaded(self, now: float) -> bool:
        """Return whether the overload is persistent; this holds until none waits."""
        if not self.calls:
            return False
        oldest = next(iter(self.calls.values()))
        persistent = now - self.busy_since > self.max_wait / 2
        if persistent and now - oldest.arrived > self.max_wait / 4:
            self.newest_first = True
        return self.newest_first


class FairQueue(CallQueue):
    """Serve by weighted priority, then by the least served caller and key."""

    def __init__(
        self, settings: AdmissionSettings, durations: Durations, shares: Shares
    ) -> None:
        self.settings = settings
        self.durations = durations
        self.shares = shares
        self.waiting = {
            Priority.URGENT: WaitingCalls(settings.urgent_wait),
            Priority.ORDINARY: WaitingCalls(settings.ordinary_wait),
            Priority.PATIENT: WaitingCalls(settings.patient_wait),
        }

    def __len__(self) -> int:
        """Return how many wait."""
        return sum(len(each.calls) for each in self.waiting.values())

    def push(self, call: Arrival, rate: float, now: float) -> list[Refusal]:
        """Queue a call if it can be answered in time."""
        refusals = self.expire(now)
        waiting = self.waiting[call.priority]
        if not waiting.calls:
            # An idle priority accumulates no credit.
            waiting.begin(now)
            waiting.virtual_time = max(waiting.virtual_time, self.least_virtual_time())
        reason = self.refusal_reason(call, waiting, rate, now)
        if reason:
            return [*refusals, (call, reason)]
        waiting.calls[call.call] = call
        if len(waiting.calls) > self.settings.queue_calls:
            refusals.append(self.evict(waiting, now))
        return refusals

    def least_virtual_time(self) -> float:
        """Return the least virtual time of the priorities with waiting calls."""
        times = [each.virtual_time for each in self.waiting.values() if each.calls]
        return min(times, default=0.0)

    def refusal_reason(
        self, call: Arrival, waiting: WaitingCalls, rate: float, now: float
    ) -> RefusalReason | None:
        """Return why a call is refused on arrival, or None if it may wait."""
        wait = (
            0.0 if waiting.overloaded(now) else self.calls_ahead(call, waiting) / rate
        )
        if now + wait + self.durations.likely_answer_time(call.kind) > call.deadline:
            self.durations.decay_answer_time(call.kind)
            return RefusalReason.DEADLINE_TOO_CLOSE
        if wait > waiting.max_wait:
            return RefusalReason.WAIT_TOO_LONG
        return None

    def calls_ahead(self, call: Arrival, waiting: WaitingCalls) -> int:
        """Count the waiting calls that would be served before a call."""
        start_tag = self.shares.start_tag(call)
        return sum(
            each.caller == call.caller or self.shares.start_tag(each) < start_tag
            for each in waiting.calls.values()
        )

    def evict(self, waiting: WaitingCalls, now: float) -> Refusal:
        """Remove a call of the caller or key with the most waiting calls."""
        calls = list(waiting.calls.values())
        callers = Counter(each.caller for each in calls)
        keys = Counter(each.key for each in calls if each.key)
        caller, most = callers.most_common(1)[0]
        group = [each for each in calls if each.caller == caller]
        if keys and keys.most_common(1)[0][1] > most:
            key, most = keys.most_common(1)[0]
            group = [each for each in calls if each.key == key]
        # Chooses the call that would be served last.
        victim = group[0] if waiting.overloaded(now) else group[-1]
        del waiting.calls[victim.call]
        evenly_spread = most * 2 <= len(calls)
        reason = RefusalReason.QUEUE_FULL if evenly_spread else RefusalReason.OVER_SHARE
        return victim, reason

    def pop(self, allow: Callable[[Arrival], bool], now: float) -> Arrival | None:
        """Remove and return the next call for which `allow` is true."""
        ready = [item for item in self.waiting.items() if item[1].calls]
        for priority, waiting in sorted(ready, key=lambda item: item[1].virtual_time):
            call = self.next_call(waiting, allow, now)
            if call is None:
                continue
            del waiting.calls[call.call]
            waiting.virtual_time += (
                self.durations.expected(call.kind) / PRIORITY_WEIGHTS[priority]
            )
            return call
        return None

    def next_call(
        self, waiting: WaitingCalls, allow: Callable[[Arrival], bool], now: float
    ) -> Arrival | None:
        """Return the allowed call with the lowest start tag."""
        sign = -1 if waiting.overloaded(now) else 1
        best, best_rank = None, (float("inf"), 0)
        for place, call in enumerate(waiting.calls.values()):
            rank = (self.shares.start_tag(call), sign * place)
            if rank < best_rank and allow(call):
                best, best_rank = call, rank
        return best

    def remove(self, call: int) -> bool:
        """Remove a call that its caller has cancelled; return whether it waited."""
        for waiting in self.waiting.values():
            if waiting.calls.pop(call, None):
                return True
        return False

    def wait_until(self, call: Arrival) -> float:
        """Return the time until which a call may wait."""
        # The refusal must reach the entry before the entry's own deadline.
        # Otherwise the caller is told "outcome unknown" for a call that never ran.
        needed = max(self.durations.answer_time(call.kind), REFUSAL_DELIVERY_SECONDS)
        latest = call.deadline - needed
        return min(latest, call.arrived + self.waiting[call.priority].max_wait)

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return calls that waited too long or would be answered late."""
        refusals = []
        for waiting in self.waiting.values():
            for call in list(waiting.calls.values()):
                if self.wait_until(call) > now:
                    continue
                del waiting.calls[call.call]
                waited = now - call.arrived >= waiting.max_wait
                reason = (
                    RefusalReason.WAITED_TOO_LONG if waited else RefusalReason.EXPIRED
                )
                refusals.append((call, reason))
        return refusals


def make_queue(
    settings: AdmissionSettings, durations: Durations, shares: Shares
) -> CallQueue:
    """Return the queue that the settings select."""
    if settings.queue == "fifo":
        return FifoQueue(settings)
    return FairQueue(settings, durations, shares)
