"""Follow the platform's store, through whatever befalls it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.source import HistoryLostError, StoreError

if TYPE_CHECKING:
    from random import Random

    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.source import Changes, ItemStore
    from sequoiaspoke.sidecar.state import MeshState

# Seconds between attempts while the store fails, doubling up to the second figure and
# drawn at random below it, so that nodes which lost it together do not return together.
# A node that reads for itself alone waits longer: its zone's readers tell it as soon
# as one of them gets through, and all nodes of a large fleet asking twice a second
# through an outage make thousands of refused calls.
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, MAX_RETRY_DELAY_OFF_DUTY = 0.05, 0.5, 2.0
# Seconds after news before the next is asked for: in a storm of changes, several a
# second, one read then brings several, and it is short against the two seconds in
# which a version or a drain has to be acted on.
BATCH_SECONDS = 0.35
# How many times as long as the last read took a node waits before it reads the
# configuration again, and the seconds that this may be at most. A document of 1,900
# routes takes half a second of a link of 2.5 Mbit/s; read again at once in a storm it
# would leave nothing of the link to the calls.
READ_PAUSE_FACTOR, MAX_READ_PAUSE = 2.5, 1.0
# Part of the time in which a version has to be in force that may be over when it has
# been read. It may be accepted just after a read began: that read, the pause and
# another read come before it is known. The rest is for telling it and for busy nodes.
MAX_READ_FRACTION = 0.75
# Questions without an answer after which the store is taken to be lost; one may fall
# to a lost packet or a busy moment of this node.
MAX_CONFIRM_FAILURES = 2
# Seconds for which a change that the store has may be on its way here.
OVERDUE_SECONDS = 0.2
# Seconds by which a timer may run early.
TIMER_TOLERANCE = 0.002


class Follower:
    """Keeps the state of a node up to date with the store."""

    def __init__(
        self, store: ItemStore, state: MeshState, duty: ReadingDuty, rng: Random
    ) -> None:
        self.store = store
        self.state = state
        self.duty = duty
        self.rng = rng
        self.has_snapshot = False
        self.retry_delay = INITIAL_RETRY_DELAY
        self.duty_changed = asyncio.Event()
        duty.on_change = self.duty_changed.set

    async def run(self) -> None:
        """Read everything once and then the changes, for ever."""
        while True:
            try:
                if self.informed and not self.duty.must_read(clock.now()):
                    await self.wait_for_duty()
                    continue
                await self.read_once()
                self.retry_delay = INITIAL_RETRY_DELAY
            except HistoryLostError as error:
                self.state.log.event("store-history-lost", reason=str(error))
                self.has_snapshot = False
            except StoreError as error:
                await self.handle_failure(error.code, str(error))
            except Exception as error:
                # An answer that nobody foresaw. A follower that ended here would leave
                # this node on what it knows now for good.
                await self.handle_failure("unexpected", repr(error))

    @property
    def informed(self) -> bool:
        """Return whether everything is known, from the store or from another node."""
        return self.has_snapshot or self.state.complete

    async def wait_for_duty(self) -> None:
        """Wait until it may have become this node's turn to read."""
        self.duty_changed.clear()
        remaining = self.duty.valid_until - clock.now()
        try:
            async with asyncio.timeout(max(0.0, remaining) + TIMER_TOLERANCE):
                await self.duty_changed.wait()
        except TimeoutError:
            # The readers may have confirmed meanwhile; the caller looks.
            return

    async def handle_failure(self, code: str, reason: str) -> None:
        """Note a failure and wait before the next read."""
        self.state.record_store_failure(code, reason)
        self.has_snapshot = self.has_snapshot and code != "unexpected"
        await asyncio.sleep(self.retry_delay * self.rng.uniform(0.5, 1.0))
        max_delay = MAX_RETRY_DELAY if self.duty.on_duty else MAX_RETRY_DELAY_OFF_DUTY
        self.retry_delay = min(2 * self.retry_delay, max_delay)

    async def read_once(self) -> None:
        """Read once."""
        if not self.has_snapshot:
            self.state.apply_snapshot(await self.store.read_all())
            self.has_snapshot = True
            return
        version = self.state.version
        changes = await self.next_changes()
        if changes is None:
            return
        self.state.apply_changes(changes)
        if changes.items:
            await asyncio.sleep(BATCH_SECONDS)
        if self.state.version != version:
            await self.read_until_settled()

    async def read_until_settled(self) -> None:
        """Read the newest version now and then until no other has come."""
        version = None
        while version != self.state.version:
            version = self.state.version
            begun = clock.now()
            self.state.apply_changes(await self.store.catch_up(self.state.revision))
            pause = self.read_pause(clock.now() - begun)
            await asyncio.sleep(pause / 2)
            await self.read_endpoints()
            await asyncio.sleep(pause / 2)

    def read_pause(self, read_seconds: float) -> float:
        """Return the seconds until the next read, by what the last one took."""
        limit = MAX_READ_FRACTION * self.duty.act_within - 2 * read_seconds
        pause = min(READ_PAUSE_FACTOR * read_seconds, limit, MAX_READ_PAUSE)
        return max(pause, BATCH_SECONDS)

    async def read_endpoints(self) -> None:
        """Read which endpoints have changed while the configuration waits.

        A read of all 1,900 routes and the pause after it may take 2 s on a link of
        2.5 Mbit/s. An upstream that leaves meanwhile would be sent calls until it
        exits; and others would take this node for silent, and read all themselves.
        """
        begun = clock.now()
        changed = await self.store.endpoints_since(self.state.revision)
        self.state.apply_endpoint_changes(changed, begun)

    async def next_changes(self) -> Changes | None:
        """Wait for changes, and have the store confirm meanwhile that it is there.

        Return None if it has become the turn of others to read.
        """
        wait = self.store.wait_for_changes(self.state.revision)
        waiting = asyncio.ensure_future(wait)
        failures = 0
        expected_revision = 0
        try:
            while True:
                # At once, if the last confirmation is old: a node that begins to read
                # for itself must not take its own start for an outage of the store.
                answer_age = clock.now() - self.state.answered_at
                pause = max(0.0, self.duty.confirm_interval - answer_age)
                if self.state.revision < expected_revision:
                    pause = OVERDUE_SECONDS
                done, _ = await asyncio.wait({waiting}, timeout=pause)
                if done:
                    return waiting.result()
                if not self.duty.must_read(clock.now()):
                    return None
                if self.state.revision < expected_revision:
                    # A wait hears nothing while the store drops its history, and open
                    # connections may go silent for good while new ones work.
                    self.store.reconnect()
                    raise HistoryLostError("a change was not told")
                try:
                    expected_revision = await self.confirm()
                    failures = 0
                except StoreError:
                    failures += 1
                    if failures >= MAX_CONFIRM_FAILURES:
                        raise
        finally:
            waiting.cancel()

    async def confirm(self) -> int:
        """Have the store confirm that it can be read; return its revision."""
        begun = clock.now()
        revision = await self.store.confirm()
        self.state.record_store_answer()
        self.state.record_revision(revision, begun)
        self.retry_delay = INITIAL_RETRY_DELAY
        return revision
