"""Tests of what callers are told about calls that homes have not started."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Unknown
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.attempts import Attempts
from sequoiaspoke.sidecar.frames import Dialer
from sequoiaspoke.sidecar.pending import PendingCall
from sequoiaspoke.sidecar.transfers import OutgoingBody
from sequoiaspoke.tests.test_sidecar_entry import make_entry, request, stop_by
from sequoiaspoke.tests.test_sidecar_home import BlockingUpstream

WITHDRAWN = NotRun("withdrawn")
LOST = Unknown("connection-lost")
FULL = NotRun("queue-full", 0.2)
SERVED = Answer(200, (), b"served")
# What a home does with a call: outcomes are reported at once, the others later.
WAITS, RUNS = "waits", "runs"


class FakeHomes:
    """Homes that refuse, queue or run calls as the test says by instance."""

    def __init__(self, script):
        self.script = script
        self.attempts = {}
        self.pending = None

    def send_to_home(self, attempt):
        instance = attempt.endpoint.instance
        self.attempts[instance] = attempt
        attempt.pending = self.pending
        attempt.withdraw_at_home = lambda: self.withdraw(instance)
        if self.script[instance] not in (WAITS, RUNS):
            self.end(instance, self.script[instance])

    def withdraw(self, instance):
        if self.script[instance] == WAITS:
            self.end(instance, WITHDRAWN)

    def end(self, instance, outcome):
        self.attempts[instance].finish(outcome, LoadReport())


class HangingDialer(Dialer):
    """Opens no link and does not fail either."""

    async def dial(self, host, port):
        await asyncio.Event().wait()


class EntryTestCase(TestCase):
    """Runs an entry against fake homes on a clock that only the test advances."""

    def play(
        self, script, name, scenario=None, large_bodies=True, left=4000, prepare=None
    ):
        """Return the answer to a call, and the seconds left when it came.

        The scenario runs as soon as no home has anything more to do, and `prepare`
        before the call.
        """
        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)

        async def run():
            self.entry = make_entry(script)
            self.homes = FakeHomes(script)
            self.entry.attempts.send_to_home = self.homes.send_to_home
            config = self.entry.state.table.config
            routes = [replace(r, large_bodies=large_bodies) for r in config.routes]
            self.entry.state.table = RouteTable(replace(config, routes=routes))
            if prepare is not None:
                prepare()
            call = asyncio.ensure_future(self.entry.handle(request(name, left)))
            deadline = self.time + left / 1000
            await self.settle()
            if scenario is not None:
                await scenario()
            while not call.done():
                self.assertTrue(self.time <= deadline + 0.002, "no answer in time")
                await self.advance(0.005)
            return call.result(), round(deadline - self.time, 2)

        return asyncio.run(run())

    async def settle(self):
        for _ in range(10):
            await asyncio.sleep(0)

    async def advance(self, seconds):
        self.time += seconds
        for deadlines in (
            self.entry.attempts.deadlines,
            self.entry.withdrawals,
            self.entry.deadlines,
        ):
            deadlines.run_due(self.time)
        await self.settle()

    def use_real_homes(self):
        attempts = self.entry.attempts
        attempts.send_to_home = lambda each: Attempts.send_to_home(attempts, each)


class WithdrawalTests(EntryTestCase):
    def test_an_order_that_waited_until_its_deadline_is_reported_as_not_run(self):
        # Reported as a timeout, the order would be lost, as it might have run.
        answer, left = self.play({"a": WAITS, "b": WAITS}, "order")
        self.assertEqual((answer.status, left), (503, 0.06))
        self.assertIn(("Retry-After", "0.050"), answer.headers)
        # An attempt at the other home could not end in time.
        self.assertEqual(len(self.homes.attempts), 1)

    def test_a_withdrawal_that_crosses_the_start_of_the_call_promises_nothing(self):
        answer, left = self.play({"a": RUNS}, "order")
        self.assertEqual((answer.status, left), (504, 0))

    def test_an_answer_after_the_withdrawal_is_passed_on(self):
        # The call was started before the withdrawal and has taken effect.
        async def scenario():
            await self.advance(3.97)
            self.homes.end("a", SERVED)

        answer, _ = self.play({"a": RUNS}, "order", scenario)
        self.assertEqual(answer.status, 200)

    def test_the_retry_after_is_the_shortest_that_a_home_told(self):
        # A withdrawal comes without a time, and the caller returned too early.
        async def scenario():
            (waits,) = self.homes.attempts
            (full,) = self.homes.script.keys() - {waits}
            self.homes.script[full] = WAITS
            self.homes.end(waits, FULL)

        answer, _ = self.play({"a": WAITS, "b": WAITS}, "order", scenario)
        self.assertIn(("Retry-After", "0.200"), answer.headers)

    def test_a_call_that_may_have_run_before_is_not_reported_as_not_run(self):
        # A read is lost at one home and then waits at the other.
        async def scenario():
            (first,) = self.homes.attempts
            self.homes.end(first, LOST)

        answer, _ = self.play({"a": WAITS, "b": WAITS}, "read", scenario)
        self.assertEqual(answer.status, 502)

    def test_without_large_bodies_no_call_is_withdrawn(self):
        answer, left = self.play({"a": WAITS}, "order", large_bodies=False)
        self.assertTrue(left <= 0, left)

    def test_a_call_with_little_time_is_not_withdrawn_on_its_arrival(self):
        answer, left = self.play({"a": WAITS}, "order", left=80)
        self.assertEqual((answer.status, left), (503, 0.04))

    def test_a_home_that_was_asked_in_the_last_moment_is_the_last_one(self):
        # Another home would be asked without a withdrawal, and the caller was told that
        # the call might have run.
        async def scenario():
            (asked,) = self.homes.attempts
            self.homes.script[asked] = RUNS
            await self.advance(3.95)
            self.homes.end(asked, NotRun("busy", 0.3))
            await self.settle()

        script = dict.fromkeys("abcd", WAITS)
        answer, left = self.play(script, "order", scenario)
        self.assertEqual((answer.status, left), (503, 0.05))
        self.assertEqual(len(self.homes.attempts), 1)

    def test_a_far_home_gets_the_withdrawal_earlier(self):
        # With 30 ms for a round trip, the outcome would come too late or not at all.
        def prepare():
            self.entry.peers.link("10.0.0.0").round_trip = 0.03

        _, left = self.play({"a": WAITS}, "order", prepare=prepare)
        self.assertEqual(left, 0.09)

    def test_a_stopping_node_withdraws_its_calls_before_it_exits(self):
        # The calls' own deadlines are later than the exit.
        async def scenario():
            self.entry.stop(stop_by(self.time + 1))

        answer, left = self.play({"a": WAITS}, "order", scenario)
        self.assertEqual((answer.status, left), (503, 3.1))


class HedgedOutcomeTests(EntryTestCase):
    def play_hedge(self, script, scenario=None):
        answer, left = self.play(script, "read", scenario)
        self.assertEqual(len(self.homes.attempts), 2)
        return answer.status, left

    async def hedge(self):
        while len(self.homes.attempts) < 2:
            await self.advance(0.005)

    def test_two_waiting_attempts_are_both_withdrawn(self):
        # A second attempt was taken for a run, although it was only queued.
        played = self.play_hedge({"a": WAITS, "b": WAITS})
        self.assertEqual(played, (503, 0.06))

    def test_a_call_with_one_running_attempt_is_not_reported_as_not_run(self):
        self.assertEqual(self.play_hedge({"a": RUNS, "b": WAITS}), (504, 0))
        self.assertEqual(self.play_hedge({"a": WAITS, "b": RUNS}), (504, 0))

    def test_a_refused_second_attempt_does_not_hide_the_loss_of_the_first(self):
        async def scenario():
            await self.hedge()
            first, second = self.homes.attempts
            self.homes.end(first, LOST)
            self.homes.end(second, FULL)

        status, _ = self.play_hedge({"a": RUNS, "b": RUNS}, scenario)
        self.assertEqual(status, 502)

    def test_a_busy_second_home_does_not_hide_the_loss_of_the_first(self):
        # A slot request that meets a busy home is no attempt, and the loss beside it
        # was forgotten.
        async def scenario():
            await self.hedge()
            first, second = self.homes.attempts
            for instance in self.homes.script:
                self.homes.script[instance] = FULL
            self.homes.end(first, LOST)
            self.homes.end(second, NotRun("busy", 0.3))

        answer, _ = self.play(dict.fromkeys("abcdef", RUNS), "read", scenario)
        self.assertEqual(answer.status, 502)

    def test_a_call_that_is_passed_on_does_not_hide_a_refusal_beside_it(self):
        # The time that the second home told was lost, and it was asked again.
        async def scenario():
            await self.hedge()
            first, second = self.homes.attempts
            for instance in self.homes.script:
                self.homes.script[instance] = NotRun("overloaded", 0.9)
            self.homes.end(second, FULL)
            self.homes.end(first, NotRun("busy", 0.3))

        answer, _ = self.play(dict.fromkeys("abcdef", RUNS), "read", scenario)
        self.assertIn(("Retry-After", "0.200"), answer.headers)

    def test_no_second_attempt_is_made_after_a_withdrawal(self):
        # It would not be withdrawn, and might start without time to end.
        async def scenario():
            self.time += 3.95
            self.entry.withdrawals.run_due(self.time)

        answer, _ = self.play({"a": RUNS, "b": WAITS}, "read", scenario)
        self.assertEqual(len(self.homes.attempts), 1)

    def test_no_second_attempt_is_made_after_the_deadline(self):
        # A busy node runs both timers at once. The attempt would be taken out of the
        # retry budget and end at once.
        async def scenario():
            self.time += 4.0
            self.entry.deadlines.run_due(self.time)
            self.entry.attempts.deadlines.run_due(self.time)

        self.play({"a": RUNS, "b": RUNS}, "read", scenario, large_bodies=False)
        self.assertEqual(len(self.homes.attempts), 1)

    def test_two_refused_attempts_are_reported_as_not_run(self):
        async def scenario():
            await self.hedge()
            for instance in self.homes.attempts:
                self.homes.end(instance, FULL)

        status, _ = self.play_hedge({"a": RUNS, "b": RUNS}, scenario)
        self.assertEqual(status, 503)

    def test_an_answer_not_run_is_no_promise_for_a_lost_attempt(self):
        # An upstream's own 503 is true of the retry only.
        async def scenario():
            await self.hedge()
            first, second = self.homes.attempts
            self.homes.end(first, LOST)
            self.homes.end(second, Answer(503, (), b""))

        status, _ = self.play_hedge({"a": RUNS, "b": RUNS}, scenario)
        self.assertEqual(status, 502)


class UnsentCallsTests(EntryTestCase):
    """Calls that certainly have not run at their deadline, in every deployment."""

    def test_a_call_whose_link_was_never_established_has_not_run(self):
        def prepare():
            self.use_real_homes()
            self.entry.peers.dialer = HangingDialer()

        answer, left = self.play(
            {"a": WAITS}, "order", large_bodies=False, left=200, prepare=prepare
        )
        self.assertEqual((answer.status, left), (503, 0))
        # Sent later, it would run although it was reported as not run.
        self.assertEqual(self.entry.peers.link("10.0.0.0").pending, {})

    def test_only_a_call_whose_body_was_sent_whole_may_have_run(self):
        # Its home cannot start it without the rest of the body.
        def prepare():
            self.homes.pending = PendingCall(1, None, None)
            self.homes.pending.home_incarnation = 7
            self.homes.pending.body = body

        for sent_whole, status in ((False, 503), (True, 504)):
            body = OutgoingBody(b"all of it")
            body.sent_whole = sent_whole
            answer, _ = self.play(
                {"a": WAITS}, "order", large_bodies=False, prepare=prepare
            )
            self.assertEqual(answer.status, status)

    def test_a_call_that_waits_at_this_nodes_own_home_has_not_run(self):
        def prepare():
            self.use_real_homes()
            self.entry.peers.identity.host = "10.0.0.0"
            home = self.entry.attempts.home
            home.upstream = self.upstream = BlockingUpstream()
            home.set_slots(1)

        async def scenario():
            self.second = asyncio.ensure_future(self.entry.handle(request("order")))
            await self.settle()

        first, _ = self.play(
            {"a": WAITS}, "order", scenario, large_bodies=False, prepare=prepare
        )
        self.assertEqual((first.status, self.second.result().status), (504, 503))
        self.assertEqual(len(self.upstream.ran), 1)
