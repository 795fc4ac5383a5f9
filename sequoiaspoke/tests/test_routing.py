"""Tests of target choice, retries, deadlines, splits and ejection."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sequoiaspoke.core.routing.deadline import enter
from sequoiaspoke.core.routing.model import (
    ChoiceReason,
    LoadReport,
    Outcome,
    RouteContext,
    UpstreamState,
)
from sequoiaspoke.core.routing.policies import make_balancer
from sequoiaspoke.core.routing.retry import (
    GiveUp,
    GiveUpReason,
    Retry,
    RetryPolicy,
    RetryReason,
)
from sequoiaspoke.core.routing.settings import RoutingSettings
from sequoiaspoke.core.routing.split import Splitter
from sequoiaspoke.core.rules.model import CallPolicy, Endpoint
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.errors import (
    ConnectError,
    ConnectionLostError,
    DeadlineNotRunError,
    NoTargetError,
    OverloadedError,
    RefusedByRuleError,
    TooDeepError,
)

SETTINGS = RoutingSettings()
NONE = frozenset()


def endpoints(*zones):
    return tuple(
        Endpoint(f"t{n}", f"vm{n}", zone, "127.0.0.1", 1000 + n)
        for n, zone in enumerate(zones)
    )


class BalancerCase(TestCase):
    def setUp(self):
        super().setUp()
        self.balancer = make_balancer(SETTINGS, "bole", Random(1))

    def choose(self, ends, now=0.0, key="", may_probe=False, exclude=NONE):
        context = RouteContext(key, may_probe)
        return self.balancer.choose("fleet", ends, context, exclude, now)

    def spread(self, ends, calls, now=0.0, **how):
        return Counter(
            self.choose(ends, now, **how).endpoint.target for _ in range(calls)
        )

    def fail(self, target, times, now):
        for _ in range(times):
            self.balancer.started(target, now)
            self.balancer.finished(target, Outcome.FAILED, 0.1, now)

    def hold(self, target, calls):
        for _ in range(calls):
            self.balancer.started(target, 0.0)


class PowerOfTwoTests(BalancerCase):
    def test_a_slow_target_that_holds_its_calls_gets_fewer(self):
        ends = endpoints("bole", "bole", "bole")
        self.hold("t0", 6)
        self.assertNotIn("t0", self.spread(ends, 100))

    def test_calls_leave_a_busy_zone_in_proportion_to_its_use(self):
        """The node's own zone fills up while another one is idle.

        With a single threshold all calls would leave and return at once, and the
        latency would oscillate. The share that leaves grows with the utilisation.
        """
        ends = endpoints("bole", "akaki")
        away = []
        for held in (5, 2, 2):
            self.hold("t0", held)
            away.append(self.spread(ends, 400)["t1"])
        self.assertTrue(0 < away[0] <= 12, away)  # the minimum share
        self.assertTrue(0 < away[1] <= 12, away)  # seven of ten slots
        self.assertTrue(200 < away[2] < 340, away)

    def test_calls_leave_a_zone_that_answers_slowly(self):
        """The only target of the own zone answers late but is not busy.

        By utilisation alone all calls would stay in the zone and be late.
        """
        ends = endpoints("bole", "akaki")
        for target, latency in (("t0", 0.5), ("t1", 0.05)):
            self.balancer.started(target, 0.0)
            self.balancer.finished(target, Outcome.ANSWERED, latency, 0.0)
        away = self.spread(ends, 400, now=1.0)["t1"]
        self.assertTrue(320 < away < 400, away)

    def test_an_old_report_loses_its_weight(self):
        """A report that a target is full is ten seconds old.

        At full weight it would make every node avoid a target that is idle by
        now and overload the others.
        """
        ends = endpoints("bole", "bole")
        self.balancer.report("t0", LoadReport(10), 0.0)
        self.balancer.report("t1", LoadReport(0), 0.0)
        self.assertEqual(0, self.spread(ends, 100, now=0.1)["t0"])
        self.balancer.report("t1", LoadReport(3), 12.0)
        others = self.balancer.load.estimate_other_calls(ends, 12.0)
        self.assertTrue(others["t0"] < 4, others)

    def test_a_target_that_refuses_fast_does_not_look_idle(self):
        ends = endpoints("bole", "bole")
        self.hold("t1", 3)
        self.balancer.started("t0", 0.0)
        self.balancer.finished("t0", Outcome.REFUSED, 0.001, 0.0)
        self.assertEqual(0, self.spread(ends, 50, now=0.1)["t0"])
        self.assertEqual(50, self.spread(ends, 50, now=1.0)["t0"])

    def test_fast_answers_do_not_hide_a_target_that_refuses(self):
        """An overloaded target answers its newest calls fast and refuses others.

        By the latency of its answers alone it would get even more calls.
        """
        ends = endpoints("bole", "bole")
        for target, latency in (("t0", 0.01), ("t1", 0.05)):
            self.balancer.started(target, 0.0)
            self.balancer.finished(target, Outcome.ANSWERED, latency, 0.0)
        self.balancer.started("t0", 0.0)
        self.balancer.finished("t0", Outcome.REFUSED, 0.001, 0.0)
        self.hold("t1", 6)
        self.assertEqual(0, self.spread(ends, 50, now=0.1)["t0"])

    def test_a_joined_target_gets_its_share_step_by_step(self):
        self.spread(endpoints("bole", "bole"), 1)
        ends = endpoints("bole", "bole", "bole")
        early = self.spread(ends, 900, now=0.0)["t2"]
        late = self.spread(ends, 900, now=20.0)["t2"]
        self.assertTrue(20 < early < 90 < 200 < late, (early, late))

    def test_a_down_target_is_avoided_while_its_report_is_valid(self):
        ends = endpoints("bole", "bole")
        self.balancer.report("t0", LoadReport(0, state=UpstreamState.DOWN), 0.0)
        self.assertEqual(0, self.spread(ends, 50, now=2.0)["t0"])
        self.assertTrue(self.spread(ends, 50, now=4.0)["t0"] > 0)

    def test_a_service_whose_targets_all_look_down_stays_in_use(self):
        """Every target is reported as down although calls to it would succeed.

        Trusting the reports would turn a fault of the checks into an outage.
        """
        ends = endpoints("bole", "bole", "bole")
        for each in ends:
            down = LoadReport(0, state=UpstreamState.DOWN)
            self.balancer.report(each.target, down, 0.0)
        self.assertEqual(3, len(self.spread(ends, 50, now=0.1)))

    def test_a_target_leaving_by_list_or_report_gets_no_calls(self):
        ends = endpoints("bole", "bole", "akaki")
        self.balancer.set_leaving(frozenset({"vm0"}))
        leaving = LoadReport(0, state=UpstreamState.LEAVING)
        self.balancer.report("t1", leaving, 0.0)
        self.assertEqual({"t2": 50}, dict(self.spread(ends, 50, now=20.0)))
        self.assertRaises(NoTargetError, self.choose, ends[:2], 20.0)
        self.assertEqual({"t1": 5}, dict(self.spread(ends[:2], 5, now=60.0)))

    def test_an_excluded_target_is_not_chosen(self):
        ends = endpoints("bole", "bole")
        got = self.spread(ends, 20, exclude=frozenset({"t0"}))
        self.assertEqual({"t1": 20}, dict(got))


class StickyTests(BalancerCase):
    def test_a_key_stays_and_moves_little_when_a_target_goes(self):
        ends = endpoints("bole", "bole", "bole", "bole")
        keys = [f"member-{n}" for n in range(200)]
        before = {key: self.choose(ends, key=key).endpoint.target for key in keys}
        after = {key: self.choose(ends[1:], key=key).endpoint.target for key in keys}
        moved = {key for key in keys if before[key] != after[key]}
        self.assertEqual({key for key in keys if before[key] == "t0"}, moved)

    def test_a_hot_key_spills_to_the_next_target(self):
        """One sticky key has most of the load.

        Without a bound its target would be overloaded while the others are idle.
        """
        ends = endpoints("bole", "bole", "bole")
        used = Counter()
        for _ in range(24):
            target = self.choose(ends, key="ceremony").endpoint.target
            self.balancer.started(target, 0.0)
            used[target] += 1
        self.assertEqual(3, len(used))
        self.assertTrue(max(used.values()) <= 12, used)


class EjectionTests(BalancerCase):
    def test_failures_eject_a_target_and_a_probe_restores_it(self):
        """Calls to a dead VM fail fast, so it looks idle.

        Without ejection it would keep getting a third of the calls or more.
        """
        ends = endpoints("bole", "bole", "bole")
        self.fail("t0", SETTINGS.eject_failures, 0.0)
        self.assertNotIn("t0", self.spread(ends, 100, now=1.0))
        self.assertNotIn("t0", self.spread(ends, 100, now=3.0))
        probe = self.choose(ends, 3.0, may_probe=True)
        self.assertEqual(
            ("t0", ChoiceReason.PROBE), (probe.endpoint.target, probe.reason)
        )
        self.assertNotIn("t0", self.spread(ends, 100, now=3.0, may_probe=True))
        self.balancer.started("t0", 3.0)
        self.balancer.finished("t0", Outcome.ANSWERED, 0.02, 3.1)
        self.assertIn("t0", self.spread(ends, 100, now=6.0))

    def test_a_failed_probe_doubles_the_ejection(self):
        ends = endpoints("bole", "bole", "bole")
        self.fail("t0", SETTINGS.eject_failures, 0.0)
        self.choose(ends, 2.1, may_probe=True)
        self.fail("t0", 1, 2.1)
        self.assertFalse(self.balancer.ejector.probe_due("t0", 6.0))
        self.assertTrue(self.balancer.ejector.probe_due("t0", 6.2))

    def test_the_floor_keeps_a_target_in_use(self):
        """The node's own network fails, so every target looks dead."""
        ends = endpoints("bole", "bole", "bole")
        for each in ends:
            self.fail(each.target, SETTINGS.eject_failures, 0.0)
        self.assertEqual(10, sum(self.spread(ends, 10, now=0.1).values()))


class SplitTests(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=50, database=None)
    @given(
        st.lists(st.integers(1, 100), min_size=2, max_size=5),
        st.integers(0, 1000),
    )
    def test_a_split_is_exact_over_each_round(self, weights, seed):
        split = tuple(WeightedService(f"s{n}", w) for n, w in enumerate(weights))
        splitter = Splitter(Random(seed))
        got = Counter(splitter.choose("r", split, "") for _ in range(sum(weights)))
        self.assertEqual({each.service: each.weight for each in split}, dict(got))

    def test_a_key_always_gets_the_same_service_by_weight(self):
        split = (WeightedService("old", 90), WeightedService("new", 10))
        first, second = Splitter(Random(1)), Splitter(Random(2))
        keys = [f"k{n}" for n in range(2000)]
        got = [first.choose("r", split, key) for key in keys]
        self.assertEqual(got, [second.choose("r", split, key) for key in keys])
        self.assertTrue(150 < got.count("new") < 250, got.count("new"))


def retried(error):
    error.retried = True
    return error


class RetryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.retries = RetryPolicy(SETTINGS, Random(1))

    def decide(self, error, idempotent=True, attempt=1, remaining=5.0, **how):
        policy = CallPolicy(idempotent=idempotent)
        return self.retries.decide("fleet", error, policy, attempt, remaining, **how)

    def reason(self, *args, **how):
        decision = self.decide(*args, **how)
        self.assertIsInstance(decision, GiveUp)
        return decision.reason

    def test_only_not_run_or_idempotent_calls_are_retried(self):
        """The connection breaks after a call was sent.

        A retry of a call that is not idempotent could execute it twice.
        """
        booking = self.reason(ConnectionLostError(), idempotent=False)
        self.assertEqual(GiveUpReason.NOT_SAFE, booking)
        self.assertEqual(
            Retry(0.0, RetryReason.NOT_RUN),
            self.decide(ConnectError(), idempotent=False),
        )
        self.assertEqual(
            Retry(0.0, RetryReason.IDEMPOTENT), self.decide(ConnectionLostError())
        )

    def test_each_reason_to_give_up_is_typed_and_counted(self):
        reasons = [
            self.reason(RefusedByRuleError()),
            self.reason(ConnectError(), attempt=3),
            self.reason(ConnectError(), remaining=0.001),
            self.reason(ConnectError(), incoming_attempt=2),
            self.reason(retried(ConnectError())),
        ]
        expected = [
            GiveUpReason.FINAL,
            GiveUpReason.ATTEMPTS,
            GiveUpReason.NO_TIME,
            GiveUpReason.RETRIED_BEFORE,
            GiveUpReason.RETRIED_BELOW,
        ]
        self.assertEqual(expected, reasons)
        self.assertEqual(Counter(expected), self.retries.given_up)
        self.assertEqual(SETTINGS.retry_reserve, self.retries.budget("fleet").tokens)

    def test_a_storm_of_refusals_adds_less_than_a_tenth(self):
        """Every target refuses every call.

        Without a retry budget, three times the load would keep the service down
        after the cause of the overload has gone.
        """
        for _ in range(1000):
            self.retries.first_attempt("fleet")
            self.decide(OverloadedError())
        self.assertTrue(80 <= self.retries.retried.total() <= 95)

    def test_a_chain_of_19_does_not_multiply(self):
        """The last of 19 services in a chain fails.

        If each level made three attempts, one call would become a billion.
        """
        ran = Counter()

        def call(depth, incoming_attempt):
            if depth == 19:
                ran["last"] += 1
                return ConnectionLostError()
            for attempt in (1, 2, 3):
                error = call(depth + 1, max(incoming_attempt, attempt))
                decision = self.decide(
                    error, attempt=attempt, incoming_attempt=incoming_attempt
                )
                if isinstance(decision, GiveUp):
                    error.retried = error.retried or attempt > 1
                    return error
            return error

        call(0, 1)
        self.assertEqual(3, ran["last"])


class DeadlineTests(TestCase):
    def test_a_propagated_deadline_shortens_and_never_extends(self):
        self.assertEqual(101.0, enter(SETTINGS, 10, 100.0, 1000).deadline)
        self.assertEqual(110.0, enter(SETTINGS, 10, 100.0, 60000).deadline)
        progress = enter(SETTINGS, 10, 100.0, 1000)
        self.assertEqual(498, progress.remaining_ms(100.5, 0.002))

    def test_a_loop_of_rules_ends_at_the_depth_limit(self):
        """Two rules route calls to each other's service.

        Without a limit, one call would circulate and hold slots until its deadline.
        """
        depth = 0
        for _ in range(SETTINGS.depth_limit):
            depth = enter(SETTINGS, 10, 0.0, 10000, 1, depth).depth
        self.assertRaises(TooDeepError, enter, SETTINGS, 10, 0.0, 10000, 1, depth)

    def test_a_call_without_time_left_is_not_run(self):
        self.assertRaises(DeadlineNotRunError, enter, SETTINGS, 10, 0.0, 0)
