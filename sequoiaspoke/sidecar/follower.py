"""Follow the changes of the platform's store, and recover from its failures."""

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

# Delay in seconds before a failed read is retried: the first one, and the limits up to
# which it doubles for a reader of the zone and for another node. It is randomised so
# that nodes which lost the store together do not return together. A node that is not
# a reader waits longer: a reader sends it the state as soon as one can read again, and
# retries of all nodes of a large fleet twice a second make thousands of failed requests
# in an outage.
INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, MAX_RETRY_DELAY_OFF_DUTY = 0.05, 0.5, 2.0
# Delay before the next retry from which a node without any state also reads the
# endpoints alone: the fourth read in a row has failed.
FIND_NODES_DELAY = 0.4
# Seconds between a change and the next read, so that one read returns several changes
# if there are several a second. Short against the two seconds within which a version or
# a drain has to be acted on.
BATCH_SECONDS = 0.35
# Pause before the configuration is read again, as a multiple of the duration of the
# last read, and its maximum in seconds. A configuration of 1,900 routes takes half a
# second on a link of 2.5 Mbit/s; reading each new version at once would leave no
# bandwidth for calls.
READ_PAUSE_FACTOR, MAX_READ_PAUSE = 2.5, 1.0
# Fraction of the time within which a version must be in force that may pass until it is
# read. It may be published just after a read began, and is then known after that read,
# the pause and another read. The rest is for sending it on, and for busy nodes.
MAX_READ_FRACTION = 0.75
# Number of failed confirmations in a row after which the store counts as unreachable.
# A single one may be due to a lost packet or a busy moment of this node.
MAX_CONFIRM_FAILURES = 2
# Seconds that a change may take to arrive once the store has confirmed its revision.
OVERDUE_SECONDS = 0.2
# Seconds without further bytes after which an answer no longer counts as arriving.
ARRIVING_SECONDS = 0.5
# Seconds between two checks whether a read of all items is still needed.
RECHECK_SECONDS = 0.1
# Seconds by which a timer may fire early.
TIMER_TOLERANCE = 0.002


class Follower:
    """Keeps the state of a node up to date with the store.

    Attributes
    ----------
    has_snapshot : bool
        Whether the changes since the state's revision can be followed.
    lost_revision : int
        Last revision of the state since which the store did not return the changes.
    retry_delay : float
        Maximum delay in seconds before the next read if one fails now.
    """

    def __init__(
        self, store: ItemStore, state: MeshState, duty: ReadingDuty, rng: Random
    ) -> None:
        self.store = store
        self.state = state
        self.duty = duty
        self.rng = rng
        self.has_snapshot = False
        self.lost_revision = 0
        self.retry_delay = INITIAL_RETRY_DELAY
        self.duty_changed = asyncio.Event()
        duty.on_change = self.duty_changed.set

    async def run(self) -> None:
        """Read all items once and then follow the changes, without end."""
        while True:
            try:
                if self.informed and not self.duty.must_read(clock.now()):
                    await self.wait_for_duty()
                    # Other nodes may have told newer versions, and since then several
                    # may have been written, each of which a wait would bring.
                    self.has_snapshot = False
                    continue
                await self.read_once()
                self.retry_delay = INITIAL_RETRY_DELAY
            except HistoryLostError as error:
                self.state.log.event("store-history-lost", reason=str(error))
                self.forget_history()
            except StoreError as error:
                await self.handle_failure(error.code, str(error))
            except Exception as error:
                # An unexpected answer. If this task ended, the state of the node would
                # stay as it is until the next start.
                await self.handle_failure("unexpected", repr(error))

    @property
    def informed(self) -> bool:
        """Return whether this node has a state, from the store or another node."""
        return self.has_snapshot or self.state.complete

    async def wait_for_duty(self) -> None:
        """Wait until this node may have to read the store."""
        self.duty_changed.clear()
        remaining = self.duty.valid_until - clock.now()
        try:
            async with asyncio.timeout(max(0.0, remaining) + TIMER_TOLERANCE):
                await self.duty_changed.wait()
        except TimeoutError:
            # The readers may have confirmed the state meanwhile; the caller checks.
            return

    def forget_history(self) -> None:
        """Stop following the changes since the state's revision."""
        self.has_snapshot = False
        self.lost_revision = self.state.revision

    async def handle_failure(self, code: str, reason: str) -> None:
        """Record a failed read and wait before the next one."""
        self.state.record_store_failure(code, reason)
        if code == "unexpected":
            self.forget_history()
        await asyncio.sleep(self.retry_delay * self.rng.uniform(0.5, 1.0))
        max_delay = MAX_RETRY_DELAY if self.duty.on_duty else MAX_RETRY_DELAY_OFF_DUTY
        self.retry_delay = min(2 * self.retry_delay, max_delay)

    async def read_once(self) -> None:
        """Read what this node lacks if it follows no changes yet, else the next."""
        if not self.has_snapshot:
            await self.read_first()
            return
        version = self.state.version
        changes = await self.next_changes()
        if changes is None:
            return
        self.state.apply_changes(changes)
        if self.state.version != version:
            await asyncio.sleep(self.shortest_pause(self.duty.read_seconds))
            await self.read_until_settled()
        elif changes.items:
            await asyncio.sleep(BATCH_SECONDS)

    async def read_first(self) -> None:
        """Read the changes since a revision known from other nodes, or all items."""
        if self.state.complete and self.state.revision > self.lost_revision:
            await self.follow_known_revision()
            return
        begun = clock.now()
        try:
            snapshot = await self.read_snapshot()
        except StoreError:
            if not self.state.complete and self.retry_delay >= FIND_NODES_DELAY:
                await self.find_nodes()
            raise
        self.duty.read_seconds = clock.now() - begun
        if snapshot is not None:
            self.state.apply_snapshot(snapshot)
            self.has_snapshot = True

    async def find_nodes(self) -> None:
        """Read the endpoints, so that this node can ask the nodes beside them.

        The store may refuse the large reads of one node only. If no other node had a
        link to it, it stayed without a configuration that all others knew.
        """
        begun = clock.now()
        self.state.apply_endpoint_changes(await self.store.read_endpoints(), begun)

    async def follow_known_revision(self) -> None:
        """Read the changes since a revision that other nodes have told.

        All 3,300 routes take 1.2 s on a link of 2.5 Mbit/s. A version that is written
        during such a read takes a second one, and is then in force too late.
        """
        # Recorded before the read, which may take so long that the store would seem to
        # have been away; entries that vanished would then be kept.
        if await self.confirm() != self.state.revision:
            await self.read_newest()
        self.has_snapshot = True

    async def read_newest(self) -> float:
        """Read the newest state of what has changed; return the seconds it took."""
        version = self.state.version
        begun = clock.now()
        self.state.apply_changes(await self.store.catch_up(self.state.revision))
        read_seconds = clock.now() - begun
        if self.state.version != version:
            self.duty.read_seconds = read_seconds
        return read_seconds

    async def read_snapshot(self) -> Changes | None:
        """Return all items of the store, or None if this node need not read any more.

        A node that starts reads everything unless another node is faster. On a slow
        link the rest of the answer would then delay its links to the zone's readers by
        seconds, and it would take them for unreachable.
        """
        reading = asyncio.ensure_future(self.store.read_all())
        try:
            while not reading.done():
                await asyncio.wait({reading}, timeout=RECHECK_SECONDS)
                if self.state.complete and not self.duty.must_read(clock.now()):
                    break
            return reading.result() if reading.done() else None
        finally:
            reading.cancel()

    async def read_until_settled(self) -> None:
        """Read the newest version at intervals until no newer one appears."""
        version = None
        while version != self.state.version:
            version = self.state.version
            pause = self.read_pause(await self.read_newest())
            await asyncio.sleep(pause / 2)
            await self.read_endpoints()
            await asyncio.sleep(pause / 2)

    def read_pause(self, read_seconds: float) -> float:
        """Return the seconds to wait after a read that took `read_seconds`."""
        limit = MAX_READ_FRACTION * self.duty.act_within - 2 * read_seconds
        pause = min(READ_PAUSE_FACTOR * read_seconds, limit, MAX_READ_PAUSE)
        return max(pause, self.shortest_pause(read_seconds))

    def shortest_pause(self, read_seconds: float) -> float:
        """Return the shortest pause between two reads that take `read_seconds`.

        On a link of 2.5 Mbit/s two reads of 3,300 routes take 2.5 s. With the pause
        between them a version that is written during the first one was 0.3 s late.
        """
        remaining = self.duty.act_within - self.duty.delay_seconds - 2 * read_seconds
        return min(BATCH_SECONDS, max(0.0, remaining))

    async def read_endpoints(self) -> None:
        """Read the changed endpoints only, between two reads of the configuration.

        A read of all 1,900 routes and the pause after it may take 2 s on a link of
        2.5 Mbit/s. An upstream that leaves meanwhile would get calls until it exits,
        and the subscribers of this node would take it for silent and read the whole
        store themselves.
        """
        begun = clock.now()
        changed = await self.store.endpoints_since(self.state.revision)
        self.state.apply_endpoint_changes(changed, begun)

    async def next_changes(self) -> Changes | None:
        """Wait for changes, and have the store confirm its revision meanwhile.

        Return None if this node need not read any more.
        """
        wait = self.store.wait_for_changes(self.state.revision)
        waiting = asyncio.ensure_future(wait)
        failures = 0
        expected_revision = 0
        try:
            while True:
                # Confirm at once if the last answer is old. A node that starts to read
                # would otherwise take the gap before for an outage of the store.
                pause = self.confirm_pause
                if self.state.revision < expected_revision:
                    pause = OVERDUE_SECONDS
                done, _ = await asyncio.wait({waiting}, timeout=pause)
                if done:
                    return waiting.result()
                if not self.duty.must_read(clock.now()):
                    return None
                overdue = self.state.revision < expected_revision
                if overdue and not self.answer_arriving:
                    # The store has a change that the wait did not return. That happens
                    # if the store drops its history during the wait, or if the open
                    # connection is dead while new ones work.
                    received = self.store.partial_bytes
                    self.store.reconnect()
                    raise HistoryLostError(
                        f"a confirmed change was not received, only {received} bytes"
                    )
                if overdue and self.confirm_pause > 0:
                    continue
                try:
                    expected_revision = await self.confirm()
                    failures = 0
                except StoreError:
                    # The answer that arrives may leave no bandwidth for the check.
                    failures += not self.answer_arriving
                    if failures >= MAX_CONFIRM_FAILURES:
                        raise
        finally:
            waiting.cancel()

    @property
    def confirm_pause(self) -> float:
        """Return the seconds until the store has to confirm its revision."""
        answer_age = clock.now() - self.state.answered_at
        return max(0.0, self.duty.confirm_interval - answer_age)

    @property
    def answer_arriving(self) -> bool:
        """Return whether part of an answer came recently.

        A configuration of 3,300 routes takes over a second on a link of 2.5 Mbit/s. A
        read that is given up meanwhile and begun anew takes as long again.
        """
        return clock.now() - self.store.received_at < ARRIVING_SECONDS

    async def confirm(self) -> int:
        """Request the store's revision, record that it answered, and return it."""
        begun = clock.now()
        revision = await self.store.confirm()
        self.state.record_store_answer()
        self.state.record_revision(revision, begun)
        self.retry_delay = INITIAL_RETRY_DELAY
        return revision
