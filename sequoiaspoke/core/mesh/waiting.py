"""Calls that wait for a slot, counted by route and rank."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiaspoke.core.mesh.admission import Arrival


class WaitingCalls(dict[object, "Arrival"]):
    """Waiting calls by ticket, in the order of their arrival.

    Hundreds of calls may wait, and each answer carries an estimate of the wait behind
    them.

    Attributes
    ----------
    kinds : Counter of tuple of str and int
        Number of calls by route and rank.
    """

    def __init__(self) -> None:
        super().__init__()
        self.kinds: Counter[tuple[str, int]] = Counter()

    def add(self, arrival: Arrival) -> None:
        """Add a call."""
        self[arrival.ticket] = arrival
        self.kinds[arrival.route, arrival.rank] += 1

    def remove(self, ticket: object) -> bool:
        """Remove a call; return whether it waited."""
        arrival = self.pop(ticket, None)
        if arrival is None:
            return False
        self.kinds[arrival.route, arrival.rank] -= 1
        return True

    def ahead(self, rank: int) -> Iterator[tuple[str, int]]:
        """Return routes and numbers of the calls that go before a new one of a rank."""
        for (route, own_rank), count in self.kinds.items():
            if own_rank <= rank and count:
                yield route, count
