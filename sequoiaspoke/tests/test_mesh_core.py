"""Tests of a sidecar's decisions: routes, endpoints, repeats, placing, admission."""

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
from sequoiaspoke.core.mesh.durations import STALE_SECONDS, Durations
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

    def test_the_longest_prefix_of_the_host_decides(self):
        short, long = route("/a/", "short"), route("/a/b/", "long")
        other = route("/a/b/c/", "other", host="y.example")
        table = self.table(short, long, other)
        self.assertEqual(table.match("x.example", "/a/b/c/d").name, "long")
        self.assertEqual(table.match("x.example", "/a/c").name, "short")
        self.assertIsNone(table.match("x.example", "/b/"))
        self.assertIsNone(table.match("z.example", "/a/"))

    def test_port_case_and_query_of_a_request_do_not_matter(self):
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

    def test_an_entry_that_vanishes_from_a_healthy_store_is_gone_at_once(self):
        self.assertTrue(self.directory.remove("1", 7, 1.0))
        self.assertEqual(self.serving(), {"2"})
        self.assertTrue(self.directory.left(Incarnation("1")))

    def test_entries_that_lapse_in_an_outage_stay_until_after_it(self):
        # The store is away, upstreams cannot report, and their entries run out. On its
        # return the store lists none. Taken at its word, every call would be refused
        # although all upstreams serve.
        self.directory.lapses.lost_store()
        self.directory.lapses.reached_store(10.0)
        self.directory.reconcile([], 9, 10.0)
        self.assertEqual(self.serving(), {"1", "2"})
        self.directory.put(endpoint("1"), 10, 11.0)
        self.assertEqual(self.directory.expire(10.0 + LAPSE_GRACE), ["2"])
        self.assertEqual(self.serving(), {"1"})

    def test_an_upstream_known_to_leave_does_not_stay_through_an_outage(self):
        self.directory.put(endpoint("1", draining=True), 7, 0.0)
        self.directory.lapses.lost_store()
        self.directory.remove("1", 8, 1.0)
        self.assertEqual(self.serving(), {"2"})

    def test_late_news_brings_nothing_back(self):
        # A node that lags tells of an upstream that drains or has left. Taken, callers
        # would be sent to it, and at its address may be another service by now.
        self.directory.put(endpoint("1", draining=True), 7, 0.0)
        self.assertFalse(self.directory.put(endpoint("1"), 8, 0.0))
        self.directory.remove("2", 9, 0.0)
        self.assertFalse(self.directory.put(endpoint("2"), 6, 0.0))
        self.assertEqual(self.serving(), set())

    def test_another_nodes_healthy_view_removes_at_once(self):
        self.directory.lapses.lost_store()
        self.directory.reconcile(
            [PublishedEndpoint(endpoint("1"), 5)], 9, 1.0, trusted=True
        )
        self.assertEqual(self.serving(), {"1"})


class RetryBudgetTests(TestCase):
    def test_all_nodes_together_stay_within_the_allowance(self):
        # A service that fails every call makes each node repeat all it may.
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

    def test_room_returns_when_the_window_has_passed(self):
        budget = RetryBudget(RetryLimits(ratio=0, slack=10, window=10))
        while budget.spend(1, 0.0):
            pass
        self.assertFalse(budget.spend(1, 9.0))
        self.assertTrue(budget.spend(1, 10.1))


class BalancerTests(TestCase):
    def setUp(self):
        super().setUp()
        self.placing = Balancer("akaki")
        self.near, self.far = endpoint("1"), endpoint("2", zone="bole")
        self.route = route()

    def choose(self, now=1.0, left=0.6):
        chosen = self.placing.choose(
            self.route, (self.near, self.far), lambda _: False, now, left
        )
        return chosen.instance

    def report(self, instance, now=1.0, **news):
        self.placing.record_load(Incarnation(instance), "a", LoadReport(**news), now)

    def test_the_own_zone_is_preferred_while_it_answers_in_time(self):
        self.report("1", expected=0.2)
        self.report("2", expected=0.1)
        self.assertEqual(self.choose(), "1")

    def test_another_zone_is_taken_when_the_own_would_be_late(self):
        self.report("1", expected=0.55)
        self.report("2", expected=0.2)
        self.assertEqual(self.choose(), "2")

    def test_large_answers_stay_in_the_zone_longer_than_small_ones(self):
        # Bytes between zones are paid for. A page of many kilobytes is not worth
        # sending away for a few answers more on time; a short call is.
        self.report("1", expected=0.36)
        self.report("2", expected=0.2)
        self.placing.record_answer("a", Incarnation("1"), 0.3, 500)
        self.assertEqual(self.choose(), "2")
        self.placing.mean_bytes["a"] = 6000
        self.assertEqual(self.choose(), "1")

    def test_an_upstream_that_has_joined_gets_a_first_call(self):
        # A new upstream is expected to take the usual time. A node whose choice is
        # faster would never send it a call, and its slots stay empty.
        joined = endpoint("3")
        self.report("1", expected=0.1)
        self.report("2", expected=0.1)
        self.placing.record_answer("a", Incarnation("1"), 0.3, 500)
        endpoints = (self.near, self.far, joined)
        chosen = self.placing.choose(self.route, endpoints, lambda _: False, 1.0, 0.6)
        self.assertEqual(chosen.instance, "3")
        self.placing.begin(Incarnation("3"))
        chosen = self.placing.choose(self.route, endpoints, lambda _: False, 1.0, 0.6)
        self.assertEqual(chosen.instance, "1")

    def test_calls_that_last_too_long_tell_of_a_slow_upstream(self):
        # An upstream turns twelve times slower. None of its calls has been answered
        # yet, so nothing was measured; those that go on being sent there all fail.
        self.report("1", expected=0.2, slowdown=4.0)
        self.report("2", expected=0.2)
        self.assertEqual(self.choose(), "2")
        self.assertEqual(self.choose(now=9.0), "1")

    def test_an_upstream_that_fails_is_avoided_for_a_while(self):
        # One upstream turns away every second call while its health check passes. It
        # has the most room of all and would get the most calls.
        self.report("1", expected=0.2)
        self.report("2", expected=0.25)
        for _ in range(4):
            self.placing.record_failure(Incarnation("1"), 1.0)
        self.assertEqual(self.choose(), "2")
        self.assertEqual(self.choose(now=12.0), "1")

    def test_a_full_home_sends_calls_elsewhere(self):
        self.report("1", expected=0.2, wait=0.6)
        self.report("2", expected=0.2)
        self.assertEqual(self.choose(), "2")


class SplitTests(TestCase):
    def test_parts_follow_their_weights_in_a_short_run(self):
        split = (WeightedService("a", 90), WeightedService("b", 10))
        splitter = Splitter(random.Random(1))
        chosen = [splitter.choose("r", split, "") for _ in range(200)]
        self.assertEqual(chosen.count("b"), 20)


class DurationsTests(TestCase):
    def test_a_slow_phase_is_forgotten(self):
        # An upstream was slow, calls were kept away, and it recovers. Were its old
        # figure kept, it would never get a call to show that.
        durations = Durations()
        durations.begin(1, "a", 0.0)
        durations.end(1, True, 3.0)
        self.assertEqual(durations.expected("a", 3.0), 3.0)
        self.assertTrue(durations.expected("a", 3.0 + 4 * STALE_SECONDS) < 0.5)

    def test_strain_shows_before_the_first_late_answer(self):
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

    def test_calls_of_a_process_before_take_slots_too(self):
        # A node is killed and starts again. Its upstream still runs the calls of the
        # process before, and turns away what comes beside them.
        self.admission = Admission(4)
        for _ in range(4):
            self.arrive()
        self.run_next()
        self.admission.record_answer(Load(4, 0), 0.0)
        self.assertEqual([self.run_next(), self.run_next()], [2, None])
        self.assertEqual(self.run_next(FOREIGN_HALF_LIFE), 3)

    def test_one_call_tells_whether_a_full_upstream_has_room_again(self):
        self.arrive()
        self.admission.record_answer(Load(9, 0), 0.0)
        self.assertEqual(self.run_next(), 1)

    def test_the_urgent_go_first(self):
        for rank in (2, 2, 2, 0):
            self.arrive(rank=rank)
        self.assertEqual(self.run_next(), 4)

    def test_a_call_that_cannot_end_in_time_is_refused_with_a_time(self):
        self.measure(1.0)
        for _ in range(6):
            self.arrive(on_time=99, deadline=99)
        self.run_next()
        refused = self.arrive(deadline=1.5)
        self.assertEqual(refused.reason, RefusalReason.NO_TIME)
        self.assertTrue(refused.retry_after > 1.0)

    def test_under_overload_calls_that_can_be_on_time_go_first(self):
        # Calls come twice as fast as they are served. In order of arrival each waits
        # the whole queue's length, and every answer is late although half of the
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
        # Half of 400 calls fit; in order of arrival 10 were on time, now 188 are.
        self.assertTrue(on_time > 170, on_time)
        self.assertTrue(self.admission.waiting <= 6)

    def simulate_billing(self, nested):
        """Return the share of look-ups and of charges served under an overload."""
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
            # Charges fill the slots by themselves, look-ups need a third of them.
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

    def test_nested_calls_are_not_starved_by_urgent_ones(self):
        # A service is short of slots for the urgent charges alone. The look-ups that
        # bookings need there wait behind them until it is too late, and each fails a
        # booking of twice a charge's work that is half done elsewhere.
        before, after = self.simulate_billing(False), self.simulate_billing(True)
        self.assertTrue(before["look"] < 0.3, before)
        self.assertTrue(after["look"] > 0.95, after)
        # Of the slots they leave room for 57 charges in 100.
        self.assertTrue(after["charge"] > 0.54, after)

    def test_a_queue_full_of_patient_calls_has_room_for_an_urgent_one(self):
        # Archive pages fill the queue of an overloaded upstream. The short call that
        # an order needs from it is refused, and the whole order fails.
        for _ in range(2 * QUEUE_PER_SLOT):
            self.assertIsNone(self.arrive(rank=2, deadline=99))
        refused = self.arrive(rank=1, deadline=99)
        self.assertEqual(refused.arrival.rank, 2)
        self.assertEqual(self.admission.waiting, 2 * QUEUE_PER_SLOT)
        self.assertEqual(self.run_next(), self.tickets)
        self.arrive(rank=2, deadline=99)
        refused = self.arrive(rank=2, deadline=99)
        self.assertEqual(refused.arrival.ticket, self.tickets)

    def test_patient_calls_that_wait_make_no_urgent_one_late(self):
        # Pages wait for an overloaded upstream. A short call that an order needs would
        # be a little late; refused for the pages that wait, the order fails.
        self.measure(0.2)
        for _ in range(2 * self.admission.slots):
            self.arrive(rank=2, on_time=99, deadline=99)
        self.assertIsNone(self.arrive(rank=1, on_time=0.01, deadline=5))

    def test_waiting_calls_are_given_up_while_their_callers_can_still_go_on(self):
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
    def test_a_call_is_known_while_it_may_be_asked_for_again(self):
        ledger = Ledger()
        ledger.begin("k")
        ledger.finish("k", "answer", 10, 1.0)
        ledger.expire(1.0 + RETENTION_SECONDS - 1)
        self.assertEqual(ledger.find("k").outcome, "answer")
        ledger.expire(1.0 + RETENTION_SECONDS)
        self.assertIsNone(ledger.find("k"))

    def test_large_answers_are_dropped_but_not_that_they_were_given(self):
        # Answers of many megabytes are kept for callers whose links broke. The node
        # would be killed for its memory; forgetting the calls would run them twice.
        ledger = Ledger()
        for number in range(4):
            ledger.begin(number)
            ledger.finish(number, "answer", MAX_ANSWER_BYTES // 2, 1.0)
        self.assertIsNone(ledger.find(0).outcome)
        self.assertEqual(ledger.find(3).outcome, "answer")
        self.assertTrue(ledger.bytes <= MAX_ANSWER_BYTES)
