"""Tests of calls that homes refuse as they stop."""

import asyncio

from testtools import TestCase

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Unknown
from sequoiaspoke.sidecar.race import MAX_UNREACHED_ATTEMPTS
from sequoiaspoke.tests.test_sidecar_entry import WAIT, make_entry, request

SERVED = Answer(200, (), b"served")
LEAVING = NotRun("leaving", 0.3)
# Refusal of a home that stops and can't end the call either.
AWAY = NotRun("leaving", 5.2)
FULL = NotRun("queue-full", 0.2)


class LastAttemptTests(TestCase):
    """Homes that answer in a given order, whichever of them is asked."""

    def play(self, name, outcomes, announced, instances="abcdefghij", drains=False):
        """Return the status of a call, and keep its Retry-After and the homes asked.

        Parameters
        ----------
        announced : bool
            Whether homes that stop have announced it, so that nobody asks them again.
        drains : bool
            Whether the upstreams of homes that stop are drained meanwhile.
        """
        self.asked, left = [], iter(outcomes)
        # Whether each of them is given up if its link is silent.
        self.may_give_up = []

        async def run():
            entry = make_entry(dict.fromkeys(instances))
            unusable = set()

            def send_to_home(attempt):
                instance = attempt.endpoint.instance
                self.asked.append(instance)
                unusable.add(instance)
                self.may_give_up.append(entry.attempts.can_retry(attempt))
                unusable.discard(instance)
                outcome = next(left)
                if outcome is LEAVING and announced:
                    unusable.add(instance)
                if outcome is LEAVING and drains:
                    entry.state.directory.mark_draining(attempt.endpoint.incarnation)
                loop = asyncio.get_running_loop()
                loop.call_soon(attempt.finish, outcome, LoadReport())

            entry.attempts.send_to_home = send_to_home
            entry.attempts.usable = lambda each: each.instance not in unusable
            async with asyncio.timeout(WAIT):
                answer = await entry.handle(request(name))
                self.told = dict(answer.headers).get("Retry-After")
                return answer.status

        return asyncio.run(run())

    def test_a_home_that_left_costs_no_attempt_elsewhere(self):
        # The last attempt was kept for the homes that stop, and none of them took any.
        for name in ("read", "order"):
            refusals = [LEAVING] + (MAX_UNREACHED_ATTEMPTS - 1) * [FULL]
            status = self.play(name, [*refusals, SERVED], announced=True)
            self.assertEqual((status, len(self.asked)), (200, len(refusals) + 1))

    def test_each_home_that_stops_is_asked_again(self):
        # The first one was full, and the order was refused although another took it.
        outcomes = [LEAVING, LEAVING, FULL, SERVED]
        status = self.play("order", outcomes, announced=False, instances="ab")
        self.assertEqual((status, len(self.asked)), (200, 4))
        self.assertEqual(self.asked[:2], self.asked[2:])

    def test_an_upstream_that_drains_meanwhile_is_not_asked_again(self):
        # It would get a call long after the platform was told that it gets none.
        outcomes = [LEAVING, FULL, SERVED]
        status = self.play(
            "order", outcomes, announced=False, instances="ab", drains=True
        )
        self.assertEqual((status, len(self.asked)), (503, 2))

    def test_a_read_whose_home_ends_is_tried_at_one_that_stops(self):
        # The home that stops would have taken it, and its caller was told 502.
        outcomes = [LEAVING, Unknown("connection-lost"), SERVED]
        status = self.play("read", outcomes, announced=False, instances="ab")
        self.assertEqual((status, len(self.asked)), (200, 3))
        self.assertEqual(self.asked[0], self.asked[2])

    def test_a_silent_home_is_not_given_up_for_one_that_stops(self):
        # That one may refuse the read, while the upstream of the silent one is at work.
        self.play("read", [LEAVING, SERVED], announced=False, instances="ab")
        self.assertEqual([True, False], self.may_give_up)

    def test_a_call_that_no_home_can_end_is_refused_with_their_return(self):
        # The shorter time of their first refusals hid it, and homes were asked again
        # until no attempt was left.
        for name in ("read", "order"):
            status = self.play(
                name, [LEAVING, LEAVING, AWAY, AWAY], announced=False, instances="ab"
            )
            self.assertEqual((status, len(self.asked)), (503, 4))
            self.assertEqual(self.told, "5.200")

    def test_many_homes_that_can_not_end_a_call_are_not_all_asked(self):
        refusals = MAX_UNREACHED_ATTEMPTS * [LEAVING]
        status = self.play("order", [*refusals, AWAY], announced=False)
        self.assertEqual((status, len(self.asked)), (503, len(refusals) + 1))
        self.assertEqual(self.told, "5.200")

    def test_a_home_that_goes_on_tells_when_to_return(self):
        status = self.play(
            "order", [LEAVING, FULL, AWAY], announced=False, instances="ab"
        )
        self.assertEqual((status, self.told), (503, "0.200"))
