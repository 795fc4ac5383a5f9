"""Reads and watches of the platform, within this node's budget.

Every node reads the VM list and the head once when it starts, at a random time;
after that only nodes on watch duty watch them. Failed reads are retried with capped
backoff and full jitter, so that the platform is not overloaded when it returns.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot.publish import (
    HEAD_DOCUMENT,
    PART_PREFIX,
    VMS_DOCUMENT,
)
from sequoiaspoke.core.spread.budget import Backoff, TokenBucket
from sequoiaspoke.core.spread.events import CancelRead, PlatformFailed, ReadPlatform
from sequoiaspoke.core.spread.messages import WatchState

if TYPE_CHECKING:
    from sequoiaspoke.core.spread.events import PlatformAnswered, PlatformUnchanged
    from sequoiaspoke.core.spread.state import SpreadState

# A single refused read is normal; a second one in a row means an outage.
FAILING_AFTER = 2
# Reads of the head a second by a starting fleet; half of the platform's rate.
START_HEAD_READS = 1000.0


@dataclass
class Document:
    """A document that is read at the start and then watched on duty."""

    name: str
    wait: float
    backoff: Backoff
    revision: int = -1
    read: int | None = None
    timeout_at: float = 0.0
    due_at: float = 0.0
    answered: bool = False
    absent: bool = False


class PlatformReader:
    """Decides what to read from the platform, and when."""

    def __init__(self, state: SpreadState) -> None:
        self.state = state
        spread = state.spread
        self.head = self._document(HEAD_DOCUMENT, spread.head_wait)
        self.vms = self._document(VMS_DOCUMENT, spread.vms_wait)
        self.read_budget = TokenBucket(spread.reads)
        self.on_duty = False
        self.last_read = 0
        self.parts: dict[int, str] = {}
        self.started = False

    def _document(self, name: str, wait: float) -> Document:
        spread = self.state.spread
        backoff = Backoff(spread.reconnect, spread.reconnect_cap, self.state.rng)
        return Document(name, wait, backoff)

    @property
    def answered(self) -> bool:
        """Return whether the platform has returned its head, or that it has none."""
        return self.head.answered or self.head.absent

    def start(self, now: float) -> None:
        """Choose when to read for the first time."""
        self.started = True
        jitter = self.state.rng.uniform(0, self.state.spread.start_jitter)
        self.vms.due_at = now + jitter
        self.head.due_at = now + jitter

    def watch_state(self) -> WatchState:
        """Return the state of this node's watch, for its peers."""
        if not self.on_duty:
            return WatchState.NONE
        failing = self.head.backoff.failures >= FAILING_AFTER
        return WatchState.FAILING if failing else WatchState.WORKING

    def tick(self, on_duty: bool, now: float) -> None:
        """Start the reads that are due."""
        if not self.started:
            self.start(now)
        if self.on_duty and not on_duty:
            self._stop_watching()
        self.on_duty = on_duty
        for document in (self.vms, self.head):
            self._tick_document(document, now)

    def _tick_document(self, document: Document, now: float) -> None:
        if document.read is not None and now >= document.timeout_at:
            self.state.emit(CancelRead(document.read))
            self.failed(PlatformFailed(document.read, document.name), now)
        if document.read is not None or now < document.due_at:
            return
        if (document.answered or document.absent) and not self.on_duty:
            return
        # First reads of the head are spread by the size of the fleet, which is
        # unknown until the VM list was read.
        known = self.vms.answered or self.vms.absent
        if document is self.head and not known and not self.on_duty:
            return
        if document.backoff.ready(now) and self.read_budget.take(now):
            self._read(document, now)

    def _read(self, document: Document, now: float) -> None:
        known = document.revision >= 0 or document.absent
        watching = self.on_duty and known
        wait = document.wait if watching else 0.0
        after = max(document.revision, 0) if watching else -1
        document.read = self._next_read()
        document.timeout_at = now + wait + self.state.spread.exchange
        self.state.count(f"platform-read-{document.name}")
        self.state.emit(ReadPlatform(document.read, document.name, after, wait))

    def read_part(self, digest: str, now: float) -> int | None:
        """Read a part; None if the budget is spent."""
        if not self.read_budget.take(now):
            self.state.count("platform-read-over-budget")
            return None
        read = self._next_read()
        self.parts[read] = digest
        self.state.count("platform-read-part")
        self.state.emit(ReadPlatform(read, PART_PREFIX + digest))
        return read

    def answer(self, event: PlatformAnswered, now: float) -> bool:
        """Record an answer; return whether it was awaited."""
        document = self._complete(event.read)
        if document is None:
            return False
        document.revision = event.revision
        first = not document.answered
        document.answered = True
        document.absent = False
        if first and document is self.vms:
            self._spread_head_reads(now)
        return True

    def unchanged(self, event: PlatformUnchanged) -> bool:
        """Record that a watch ended without a change; return whether it was awaited."""
        return self._complete(event.read) is not None

    def failed(self, event: PlatformFailed, now: float) -> bool:
        """Record a failure; return whether the read was awaited."""
        document = self._find(event.read)
        if document is None:
            return False
        document.read = None
        document.absent = event.absent
        if event.absent:
            document.backoff.succeed()
            return True
        document.backoff.fail(now, event.retry_after)
        # The platform may return with its revisions restarted; a watch for one after
        # the old revision would then never end. So the next is a plain read.
        document.revision = -1
        self.state.count(f"platform-failed-{document.name}")
        return True

    def restart_watches(self) -> None:
        """Cancel all watches after this process was paused, and read again."""
        if not self.on_duty:
            return
        self._stop_watching()
        for document in (self.vms, self.head):
            document.revision = -1
            document.answered = False
            document.due_at = 0.0

    def _stop_watching(self) -> None:
        for document in (self.vms, self.head):
            if document.read is not None:
                self.state.emit(CancelRead(document.read))
                document.read = None

    def _spread_head_reads(self, now: float) -> None:
        if self.on_duty:
            return
        window = len(self.state.vms.vms) / START_HEAD_READS
        self.head.due_at = now + self.state.rng.uniform(0, window)

    def _complete(self, read: int) -> Document | None:
        document = self._find(read)
        if document:
            document.read = None
            document.backoff.succeed()
        return document

    def _find(self, read: int) -> Document | None:
        for document in (self.head, self.vms):
            if document.read == read:
                return document
        return None

    def _next_read(self) -> int:
        self.last_read += 1
        return self.last_read
