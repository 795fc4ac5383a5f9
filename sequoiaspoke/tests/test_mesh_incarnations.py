"""Tests of upstreams that start again under the name that they had."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.balancer import Balancer, LoadReport
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.knowledge import Knowledge
from sequoiaspoke.core.mesh.model import (
    Departure,
    Endpoint,
    Incarnation,
    PublishedEndpoint,
    Route,
)
from sequoiaspoke.core.mesh.outcome import Answer, Request, Unknown
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.wireknowledge import pack, unpack

# Starts of one upstream, in Unix milliseconds.
FIRST, LATER = 1_790_000_000_000, 1_790_000_007_500
OLD = Endpoint("i-1", "fleet", "10.0.0.1", 80, "akaki", 4, born=FIRST)
NEW = replace(OLD, born=LATER)
OTHER = Endpoint("i-2", "fleet", "10.0.0.2", 80, "bole", 4, born=FIRST)


class DirectoryOfStartsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.directory.put(OLD, 5, 0.0)

    def serving(self):
        return [each.incarnation for each in self.directory.serving("fleet")]

    def test_an_upstream_that_drained_and_went_serves_again(self):
        # An upstream reports that it leaves, goes, and starts again under its name.
        # With its leave held against the name, it would get no call any more.
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.directory.remove("i-1", 7, 1.0)
        self.assertTrue(self.directory.put(NEW, 8, 2.0))
        self.assertEqual(self.serving(), [NEW.incarnation])
        self.assertFalse(self.directory.left(NEW.incarnation))

    def test_a_start_that_follows_at_once_replaces_one_that_drains(self):
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.assertTrue(self.directory.put(NEW, 7, 0.0))
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_a_late_report_of_the_start_before_takes_nothing_back(self):
        # A report of the earlier start lay in a queue and is written after the later
        # one has registered, with a higher revision. Taken, calls would be kept from an
        # upstream that serves, as the earlier start had said that it leaves.
        self.directory.put(NEW, 8, 0.0)
        for stale in (OLD, replace(OLD, draining=True)):
            self.assertFalse(self.directory.put(stale, 20, 1.0))
            self.assertFalse(self.directory.put(stale, 21, 1.0, told=True))
        self.directory.reconcile([PublishedEndpoint(OLD, 22)], 30, 1.0, trusted=True)
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_a_node_that_lags_or_wakes_late_takes_nothing_back(self):
        # A node that was suspended tells what it knew: the earlier start, and its end.
        self.directory.remove("i-1", 7, 0.0)
        self.directory.put(NEW, 8, 0.0)
        self.assertFalse(self.directory.put(OLD, 5, 9.0, told=True))
        self.directory.take_departure(Departure("i-1", FIRST, 7, True), 9.0)
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_the_later_start_is_taken_also_with_a_lower_revision(self):
        # This node read the store while a late report of the earlier start stood there.
        # Another has seen the later start before and tells it.
        self.directory.put(OLD, 20, 0.0)
        self.assertTrue(self.directory.put(NEW, 18, 1.0, told=True))
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_a_later_start_whose_end_was_seen_is_not_brought_back(self):
        # The end of an entry names no start: it ends all that was written before it.
        self.directory.remove("i-1", 12, 0.0)
        self.assertFalse(self.directory.put(NEW, 9, 1.0, told=True))
        self.assertEqual(self.serving(), [])

    def test_a_start_that_drained_is_not_brought_back_by_its_last_report(self):
        # An upstream has left. A report that it sent while it served is written only
        # now. Calls would go to an address at which nobody, or another, listens.
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.directory.remove("i-1", 7, 1.0)
        self.assertFalse(self.directory.put(OLD, 9, 2.0))
        self.assertEqual(self.serving(), [])

    def test_an_entry_that_lapsed_may_be_written_again_by_the_same_start(self):
        self.directory.remove("i-1", 7, 1.0)
        self.assertTrue(self.directory.put(OLD, 9, 2.0))

    def test_what_another_node_knew_of_the_end_counts_here_too(self):
        # This node never heard that the start drains; another did and tells the end.
        self.directory.take_departure(Departure("i-1", FIRST, 7, True), 1.0)
        self.assertFalse(self.directory.put(OLD, 9, 2.0))
        self.assertTrue(self.directory.put(NEW, 10, 2.0))

    def test_calls_to_the_start_before_may_run_at_the_later_one(self):
        # A call that was sent to the earlier start and has not run need not go back.
        self.directory.put(NEW, 8, 0.0)
        self.assertFalse(self.directory.left(OLD.incarnation))
        self.directory.put(replace(NEW, draining=True), 9, 0.0)
        self.assertTrue(self.directory.left(OLD.incarnation))
        self.assertTrue(self.directory.left(NEW.incarnation))

    def test_a_home_that_lags_does_not_turn_the_later_start_away(self):
        # The entry knows of the later start, its home only that the earlier one drains.
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.assertTrue(self.directory.left(OLD.incarnation))
        self.assertFalse(self.directory.left(NEW.incarnation))
        self.directory.remove("i-1", 7, 0.0)
        self.assertFalse(self.directory.left(NEW.incarnation))

    def test_the_latest_start_at_an_address_is_the_one_beside_a_node(self):
        # The address of an upstream that is gone was given to another; both entries
        # stand for a while. Its home would take the slots of either in turn.
        joined = replace(NEW, instance="i-9", slots=9)
        self.directory.put(joined, 9, 0.0)
        self.directory.put(replace(OLD, slots=3), 10, 0.0)
        self.assertEqual(self.directory.at("10.0.0.1", 80).slots, 9)
        self.assertIsNone(self.directory.at("10.0.0.1", 81))


class UnreadableEntryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.directory.put(OLD, 5, 0.0)
        self.directory.put(OTHER, 6, 0.0)

    def serving(self):
        return {each.instance for each in self.directory.serving("fleet")}

    def test_it_names_no_upstream_and_the_others_hold(self):
        # Somebody writes over the entry of an upstream. Nobody knows whether it may
        # still be used, so it gets no new calls; the calls that it runs go on.
        self.assertTrue(self.directory.obscure("i-1", 7))
        self.assertEqual(self.serving(), {"i-2"})
        self.assertFalse(self.directory.left(OLD.incarnation))
        self.assertEqual(self.directory.at("10.0.0.1", 80), OLD)

    def test_its_next_report_brings_it_back(self):
        self.directory.obscure("i-1", 7)
        self.assertFalse(self.directory.put(OLD, 5, 1.0, told=True))
        self.assertTrue(self.directory.put(OLD, 8, 1.0))
        self.assertEqual(self.serving(), {"i-1", "i-2"})

    def test_an_entry_that_never_could_be_read_names_nobody(self):
        self.assertFalse(self.directory.obscure("i-7", 8))
        self.assertEqual(set(self.directory.held), {"i-1", "i-2"})

    def test_in_a_whole_list_it_has_not_left(self):
        # The store is read anew. Taken for gone, the upstream's home would refuse the
        # calls that are under way to it.
        listed = [PublishedEndpoint(OTHER, 6)]
        self.directory.reconcile(listed, 9, 1.0, unreadable=[("i-1", 7)])
        self.assertEqual(self.serving(), {"i-2"})
        self.assertFalse(self.directory.left(OLD.incarnation))

    def test_its_end_is_an_end(self):
        self.directory.obscure("i-1", 7)
        self.directory.remove("i-1", 8, 1.0)
        self.assertTrue(self.directory.left(OLD.incarnation))

    def test_subscribers_are_told(self):
        count = self.directory.serial
        self.directory.obscure("i-1", 7)
        held, _ = self.directory.changed_since(count)
        told = Directory()
        for each in held:
            told.put(each.endpoint, each.revision, 1.0, True, each.readable)
        self.assertEqual(told.serving("fleet"), ())
        self.assertTrue(told.put(OLD, 8, 1.0))
        self.assertEqual(len(told.serving("fleet")), 1)


class ToldStartsTests(TestCase):
    def test_starts_and_ends_reach_the_other_node_whole(self):
        knowledge = Knowledge(
            revision=9,
            as_of=40.0,
            whole=False,
            endpoints=(
                PublishedEndpoint(NEW, 8),
                PublishedEndpoint(OTHER, 6, readable=False),
            ),
            gone=(Departure("i-3", FIRST, 7, True),),
            lapsing=(Departure("i-4", LATER, 8),),
            config=None,
        )
        self.assertEqual(unpack(pack(knowledge), 0.0), knowledge)


class PlacingOfStartsTests(TestCase):
    def test_what_was_learnt_of_the_start_before_is_not_held_against_it(self):
        # An upstream failed every call and was started again. Avoided for what the
        # start before did, it would stay idle while others are late.
        placing = Balancer("akaki")
        split = (WeightedService("fleet"),)
        route = Route("a", "x", "/a/", True, 2.0, 0.6, 1, 2, split)
        placing.record_load(OTHER.incarnation, "a", LoadReport(expected=0.1), 1.0)
        placing.record_load(
            OLD.incarnation, "a", LoadReport(expected=0.1, slowdown=9.0), 1.0
        )
        for _ in range(4):
            placing.record_failure(OLD.incarnation, 1.0)

        def choose(first):
            ends = (first, OTHER)
            return placing.choose(route, ends, lambda _: False, 1.0, 0.6).incarnation

        self.assertEqual(choose(OLD), OTHER.incarnation)
        self.assertEqual(choose(NEW), NEW.incarnation)
        placing.retain([NEW.incarnation, OTHER.incarnation])
        self.assertEqual(set(placing.stats), {NEW.incarnation, OTHER.incarnation})


class RestartingUpstream:
    """Runs calls until it is started again, which breaks them off."""

    told_load = None

    def __init__(self):
        self.ran = []
        self.gate = asyncio.Event()
        self.breaking = False
        self.forgotten = 0

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        self.ran.append(request.target)
        await self.gate.wait()
        return Unknown("connection-lost") if self.breaking else Answer(200, (), b"")

    def forget_connections(self):
        self.forgotten += 1

    def tick(self, now):
        pass


class HomeOfStartsTests(TestCase):
    def play(self, scenario):
        async def run():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            self.directory, self.upstream = Directory(), RestartingUpstream()
            self.directory.put(OLD, 5, clock.now())
            self.home = Home(self.upstream, self.directory, log)
            self.home.take_endpoint(OLD)
            self.told = []
            await scenario()

        asyncio.run(run())

    def submit(self, key, idempotent=False):
        now = clock.now()
        call = HomeCall(
            Request("POST", key, (), b""),
            OLD.incarnation, "r", 0, idempotent, now + 5, now + 30,
        )  # fmt: skip
        self.home.submit(key, call, self.told.append)

    def restart(self):
        self.upstream.breaking = True
        self.upstream.gate.set()
        self.directory.put(NEW, 8, clock.now())
        self.home.take_endpoint(NEW)

    def test_an_order_that_ran_at_the_start_before_is_not_run_again(self):
        # An order runs as its upstream crashes and starts again under its name. Told as
        # not run, its caller sends it once more, and the resin is ordered twice.
        async def scenario():
            self.submit("/order")
            await asyncio.sleep(0)
            self.restart()
            await asyncio.sleep(0.01)
            self.assertEqual(self.told, [Unknown("connection-lost")])
            self.submit("/order")
            await asyncio.sleep(0.01)
            self.assertEqual(self.told, [Unknown("connection-lost")] * 2)
            self.assertEqual(self.upstream.ran, ["/order"])

        self.play(scenario)

    def test_an_answer_of_the_start_before_is_still_given(self):
        # The link broke while the answer was on its way; the entry asks again after the
        # upstream was started anew. The call ran once and its answer is known.
        async def scenario():
            self.upstream.gate.set()
            self.submit("/order")
            await asyncio.sleep(0.01)
            self.restart()
            self.submit("/order")
            self.assertEqual([type(each) for each in self.told], [Answer, Answer])
            self.assertEqual(self.upstream.ran, ["/order"])

        self.play(scenario)

    def test_connections_speeds_and_load_of_the_start_before_are_forgotten(self):
        async def scenario():
            admission = self.home.admission
            admission.durations.begin("x", "r", 0.0)
            admission.finish("x", True, 9.0)
            self.home.take_endpoint(OLD)
            self.assertEqual(self.upstream.forgotten, 0)
            self.restart()
            self.assertEqual(self.upstream.forgotten, 1)
            self.assertTrue(admission.durations.expected("r", 9.0) < 1.0)
            self.assertEqual(self.home.incarnation, Incarnation("i-1", LATER))

        self.play(scenario)

    def test_a_call_that_waited_runs_at_the_later_start(self):
        async def scenario():
            self.home.take_slots(1)
            for key in ("/1", "/2"):
                self.submit(key)
            await asyncio.sleep(0)
            self.assertEqual(self.upstream.ran, ["/1"])
            self.restart()
            await asyncio.sleep(0.01)
            self.assertEqual(self.upstream.ran, ["/1", "/2"])

        self.play(scenario)
