"""Tests of the exchange of knowledge between nodes."""

import asyncio
import random

from testtools import TestCase

from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig, Route, Service
from sequoiaspoke.core.mesh.reading import CONFIRM_INTERVAL, ReadingDuty
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar import clock, spread
from sequoiaspoke.sidecar.changelog import log_endpoints
from sequoiaspoke.sidecar.follower import Follower
from sequoiaspoke.sidecar.frames import FrameStream, decode, encode
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.source import (
    Changes,
    ItemDecoder,
    ItemStore,
    StoreError,
    StoreItem,
)
from sequoiaspoke.sidecar.spread import AHEAD_SECONDS, SECOND_READER_DELAY, Spread
from sequoiaspoke.sidecar.state import MeshState
from sequoiaspoke.sidecar.wireknowledge import unpack_config
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

PARTS = (WeightedService("fleet", 90), WeightedService("new", 10))


class Items(ItemDecoder):
    """Items whose value is a number: of routes, or of slots."""

    def kind(self, key):
        return self.CONFIG if key == "config" else self.ENDPOINT

    def instance(self, key):
        return key

    def endpoint(self, key, value):
        host = f"10.0.0.{key[2:]}"
        return Endpoint(key, "fleet", host, 80, "akaki", int(value), cold_seconds=2.5)

    def config(self, value):
        routes = tuple(
            Route(f"r{n}", "x", f"/{n}/", n % 2 == 0, 4.0, 1.0, 1, 2, PARTS)
            for n in range(int(value))
        )
        return MeshConfig(
            int(value), routes, {name: Service(name) for name in ("fleet", "new")}
        )


class RecordingStream(FrameStream):
    """Records each frame, and passes it to the learner as if read from a link."""

    def __init__(self):
        self.frames = []
        self.learner = None

    def send(self, frame):
        frame = decode(encode(frame)[4:])
        self.frames.append(frame)
        if self.learner is None:
            return
        if frame.knowledge is not None:
            self.learner.spread.learn(frame.knowledge, 0.0)
        elif frame.confirmed is not None:
            self.learner.spread.handle_confirmation(frame.confirmed, 0.0)

    async def read(self, on_frame):
        return "closed"

    def close(self):
        self.closed = True


class Node:
    """The state and the exchange of one node, without links."""

    def __init__(self, host):
        log = EventLog("x-request-id")
        log.allowed = lambda kind: False
        self.duty = ReadingDuty(host, "akaki")
        self.state = MeshState(Items(), log, self.changed)
        self.spread = Spread(self.state, self.duty, log)

    def changed(self):
        self.spread.publish()

    def read(self, revision, **items):
        """Apply items as if read from the store."""
        told = tuple(
            StoreItem(key.replace("_", "-"), value and str(value).encode(), revision)
            for key, value in items.items()
        )
        self.state.apply_changes(Changes(told, revision))

    def read_all(self, revision, **items):
        """Apply items as if the store had listed them all."""
        listed = tuple(
            StoreItem(key.replace("_", "-"), str(value).encode(), revision)
            for key, value in items.items()
        )
        self.state.apply_snapshot(Changes(listed, revision))

    def follow(self, reader, first=True):
        """Subscribe to a reader."""
        stream = RecordingStream()
        stream.learner = self
        rate = self.duty.link_rates[self.duty.host]
        subscribe = wire.Subscribe(self.state.version, first, self.duty.host, rate)
        reader.spread.subscribe(stream, subscribe)
        return stream

    def knows(self):
        held = self.state.directory.records
        return self.state.version, {name: held[name].endpoint.slots for name in held}


class SpreadTests(TestCase):
    def setUp(self):
        super().setUp()
        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)
        self.reader, self.other = Node("10.0.0.1"), Node("10.0.0.2")
        self.reader.read(10, config=3, i_1=4, i_2=4)

    def test_a_subscriber_is_sent_everything_and_then_changes(self):
        stream = self.other.follow(self.reader)
        self.assertEqual(self.other.knows(), (3, {"i-1": 4, "i-2": 4}))
        self.reader.read(12, config=5, i_3=9)
        self.reader.read(13, i_1=None)
        self.assertEqual(self.other.knows(), (5, {"i-2": 4, "i-3": 9}))
        first, second, third = (frame.knowledge for frame in stream.frames)
        self.assertTrue(first.whole and not second.whole)
        self.assertEqual(len(second.endpoints), 1)
        delta, _ = unpack_config(second.config)
        self.assertEqual([each.name for each in delta.routes], ["r3", "r4"])
        self.assertIsNone(third.config)
        self.assertEqual(self.other.state.table.config, self.reader.state.table.config)

    def test_a_reader_that_reads_all_again_tells_what_is_missing(self):
        # Guards against calls to an upstream that has left, of which it never knew.
        second = Node("10.0.0.3")
        second.read(12, config=3, i_1=4, i_2=4, i_9=4)
        self.other.follow(self.reader)
        self.other.follow(second)
        self.reader.read_all(13, config=3, i_1=4, i_2=4)
        self.assertEqual(self.other.knows(), (3, {"i-1": 4, "i-2": 4}))

    def test_a_reader_that_learns_all_from_a_node_tells_what_is_missing(self):
        # Guards against the same if its knowledge came from a node.
        second, third = Node("10.0.0.3"), Node("10.0.0.4")
        second.read(12, config=3, i_1=4, i_2=4, i_9=4)
        third.read(13, config=3, i_1=4, i_2=4)
        self.other.follow(self.reader)
        self.other.follow(second)
        self.reader.follow(third)
        self.assertEqual(self.other.knows(), (3, {"i-1": 4, "i-2": 4}))

    def test_a_list_tells_what_is_missing_once_its_configuration_is_sent(self):
        # Guards against a list with an earlier revision, which ends no entry.
        self.patch(spread, "LARGE_CHANGE_ROUTES", 0)
        self.time += 1.0
        second = Node("10.0.0.3")
        second.read(12, config=3, i_1=4, i_2=4, i_9=4)
        self.other.follow(self.reader, first=False)
        self.other.follow(second)
        self.reader.read_all(13, config=5, i_1=4, i_2=4)
        self.assertEqual(self.other.knows()[0], 3)
        self.time += SECOND_READER_DELAY
        self.reader.spread.tick(self.time)
        self.assertEqual(self.other.knows(), (5, {"i-1": 4, "i-2": 4}))

    def test_a_list_is_sent_once(self):
        # Guards against the size of a list in each confirmation.
        stream = self.other.follow(self.reader)
        self.reader.read_all(13, config=3, i_1=4, i_2=4)
        self.time += 0.9
        self.reader.read(13)
        listed, confirmation = stream.frames[1:]
        self.assertTrue(listed.knowledge.whole)
        self.assertIsNotNone(confirmation.confirmed)

    def test_a_confirmation_without_changes_is_sent(self):
        stream = self.other.follow(self.reader)
        self.time += 0.9
        self.reader.state.record_complete_as_of(self.time)
        self.assertEqual(len(stream.frames), 2)
        self.assertEqual(self.other.duty.confirmed_at, self.time)
        self.assertFalse(self.other.duty.must_read(self.time + 1.0))

    def test_many_endpoints_are_logged_as_one_line_with_a_digest(self):
        # A node that starts in a fleet of 200 would log 200 lines, of which the limit
        # lets 20 through. The digest is the same at every node.
        lines = []
        for node in (self.reader, self.other):
            node.state.log.event = lambda kind, **pairs: lines.append((kind, pairs))
        self.reader.read(11, **{f"j_{number}": 4 for number in range(20)})
        self.other.follow(self.reader)
        many = [pairs for kind, pairs in lines if kind == "endpoints"]
        self.assertEqual([each["taken"] for each in many], [20, 22])
        self.assertEqual([kind for kind, _ in lines if kind == "endpoint"], [])
        again = self.reader.state
        log_endpoints(again.log, again.directory, 0, "again")
        self.assertEqual(lines[-1][1]["digest"], many[1]["digest"])

    def test_nothing_is_sent_twice(self):
        stream = self.other.follow(self.reader)
        self.reader.spread.publish()
        self.assertEqual(len(stream.frames), 1)

    def test_a_large_configuration_is_sent_by_one_reader_first(self):
        # If both readers send 1,680 new routes to each of 27 nodes, links of 2.5 Mbit/s
        # take 2.2 s, and departures of upstreams are delayed as long.
        self.patch(spread, "LARGE_CHANGE_ROUTES", 0)
        self.time += 1.0
        stream = self.other.follow(self.reader, first=False)
        self.reader.read(12, config=5, i_3=9)
        self.assertEqual(self.other.knows(), (3, {"i-1": 4, "i-2": 4, "i-3": 9}))
        self.reader.spread.update_held_version(stream, wire.Holds(5, False))
        self.time += 2 * SECOND_READER_DELAY
        self.reader.spread.tick(self.time)
        told = [frame.knowledge for frame in stream.frames if frame.knowledge]
        self.assertEqual([each.config is None for each in told], [False, True])

    def test_a_deferred_configuration_is_not_confirmed(self):
        # Guards against a node that counts as complete without the newest version.
        self.patch(spread, "LARGE_CHANGE_ROUTES", 0)
        self.time += 1.0
        self.other.follow(self.reader, first=False)
        self.reader.read(12, config=5, i_3=9)
        self.assertEqual(self.other.knows(), (3, {"i-1": 4, "i-2": 4, "i-3": 9}))
        self.time += 0.1
        self.reader.read(12)
        state = self.other.state
        self.assertEqual((state.revision, state.as_of), (10, 1000.0))
        self.assertEqual(self.other.duty.confirmed_at, self.time)
        self.time += SECOND_READER_DELAY
        self.reader.spread.tick(self.time)
        self.assertEqual((state.revision, state.version), (12, 5))

    def test_a_reader_asks_a_subscriber_that_has_a_newer_version(self):
        # Guards against readers that started after the store has lost a version.
        stream = self.other.follow(self.reader)
        self.other.read(11, config=7)
        self.reader.spread.update_held_version(stream, wire.Holds(7, True))
        self.reader.spread.tick(self.time)
        self.assertEqual([each for each in stream.frames if each.ask], [])
        for _ in range(2):
            self.time += AHEAD_SECONDS
            self.reader.spread.tick(self.time)
        self.assertEqual(stream.frames[-1].ask.config_version, 3)
        answer = self.other.spread.answer(stream.frames[-1].ask)
        self.reader.spread.learn(answer, 0.0)
        self.assertEqual(self.reader.state.version, 7)

    def test_the_second_reader_sends_what_the_first_did_not(self):
        # The first reader is killed just after it has read a version.
        self.patch(spread, "LARGE_CHANGE_ROUTES", 0)
        self.time += 1.0
        self.other.follow(self.reader, first=False)
        self.reader.read(12, config=5)
        self.assertEqual(self.other.state.version, 3)
        self.time += SECOND_READER_DELAY
        self.reader.spread.tick(self.time)
        self.assertEqual(self.other.state.version, 5)

    def test_a_delayed_message_counts_from_when_it_was_sent(self):
        # A link is cut, or saturated by a large configuration, and a reader's message
        # arrives seconds late. If it were taken for fresh, the node would trust its
        # readers for another 1.4 s, and go on sending calls to an upstream that has
        # left meanwhile.
        stream = self.other.follow(self.reader)
        stream.learner = None
        for _ in range(2):
            self.time += 0.9
            self.reader.read(10)
        self.reader.read(11, config=4)
        self.time += 3.0
        clock_offset = 500.0  # seconds by which the reader's clock is ahead
        for frame in stream.frames[1:]:
            if frame.confirmed is not None:
                told = wire.Confirmed(
                    frame.confirmed.revision,
                    frame.confirmed.as_of + clock_offset,
                    frame.confirmed.answered_at + clock_offset,
                )
                self.other.spread.handle_confirmation(told, clock_offset)
            else:
                frame.knowledge.as_of += clock_offset
                self.other.spread.learn(frame.knowledge, clock_offset)
        self.assertEqual(self.other.state.version, 4)
        self.assertEqual(self.other.state.as_of, self.time - 3.0)
        self.assertTrue(self.other.duty.must_read(self.time))

    def test_a_small_change_is_sent_by_both_readers_at_once(self):
        # If it were deferred, it would be late when the first reader is killed.
        self.time += 1.0
        self.other.follow(self.reader, first=False)
        self.reader.read(12, config=5)
        self.assertEqual(self.other.state.version, 5)

    def test_a_reader_that_is_behind_does_not_revert_a_newer_subscriber(self):
        stream = self.other.follow(self.reader)
        self.other.read(14, config=7)
        self.reader.spread.update_held_version(stream, wire.Holds(7, True))
        self.time += 1.0
        self.reader.read(12, config=5)
        self.assertIsNotNone(stream.frames[-1].confirmed)
        self.reader.read(15, config=8)
        self.assertEqual(self.other.state.version, 8)

    def test_a_confirmation_takes_a_few_bytes(self):
        # Each node receives it twice a second from its readers, and does little else
        # while it has no calls.
        stream = self.other.follow(self.reader)
        self.time += 0.9
        self.reader.read(10)
        confirmed = stream.frames[-1].confirmed
        self.assertEqual((confirmed.revision, confirmed.as_of), (10, self.time))
        self.assertTrue(len(encode(stream.frames[-1])) < 30)
        self.assertEqual(self.other.state.as_of, self.time)
        self.assertFalse(self.other.duty.must_read(self.time + 1.0))

    def test_a_reader_with_unread_changes_does_not_confirm_its_knowledge(self):
        # While several versions a second are written, a reader on a narrow link reads
        # the newest once a second, and asks the store for its revision in between. When
        # that counted as a confirmation of what it knew, a caller was answered that a
        # route does not exist 2.8 s after the route had been acknowledged, and gave up
        # for good.
        self.other.follow(self.reader)
        for _ in range(3):
            self.time += 0.52
            self.reader.state.record_own_read(self.time)
        self.assertFalse(self.other.duty.must_read(self.time))
        self.assertEqual(self.other.state.as_of, 1000.0)
        self.assertTrue(self.other.state.may_lack_route(self.time))
        self.time += 0.1
        self.reader.read(11)
        self.assertFalse(self.other.state.may_lack_route(self.time))

    def test_a_confirmation_lists_endpoints_that_may_be_gone(self):
        # An upstream's endpoint vanished when the store came back. Until it is known
        # whether it is gone for good, each confirmation repeats it.
        stream = self.other.follow(self.reader)
        self.reader.state.record_store_failure("store-unavailable", "down")
        self.time += 10.0
        self.reader.read(11, i_2=None)
        self.reader.read(11)
        self.assertEqual(len(stream.frames[-1].knowledge.lapsing), 1)

    def test_nodes_do_not_confirm_what_they_learnt_from_each_other(self):
        # If two nodes that follow each other confirmed each other's knowledge, both
        # would go on acting on it after the store has changed.
        back = self.reader.follow(self.other)
        self.other.follow(self.reader)
        self.time += 60.0
        self.reader.spread.publish()
        self.other.spread.publish()
        self.assertTrue(self.other.duty.must_read(self.time))
        told = [self.time - 60.0 == f.knowledge.as_of for f in back.frames]
        self.assertEqual(told, [True])

    def test_older_knowledge_reverts_nothing(self):
        # A reader that was cut off for a while sends what it knows to a node that has
        # followed the other reader. If the node applied it unchecked, an older version
        # would come into force again, and an upstream that has left would get calls.
        lagging = Node("10.0.0.3")
        lagging.read(10, config=3, i_1=4, i_2=4)
        self.other.follow(self.reader)
        self.reader.read(14, config=6, i_2=None)
        self.reader.read(15, i_4=4)
        before = self.other.knows()
        self.other.follow(lagging)
        self.assertEqual(self.other.knows(), before)
        self.assertEqual(before, (6, {"i-1": 4, "i-4": 4}))

    def test_a_delta_to_another_version_is_requested_whole(self):
        # In a burst of changes the two readers read different versions.
        self.other.read(11, config=4)
        stream = RecordingStream()
        self.reader.spread.subscribe(stream, wire.Subscribe(3, True, "10.0.0.9", 0.0))
        self.reader.read(14, config=6)
        change = stream.frames[-1].knowledge
        self.assertFalse(self.other.spread.learn(change, 0.0))
        self.assertEqual(self.other.state.version, 4)
        answer = self.reader.spread.answer(self.other.spread.knowledge_request())
        self.assertTrue(self.other.spread.learn(answer, 0.0))
        self.assertEqual(self.other.state.version, 6)

    def test_a_confirmation_beside_a_delta_that_was_not_applied_does_not_count(self):
        # Guards against 404 for a route whose version the node still waits for.
        stream = RecordingStream()
        self.reader.spread.subscribe(stream, wire.Subscribe(3, True, "10.0.0.9", 0.0))
        self.other.read(11, config=4)
        self.reader.read(14, config=6)
        self.assertFalse(self.other.spread.learn(stream.frames[-1].knowledge, 0.0))
        self.time += 0.9
        self.reader.read(14)
        confirmed = stream.frames[-1].confirmed
        self.assertTrue(self.other.spread.handle_confirmation(confirmed, 0.0))
        state = self.other.state
        self.assertEqual((state.version, state.revision, state.as_of), (4, 11, 1000.0))
        answer = self.reader.spread.answer(self.other.spread.knowledge_request())
        self.assertTrue(self.other.spread.learn(answer, 0.0))
        self.assertFalse(self.other.spread.handle_confirmation(confirmed, 0.0))
        self.assertEqual((state.version, state.as_of), (6, self.time))

    def test_only_newer_knowledge_is_answered(self):
        # During an outage of the store all nodes ask each other twice a second.
        self.other.follow(self.reader)
        self.time += 10.0
        self.assertIsNone(
            self.reader.spread.answer(self.other.spread.knowledge_request())
        )
        self.reader.state.record_complete_as_of(self.time)
        self.assertIsNotNone(self.reader.spread.answer(wire.Ask(3, 10.0)))

    def test_an_upstream_that_vanished_around_an_outage_is_kept_by_all(self):
        # An upstream that could not report during an outage of the store has no
        # endpoint after it. It reports again within two seconds if it is alive.
        self.other.follow(self.reader)
        self.reader.state.record_store_failure("store-unavailable", "down")
        self.time += 5.0
        self.reader.read(14, i_1=None)
        for node in (self.reader, self.other):
            self.assertEqual(node.knows()[1], {"i-1": 4, "i-2": 4})
        self.time += 3.0
        self.reader.state.tick(self.time)
        self.other.state.tick(self.time)
        for node in (self.reader, self.other):
            self.assertEqual(node.knows()[1], {"i-2": 4})

    def test_a_reader_that_was_cut_off_delays_no_departure_elsewhere(self):
        healthy = Node("10.0.0.3")
        healthy.read(10, config=3, i_1=4, i_2=4)
        self.other.follow(self.reader)
        self.other.follow(healthy)
        self.reader.state.record_store_failure("store-unavailable", "cut off")
        for _ in range(5):
            self.time += 0.9
            healthy.state.record_complete_as_of(self.time)
        self.time += 0.9
        self.reader.read(14, i_1=None)
        self.assertEqual(self.reader.knows()[1], {"i-1": 4, "i-2": 4})
        self.assertEqual(self.other.knows()[1], {"i-2": 4})

    def test_an_outage_ends_for_a_node_when_its_readers_have_the_store_again(self):
        # A node read for itself and lost the store; its readers reach it again, and the
        # node stops reading. Seconds later an upstream leaves without draining first.
        self.other.follow(self.reader)
        self.other.state.record_store_failure("store-unavailable", "down")
        self.time += 1.0
        self.reader.state.record_complete_as_of(self.time)
        self.assertFalse(self.other.state.directory.lapses.outage)
        for _ in range(60):
            self.time += 0.9
            self.reader.state.record_complete_as_of(self.time)
        self.time += 0.5
        self.other.state.apply_changes(Changes((StoreItem("i-1", None, 30),), 30))
        self.assertNotIn("i-1", self.other.state.directory.records)

    def test_the_rest_of_a_cold_start_is_sent(self):
        self.time += 2.0
        self.other.follow(self.reader)
        cold = self.other.state.directory.is_cold
        self.assertTrue(cold("i-1", self.time + 0.4))
        self.assertFalse(cold("i-1", self.time + 0.6))

    def test_a_malformed_configuration_is_an_error(self):
        for packed in (b"", b"x" * 40, b"x\x9c\x03\x00\x00\x00\x00\x01"):
            self.assertRaises(MessageError, unpack_config, packed)


class AnsweringStore(ItemStore):
    """Never has changes; confirms or fails as `failing` says."""

    def __init__(self):
        self.failing = False
        self.revision = 10
        self.confirmed = 0
        self.waits = 0
        self.reconnected = 0

    async def read_all(self):
        return Changes((StoreItem("config", b"3", 10), StoreItem("i-1", b"4", 10)), 10)

    async def wait_for_changes(self, after):
        self.waits += 1
        await asyncio.sleep(3600)

    async def catch_up(self, after):
        return Changes((), after)

    async def endpoints_since(self, after):
        return Changes((), after)

    async def confirm(self):
        if self.failing:
            raise StoreError("no answer in time")
        self.confirmed += 1
        return self.revision

    def reconnect(self):
        self.reconnected += 1


class ConfirmingTests(TestCase):
    """A reader's confirmations while the store has no changes."""

    def run_scenario(self, scenario):
        async def run():
            node, store = Node("10.0.0.1"), AnsweringStore()
            follower = Follower(store, node.state, node.duty, random.Random(1))
            task = asyncio.ensure_future(follower.run())
            try:
                async with asyncio.timeout(30.0):
                    await scenario(node, store)
            finally:
                task.cancel()

        asyncio.run(run())

    async def until_true(self, check):
        while not check():
            await asyncio.sleep(0.02)

    def test_a_store_without_changes_confirms(self):
        async def scenario(node, store):
            await self.until_true(lambda: store.confirmed >= 2)
            self.assertTrue(node.state.age(clock.now()) < CONFIRM_INTERVAL + 5.0)
            self.assertEqual(store.waits, 1)

        self.run_scenario(scenario)

    def test_a_store_that_stops_answering_is_lost(self):
        # A node is cut off from the store while it waits for changes. Without
        # confirmations it would trust what it knows for as long as the wait may take.
        async def scenario(node, store):
            await self.until_true(lambda: store.confirmed >= 1)
            store.failing = True
            await self.until_true(lambda: node.state.directory.lapses.outage)
            store.failing = False
            await self.until_true(lambda: not node.state.directory.lapses.outage)

        self.run_scenario(scenario)

    def test_a_wait_that_misses_a_change_is_started_again(self):
        # The connection on which a reader waits is dead while new ones work: the store
        # confirms that it is reachable, with a newer revision.
        async def scenario(node, store):
            await self.until_true(lambda: store.confirmed >= 1)
            store.revision = 12
            await self.until_true(lambda: store.reconnected)

        self.run_scenario(scenario)

    def test_a_node_whose_readers_confirm_does_not_read(self):
        async def scenario(node, store):
            await self.until_true(lambda: node.state.complete)
            node.duty.set_hosts(["10.0.0.8", "10.0.0.9"])
            node.duty.confirm(clock.now() + 3600)
            before = store.confirmed
            await asyncio.sleep(3 * CONFIRM_INTERVAL)
            self.assertTrue(store.confirmed <= before + 1)

        self.run_scenario(scenario)
