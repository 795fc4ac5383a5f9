"""Measure how long each kind of call holds a slot.

Nothing that callers declare says how long a call will take, and a rule that
says so is wrong after the next release of the upstream. The durations of
finished calls, by kind, tell which calls can still be answered in time, what a
call costs its caller's share, and which work is long.
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
    """Mean and mean deviation of the durations of one kind, in seconds."""

    mean: float
    deviation: float = 0.0
    calls: float = 0.0

    def add(self, seconds: float) -> None:
        """Take in one more call."""
        off = seconds - self.mean
        self.mean += WEIGHT * off
        self.deviation += WEIGHT * (abs(off) - self.deviation)


class Durations:
    """Remember the durations of the kinds seen lately."""

    def __init__(self) -> None:
        self.kinds: OrderedDict[str, Duration] = OrderedDict()
        self.all = Duration(0.0)
        self.short = 0.0

    def add(self, kind: str, seconds: float) -> None:
        """Note that a call of a kind held its slot for so long."""
        known = self.kinds.get(kind)
        if known is None:
            known = self.kinds[kind] = Duration(seconds)
        known.add(seconds)
        self.kinds.move_to_end(kind)
        if len(self.kinds) > KINDS:
            self.kinds.popitem(last=False)
        if not self.all.mean:
            self.all.mean = seconds
        self.all.add(seconds)
        self.weigh(known)

    def weigh(self, newest: Duration) -> None:
        """Update how frequent each kind is and what is short."""
        for each in self.kinds.values():
            each.calls *= 1 - WEIGHT / 10
        newest.calls += 1
        total = sum(each.calls for each in self.kinds.values())
        seen = 0.0
        for each in sorted(self.kinds.values(), key=lambda known: known.mean):
            seen += each.calls
            if seen >= SHORT_PART * total:
                self.short = each.mean
                return

    def expected(self, kind: str) -> float:
        """Return the mean duration of a kind, or of all when it is new."""
        return self.kinds.get(kind, self.all).mean

    def likely(self, kind: str) -> float:
        """Return the seconds within which most calls of a kind end."""
        known = self.kinds.get(kind, self.all)
        return known.mean + known.deviation

    def doubt(self, kind: str) -> None:
        """Lower a kind's duration a little, since it turned a call away.

        Calls that are turned away bring no new measurement. A kind that was
        slow once would be refused for as long as there is a queue.
        """
        known = self.kinds.get(kind)
        if known:
            known.mean *= 1 - DOUBT
            known.deviation *= 1 - DOUBT

    def is_long(self, kind: str, factor: float) -> bool:
        """Return whether a kind lasts a multiple of the short ones.

        A kind never seen counts as long once short work is known: a flood of
        new calls would otherwise hold every slot before the first one ends.
        """
        if not self.short:
            return False
        known = self.kinds.get(kind)
        return known is None or known.mean > factor * self.short
