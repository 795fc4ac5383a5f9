"""Record the calls of other nodes, so that a resent call never runs twice.

If a link between nodes breaks while a call runs at its home, the entry does not know
whether the call arrived, is running or was answered, and a non-idempotent call would be
lost. The entry therefore opens a new link to the same incarnation of the home and sends
the call again under the same number. The home joins a running call, returns the answer
of a finished one, and runs one that never arrived. The old link is closed by then, and
unread data on it is dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Hashable

# Seconds for which a finished call is kept. Longer than an entry takes at most to
# detect a dead link and open another.
RETENTION_SECONDS = 10.0
# Maximum size of all kept answers in bytes, which limits the node's memory. The oldest
# are dropped first; the outcome of their calls is then reported as unknown.
MAX_ANSWER_BYTES = 2 << 20


@dataclass
class CallRecord:
    """A call that arrived at this home.

    Attributes
    ----------
    outcome : object or None
        Outcome of the call; None while it is queued or runs, or after it was dropped.
    """

    finished: float | None = None
    outcome: Any = None
    size: int = 0


class Ledger:
    """Calls that arrived at this home, by the number their entry gave them."""

    def __init__(self) -> None:
        self.calls: dict[Hashable, CallRecord] = {}
        self.finish_times: dict[Hashable, float] = {}
        self.bytes = 0

    def find(self, key: Hashable) -> CallRecord | None:
        """Return the record of a call, if any."""
        return self.calls.get(key)

    def begin(self, key: Hashable) -> None:
        """Record a call that arrived for the first time."""
        self.calls[key] = CallRecord()

    def finish(self, key: Hashable, outcome: Any, size: int, now: float) -> None:
        """Record the outcome of a call."""
        record = self.calls.get(key)
        if record is None:
            return
        record.finished, record.outcome, record.size = now, outcome, size
        self.finish_times[key] = now
        self.bytes += size
        if self.bytes > MAX_ANSWER_BYTES:
            self.drop_oldest_answers()

    def drop_oldest_answers(self) -> None:
        """Drop the oldest answers, but keep the records of their calls.

        Outcomes without a size, such as that a call has not run, take no memory.
        """
        for key in self.finish_times:
            if self.bytes <= MAX_ANSWER_BYTES:
                return
            record = self.calls[key]
            if not record.size:
                continue
            self.bytes -= record.size
            record.outcome, record.size = None, 0

    def expire(self, now: float) -> None:
        """Remove calls that finished more than RETENTION_SECONDS ago."""
        while self.finish_times:
            key, finished = next(iter(self.finish_times.items()))
            if finished + RETENTION_SECONDS > now:
                return
            self.bytes -= self.calls.pop(key).size
            del self.finish_times[key]
