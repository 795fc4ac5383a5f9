"""Tests of upstreams that restart under the same instance name."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.balancer import Balancer, LoadReport
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.model import (
    Departure,
    Endpoint,
    Incarnation,
    PublishedEndpoint,
    Route,
)
from sequoiaspoke.core.mesh.outcome import Answer, Request, Unknown
from sequoiaspoke.core.mesh.stateupdate import StateUpdate
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.wireknowledge import pack_knowledge, unpack_knowledge

# Start times of two incarnations of one upstream, in Unix milliseconds.
FIRST, LATER = 1_790_000_000_000, 1_790_000_007_500
OLD = Endpoint("i-1", "fleet", "10.0.0.1", 80, "akaki", 4, born=FIRST)
NEW = replace(OLD, born=LATER)
OTHER = Endpoint("i-2", "fleet", "10.0.0.2", 80, "bole", 4, born=FIRST)


class DirectoryIncarnationTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.directory.put(OLD, 5, 0.0)

    def serving(self):
        return [each.incarnation for each in self.directory.serving("fleet")]

    def test_an_upstream_that_drained_serves_after_a_restart(self):
        # An upstream drains, departs and starts again under its name. If the drain
        # applied to the name, it would never get a call again.
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.directory.remove("i-1", 7, 1.0)
        self.assertTrue(self.directory.put(NEW, 8, 2.0))
        self.assertEqual(self.serving(), [NEW.incarnation])
        self.assertFalse(self.directory.is_leaving(NEW.incarnation))

    def test_a_later_incarnation_replaces_one_that_drains(self):
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.assertTrue(self.directory.put(NEW, 7, 0.0))
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_a_late_report_of_an_earlier_incarnation_is_ignored(self):
        # A report of the earlier incarnation was delayed in a queue and is written
        # after the later one has registered, with a higher revision. If it were
        # applied, an upstream that serves would get no calls, as the earlier
        # incarnation drained.
        self.directory.put(NEW, 8, 0.0)
        for stale in (OLD, replace(OLD, draining=True)):
            self.assertFalse(self.directory.put(stale, 20, 1.0))
            self.assertFalse(self.directory.put(stale, 21, 1.0, from_peer=True))
        self.directory.reconcile([PublishedEndpoint(OLD, 22)], 30, 1.0, trusted=True)
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_a_lagging_node_does_not_restore_an_earlier_incarnation(self):
        # A node that was suspended sends its old state: the earlier incarnation and its
        # departure.
        self.directory.remove("i-1", 7, 0.0)
        self.directory.put(NEW, 8, 0.0)
        self.assertFalse(self.directory.put(OLD, 5, 9.0, from_peer=True))
        self.directory.apply_departure(Departure("i-1", FIRST, 7, True), 9.0)
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_a_later_incarnation_wins_with_a_lower_revision(self):
        # This node read the store while a late report of the earlier incarnation had
        # overwritten the entry. A peer has seen the later one before and sends it.
        self.directory.put(OLD, 20, 0.0)
        self.assertTrue(self.directory.put(NEW, 18, 1.0, from_peer=True))
        self.assertEqual(self.serving(), [NEW.incarnation])

    def test_a_removed_later_incarnation_is_not_restored(self):
        # A removal names no incarnation: it ends whatever was written before it.
        self.directory.remove("i-1", 12, 0.0)
        self.assertFalse(self.directory.put(NEW, 9, 1.0, from_peer=True))
        self.assertEqual(self.serving(), [])

    def test_a_drained_incarnation_is_not_restored_by_a_late_report(self):
        # An upstream has left, and a report from before its drain is written only now.
        # Calls would go to an address at which nothing, or another upstream, listens.
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.directory.remove("i-1", 7, 1.0)
        self.assertFalse(self.directory.put(OLD, 9, 2.0))
        self.assertEqual(self.serving(), [])

    def test_a_drained_upstream_without_a_start_time_is_not_restored(self):
        # Guards against a late report where each start has an instance name of its own.
        unknown = replace(OTHER, born=0)
        self.directory.put(unknown, 6, 0.0)
        self.assertTrue(self.directory.mark_draining(unknown.incarnation))
        self.directory.remove("i-2", 7, 1.0)
        self.assertFalse(self.directory.put(unknown, 9, 2.0))

    def test_a_drain_counts_whatever_the_order_of_the_reports(self):
        # Guards against a drain that is reported with an older revision.
        self.assertTrue(self.directory.put(OLD, 9, 1.0))
        self.assertTrue(self.directory.put(replace(OLD, draining=True), 7, 1.0, True))
        self.assertEqual(self.serving(), [])
        self.assertFalse(self.directory.put(OLD, 12, 1.0))

    def test_only_the_incarnation_that_leaves_is_marked(self):
        self.assertFalse(self.directory.mark_draining(NEW.incarnation))
        self.assertEqual(self.serving(), [OLD.incarnation])
        self.assertTrue(self.directory.mark_draining(OLD.incarnation))
        self.assertFalse(self.directory.mark_draining(OLD.incarnation))
        self.assertTrue(self.directory.is_draining(OLD.incarnation))

    def test_a_departed_upstream_that_was_leaving_is_not_restored(self):
        # Guards against an answer that arrives after the removal of its entry.
        self.directory.remove("i-1", 7, 1.0)
        self.assertTrue(self.directory.mark_draining(OLD.incarnation))
        self.assertFalse(self.directory.put(OLD, 9, 2.0))

    def test_a_lapsed_entry_may_be_written_again_by_its_incarnation(self):
        self.directory.remove("i-1", 7, 1.0)
        self.assertTrue(self.directory.put(OLD, 9, 2.0))

    def test_a_drain_that_a_peer_saw_counts(self):
        # This node missed the drain; a peer saw it and sends the departure.
        self.directory.apply_departure(Departure("i-1", FIRST, 7, True), 1.0)
        self.assertFalse(self.directory.put(OLD, 9, 2.0))
        self.assertTrue(self.directory.put(NEW, 10, 2.0))

    def test_calls_to_an_earlier_incarnation_may_run_at_the_later_one(self):
        # A call that was sent to the earlier incarnation and has not run need not be
        # refused.
        self.directory.put(NEW, 8, 0.0)
        self.assertFalse(self.directory.is_leaving(OLD.incarnation))
        self.directory.put(replace(NEW, draining=True), 9, 0.0)
        self.assertTrue(self.directory.is_leaving(OLD.incarnation))
        self.assertTrue(self.directory.is_leaving(NEW.incarnation))

    def test_a_lagging_home_does_not_refuse_the_later_incarnation(self):
        # The entry node knows the later incarnation, the home only that the earlier one
        # drains.
        self.directory.put(replace(OLD, draining=True), 6, 0.0)
        self.assertTrue(self.directory.is_leaving(OLD.incarnation))
        self.assertFalse(self.directory.is_leaving(NEW.incarnation))
        self.directory.remove("i-1", 7, 0.0)
        self.assertFalse(self.directory.is_leaving(NEW.incarnation))

    def test_the_latest_incarnation_at_an_address_is_found(self):
        # The address of a departed upstream was reused, and both entries exist for a
        # while. The home would alternate between the slots of the two.
        joined = replace(NEW, instance="i-9", slots=9)
        self.directory.put(joined, 9, 0.0)
        self.directory.put(replace(OLD, slots=3), 10, 0.0)
        self.assertEqual(self.directory.at_address("10.0.0.1", 80).slots, 9)
        self.assertIsNone(self.directory.at_address("10.0.0.1", 81))


class UnreadableEntryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.directory.put(OLD, 5, 0.0)
        self.directory.put(OTHER, 6, 0.0)

    def serving(self):
        return {each.instance for each in self.directory.serving("fleet")}

    def test_it_gets_no_calls_and_the_others_do(self):
        # Another writer overwrites the entry of an upstream. Whether it may still be
        # used is unknown, so it gets no new calls; the calls that it runs go on.
        self.assertTrue(self.directory.mark_unreadable("i-1", 7))
        self.assertEqual(self.serving(), {"i-2"})
        self.assertFalse(self.directory.is_leaving(OLD.incarnation))
        self.assertEqual(self.directory.at_address("10.0.0.1", 80), OLD)

    def test_its_next_report_restores_it(self):
        self.directory.mark_unreadable("i-1", 7)
        self.assertFalse(self.directory.put(OLD, 5, 1.0, from_peer=True))
        self.assertTrue(self.directory.put(OLD, 8, 1.0))
        self.assertEqual(self.serving(), {"i-1", "i-2"})

    def test_an_entry_that_was_never_readable_is_ignored(self):
        self.assertFalse(self.directory.mark_unreadable("i-7", 8))
        self.assertEqual(set(self.directory.records), {"i-1", "i-2"})

    def test_it_does_not_depart_by_a_complete_list(self):
        # The store is read completely. If the endpoint counted as departed, its home
        # would refuse the calls already sent to it.
        listed = [PublishedEndpoint(OTHER, 6)]
        self.directory.reconcile(listed, 9, 1.0, unreadable=[("i-1", 7)])
        self.assertEqual(self.serving(), {"i-2"})
        self.assertFalse(self.directory.is_leaving(OLD.incarnation))

    def test_its_removal_is_a_departure(self):
        self.directory.mark_unreadable("i-1", 7)
        self.directory.remove("i-1", 8, 1.0)
        self.assertTrue(self.directory.is_leaving(OLD.incarnation))

    def test_subscribers_learn_of_it(self):
        count = self.directory.serial
        self.directory.mark_unreadable("i-1", 7)
        records, _ = self.directory.changed_since(count)
        subscriber = Directory()
        for each in records:
            subscriber.put(each.endpoint, each.revision, 1.0, True, each.readable)
        self.assertEqual(subscriber.serving("fleet"), ())
        self.assertTrue(subscriber.put(OLD, 8, 1.0))
        self.assertEqual(len(subscriber.serving("fleet")), 1)


class PackedIncarnationTests(TestCase):
    def test_incarnations_and_departures_survive_packing(self):
        update = StateUpdate(
            revision=9,
            as_of=40.0,
            is_snapshot=False,
            endpoints=(
                PublishedEndpoint(NEW, 8),
                PublishedEndpoint(OTHER, 6, readable=False),
            ),
            departures=(Departure("i-3", FIRST, 7, True),),
            lapsing=(Departure("i-4", LATER, 8),),
            config=None,
        )
        self.assertEqual(unpack_knowledge(pack_knowledge(update), 0.0), update)


class PlacingTests(TestCase):
    def test_failures_of_an_earlier_incarnation_do_not_count(self):
        # An upstream failed every call and was restarted. If the failures still counted
        # against it, it would stay idle while others are overloaded.
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
    """Runs calls until it is restarted, which aborts them."""

    report = None

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

    def close_idle_connections(self):
        self.forgotten += 1

    def tick(self, now):
        pass


class HomeIncarnationTests(TestCase):
    def run_scenario(self, scenario):
        async def run():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            self.directory, self.upstream = Directory(), RestartingUpstream()
            self.directory.put(OLD, 5, clock.now())
            self.home = Home(self.upstream, self.directory, log)
            self.home.update_endpoint(OLD)
            self.outcomes = []
            await scenario()

        asyncio.run(run())

    def submit(self, key, idempotent=False):
        now = clock.now()
        call = HomeCall(
            Request("POST", key, (), b""),
            OLD.incarnation, "r", 0, idempotent, now + 5, now + 30,
        )  # fmt: skip
        self.home.submit(key, call, self.outcomes.append)

    def restart(self):
        self.upstream.breaking = True
        self.upstream.gate.set()
        self.directory.put(NEW, 8, clock.now())
        self.home.update_endpoint(NEW)

    def test_a_call_that_ran_at_an_earlier_incarnation_is_not_rerun(self):
        # A call that is not idempotent runs as its upstream crashes and restarts under
        # its name. If it were reported as not run, its caller would send it again, and
        # it would run twice.
        async def scenario():
            self.submit("/order")
            await asyncio.sleep(0)
            self.restart()
            await asyncio.sleep(0.01)
            self.assertEqual(self.outcomes, [Unknown("connection-lost")])
            self.submit("/order")
            await asyncio.sleep(0.01)
            self.assertEqual(self.outcomes, [Unknown("connection-lost")] * 2)
            self.assertEqual(self.upstream.ran, ["/order"])

        self.run_scenario(scenario)

    def test_an_answer_of_an_earlier_incarnation_is_returned(self):
        # The link broke before the answer arrived, and the entry sends the call again
        # after the upstream restarted. The call ran once and its answer is still known.
        async def scenario():
            self.upstream.gate.set()
            self.submit("/order")
            await asyncio.sleep(0.01)
            self.restart()
            self.submit("/order")
            self.assertEqual([type(each) for each in self.outcomes], [Answer, Answer])
            self.assertEqual(self.upstream.ran, ["/order"])

        self.run_scenario(scenario)

    def test_connections_and_durations_are_reset_on_restart(self):
        async def scenario():
            admission = self.home.admission
            admission.durations.begin("x", "r", 0.0)
            admission.finish("x", True, 9.0)
            self.home.update_endpoint(OLD)
            self.assertEqual(self.upstream.forgotten, 0)
            self.restart()
            self.assertEqual(self.upstream.forgotten, 1)
            self.assertTrue(admission.durations.expected("r", 9.0) < 1.0)
            self.assertEqual(self.home.incarnation, Incarnation("i-1", LATER))

        self.run_scenario(scenario)

    def test_a_waiting_call_runs_at_the_later_incarnation(self):
        async def scenario():
            self.home.set_slots(1)
            for key in ("/1", "/2"):
                self.submit(key)
            await asyncio.sleep(0)
            self.assertEqual(self.upstream.ran, ["/1"])
            self.restart()
            await asyncio.sleep(0.01)
            self.assertEqual(self.upstream.ran, ["/1", "/2"])

        self.run_scenario(scenario)
