"""Tests of the entry's slot requests, with homes that the test scripts."""

import asyncio
from math import inf

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import RefusalReason
from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import NotRun
from sequoiaspoke.tests.test_sidecar_entry import (
    SERVED,
    WAIT,
    ScriptedAttempts,
    make_entry,
    request,
)

DEAD = NotRun("home-unreachable")
OVERLOADED = NotRun(RefusalReason.OVERLOADED, 0.7)


class ScriptedHomes(ScriptedAttempts):
    """Homes with a wait, by instance, that refuse calls which accept less as busy.

    The outcome of a home whose script has no wait is the same for all calls; None never
    ends.

    Attributes
    ----------
    then : Outcome
        Outcome of a call that a home with a wait accepts.
    """

    then = SERVED
    under_suspicion = False

    def suspected(self, progress):
        return self.under_suspicion

    def send_to_home(self, attempt):
        instance, loop = attempt.endpoint.instance, asyncio.get_running_loop()
        self.sent += ((instance, attempt.max_wait),)
        outcome, wait = self.script[instance], 0.0
        if isinstance(outcome, float):
            outcome, wait = self.then, outcome
            if wait > attempt.max_wait:
                outcome = NotRun(RefusalReason.BUSY, max(wait, 0.05))
        if outcome is not None:
            loop.call_soon(attempt.finish, outcome, LoadReport(1.0, 0.1, wait))


class SlotRequestTests(TestCase):
    def play(
        self,
        script,
        name="order",
        left=4000,
        large_bodies=True,
        then=SERVED,
        suspected=False,
    ):
        """Return the answer to a call, with the waits of homes in the script."""

        async def run():
            entry = self.entry = make_entry(script)
            entry.attempts.__class__ = ScriptedHomes
            entry.attempts.then = then
            entry.attempts.under_suspicion = suspected
            entry.state.table.has_large_bodies = large_bodies
            entry.log.call = lambda kind, request, **pairs: self.log.append(
                (kind, pairs)
            )
            async with asyncio.timeout(WAIT):
                return await entry.handle(request(name, left))

        self.log = []
        return asyncio.run(run())

    def counts(self):
        reasons = self.entry.attempts.reasons
        return tuple(reasons[each] for each in ("asked", "granted", "busy", "waited"))

    def test_a_busy_home_is_no_failed_attempt(self):
        # Guards against calls that are refused after some busy homes.
        answer = self.play({name: 0.4 for name in "abcdefgh"})
        self.assertEqual(answer.status, 200)
        sent = self.entry.attempts.sent
        self.assertEqual([wait < 0.4 for _, wait in sent], [True] * 2 + [False])
        self.assertIn(sent[-1][0], [name for name, _ in sent[:2]])
        self.assertEqual(self.counts(), (2, 0, 2, 1))
        self.assertEqual(self.log, [])

    def test_a_call_refused_where_it_waited_asks_no_other_home(self):
        # Guards against a node that spends its processor time on calls which all homes
        # refuse, as in a shortage of the whole service.
        answer = self.play({name: 0.4 for name in "abcdefgh"}, then=OVERLOADED)
        self.assertEqual((answer.status, len(self.entry.attempts.sent)), (503, 3))

    def test_a_free_home_costs_one_message(self):
        # Guards against extra messages while a service is quiet.
        self.play({name: 0.0 for name in "abcde"})
        self.assertEqual(len(self.entry.attempts.sent), 1)
        self.assertEqual(self.counts(), (1, 1, 0, 0))

    def test_busy_homes_do_not_enter_retry_after(self):
        # Guards against callers that are told the wait of a home that had not queued
        # the call; the refusal where the call waited counts.
        answer = self.play({name: 0.4 for name in "abcde"}, then=OVERLOADED)
        self.assertIn(("Retry-After", "0.700"), answer.headers)
        kind, pairs = self.log[0]
        self.assertEqual((kind, pairs["wait"]), ("attempt-failed", "0.400"))

    def test_dead_homes_are_passed_over(self):
        # Guards against a slot request to a dead home that ends the call.
        self.assertEqual(
            self.play({"a": DEAD, "b": DEAD, "c": DEAD, "d": 0.4, "e": 0.5}).status, 200
        )

    def test_a_call_that_is_passed_on_goes_elsewhere(self):
        # Guards against a call that returns to the home that passed it on, for ever.
        passed_on = NotRun(RefusalReason.BUSY, 0.5)
        script = {name: 0.4 for name in "abcd"} | {"e": SERVED}
        self.assertEqual(self.play(script, then=passed_on).status, 200)
        sent = self.entry.attempts.sent
        waited = [name for name, wait in sent if wait == inf]
        self.assertEqual(len(set(waited)), len(waited))

    def test_a_call_that_all_homes_pass_on_is_refused(self):
        # Guards against a Retry-After that is no number.
        script = {name: 0.4 for name in "abcd"}
        answer = self.play(script, then=NotRun(RefusalReason.BUSY, 0.5))
        self.assertEqual(answer.status, 503)
        self.assertIn(("Retry-After", "0.300"), answer.headers)

    def test_a_hedge_does_not_wait(self):
        # Guards against reads that queue at a second home while the first runs them.
        self.play({name: None for name in "abcd"}, name="read", left=700)
        self.assertEqual([wait for _, wait in self.entry.attempts.sent][1:], [0.0])

    def test_a_suspected_request_is_not_asked_for(self):
        # Guards against copies of a crashing request that a busy home sends elsewhere.
        self.play({name: 0.4 for name in "abcd"}, suspected=True)
        self.assertEqual([wait for _, wait in self.entry.attempts.sent], [inf])

    def test_nothing_is_asked_without_large_bodies(self):
        # Guards against changes for deployments without large bodies.
        self.play({name: 0.4 for name in "abcde"}, large_bodies=False)
        self.assertEqual([wait for _, wait in self.entry.attempts.sent], [inf])

    def test_nothing_is_asked_of_a_service_of_three_upstreams(self):
        # Guards against round trips where load reports are recent anyway.
        self.play({name: 0.4 for name in "abc"})
        self.assertEqual([wait for _, wait in self.entry.attempts.sent], [inf])
