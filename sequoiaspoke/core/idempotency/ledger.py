"""Record the state and the answer of each key that this process admitted.

With many keyed calls, some with large answers, an unbounded ledger would exhaust
the memory of a small VM. Forgetting a live key is no way out, as its retry would
run. So the number of keys and the bytes of kept answers have separate limits: a
full ledger refuses new keys, and answer bodies are evicted oldest first. A retry
whose body was evicted still learns that the call ran.
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
        self.with_body: deque[Entry] = deque()
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
            answer = replace(answer, body=None)
        self._end(entry, State.ANSWERED, now)
        entry.answer = answer
        if answer.body:
            self.kept_bytes += len(answer.body)
            self.with_body.append(entry)
            self._evict_bodies()

    def outcome_unknown(self, entry: Entry, now: Moment) -> None:
        """Record that a call failed after it was handed over."""
        self._end(entry, State.OUTCOME_UNKNOWN, now)

    def forget(self, now: Moment) -> None:
        """Forget keys that ended longer ago than the retention time."""
        retention = max(self.settings.retention, self.settings.opaque_lifetime)
        while self.ended and now.steady - self.ended[0].finished > retention:
            entry = self.ended.popleft()
            del self.entries[entry.key.text]
            self._evict_body(entry)
        while self.with_body and not _body_of(self.with_body[0]):
            self.with_body.popleft()

    def _end(self, entry: Entry, state: State, now: Moment) -> None:
        entry.state = state
        entry.finished = now.steady
        self.ended.append(entry)

    def _evict_bodies(self) -> None:
        while self.kept_bytes > self.settings.kept_bytes:
            self._evict_body(self.with_body.popleft())

    def _evict_body(self, entry: Entry) -> None:
        if entry.answer is None or not entry.answer.body:
            return
        self.kept_bytes -= len(entry.answer.body)
        entry.answer = replace(entry.answer, body=None)


def _body_of(entry: Entry) -> bytes | None:
    return entry.answer.body if entry.answer else None
