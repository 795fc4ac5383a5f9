"""Tests of following the platform's store through what befalls it."""

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
    """Answers each read with the next line of a script."""

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
        line = self.script.pop(0)
        if isinstance(line, Exception):
            raise line
        return line

    async def catch_up(self, after):
        return Changes((), after)

    async def endpoints_since(self, after):
        return Changes((), after)

    async def confirm(self):
        return 0

    def reconnect(self):
        pass


class FakeState:
    """Notes what it is told."""

    def __init__(self):
        self.log = self
        self.revision = 0
        self.version = 0
        self.complete = False
        self.told = []

    def event(self, kind, **pairs):
        self.told.append(kind)

    def apply_snapshot(self, read):
        self.revision = read.revision
        self.told.append("all")

    def apply_changes(self, read):
        self.revision = read.revision
        self.told.append("changes")

    @property
    def answered_at(self):
        return clock.now()

    def record_store_answer(self):
        pass

    def apply_endpoint_changes(self, read, begun):
        self.told += read.items

    def record_revision(self, revision, when):
        pass

    def record_store_failure(self, code, reason):
        self.told.append(code)


class FollowerTests(TestCase):
    def follow(self, *script):
        """Play a script to its end and return the state and the reads."""

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

    def test_changes_follow_what_was_read(self):
        state, reads = self.follow(Changes((), 5), Changes((), 7))
        self.assertEqual((state.told, reads), (["all", "changes"], ["all", 5, 7]))

    async def follow_until_third_read(self, store, state):
        """Follow a store until it is asked for changes a second time."""
        duty = ReadingDuty("h", "z")
        follower = Follower(store, state, duty, random.Random(1))
        task = asyncio.ensure_future(follower.run())
        async with asyncio.timeout(WAIT):
            while len(store.reads) < 3:
                await asyncio.sleep(0.005)
        task.cancel()

    def test_an_upstream_that_leaves_is_noticed_between_two_reads_of_a_storm(self):
        # Versions come several a second, each 250 KB on a link of 2.5 Mbit/s: a read
        # and the pause after it take 2 s. An upstream that leaves in the pause was sent
        # calls 2.54 s after its word, where 2.5 s are allowed.
        class Storm(ScriptedStore):
            versions = [8, 9, 9]

            async def catch_up(self, after):
                version = self.versions.pop(0)
                return Changes((f"v{version}",), version)

            async def endpoints_since(self, after):
                return Changes((f"left-{after}",), after + 1)

        class Versions(FakeState):
            def apply_changes(self, read):
                self.told += read.items
                self.version = self.revision = read.revision

        async def run():
            store, state = Storm([Changes((), 5), Changes(("v6",), 6)]), Versions()
            await self.follow_until_third_read(store, state)
            return state.told

        told = asyncio.run(run())
        self.assertEqual(
            told, ["all", "v6", "v8", "left-8", "v9", "left-9", "v9", "left-9"]
        )

    def test_a_storm_on_a_narrow_link_is_followed_in_time(self):
        # A version is accepted just after a read of the one before began. That read,
        # the pause and its own read have to fit into the time until it is in force.
        for pace in (1.0, 1.25, 1.5):
            duty = ReadingDuty("h", "z", pace)
            follower = Follower(ScriptedStore([]), FakeState(), duty, random.Random(1))
            for read in (0.005, 0.1, 0.3, 0.5):
                whole = 2 * read + follower.read_pause(read)
                self.assertTrue(whole < 0.8 * duty.act_within, (pace, read, whole))

    def test_in_a_storm_of_versions_only_the_newest_is_read(self):
        # Versions come several a second, each a whole document. A wait for changes
        # tells all of them; on a narrow link they would take the room of the calls.
        class Storm(ScriptedStore):
            def __init__(self):
                super().__init__([Changes((), 5), Changes(("v1",), 6), Changes((), 9)])
                self.versions = [8, 9, 9]
                self.caught_up = []

            async def catch_up(self, after):
                self.caught_up.append(after)
                version = self.versions.pop(0)
                return Changes((f"v{version}",), version)

        class Versions(FakeState):
            def apply_changes(self, read):
                super().apply_changes(read)
                self.version = read.revision

        async def run():
            store = Storm()
            await self.follow_until_third_read(store, Versions())
            return store

        store = asyncio.run(run())
        self.assertEqual(store.caught_up, [6, 8, 9])
        self.assertEqual(store.reads[:3], ["all", 5, 9])

    def test_a_store_that_fails_is_asked_again_where_it_was_left(self):
        state, reads = self.follow(Changes((), 5), StoreError("no answer"))
        self.assertEqual(state.told, ["all", "store-unavailable"])
        self.assertEqual(reads, ["all", 5, 5])

    def test_a_store_that_lost_its_history_is_read_anew(self):
        _, reads = self.follow(Changes((), 5), HistoryLostError("x"), Changes((), 9))
        self.assertEqual(reads, ["all", 5, "all", 9])

    def test_an_answer_that_nobody_foresaw_does_not_end_the_following(self):
        # The store answers with something malformed. A follower that ended with it
        # would leave the node on an old configuration until its next start.
        state, reads = self.follow(Changes((), 5), KeyError("items"), Changes((), 9))
        self.assertEqual(state.told, ["all", "unexpected", "all"])
        self.assertEqual(reads, ["all", 5, "all", 9])

    def test_of_several_versions_the_newest_is_decoded(self):
        items = tuple(
            StoreItem(key, b"x", revision)
            for revision, key in enumerate(("config", "a", "config", "b"))
        )
        revisions = [item.revision for item in latest_per_key(items)]
        self.assertEqual(revisions, [1, 2, 3])
