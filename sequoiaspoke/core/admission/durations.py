"""Estimate how long each kind of call holds a slot and when it is answered.

Callers don't declare how long a call takes, and a duration configured in a rule
is wrong after the next release of the upstream, so durations are measured. The
slot times of finished calls, by kind, give the cost charged to a caller and tell
long calls from short ones. The times to the response head tell which calls can
still be answered in time. The two differ for streams: a recording starts within
milliseconds and runs for minutes. If its deadline were compared with its slot
time, it would be refused whenever another call waits.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

WEIGHT = 0.1  # of the newest call; the last ten outweigh all earlier ones
REFUSAL_DECAY = 0.01  # a hundred refusals reduce an estimate to about a third
MAX_KINDS = 256  # bounds the memory when there are many kinds
SHORT_QUANTILE = 0.1  # the quantile of durations that counts as short


@dataclass
class DurationEstimate:
    """Mean and mean deviation of durations, in seconds."""

    mean: float
    deviation: float = 0.0

    def add(self, seconds: float) -> None:
        """Update the averages with a finished call."""
        difference = seconds - self.mean
        self.mean += WEIGHT * difference
        self.deviation += WEIGHT * (abs(difference) - self.deviation)


@dataclass
class KindDurations:
    """Durations and frequency of one kind of call.

    Attributes
    ----------
    held : DurationEstimate
        How long a call holds its slot.
    head : DurationEstimate
        Time to the response head.
    frequency : float
        Exponentially decayed number of calls.
    """

    held: DurationEstimate
    head: DurationEstimate
    frequency: float = 0.0

    def add(self, held: float, head: float) -> None:
        """Update both estimates with a finished call."""
        self.held.add(held)
        self.head.add(head)


class Durations:
    """Keep the durations of the most recently used kinds."""

    def __init__(self) -> None:
        self.kinds: OrderedDict[str, KindDurations] = OrderedDict()
        self.overall = KindDurations(DurationEstimate(0.0), DurationEstimate(0.0))
        self.short_duration = 0.0

    def add(self, kind: str, held: float, head: float) -> None:
        """Record a call's slot time and its time to the response head."""
        known = self.kinds.get(kind)
        if known is None:
            known = self.kinds[kind] = KindDurations(
                DurationEstimate(held), DurationEstimate(head)
            )
        known.add(held, head)
        self.kinds.move_to_end(kind)
        if len(self.kinds) > MAX_KINDS:
            self.kinds.popitem(last=False)
        if not self.overall.held.mean:
            self.overall = KindDurations(DurationEstimate(held), DurationEstimate(head))
        self.overall.add(held, head)
        self.update_frequencies(known)

    def update_frequencies(self, newest: KindDurations) -> None:
        """Update the frequency of each kind and the duration of short calls."""
        for each in self.kinds.values():
            each.frequency *= 1 - WEIGHT / 10
        newest.frequency += 1
        total = sum(each.frequency for each in self.kinds.values())
        seen = 0.0
        for each in sorted(self.kinds.values(), key=lambda known: known.held.mean):
            seen += each.frequency
            if seen >= SHORT_QUANTILE * total:
                self.short_duration = each.held.mean
                return

    def expected(self, kind: str) -> float:
        """Return the mean slot time of a kind, or of all calls if it is unknown."""
        return self.kinds.get(kind, self.overall).held.mean

    def answer_time(self, kind: str) -> float:
        """Return the mean time to the response head of a kind, in seconds."""
        return self.kinds.get(kind, self.overall).head.mean

    def likely_answer_time(self, kind: str) -> float:
        """Return the seconds within which most answers of a kind begin.

        This is the mean plus one mean deviation.
        """
        head = self.kinds.get(kind, self.overall).head
        return head.mean + head.deviation

    def decay_answer_time(self, kind: str) -> None:
        """Reduce a kind's answer time slightly after it caused a refusal.

        Refused calls add no measurement, so without the decay a kind that was
        slow once would be refused as long as there is a queue.
        """
        known = self.kinds.get(kind)
        if known:
            known.head.mean *= 1 - REFUSAL_DECAY
            known.head.deviation *= 1 - REFUSAL_DECAY

    def is_long(self, kind: str, factor: float) -> bool:
        """Return whether a kind lasts more than `factor` times a short call.

        An unknown kind counts as long once short calls are known. Otherwise a
        burst of new calls could take every slot before the first one finishes.
        """
        if not self.short_duration:
            return False
        known = self.kinds.get(kind)
        return known is None or known.held.mean > factor * self.short_duration
