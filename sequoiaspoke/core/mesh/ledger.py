"""Record the calls of other nodes, so that a resent call never runs twice.

If a link between nodes breaks while a call runs at its home, the entry does not know
whether the call arrived, is running or was answered, and a non-idempotent call would be
lost. The entry therefore opens a new link to the same incarnation of the home and sends
the call again under the same number. The home joins a running call, returns the answer
of a finished one, and runs one that never arrived. The old link is closed by then, and
unread data on it is dropped.

An entry sends a call again until the deadline of the call. A record that was forgotten
before would let it run a second time, so a call that may run only once is kept until
then. The number of these calls is limited; a full ledger refuses new ones instead of
forgetting others.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Hashable

# Seconds for which a finished call is kept at least. Longer than an entry takes to
# detect a dead link and open another, unless the two nodes are cut off.
RETENTION_SECONDS = 10.0
# Seconds past its deadline for which a call that may run only once is kept. The last
# handshake converts the deadline of each copy to this node's clock, with an error of
# half of its round trip at most.
DEADLINE_MARGIN = 2.0
# Calls that may run only once and are kept, at most. A record takes 0.5 KB.
MAX_KEPT_CALLS = 20_000
# Maximum size of all kept answers in bytes, which limits the node's memory. The oldest
# are dropped first; the outcome of their calls is then reported as unknown.
MAX_ANSWER_BYTES = 2 << 20


@dataclass(slots=True)
class CallRecord:
    """A call that arrived at this home.

    Attributes
    ----------
    keep_until : float
        Until when it is kept, however early it has finished; minus infinity if it may
        run more than once.
    outcome : object or None
        Outcome of the call; None while it is queued or runs, or after it was dropped.
    """

    keep_until: float = -inf
    outcome: Any = None
    size: int = 0

    @property
    def once(self) -> bool:
        """Return whether the call may run only once."""
        return self.keep_until != -inf


class Ledger:
    """Calls that arrived at this home, by the number their entry gave them.

    Attributes
    ----------
    answered : dict of Hashable to None
        Calls whose answers are kept, in the order in which they finished.
    expiries : list of tuple of float and int and Hashable
        Heap of the finished calls by when they are forgotten.
    kept_calls : int
        Number of calls that may run only once.
    """

    def __init__(self) -> None:
        self.calls: dict[Hashable, CallRecord] = {}
        self.answered: dict[Hashable, None] = {}
        self.expiries: list[tuple[float, int, Hashable]] = []
        self.sequence = 0
        self.kept_calls = 0
        self.bytes = 0

    @property
    def full(self) -> bool:
        """Return whether there is no room for another call that may run only once."""
        return self.kept_calls >= MAX_KEPT_CALLS

    def next_expiry(self) -> float:
        """Return when the next finished call is forgotten; infinite if none is."""
        return self.expiries[0][0] if self.expiries else inf

    def find(self, key: Hashable) -> CallRecord | None:
        """Return the record of a call, if any."""
        return self.calls.get(key)

    def begin(self, key: Hashable, deadline: float | None = None) -> None:
        """Record a call that arrived for the first time.

        Parameters
        ----------
        deadline : float or None
            Until when its entry may send it again, by this node's clock; None for a
            call that may run more than once.
        """
        keep_until = -inf if deadline is None else deadline + DEADLINE_MARGIN
        record = self.calls[key] = CallRecord(keep_until)
        self.kept_calls += record.once

    def finish(self, key: Hashable, outcome: Any, size: int, now: float) -> None:
        """Record the outcome of a call."""
        record = self.calls.get(key)
        if record is None:
            return
        record.outcome, record.size = outcome, size
        self.sequence += 1
        expiry = max(now + RETENTION_SECONDS, record.keep_until)
        heapq.heappush(self.expiries, (expiry, self.sequence, key))
        if size:
            self.answered[key] = None
            self.bytes += size
        if self.bytes > MAX_ANSWER_BYTES:
            self.drop_oldest_answers()

    def drop_oldest_answers(self) -> None:
        """Drop the oldest answers, but keep the records of their calls.

        Outcomes without a size, such as that a call has not run, take no memory.
        """
        while self.bytes > MAX_ANSWER_BYTES:
            key = next(iter(self.answered))
            self.drop_answer(key)
            self.calls[key].outcome = None

    def drop_answer(self, key: Hashable) -> None:
        """Count the answer of a call as dropped, if it is kept."""
        if key in self.answered:
            del self.answered[key]
            record = self.calls[key]
            self.bytes -= record.size
            record.size = 0

    def expire(self, now: float) -> None:
        """Remove the finished calls that no entry sends again."""
        while self.expiries and self.expiries[0][0] <= now:
            _, _, key = heapq.heappop(self.expiries)
            self.drop_answer(key)
            self.kept_calls -= self.calls.pop(key).once
