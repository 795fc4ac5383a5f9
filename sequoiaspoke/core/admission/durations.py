"""Measure how long each kind of call holds a slot, and when it is answered.

Nothing that callers declare says how long a call will take, and a rule that
says so is wrong after the next release of the upstream. How long finished calls
held their slots, by kind, tells what a call costs its caller's share and which
work is long. How long they took to the head of their answers tells which calls
can still be answered in time. The two differ for streams: a recording begins
within milliseconds and runs for minutes, and held against its deadline by its
whole length it would be refused whenever a call waits.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

WEIGHT = 0.1  # of the newest call; ten calls outweigh all before
REFUSAL_DECAY = 0.01  # a hundred refusals take a duration to a third
MAX_KINDS = 256  # remembered at most, so that odd kinds don't fill the memory
SHORT_QUANTILE = 0.1  # of the calls whose durations define what is short


@dataclass
class DurationEstimate:
    """Mean and mean deviation of durations, in seconds."""

    mean: float
    deviation: float = 0.0

    def add(self, seconds: float) -> None:
        """Take in one more call."""
        difference = seconds - self.mean
        self.mean += WEIGHT * difference
        self.deviation += WEIGHT * (abs(difference) - self.deviation)


@dataclass
class KindDurations:
    """What is remembered of one kind of calls.

    Attributes
    ----------
    held : Duration
        Of the slot.
    head : Duration
        Until the head of the answer.
    calls : float
        How frequent it is among recent calls.
    """

    held: DurationEstimate
    head: DurationEstimate
    frequency: float = 0.0

    def add(self, held: float, head: float) -> None:
        """Take in one more call."""
        self.held.add(held)
        self.head.add(head)


class Durations:
    """Remember the durations of the kinds seen lately."""

    def __init__(self) -> None:
        self.kinds: OrderedDict[str, KindDurations] = OrderedDict()
        self.overall = KindDurations(DurationEstimate(0.0), DurationEstimate(0.0))
        self.short_duration = 0.0

    def add(self, kind: str, held: float, head: float) -> None:
        """Note how long a call held its slot, and took to its answer's head."""
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
        """Update how frequent each kind is and what is short."""
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
        """Return how long a kind holds its slot, or all when it is new."""
        return self.kinds.get(kind, self.overall).held.mean

    def answer_time(self, kind: str) -> float:
        """Return the mean seconds to the head of a kind's answer."""
        return self.kinds.get(kind, self.overall).head.mean

    def likely_answer_time(self, kind: str) -> float:
        """Return the seconds within which most answers of a kind begin."""
        head = self.kinds.get(kind, self.overall).head
        return head.mean + head.deviation

    def decay_answer_time(self, kind: str) -> None:
        """Lower a kind's time to answer a little, since it turned a call away.

        Calls that are turned away bring no new measurement. A kind that was
        slow once would be refused for as long as there is a queue.
        """
        known = self.kinds.get(kind)
        if known:
            known.head.mean *= 1 - REFUSAL_DECAY
            known.head.deviation *= 1 - REFUSAL_DECAY

    def is_long(self, kind: str, factor: float) -> bool:
        """Return whether a kind lasts a multiple of the short ones.

        A kind never seen counts as long once short work is known: a flood of
        new calls would otherwise hold every slot before the first one ends.
        """
        if not self.short_duration:
            return False
        known = self.kinds.get(kind)
        return known is None or known.held.mean > factor * self.short_duration
