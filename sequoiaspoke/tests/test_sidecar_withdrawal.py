"""Tests of what callers are told about calls that homes have not started."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Unknown
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.sidecar import clock
from sequoiaspoke.tests.test_sidecar_entry import make_entry, request

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

    def send_to_home(self, attempt):
        instance = attempt.endpoint.instance
        self.attempts[instance] = attempt
        attempt.withdraw_at_home = lambda: self.withdraw(instance)
        if self.script[instance] not in (WAITS, RUNS):
            self.end(instance, self.script[instance])

    def withdraw(self, instance):
        if self.script[instance] == WAITS:
            self.end(instance, WITHDRAWN)

    def end(self, instance, outcome):
        self.attempts[instance].finish(outcome, LoadReport())


class WithdrawalTests(TestCase):
    def play(self, script, name, scenario=None, large_bodies=True, left=4000):
        """Return the answer to a call, and the seconds left when it came.

        The scenario runs as soon as no home has anything more to do.
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
