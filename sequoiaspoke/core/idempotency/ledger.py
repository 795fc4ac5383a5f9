"""Record the state and the answer of each key that this process admitted.

With many keyed calls, some with large answers, an unbounded ledger would exhaust
the memory of a small VM. Forgetting a live key is no way out, as its retry would
run. So the number of keys and the bytes of kept answers have separate limits: a
full ledger refuses new keys, and answers are evicted oldest first. A retry whose
answer was evicted still learns that the call ran.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.calls import Fingerprint, KeptAnswer
    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.core.idempotency.moment import Moment
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings

# Bytes of the head of a kept answer that do not count: the usual heads of a full
# ledger are some MB, which its number of keys limits.
FREE_HEAD_BYTES = 1024


class State(Enum):
    """State of a key."""

    QUEUED = "queued"
    HANDED_OVER = "handed-over"
    ANSWERED = "answered"
    OUTCOME_UNKNOWN = "outcome-unknown"


LIVE = (State.QUEUED, State.HANDED_OVER)


@dataclass(slots=True)
class Entry:
    """One key, from its admission until it is forgotten."""

    key: Key
    fingerprint: Fingerprint
    state: State = State.QUEUED
    answer: KeptAnswer | None = None
    finished: float = 0.0  # steady clock seconds

    @property
    def live(self) -> bool:
        """Return whether the call has not ended."""
        return self.state in LIVE


class Ledger:
    """Keys that are live or ended within the retention time."""

    def __init__(self, settings: IdempotencySettings) -> None:
        self.settings = settings
        self.entries: dict[str, Entry] = {}
        self.ended: deque[Entry] = deque()
        self.sized: deque[Entry] = deque()
        self.kept_bytes = 0

    @property
    def full(self) -> bool:
        """Return whether there is no room for another key."""
        return len(self.entries) >= self.settings.entries

    def get(self, key: Key) -> Entry | None:
        """Return the entry of a key, or None."""
        return self.entries.get(key.text)

    def start(self, key: Key, fingerprint: Fingerprint) -> Entry:
        """Add a new key, in state queued."""
        entry = self.entries[key.text] = Entry(key, fingerprint)
        return entry

    def drop(self, entry: Entry) -> None:
        """Remove a key that was not run."""
        self.entries.pop(entry.key.text, None)

    def answered(self, entry: Entry, answer: KeptAnswer, now: Moment) -> None:
        """Keep the answer of a call that ran."""
        body = answer.body
        if body is None or len(body) > self.settings.answer_bytes:
            answer = _without_content(answer)
        self._end(entry, State.ANSWERED, now)
        entry.answer = answer
        size = _kept_size(entry)
        if size:
            self.kept_bytes += size
            self.sized.append(entry)
            self._evict_oldest()

    def outcome_unknown(self, entry: Entry, now: Moment) -> None:
        """Record that a call failed after it was handed over."""
        self._end(entry, State.OUTCOME_UNKNOWN, now)

    def forget(self, now: Moment) -> None:
        """Forget keys that ended longer ago than the retention time."""
        retention = max(self.settings.retention, self.settings.opaque_lifetime)
        while self.ended and now.steady - self.ended[0].finished > retention:
            entry = self.ended.popleft()
            del self.entries[entry.key.text]
            self._evict(entry)
        while self.sized and not _kept_size(self.sized[0]):
            self.sized.popleft()

    def _end(self, entry: Entry, state: State, now: Moment) -> None:
        entry.state = state
        entry.finished = now.steady
        self.ended.append(entry)

    def _evict_oldest(self) -> None:
        while self.kept_bytes > self.settings.kept_bytes:
            self._evict(self.sized.popleft())

    def _evict(self, entry: Entry) -> None:
        if entry.answer is not None:
            self.kept_bytes -= _kept_size(entry)
            entry.answer = _without_content(entry.answer)


def _without_content(answer: KeptAnswer) -> KeptAnswer:
    return replace(answer, headers=(), body=None)


def _kept_size(entry: Entry) -> int:
    answer = entry.answer
    if answer is None or answer.body is None:
        return 0
    head = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + max(0, head - FREE_HEAD_BYTES)
