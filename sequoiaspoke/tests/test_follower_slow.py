"""Tests of following a store over a slow link, on a virtual clock."""

import asyncio
import random

from testtools import TestCase

from sequoiaspoke.core.mesh.reading import (
    CONFIRM_INTERVAL,
    CONFIRMATION_VALID_SECONDS,
    ReadingDuty,
)
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.follower import Follower
from sequoiaspoke.sidecar.source import Changes, HistoryLostError, StoreError
from sequoiaspoke.tests.meshsim import play_world
from sequoiaspoke.tests.test_sidecar_follower import FakeState, ScriptedStore

# Seconds that an answer with a configuration of 3,300 routes takes at 2.5 Mbit/s.
ANSWER_SECONDS = 1.9
BEFORE, AFTER = 5, 6  # revisions


class SlowStore(ScriptedStore):
    """Has a change, whose answer arrives bit by bit and may stop arriving."""

    def __init__(self, arrives_until=ANSWER_SECONDS, confirms=True):
        super().__init__([])
        self.arrives_until = arrives_until
        self.confirms = confirms
        self.began = 0.0

    @property
    def partial_bytes(self):
        return 1

    @property
    def received_at(self):
        return min(clock.now(), self.began + self.arrives_until)

    async def read_all(self):
        self.reads.append("all")
        return Changes((), BEFORE)

    async def wait_for_changes(self, after):
        self.reads.append(after)
        if after == AFTER:
            await asyncio.sleep(3600)
        self.began = clock.now()
        await asyncio.sleep(ANSWER_SECONDS)
        return Changes((), AFTER)

    async def confirm(self):
        if not self.confirms:
            raise StoreError("no answer in time")
        return AFTER


class SlowLink:
    """Follows a slow store for some seconds."""

    def __init__(self, store):
        self.store = store
        self.state = FakeState()

    async def play(self):
        duty = ReadingDuty("h", "z")
        follower = Follower(self.store, self.state, duty, random.Random(1))
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(2 * ANSWER_SECONDS)
        task.cancel()
        await asyncio.sleep(0.1)


class SlowLinkTests(TestCase):
    def follow(self, **options):
        return play_world(lambda: SlowLink(SlowStore(**options)), self)

    def test_a_change_whose_answer_is_arriving_is_not_read_again(self):
        # Guards against a version that is never read, as each read is given up.
        link = self.follow()
        self.assertEqual(link.store.reads, ["all", BEFORE, AFTER])
        self.assertEqual(link.state.recorded, ["all", "changes"])

    def test_checks_that_fail_beside_an_arriving_answer_are_no_outage(self):
        # Guards against a read that is given up as the store seems unreachable.
        link = self.follow(confirms=False)
        self.assertEqual(link.state.recorded[:2], ["all", "changes"])

    def test_a_change_whose_answer_stops_arriving_is_read_again(self):
        link = self.follow(arrives_until=0.3)
        self.assertEqual(link.store.reads[:3], ["all", BEFORE, "all"])


class SlowStartStore(ScriptedStore):
    """Takes long to list all items, and records whether it could to the end."""

    def __init__(self):
        super().__init__([])
        self.listed = False

    async def read_all(self):
        self.reads.append("all")
        await asyncio.sleep(ANSWER_SECONDS)
        self.listed = True
        return Changes((), BEFORE)


class SlowStart(SlowLink):
    """Starts a node that another node tells everything a moment later."""

    def __init__(self, readers):
        super().__init__(SlowStartStore())
        self.duty = ReadingDuty("h-0", "z")
        self.duty.set_hosts(["h-0", *readers])

    async def play(self):
        follower = Follower(self.store, self.state, self.duty, random.Random(1))
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.5)
        self.state.complete = True
        for _ in range(3):
            self.duty.confirm(clock.now())
            await asyncio.sleep(1.0)
        task.cancel()
        await asyncio.sleep(0.1)


class SlowStartTests(TestCase):
    def listed(self, readers):
        """Return whether all items were read to the end."""
        return play_world(lambda: SlowStart(readers), self).store.listed

    def test_a_node_that_was_told_everything_ends_its_read_of_all_items(self):
        # Guards against a link that is full when a started node reaches its readers.
        readers = [f"h-{number}" for number in range(1, 9)]
        duty = ReadingDuty("h-0", "z")
        duty.set_hosts(["h-0", *readers])
        self.assertFalse(duty.on_duty)
        self.assertFalse(self.listed(readers))

    def test_a_reader_reads_all_items_to_the_end(self):
        self.assertTrue(self.listed([]))


class KnownRevisionStore(ScriptedStore):
    """Has a change since the revision that other nodes have told."""

    def __init__(self, history=True):
        super().__init__([])
        self.history = history

    async def read_all(self):
        self.reads.append("all")
        return Changes((), AFTER)

    async def catch_up(self, after):
        self.reads.append(f"since {after}")
        if not self.history:
            raise HistoryLostError("forgotten")
        return Changes((), AFTER)

    async def confirm(self):
        return AFTER


class KnownRevision(SlowLink):
    """A node that other nodes have told everything, and that has to read now."""

    async def play(self):
        self.state.complete, self.state.revision = True, BEFORE
        await super().play()


class KnownRevisionTests(TestCase):
    def reads(self, **options):
        world = KnownRevision(KnownRevisionStore(**options))
        return play_world(lambda: world, self).store.reads

    def test_a_node_that_was_told_everything_reads_the_changes_since(self):
        # Guards against two reads of 1.2 s each, which make a version late.
        self.assertEqual(self.reads(), [f"since {BEFORE}", AFTER])

    def test_it_reads_all_items_if_the_store_has_lost_the_changes_since(self):
        reads = self.reads(history=False)
        self.assertEqual(reads, [f"since {BEFORE}", "all", AFTER])


class ConfirmationTests(TestCase):
    def valid_seconds(self, read_seconds):
        duty = ReadingDuty("h", "z")
        duty.confirm(10.0)
        duty.read_seconds = read_seconds
        return duty.valid_until - 10.0

    def test_a_node_whose_reads_are_slow_relies_on_a_confirmation_for_less_long(self):
        # Guards against a version that is late at a node that is cut off unnoticed.
        self.assertAlmostEqual(self.valid_seconds(0.1), CONFIRMATION_VALID_SECONDS)
        self.assertAlmostEqual(self.valid_seconds(0.5), 1.1)

    def test_a_confirmation_is_valid_until_the_next_one_is_due(self):
        # Guards against reads of the store while the readers confirm in time.
        self.assertTrue(self.valid_seconds(5.0) > CONFIRM_INTERVAL)
