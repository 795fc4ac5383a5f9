"""Simulations of upstreams that name a rate limit."""

import asyncio
import os
from dataclasses import replace
from functools import partial

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival, RefusalReason
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.model import Endpoint, Incarnation
from sequoiaspoke.core.mesh.outcome import Answer, Request, find_header
from sequoiaspoke.core.mesh.ratelimit import (
    BURST_SECONDS,
    NAMING_SECONDS,
    RECHECK_SECONDS,
    RateLimit,
)
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.upstreamreport import UpstreamReport
from sequoiaspoke.tests import crashsim
from sequoiaspoke.tests.limitsim import LimitWorld
from sequoiaspoke.tests.meshsim import play_world

SEEDS = range(int(os.environ.get("LIMIT_SEEDS", "4")))
HOST = "akaki-0"
LIMIT = 2.0
ENDPOINT = Endpoint("i-1", "fleet", "10.0.0.1", 80, "akaki", 2, born=1)


class LimitCase(TestCase):
    def check_seeds(self, scenario, seeds=SEEDS):
        """Run a scenario with several seeds and return the last world."""
        for seed in seeds:
            world = play_world(
                lambda seed=seed: LimitWorld(seed), self, scenario=scenario
            )
            self.assertEqual((seed, world.problems), (seed, []))
        return world


class RateLimitTests(LimitCase):
    def limit_during(self, *changes, seconds=15.0, rate=60.0, host=HOST):
        """Return a scenario with calls, and limits that are named at times."""

        async def scenario(world):
            async def change():
                for pause, limit in changes:
                    await asyncio.sleep(pause)
                    world.upstream(host).name_limit(limit)

            await asyncio.gather(world.vary_requests(seconds, rate), change())

        return scenario

    def test_an_upstream_gets_no_more_calls_than_it_takes_from_all_nodes(self):
        # Guards against a rate limit that no node applies.
        self.check_seeds(self.limit_during((2.0, LIMIT)))

    def test_others_serve_what_an_upstream_does_not_take(self):
        # Guards against calls that wait for a limited upstream beside idle ones.
        world = self.check_seeds(self.limit_during((2.0, LIMIT)))
        self.assertTrue(world.served_read_ratio(1007.0, 1020.0) > 0.99)

    def test_a_limit_that_falls_is_kept(self):
        # Guards against calls saved up under the higher limit.
        self.check_seeds(self.limit_during((2.0, 8.0), (6.0, 1.0), seconds=16.0))

    def test_a_limit_is_used_up(self):
        # Guards against entries that avoid a limited upstream altogether.
        world = self.check_seeds(self.limit_during((2.0, 8.0), rate=90.0))
        (instance,) = world.limits
        self.assertTrue(world.arrived(instance, 1010.0, 1020.0) > 50)

    def test_an_upstream_whose_limit_ends_gets_its_share_again(self):
        # Guards against a limit that outlasts the answers which name it.
        for limit in (0.0, LIMIT):
            world = self.check_seeds(
                self.limit_during((2.0, limit), (5.0, None), seconds=16.0, rate=90.0)
            )
            (instance,) = world.limits
            self.assertTrue(world.arrived(instance, 1013.0, 1021.0) > 20)

    def test_an_upstream_that_takes_no_calls_gets_none(self):
        # Guards against a limit of zero that counts as none.
        world = self.check_seeds(self.limit_during((2.0, 0.0)))
        (instance,) = world.limits
        self.assertEqual(world.arrived(instance, 1008.0, 1020.0), 0)

    def test_a_restarted_node_keeps_the_limit(self):
        # Guards against a node that fills all slots before its first answer.
        async def scenario(world):
            world.health_checks_answered = False

            async def limit_and_restart():
                await asyncio.sleep(2.0)
                world.upstream(HOST).name_limit(LIMIT)
                await asyncio.sleep(4.0)
                await world.restart_node(HOST, 0.3)

            await asyncio.gather(world.vary_requests(9.0, 80.0), limit_and_restart())

        self.patch(crashsim, "SERVICE_SECONDS", (0.8, 1.0))
        self.check_seeds(scenario)

    def test_a_limit_ends_with_the_process_that_named_it(self):
        # Guards against a limit that is applied to the next start of an upstream.
        async def scenario(world):
            async def limit_and_crash():
                await asyncio.sleep(2.0)
                world.upstream(HOST).name_limit(LIMIT)
                await asyncio.sleep(4.0)
                world.upstream(HOST).crash()

            await asyncio.gather(world.vary_requests(20.0, 90.0), limit_and_crash())
            instance = world.upstream(HOST).instance
            arrived.append(world.arrived(instance, 1019.0, 1025.0))

        # How many calls one upstream of several gets depends on the seed.
        arrived = []
        self.check_seeds(scenario, range(2 * len(SEEDS)))
        self.assertTrue(sum(arrived) > 40 * len(arrived), arrived)

    def test_calls_beyond_all_limits_are_refused_at_once(self):
        # Guards against calls that wait until their deadline for a limited upstream.
        async def scenario(world):
            for host in world.nodes:
                world.upstream(host).name_limit(LIMIT)
            await world.vary_requests(12.0, 60.0)

        world = self.check_seeds(scenario)
        answers = [answer for when, answer in world.answers if when > 1008.0]
        refused = [answer for answer in answers if answer.status == 503]
        self.assertEqual({answer.status for answer in answers}, {200, 503})
        waits = [float(find_header(each.headers, "retry-after")) for each in refused]
        self.assertTrue(0 < max(waits) < 2.5, max(waits))
        total = sum(
            world.arrived(instance, 1008.0, 1016.0) for instance in world.limits
        )
        self.assertTrue(8 * 6 * LIMIT * 0.8 < total, total)
        self.assertTrue(world.slowest_refusal < 1.0, world.slowest_refusal)


class LeavingUpstreamTests(LimitCase):
    def test_an_upstream_that_says_it_leaves_gets_no_new_calls(self):
        # Guards against a drain that is announced in answers only.
        async def scenario(world):
            async def leave():
                await asyncio.sleep(2.0)
                world.upstream(HOST).leave()

            await asyncio.gather(world.vary_requests(8.0, 60.0), leave())
            self.assertTrue(world.served_read_ratio(1005.0, world.now()) > 0.99)

        self.check_seeds(scenario)

    def test_a_restarted_node_sends_no_calls_to_an_upstream_that_leaves(self):
        # Guards against a home that forgets the drain while entries know it.
        async def scenario(world, host):
            async def leave_and_restart():
                await asyncio.sleep(2.0)
                world.upstream(host).leave()
                await asyncio.sleep(2.5)
                world.health_checks_answered = False
                world.store.mode = "failing"
                await world.restart_node(host, 0.3)

            await asyncio.gather(world.vary_requests(10.0, 60.0), leave_and_restart())

        for number in range(3):  # two of them read the store for the others
            self.check_seeds(partial(scenario, host=f"akaki-{number}"), seeds=[number])

    def test_the_next_start_of_an_upstream_that_left_serves(self):
        # Guards against a drain that is applied to the next start of an upstream.
        async def scenario(world):
            async def leave_and_start():
                await asyncio.sleep(2.0)
                world.upstream(HOST).leave()
                await asyncio.sleep(4.0)
                world.upstream(HOST).crash()

            await asyncio.gather(world.vary_requests(20.0, 90.0), leave_and_start())
            instance = world.upstream(HOST).instance
            self.assertTrue(world.arrived(instance, 1013.0, 1025.0) > 40)

        self.check_seeds(scenario)


class TokenTests(TestCase):
    def limited(self, rate, now=0.0):
        limit = RateLimit()
        limit.record(rate, now, now)
        return limit

    def test_calls_become_available_at_the_rate(self):
        limit = self.limited(10.0)
        self.assertEqual(limit.remaining(0, 0.0), 0)
        self.assertAlmostEqual(limit.wait(0, 0.0), 0.1)
        self.assertAlmostEqual(limit.wait(4, 0.0), 0.5)
        self.assertEqual(limit.remaining(0, 0.3), 3)
        self.assertEqual(limit.remaining(0, 60.0), int(10.0 * BURST_SECONDS))

    def test_a_rate_below_one_allows_a_call_now_and_then(self):
        limit = self.limited(0.2)
        self.assertEqual(limit.remaining(0, 4.9), 0)
        self.assertEqual(limit.remaining(0, 5.0), 1)
        limit.take(5.0)
        self.assertAlmostEqual(limit.wait(0, 5.0), 5.0)

    def test_a_late_answer_does_not_lift_a_newer_limit(self):
        # Guards against answers that arrive in another order than they were made.
        limit = self.limited(2.0, now=10.0)
        limit.record(None, 9.9, 12.0)
        self.assertEqual(limit.rate, 2.0)
        limit.record(None, 10.0, 12.0)
        self.assertIsNone(limit.rate)

    def test_a_single_answer_without_a_limit_does_not_lift_it(self):
        # Guards against answers of failed calls that lack the header.
        limit = self.limited(2.0, now=10.0)
        limit.record(None, 10.1, 10.0 + NAMING_SECONDS / 2)
        self.assertEqual(limit.rate, 2.0)
        limit.record(None, 10.1, 10.0 + NAMING_SECONDS)
        self.assertIsNone(limit.rate)

    def test_a_limit_without_recent_answers_is_in_doubt(self):
        limit = self.limited(0.0, now=10.0)
        self.assertFalse(limit.in_doubt(10.5))
        self.assertTrue(limit.in_doubt(10.0 + RECHECK_SECONDS))


class LimitedAdmissionTests(TestCase):
    def arrive(self, admission, number, now, on_time=5.0, deadline=9.0):
        arrival = Arrival(number, "r", 0, now + on_time, now + deadline)
        return admission.arrive(arrival, now)

    def test_a_refused_call_is_admitted_after_its_retry_after(self):
        # Guards against a Retry-After after which the call is refused again.
        admission = Admission(18)
        admission.rate_limit.record(2.0, 0.0, 0.0)
        self.assertIsNone(self.arrive(admission, 0, 0.0, on_time=0.1))
        refused = self.arrive(admission, 1, 0.0, on_time=0.1)
        self.assertEqual(refused.reason, RefusalReason.RATE_LIMITED)
        now = refused.retry_after
        self.assertIs(admission.next(now)[0].ticket, 0)
        self.assertIsNone(self.arrive(admission, 1, now))
        self.assertEqual(admission.waiting, 0 if admission.next(now)[0] else 1)

    def test_a_call_that_cannot_be_sent_before_its_deadline_is_refused(self):
        admission = Admission(18)
        admission.rate_limit.record(0.1, 0.0, 0.0)
        refused = self.arrive(admission, 0, 0.0)
        self.assertEqual(refused.reason, RefusalReason.RATE_LIMITED)
        self.assertAlmostEqual(refused.retry_after, 10.0)


class ReportingUpstream:
    """Answers each call with the report of the test."""

    def __init__(self):
        self.report = self.next_report = None

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        self.report = self.next_report
        return Answer(200, (), b"")

    def close_idle_connections(self):
        pass


class HomeLimitTests(TestCase):
    def limit_after(self, report, incarnation):
        """Return the limit of a home after an answer of an incarnation."""

        async def run():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            home = Home(ReportingUpstream(), Directory(), log)
            home.update_endpoint(ENDPOINT)
            home.update_endpoint(replace(ENDPOINT, born=2))
            home.upstream.next_report = report
            until = clock.now() + 9
            request = Request("GET", "/a", (), b"")
            call = HomeCall(request, incarnation, "r", 0, True, until, until)
            home.submit("a", call, lambda outcome: None)
            await asyncio.sleep(0.01)
            return home.admission.rate_limit.rate

        return asyncio.run(run())

    def test_the_limit_of_the_current_incarnation_is_applied(self):
        report = UpstreamReport(rate_limit=2.0)
        self.assertEqual(self.limit_after(report, Incarnation("i-1", 2)), 2.0)

    def test_the_limit_of_an_incarnation_not_yet_published_is_applied(self):
        # Guards against a home that is cut off from the store.
        report = UpstreamReport(rate_limit=2.0)
        self.assertEqual(self.limit_after(report, Incarnation("i-1", 3)), 2.0)

    def test_a_late_answer_of_the_previous_incarnation_is_ignored(self):
        # Guards against a limit that is applied to the next start of an upstream.
        report = UpstreamReport(rate_limit=2.0)
        self.assertIsNone(self.limit_after(report, Incarnation("i-1", 1)))

    def test_the_limit_of_another_upstream_at_the_address_is_ignored(self):
        # Guards against the report in a 421 of the address's next user.
        report = UpstreamReport(rate_limit=2.0, replaced=True)
        self.assertIsNone(self.limit_after(report, Incarnation("i-1", 2)))
