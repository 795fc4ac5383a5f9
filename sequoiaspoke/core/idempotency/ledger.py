"""What this process knows of each key it has taken on.

Load pattern: many keyed calls, some with large answers, and callers that repeat
them. Without bounds the ledger would outgrow a small VM; forgetting a live key
would run its repeat. So keys and the bytes of kept answers are bounded apart: a
full ledger takes on no new key, and bodies are given up oldest first, after which a
repeat still learns that the call ran.
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
    """Where a key stands."""

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
        """Tell whether the call has not ended."""
        return self.state in LIVE


class Ledger:
    """Keys that are live or ended within the retention."""

    def __init__(self, settings: IdempotencySettings) -> None:
        self.settings = settings
        self.entries: dict[str, Entry] = {}
        self.ended: deque[Entry] = deque()
        self.with_body: deque[Entry] = deque()
        self.kept_bytes = 0

    @property
    def full(self) -> bool:
        """Tell whether there is no room for another key."""
        return len(self.entries) >= self.settings.entries

    def get(self, key: Key) -> Entry | None:
        """Return what is known of a key."""
        return self.entries.get(key.text)

    def start(self, key: Key, fingerprint: Fingerprint) -> Entry:
        """Take on a new key."""
        entry = self.entries[key.text] = Entry(key, fingerprint)
        return entry

    def drop(self, entry: Entry) -> None:
        """Take out a key that was not run."""
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
        """Note that a call broke off after it was handed over."""
        self._end(entry, State.OUTCOME_UNKNOWN, now)

    def forget(self, now: Moment) -> None:
        """Forget keys that ended longer ago than the retention."""
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
