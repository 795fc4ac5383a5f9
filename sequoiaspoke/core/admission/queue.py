"""Order and bound the calls that wait for a slot.

A queue helps with a burst and harms under standing overload: every call waits
the whole queue's length, most are answered after their callers have gone, and
the target works at full load for nobody. So no call waits longer than its
priority allows or than leaves time to answer it. Once the queue has not been
empty for half of that, and its oldest call has waited a quarter, the newest go
first: a burst would have passed, so the overload stands, and the newest callers
are still there. A queue that merely lasts but moves stays in order. Whoever is
given up on hears so at once, with a time to return.

An urgent call is worth little late, so it waits least and is refused early; a
patient one, such as an archive page, may wait many seconds. Between priorities
the slots are shared 8 : 4 : 1, not strictly, since a stream of urgent calls
would otherwise keep archive pages from ever arriving.
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

REFUSAL_DELIVERY_SECONDS = 0.03  # a look at the queue every 20 ms, and the way back

Refusal = tuple["Arrival", RefusalReason]


class CallQueue(ABC):
    """Hold the calls that wait."""

    @abstractmethod
    def __len__(self) -> int:
        """Return how many wait."""

    @abstractmethod
    def push(self, call: Arrival, rate: float, now: float) -> list[Refusal]:
        """Let a call wait; return the calls given up on, it or others.

        Parameters
        ----------
        rate : float
            Calls that the target finishes per second.
        """

    @abstractmethod
    def pop(self, allow: Callable[[Arrival], bool], now: float) -> Arrival | None:
        """Take out the next call among those allowed."""

    @abstractmethod
    def remove(self, call: int) -> bool:
        """Take out a call whose caller went away."""

    @abstractmethod
    def expire(self, now: float) -> list[Refusal]:
        """Take out the calls to give up on by now."""


class FifoQueue(CallQueue):
    """Serve in order of arrival whatever the deadlines; the baseline."""

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
        """Append a call unless the queue is full."""
        if len(self.calls) >= self.settings.queue_calls:
            return [(call, RefusalReason.QUEUE_FULL)]
        self.calls.append(call)
        return []

    def pop(
        self,
        allow: Callable[[Arrival], bool],  # noqa: ARG002
        now: float,  # noqa: ARG002
    ) -> Arrival | None:
        """Take out the oldest call."""
        return self.calls.popleft() if self.calls else None

    def remove(self, call: int) -> bool:
        """Take out a call whose caller went away."""
        for each in self.calls:
            if each.call == call:
                self.calls.remove(each)
                return True
        return False

    def expire(self, now: float) -> list[Refusal]:  # noqa: ARG002
        """Keep everything."""
        return []


class WaitingCalls:
    """The calls of one priority that wait.

    Attributes
    ----------
    virtual_time : float
        Virtual time of the priority, which advances with each call served.
    """

    def __init__(self, max_wait: float) -> None:
        self.max_wait = max_wait
        self.calls: dict[int, Arrival] = {}
        self.virtual_time = 0.0
        self.busy_since = 0.0
        self.newest_first = False

    def begin(self, now: float) -> None:
        """Note that the first call after a pause waits."""
        self.busy_since = now
        self.newest_first = False

    def overloaded(self, now: float) -> bool:
        """Return whether the overload stands; once so until nothing waits."""
        if not self.calls:
            return False
        oldest = next(iter(self.calls.values()))
        persistent = now - self.busy_since > self.max_wait / 2
        if persistent and now - oldest.arrived > self.max_wait / 4:
            self.newest_first = True
        return self.newest_first


class FairQueue(CallQueue):
    """Serve by priority, then by who has had least."""

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
        """Let a call wait if it can be answered in time."""
        refusals = self.expire(now)
        waiting = self.waiting[call.priority]
        if not waiting.calls:
            # The priority starts at the present and has saved nothing up.
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
        """Return the least virtual time of a priority that waits."""
        times = [each.virtual_time for each in self.waiting.values() if each.calls]
        return min(times, default=0.0)

    def refusal_reason(
        self, call: Arrival, waiting: WaitingCalls, rate: float, now: float
    ) -> RefusalReason | None:
        """Return why a call should not even wait."""
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
        """Count the waiting calls that would be served before it."""
        start_tag = self.shares.start_tag(call)
        return sum(
            each.caller == call.caller or self.shares.start_tag(each) < start_tag
            for each in waiting.calls.values()
        )

    def evict(self, waiting: WaitingCalls, now: float) -> Refusal:
        """Give up on a call of whoever has most waiting."""
        calls = list(waiting.calls.values())
        callers = Counter(each.caller for each in calls)
        keys = Counter(each.key for each in calls if each.key)
        caller, most = callers.most_common(1)[0]
        group = [each for each in calls if each.caller == caller]
        if keys and keys.most_common(1)[0][1] > most:
            key, most = keys.most_common(1)[0]
            group = [each for each in calls if each.key == key]
        # The newest would wait longest, unless the newest go first.
        victim = group[0] if waiting.overloaded(now) else group[-1]
        del waiting.calls[victim.call]
        evenly_spread = most * 2 <= len(calls)
        reason = RefusalReason.QUEUE_FULL if evenly_spread else RefusalReason.OVER_SHARE
        return victim, reason

    def pop(self, allow: Callable[[Arrival], bool], now: float) -> Arrival | None:
        """Take out the next call among those allowed."""
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
        """Return the call whose caller and key have had least."""
        sign = -1 if waiting.overloaded(now) else 1
        best, best_rank = None, (float("inf"), 0)
        for place, call in enumerate(waiting.calls.values()):
            rank = (self.shares.start_tag(call), sign * place)
            if rank < best_rank and allow(call):
                best, best_rank = call, rank
        return best

    def remove(self, call: int) -> bool:
        """Take out a call whose caller went away."""
        for waiting in self.waiting.values():
            if waiting.calls.pop(call, None):
                return True
        return False

    def wait_until(self, call: Arrival) -> float:
        """Return until when a call may wait."""
        # The refusal must reach the entry before its own deadline, else the
        # caller hears "outcome unknown" of a call that was never run.
        needed = max(self.durations.answer_time(call.kind), REFUSAL_DELIVERY_SECONDS)
        latest = call.deadline - needed
        return min(latest, call.arrived + self.waiting[call.priority].max_wait)

    def expire(self, now: float) -> list[Refusal]:
        """Take out the calls that waited too long or are too late to answer."""
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
    """Return the queue that the settings name."""
    if settings.queue == "fifo":
        return FifoQueue(settings)
    return FairQueue(settings, durations, shares)
