"""Tests of a sidecar's decisions: routes, endpoints, retries, balancing, admission."""

import random
from collections import Counter

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import (
    QUEUE_PER_SLOT,
    Admission,
    Arrival,
    RefusalReason,
    queue_rank,
)
from sequoiaspoke.core.mesh.balancer import Balancer, LoadReport
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.durations import (
    LONGEST_WINDOW,
    STALE_SECONDS,
    UNMEASURED,
    Durations,
    MeasuredRoute,
    MeasuredRoutes,
)
from sequoiaspoke.core.mesh.lapses import LAPSE_GRACE
from sequoiaspoke.core.mesh.ledger import MAX_ANSWER_BYTES, RETENTION_SECONDS, Ledger
from sequoiaspoke.core.mesh.model import (
    Endpoint,
    Incarnation,
    MeshConfig,
    PublishedEndpoint,
    Route,
    Service,
)
from sequoiaspoke.core.mesh.outcome import NotRun
from sequoiaspoke.core.mesh.retrybudget import RetryBudget, RetryLimits
from sequoiaspoke.core.mesh.slots import FOREIGN_HALF_LIFE, Load
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.core.routing.split import Splitter
from sequoiaspoke.core.rules.weights import WeightedService

SPLIT = (WeightedService("fleet"),)


def route(prefix="/a/", name="a", host="x.example", **fields):
    given = {"idempotent": True, "timeout": 2.0, "objective": 0.6, "priority": 1}
    given |= {"attempts": 2, "split": SPLIT} | fields
    return Route(name=name, host=host, prefix=prefix, **given)


def endpoint(instance, zone="akaki", service="fleet", slots=4, **fields):
    return Endpoint(instance, service, f"10.0.0.{instance}", 80, zone, slots, **fields)


class RouteTableTests(TestCase):
    def table(self, *routes):
        return RouteTable(MeshConfig(1, routes, {"fleet": Service("fleet")}))

    def test_the_longest_matching_prefix_wins(self):
        short, long = route("/a/", "short"), route("/a/b/", "long")
        other = route("/a/b/c/", "other", host="y.example")
        table = self.table(short, long, other)
        self.assertEqual(table.match("x.example", "/a/b/c/d").name, "long")
        self.assertEqual(table.match("x.example", "/a/c").name, "short")
        self.assertIsNone(table.match("x.example", "/b/"))
        self.assertIsNone(table.match("z.example", "/a/"))

    def test_port_case_and_query_are_ignored(self):
        table = self.table(route("/a/"))
        self.assertIsNotNone(table.match("X.Example:8080", "/a/?q=/b/"))
        self.assertIsNone(table.match("x.example", "/c?next=/a/"))

    def test_a_prefix_ends_at_a_slash(self):
        self.assertIsNone(self.table(route("/a/")).match("x.example", "/ab"))


class DirectoryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.directory.put(endpoint("1"), 5, 0.0)
        self.directory.put(endpoint("2"), 6, 0.0)

    def serving(self):
        return {each.instance for each in self.directory.serving("fleet")}

    def test_an_entry_missing_from_a_healthy_store_is_removed_at_once(self):
        self.assertTrue(self.directory.remove("1", 7, 1.0))
        self.assertEqual(self.serving(), {"2"})
        self.assertTrue(self.directory.is_leaving(Incarnation("1")))

    def test_entries_that_lapse_in_an_outage_are_kept(self):
        # During an outage of the store upstreams cannot renew their entries, which
        # expire. If the empty list after the outage were applied, all calls would be
        # refused although the upstreams still serve.
        self.directory.lapses.store_lost()
        self.directory.lapses.store_reached(10.0)
        self.directory.reconcile([], 9, 10.0)
        self.assertEqual(self.serving(), {"1", "2"})
        self.directory.put(endpoint("1"), 10, 11.0)
        self.assertEqual(self.directory.expire(10.0 + LAPSE_GRACE), ["2"])
        self.assertEqual(self.serving(), {"1"})

    def test_a_draining_upstream_is_not_kept_in_an_outage(self):
        self.directory.put(endpoint("1", draining=True), 7, 0.0)
        self.directory.lapses.store_lost()
        self.directory.remove("1", 8, 1.0)
        self.assertEqual(self.serving(), {"2"})

    def test_outdated_updates_are_ignored(self):
        # A lagging node reports an upstream that has since begun to drain or has left.
        # Calls would be sent to it, and its address may belong to another service now.
        self.directory.put(endpoint("1", draining=True), 7, 0.0)
        self.assertFalse(self.directory.put(endpoint("1"), 8, 0.0))
        self.directory.remove("2", 9, 0.0)
        self.assertFalse(self.directory.put(endpoint("2"), 6, 0.0))
        self.assertEqual(self.serving(), set())

    def test_a_trusted_list_removes_entries_in_an_outage(self):
        self.directory.lapses.store_lost()
        self.directory.reconcile(
            [PublishedEndpoint(endpoint("1"), 5)], 9, 1.0, trusted=True
        )
        self.assertEqual(self.serving(), {"1"})


class RetryBudgetTests(TestCase):
    def test_all_nodes_together_stay_within_the_limit(self):
        # All calls to a service fail, so that each node spends its whole budget.
        limits = RetryLimits(ratio=0.2, slack=56, window=10)
        nodes = [RetryBudget(limits) for _ in range(12)]
        rng = random.Random(1)
        sent = firsts = 0
        for step in range(2000):
            node = rng.choice(nodes)
            node.record_first(step / 200)
            firsts += 1
            sent += node.spend(12, step / 200)
        self.assertTrue(0 < sent <= 0.2 * firsts + 56)

    def test_the_budget_is_restored_after_the_window(self):
        budget = RetryBudget(RetryLimits(ratio=0, slack=10, window=10))
        while budget.spend(1, 0.0):
            pass
        self.assertFalse(budget.spend(1, 9.0))
        self.assertTrue(budget.spend(1, 10.1))


class BalancerTests(TestCase):
    def setUp(self):
        super().setUp()
        self.balancer = Balancer("akaki")
        self.near, self.far = endpoint("1"), endpoint("2", zone="bole")
        self.route = route()

    def choose(self, now=1.0, left=0.6):
        chosen = self.balancer.choose(
            self.route, (self.near, self.far), lambda _: False, now, left
        )
        return chosen.instance

    def report(self, instance, now=1.0, **values):
        self.balancer.record_load(Incarnation(instance), "a", LoadReport(**values), now)

    def test_the_local_zone_is_preferred_while_it_is_on_time(self):
        self.report("1", expected=0.2)
        self.report("2", expected=0.1)
        self.assertEqual(self.choose(), "1")

    def test_another_zone_is_chosen_if_the_local_one_would_be_late(self):
        self.report("1", expected=0.55)
        self.report("2", expected=0.2)
        self.assertEqual(self.choose(), "2")

    def test_large_answers_leave_the_zone_later_than_small_ones(self):
        # Traffic between zones is charged: a small gain of on-time answers is worth
        # sending a short call to another zone, but not one of several kilobytes.
        self.report("1", expected=0.36)
        self.report("2", expected=0.2)
        self.balancer.record_answer("a", Incarnation("1"), 0.3, 500)
        self.assertEqual(self.choose(), "2")
        self.balancer.mean_bytes["a"] = 6000
        self.assertEqual(self.choose(), "1")

    def test_a_new_upstream_gets_a_first_call(self):
        # A new upstream is assumed to take the mean time. A node whose current choice
        # is faster would never send it a call, and its slots would stay empty.
        joined = endpoint("3")
        self.report("1", expected=0.1)
        self.report("2", expected=0.1)
        self.balancer.record_answer("a", Incarnation("1"), 0.3, 500)
        endpoints = (self.near, self.far, joined)
        chosen = self.balancer.choose(self.route, endpoints, lambda _: False, 1.0, 0.6)
        self.assertEqual(chosen.instance, "3")
        self.balancer.begin(Incarnation("3"))
        chosen = self.balancer.choose(self.route, endpoints, lambda _: False, 1.0, 0.6)
        self.assertEqual(chosen.instance, "1")

    def test_a_reported_slowdown_moves_calls_away(self):
        # An upstream becomes twelve times slower. No call has been answered yet, so the
        # durations show nothing, and further calls sent there would fail.
        self.report("1", expected=0.2, slowdown=4.0)
        self.report("2", expected=0.2)
        self.assertEqual(self.choose(), "2")
        self.assertEqual(self.choose(now=9.0), "1")

    def test_a_failing_upstream_is_avoided_for_a_while(self):
        # An upstream refuses every second call while its health check passes. It has
        # the most free slots and would get most of the calls.
        self.report("1", expected=0.2)
        self.report("2", expected=0.25)
        for _ in range(4):
            self.balancer.record_failure(Incarnation("1"), 1.0)
        self.assertEqual(self.choose(), "2")
        self.assertEqual(self.choose(now=12.0), "1")

    def test_a_reported_queue_moves_calls_away(self):
        self.report("1", expected=0.2, wait=0.6)
        self.report("2", expected=0.2)
        self.assertEqual(self.choose(), "2")


class SplitTests(TestCase):
    def test_a_short_run_follows_the_weights(self):
        split = (WeightedService("a", 90), WeightedService("b", 10))
        splitter = Splitter(random.Random(1))
        chosen = [splitter.choose("r", split, "") for _ in range(200)]
        self.assertEqual(chosen.count("b"), 20)


class DurationsTests(TestCase):
    def test_a_high_estimate_decays(self):
        # An upstream was slow, got no calls, and has recovered. With a constant
        # estimate it would never get a call that shows the recovery.
        durations = Durations()
        durations.begin(1, "a", 0.0)
        durations.end(1, True, 3.0)
        self.assertEqual(durations.expected("a", 3.0), 3.0)
        self.assertTrue(durations.expected("a", 3.0 + 4 * STALE_SECONDS) < 0.5)

    def test_the_longest_call_is_remembered(self):
        # The mean of many short calls hides it.
        durations = Durations()

        def call(route, seconds, now):
            durations.begin(1, route, now - seconds)
            durations.end(1, True, now)

        call("a", 5.0, 10.0)
        for number in range(50):
            call("a", 0.1, 11.0 + number)
        self.assertEqual(durations.longest("a", 61.0), 5.0)
        # Nothing better is known of a route whose calls were not measured.
        self.assertEqual(durations.longest("b", 61.0), 5.0)
        self.assertEqual(durations.measured_for("a", 61.0), 56.0)
        self.assertEqual(durations.measured_for("b", 61.0), 0.0)
        # A route without calls keeps it, one with shorter calls forgets it.
        self.assertEqual(durations.longest("a", 1000.0), 5.0)
        call("a", 0.1, 1000.0)
        call("a", 0.1, 1001.0 + LONGEST_WINDOW)
        self.assertTrue(durations.longest("a", 1001.0 + LONGEST_WINDOW) < 1.0)

    def test_what_was_measured_of_a_route_is_told(self):
        routes = MeasuredRoutes()
        self.assertEqual(routes.of("a", 10.0), UNMEASURED)
        for seconds, now in ((1.0, 10.0), (3.0, 12.0), (2.0, 14.0)):
            routes.record("a", seconds, now)
        self.assertEqual(routes.of("a", 15.0), MeasuredRoute(3.0, 6.0))
        self.assertEqual(routes.of("b", 15.0), UNMEASURED)

    def test_a_call_that_still_runs_tells_how_long_others_may_take(self):
        # Only short ones had ended. A stopping home took more of the long ones, and its
        # exit broke them off.
        durations = Durations()
        for ticket in ("first", "second"):
            durations.begin(ticket, "a", 10.0)
        for number in range(50):
            durations.begin(number, "a", 10.5)
            durations.end(number, True, 10.6)
        self.assertEqual(durations.longest("a", 13.0), 3.0)
        durations.end("first", False, 13.0)
        self.assertEqual(durations.longest("a", 14.0), 4.0)
        # Nothing is known of one that was broken off.
        durations.end("second", False, 14.0)
        self.assertTrue(durations.longest("a", 14.0) < 1.0)

    def test_a_slowdown_shows_before_the_first_late_answer(self):
        durations = Durations()
        durations.begin(1, "a", 0.0)
        durations.end(1, True, 0.2)
        durations.begin(2, "a", 1.0)
        self.assertEqual(durations.slowdown(1.1), 1.0)
        self.assertTrue(durations.slowdown(1.8) > 3)


class AdmissionTests(TestCase):
    def setUp(self):
        super().setUp()
        self.admission = Admission(2)
        self.tickets = 0

    def arrive(self, rank=1, on_time=1.0, deadline=5.0, now=0.0):
        self.tickets += 1
        arrival = Arrival(self.tickets, "a", rank, on_time, deadline)
        return self.admission.arrive(arrival, now)

    def run_next(self, now=0.0):
        arrival, _ = self.admission.next(now)
        return arrival.ticket if arrival else None

    def measure(self, seconds):
        for ticket in ("m1", "m2"):
            self.admission.durations.begin(ticket, "a", 0.0)
            self.admission.finish(ticket, True, seconds)

    def test_no_more_run_than_there_are_slots(self):
        for _ in range(4):
            self.assertIsNone(self.arrive())
        self.assertEqual([self.run_next() for _ in range(3)], [1, 2, None])
        self.admission.finish(1, True, 0.1)
        self.assertEqual(self.run_next(), 3)

    def test_calls_of_a_previous_process_occupy_slots(self):
        # A node is killed and restarted. Its upstream still runs the calls of the
        # previous process and refuses further calls.
        self.admission = Admission(4)
        for _ in range(4):
            self.arrive()
        self.run_next()
        self.admission.record_answer(Load(4, 0), 0.0)
        self.assertEqual([self.run_next(), self.run_next()], [2, None])
        self.assertEqual(self.run_next(FOREIGN_HALF_LIFE), 3)

    def test_one_call_is_sent_to_a_full_upstream(self):
        self.arrive()
        self.admission.record_answer(Load(9, 0), 0.0)
        self.assertEqual(self.run_next(), 1)

    def test_urgent_calls_go_first(self):
        for rank in (2, 2, 2, 0):
            self.arrive(rank=rank)
        self.assertEqual(self.run_next(), 4)

    def test_a_call_that_cannot_meet_its_deadline_is_refused(self):
        self.measure(1.0)
        for _ in range(6):
            self.arrive(on_time=99, deadline=99)
        self.run_next()
        refused = self.arrive(deadline=1.5)
        self.assertEqual(refused.reason, RefusalReason.NO_TIME)
        self.assertTrue(refused.retry_after > 1.0)

    def test_under_overload_calls_that_can_be_on_time_go_first(self):
        # Calls arrive twice as fast as they are served. In order of arrival each waits
        # for the whole queue, and nearly all answers are late although half of the
        # calls could be answered on time.
        self.measure(0.2)
        on_time = 0
        now, running, arrivals = 0.0, {}, {}
        for step in range(400):
            now = step * 0.05
            for ticket in [t for t, end in running.items() if end <= now]:
                del running[ticket]
                self.admission.finish(ticket, True, now)
                on_time += now <= arrivals[ticket] + 0.6
            self.arrive(on_time=now + 0.6, deadline=now + 4, now=now)
            arrivals[self.tickets] = now
            while (ticket := self.run_next(now)) is not None:
                running[ticket] = now + 0.2
        # At most 200 of the 400 calls can be served; in order of arrival, about 10
        # would be on time.
        self.assertTrue(on_time > 170, on_time)
        self.assertTrue(self.admission.waiting <= 6)

    def simulate_billing(self, nested):
        """Return the shares of lookups and charges served under overload."""
        self.admission = Admission(4)
        seconds = {"charge": 0.15, "look": 0.055}
        ranks = {"charge": queue_rank(0, False), "look": queue_rank(1, nested)}
        submitted, served = Counter(), Counter()
        running = {}
        for step in range(4000):
            now = step * 0.005
            for ticket in [t for t, end in running.items() if end <= now]:
                del running[ticket]
                self.admission.finish(ticket, True, now)
                served[ticket[0]] += 1
            # The charges alone fill all slots; the lookups need a third of them.
            for kind, every in (("charge", 7), ("look", 7)):
                if step % every == 0:
                    submitted[kind] += 1
                    arrival = Arrival(
                        (kind, step), kind, ranks[kind], now + 0.5, now + 0.6
                    )
                    self.admission.arrive(arrival, now)
            while True:
                arrival, _ = self.admission.next(now)
                if arrival is None:
                    break
                running[arrival.ticket] = now + seconds[arrival.route]
        return {kind: served[kind] / submitted[kind] for kind in submitted}

    def test_urgent_calls_do_not_starve_nested_ones(self):
        # A service has too few slots even for its urgent charges. Nested lookups would
        # wait behind them until their deadline, and each would fail a booking elsewhere
        # that is half done and takes twice the work of a charge.
        before, after = self.simulate_billing(False), self.simulate_billing(True)
        self.assertTrue(before["look"] < 0.3, before)
        self.assertTrue(after["look"] > 0.95, after)
        # The lookups leave slots for 57 of 100 charges.
        self.assertTrue(after["charge"] > 0.54, after)

    def test_an_urgent_call_replaces_one_in_a_full_queue(self):
        # Low-priority calls fill the queue of an overloaded upstream. If a short nested
        # call were refused for them, its whole parent call would fail.
        for _ in range(2 * QUEUE_PER_SLOT):
            self.assertIsNone(self.arrive(rank=2, deadline=99))
        refused = self.arrive(rank=1, deadline=99)
        self.assertEqual(refused.arrival.rank, 2)
        self.assertEqual(self.admission.waiting, 2 * QUEUE_PER_SLOT)
        self.assertEqual(self.run_next(), self.tickets)
        self.arrive(rank=2, deadline=99)
        refused = self.arrive(rank=2, deadline=99)
        self.assertEqual(refused.arrival.ticket, self.tickets)

    def test_queued_low_priority_calls_do_not_delay_an_urgent_one(self):
        # Low-priority calls wait for an overloaded upstream. A nested call would be a
        # little late; if it were refused because of them, its parent call would fail.
        self.measure(0.2)
        for _ in range(2 * self.admission.slots):
            self.arrive(rank=2, on_time=99, deadline=99)
        self.assertIsNone(self.arrive(rank=1, on_time=0.01, deadline=5))

    def test_queued_calls_are_refused_before_their_deadline(self):
        self.measure(0.4)
        for _ in range(3):
            self.arrive(deadline=1.0)
        self.run_next()
        self.run_next()
        self.assertEqual(self.admission.drop_overdue(0.7), [])
        (refused,) = self.admission.drop_overdue(0.85)
        self.assertEqual(refused.arrival.ticket, 3)
        self.assertEqual(self.admission.waiting, 0)


class LedgerTests(TestCase):
    def test_a_call_is_kept_while_it_may_be_resent(self):
        ledger = Ledger()
        ledger.begin("k")
        ledger.finish("k", "answer", 10, 1.0)
        ledger.expire(1.0 + RETENTION_SECONDS - 1)
        self.assertEqual(ledger.find("k").outcome, "answer")
        ledger.expire(1.0 + RETENTION_SECONDS)
        self.assertIsNone(ledger.find("k"))

    def test_large_answers_are_dropped_but_their_calls_are_kept(self):
        # Answers are kept for entries whose links broke. Large ones would exhaust the
        # node's memory, but without the records of their calls these could run twice.
        ledger = Ledger()
        for number in range(4):
            ledger.begin(number)
            ledger.finish(number, "answer", MAX_ANSWER_BYTES // 2, 1.0)
        self.assertIsNone(ledger.find(0).outcome)
        self.assertEqual(ledger.find(3).outcome, "answer")
        self.assertTrue(ledger.bytes <= MAX_ANSWER_BYTES)

    def test_an_outcome_not_run_is_kept_when_large_answers_are_dropped(self):
        # An entry whose link broke asked again for a refused call and was told that the
        # call may have run.
        ledger = Ledger()
        ledger.begin("refused")
        ledger.finish("refused", NotRun("busy"), 0, 1.0)
        for number in range(4):
            ledger.begin(number)
            ledger.finish(number, "answer", MAX_ANSWER_BYTES // 2, 1.0)
        self.assertEqual(ledger.find("refused").outcome, NotRun("busy"))
