"""Tests of following the changes of the platform's store."""

import asyncio
import random

from testtools import TestCase

from sequoiaspoke.core.mesh.reading import ReadingDuty
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.follower import Follower
from sequoiaspoke.sidecar.source import (
    Changes,
    HistoryLostError,
    ItemStore,
    StoreError,
    StoreItem,
)
from sequoiaspoke.sidecar.state import latest_per_key

WAIT = 20.0  # seconds; only a failing test waits so long


class ScriptedStore(ItemStore):
    """Answers each read with the next step of a script."""

    def __init__(self, script):
        self.script = list(script)
        self.reads = []

    async def read_all(self):
        return await self.next("all")

    async def wait_for_changes(self, after):
        return await self.next(after)

    async def next(self, read):
        self.reads.append(read)
        if not self.script:
            await asyncio.sleep(3600)
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def catch_up(self, after):
        return Changes((), after)

    async def endpoints_since(self, after):
        return Changes((), after)

    async def confirm(self):
        return 0

    def reconnect(self):
        pass


class FakeState:
    """Records the calls of the follower."""

    def __init__(self):
        self.log = self
        self.revision = 0
        self.version = 0
        self.complete = False
        self.recorded = []

    def event(self, kind, **pairs):
        self.recorded.append(kind)

    def apply_snapshot(self, read):
        self.revision = read.revision
        self.recorded.append("all")

    def apply_changes(self, read):
        self.revision = read.revision
        self.recorded.append("changes")

    @property
    def answered_at(self):
        return clock.now()

    def record_store_answer(self):
        pass

    def apply_endpoint_changes(self, read, begun):
        self.recorded += read.items

    def record_revision(self, revision, when):
        pass

    def record_store_failure(self, code, reason):
        self.recorded.append(code)


class FollowerTests(TestCase):
    def follow(self, *script):
        """Run a script to its end and return the state and the reads."""

        async def run():
            store, state = ScriptedStore(script), FakeState()
            follower = Follower(store, state, ReadingDuty("h", "z"), random.Random(1))
            task = asyncio.ensure_future(follower.run())
            async with asyncio.timeout(WAIT):
                while store.script or len(store.reads) <= len(script):
                    await asyncio.sleep(0.005)
            task.cancel()
            return state, store.reads

        return asyncio.run(run())

    def test_changes_are_read_after_the_snapshot(self):
        state, reads = self.follow(Changes((), 5), Changes((), 7))
        self.assertEqual((state.recorded, reads), (["all", "changes"], ["all", 5, 7]))

    async def follow_until_third_read(self, store, state):
        """Follow a store until it is asked for changes a second time."""
        duty = ReadingDuty("h", "z")
        follower = Follower(store, state, duty, random.Random(1))
        task = asyncio.ensure_future(follower.run())
        async with asyncio.timeout(WAIT):
            while len(store.reads) < 3:
                await asyncio.sleep(0.005)
        task.cancel()

    def test_a_leaving_upstream_is_noticed_between_two_reads_of_versions(self):
        # Several versions of 250 KB each are published per second. On a link of 2.5
        # Mbit/s a read and the pause after it take 2 s. If endpoints were not read in
        # the pause, an upstream that leaves would get calls for longer than the 2.5 s
        # allowed after its report.
        class ManyVersions(ScriptedStore):
            versions = [8, 9, 9]

            async def catch_up(self, after):
                version = self.versions.pop(0)
                return Changes((f"v{version}",), version)

            async def endpoints_since(self, after):
                return Changes((f"left-{after}",), after + 1)

        class VersionedState(FakeState):
            def apply_changes(self, read):
                self.recorded += read.items
                self.version = self.revision = read.revision

        async def run():
            store, state = (
                ManyVersions([Changes((), 5), Changes(("v6",), 6)]),
                VersionedState(),
            )
            await self.follow_until_third_read(store, state)
            return state.recorded

        recorded = asyncio.run(run())
        self.assertEqual(
            recorded, ["all", "v6", "v8", "left-8", "v9", "left-9", "v9", "left-9"]
        )

    def test_many_versions_on_a_slow_link_are_read_in_time(self):
        # A version is published just after a read of the previous one began. That read,
        # the pause and the read of the new version must fit into the time within which
        # it has to be in force.
        for time_scale in (1.0, 1.25, 1.5):
            duty = ReadingDuty("h", "z", time_scale)
            follower = Follower(ScriptedStore([]), FakeState(), duty, random.Random(1))
            for read_seconds in (0.005, 0.1, 0.3, 0.5):
                total = 2 * read_seconds + follower.read_pause(read_seconds)
                self.assertTrue(
                    total < 0.8 * duty.act_within, (time_scale, read_seconds, total)
                )

    def test_of_many_versions_only_the_newest_is_read(self):
        # Several versions are published per second, each a whole document. A wait for
        # changes returns all of them, which would leave a slow link no bandwidth for
        # calls.
        class ManyVersions(ScriptedStore):
            def __init__(self):
                super().__init__([Changes((), 5), Changes(("v1",), 6), Changes((), 9)])
                self.versions = [8, 9, 9]
                self.caught_up = []

            async def catch_up(self, after):
                self.caught_up.append(after)
                version = self.versions.pop(0)
                return Changes((f"v{version}",), version)

        class VersionedState(FakeState):
            def apply_changes(self, read):
                super().apply_changes(read)
                self.version = read.revision

        async def run():
            store = ManyVersions()
            await self.follow_until_third_read(store, VersionedState())
            return store

        store = asyncio.run(run())
        self.assertEqual(store.caught_up, [6, 8, 9])
        self.assertEqual(store.reads[:3], ["all", 5, 9])

    def test_a_failed_read_is_retried_from_the_same_revision(self):
        state, reads = self.follow(Changes((), 5), StoreError("no answer"))
        self.assertEqual(state.recorded, ["all", "store-unavailable"])
        self.assertEqual(reads, ["all", 5, 5])

    def test_a_lost_history_is_followed_by_a_full_read(self):
        _, reads = self.follow(Changes((), 5), HistoryLostError("x"), Changes((), 9))
        self.assertEqual(reads, ["all", 5, "all", 9])

    def test_an_unexpected_answer_does_not_end_the_follower(self):
        # The store sends a malformed answer. If the follower ended, the node would keep
        # an old configuration until its next start.
        state, reads = self.follow(Changes((), 5), KeyError("items"), Changes((), 9))
        self.assertEqual(state.recorded, ["all", "unexpected", "all"])
        self.assertEqual(reads, ["all", 5, "all", 9])

    def test_only_the_latest_change_of_a_key_is_decoded(self):
        items = tuple(
            StoreItem(key, b"x", revision)
            for revision, key in enumerate(("config", "a", "config", "b"))
        )
        revisions = [item.revision for item in latest_per_key(items)]
        self.assertEqual(revisions, [1, 2, 3])
