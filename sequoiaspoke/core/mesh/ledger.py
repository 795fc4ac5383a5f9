"""Remember the calls of other nodes, so that asking again never runs one twice.

A link between nodes breaks while a call runs at its home. The entry cannot know
whether the call arrived, is running or was answered, and a call that may run once
only would be lost. So it opens a new link to the same incarnation and sends the
call again under the same number: a running one is joined, a finished one gives
its answer, and one that never arrived runs now. The old link is closed by
then and what was still unread on it is dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Hashable

# Seconds for which a finished call is known. Above the longest time in which an entry
# finds a dead link and opens another.
RETENTION_SECONDS = 10.0
# Bytes of kept answers, at most; an older one is dropped first and then told as
# unknown. Keeps a node small when answers are large.
MAX_ANSWER_BYTES = 2 << 20


@dataclass
class CallRecord:
    """A call that arrived here.

    Attributes
    ----------
    outcome : object or None
        What came of it; None while it waits or runs, or after it was dropped.
    """

    finished: float | None = None
    outcome: Any = None
    size: int = 0


class Ledger:
    """The calls that arrived at this home, by their entry's number for them."""

    def __init__(self) -> None:
        self.calls: dict[Hashable, CallRecord] = {}
        self.finish_times: dict[Hashable, float] = {}
        self.bytes = 0

    def find(self, key: Hashable) -> CallRecord | None:
        """Return what is known of a call."""
        return self.calls.get(key)

    def begin(self, key: Hashable) -> None:
        """Note a call that arrived for the first time."""
        self.calls[key] = CallRecord()

    def finish(self, key: Hashable, outcome: Any, size: int, now: float) -> None:
        """Keep what came of a call for a while."""
        record = self.calls.get(key)
        if record is None:
            return
        record.finished, record.outcome, record.size = now, outcome, size
        self.finish_times[key] = now
        self.bytes += size
        if self.bytes > MAX_ANSWER_BYTES:
            self.drop_oldest_answers()

    def drop_oldest_answers(self) -> None:
        """Drop the oldest answers, but not that their calls have run."""
        for key in self.finish_times:
            if self.bytes <= MAX_ANSWER_BYTES:
                return
            record = self.calls[key]
            self.bytes -= record.size
            record.outcome, record.size = None, 0

    def expire(self, now: float) -> None:
        """Forget the calls that finished long ago."""
        while self.finish_times:
            key, finished = next(iter(self.finish_times.items()))
            if finished + RETENTION_SECONDS > now:
                return
            self.bytes -= self.calls.pop(key).size
            del self.finish_times[key]
