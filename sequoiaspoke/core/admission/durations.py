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
DOUBT = 0.01  # a hundred refusals take a duration to a third
KINDS = 256  # remembered at most, so that odd kinds don't fill the memory
SHORT_PART = 0.1  # of the calls whose durations define what is short


@dataclass
class Duration:
    """Mean and mean deviation of durations, in seconds."""

    mean: float
    deviation: float = 0.0

    def add(self, seconds: float) -> None:
        """Take in one more call."""
        off = seconds - self.mean
        self.mean += WEIGHT * off
        self.deviation += WEIGHT * (abs(off) - self.deviation)


@dataclass
class Kind:
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

    held: Duration
    head: Duration
    calls: float = 0.0

    def add(self, held: float, head: float) -> None:
        """Take in one more call."""
        self.held.add(held)
        self.head.add(head)


class Durations:
    """Remember the durations of the kinds seen lately."""

    def __init__(self) -> None:
        self.kinds: OrderedDict[str, Kind] = OrderedDict()
        self.all = Kind(Duration(0.0), Duration(0.0))
        self.short = 0.0

    def add(self, kind: str, held: float, head: float) -> None:
        """Note how long a call held its slot, and took to its answer's head."""
        known = self.kinds.get(kind)
        if known is None:
            known = self.kinds[kind] = Kind(Duration(held), Duration(head))
        known.add(held, head)
        self.kinds.move_to_end(kind)
        if len(self.kinds) > KINDS:
            self.kinds.popitem(last=False)
        if not self.all.held.mean:
            self.all = Kind(Duration(held), Duration(head))
        self.all.add(held, head)
        self.weigh(known)

    def weigh(self, newest: Kind) -> None:
        """Update how frequent each kind is and what is short."""
        for each in self.kinds.values():
            each.calls *= 1 - WEIGHT / 10
        newest.calls += 1
        total = sum(each.calls for each in self.kinds.values())
        seen = 0.0
        for each in sorted(self.kinds.values(), key=lambda known: known.held.mean):
            seen += each.calls
            if seen >= SHORT_PART * total:
                self.short = each.held.mean
                return

    def expected(self, kind: str) -> float:
        """Return how long a kind holds its slot, or all when it is new."""
        return self.kinds.get(kind, self.all).held.mean

    def answer_time(self, kind: str) -> float:
        """Return the mean seconds to the head of a kind's answer."""
        return self.kinds.get(kind, self.all).head.mean

    def likely(self, kind: str) -> float:
        """Return the seconds within which most answers of a kind begin."""
        head = self.kinds.get(kind, self.all).head
        return head.mean + head.deviation

    def doubt(self, kind: str) -> None:
        """Lower a kind's time to answer a little, since it turned a call away.

        Calls that are turned away bring no new measurement. A kind that was
        slow once would be refused for as long as there is a queue.
        """
        known = self.kinds.get(kind)
        if known:
            known.head.mean *= 1 - DOUBT
            known.head.deviation *= 1 - DOUBT

    def is_long(self, kind: str, factor: float) -> bool:
        """Return whether a kind lasts a multiple of the short ones.

        A kind never seen counts as long once short work is known: a flood of
        new calls would otherwise hold every slot before the first one ends.
        """
        if not self.short:
            return False
        known = self.kinds.get(kind)
        return known is None or known.held.mean > factor * self.short
