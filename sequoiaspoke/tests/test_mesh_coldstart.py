"""Tests of the rate limit of a cold upstream."""

import asyncio
import random
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival
from sequoiaspoke.core.mesh.coldstart import (
    BOUND_SECONDS,
    WINDOW,
    ColdLimits,
    ColdStart,
)
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.model import Service
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.upstream import UNREACHABLE
from sequoiaspoke.sidecar.upstreamreport import HealthAnswer, UpstreamReport
from sequoiaspoke.tests.test_sidecar_home import ENDPOINT

LIMITS = ColdLimits(overage=1.5, slack=2.0)
SERVICE = Service("fleet", "/health", cold_rate=4.0, cold_seconds=3.0)
COLD = replace(ENDPOINT, cold_seconds=2.0)
MAX_PER_SECOND = 8  # 4 * 1.5 + 2


def max_per_second(times):
    """Return the maximum number of times within one second."""
    return max(sum(t <= u < t + BOUND_SECONDS for u in times) for t in times)


class LimitsTests(TestCase):
    def test_the_limit(self):
        # One call is reserved for health checks.
        self.assertEqual(LIMITS.max_calls(SERVICE.cold_rate), MAX_PER_SECOND - 1)

    def test_no_limit_without_a_rate(self):
        self.assertIsNone(LIMITS.max_calls(0.0))


class ColdStartTests(TestCase):
    def setUp(self):
        super().setUp()
        self.cold = ColdStart()
        self.cold.max_calls = MAX_PER_SECOND - 1
        self.cold.record_cold_time(3.0, 0.0)

    def hand_over(self, now, count):
        for _ in range(count):
            ticket = object()
            self.cold.begin(ticket)
            self.cold.send(ticket, now)

    def test_the_limit_applies_to_a_sliding_window(self):
        self.hand_over(0.0, 4)
        self.hand_over(0.5, 3)
        self.assertEqual(self.cold.remaining(0.6), 0)
        self.assertEqual(self.cold.remaining(WINDOW), 4)
        self.assertEqual(self.cold.remaining(0.5 + WINDOW), 7)

    def test_calls_before_the_cold_time_count(self):
        # If an upstream becomes cold while it is busy, the limit applies to that second
        # too.
        self.cold.record_cold_time(0.0, 0.0)
        self.hand_over(0.1, 20)
        self.assertIsNone(self.cold.remaining(0.2))
        self.cold.record_cold_time(3.0, 0.3)
        self.assertEqual(self.cold.remaining(0.4), 0)

    def test_the_wait_of_a_call(self):
        self.hand_over(0.0, 7)
        self.assertAlmostEqual(self.cold.wait(0, 0.1), WINDOW - 0.1)
        self.assertAlmostEqual(self.cold.wait(7, 0.1), 2 * WINDOW - 0.1)
        # The wait ends with the cold time.
        self.assertAlmostEqual(self.cold.wait(70, 0.1), 2.9)

    def test_an_assumed_cold_time_ends_with_a_report_or_a_timeout(self):
        self.cold.record_cold_time(0.0, 0.0)
        self.cold.assume_cold(1.0, 3.0)
        self.assertTrue(self.cold.assumed_cold(2.0))
        self.assertEqual(self.cold.remaining(2.0), MAX_PER_SECOND - 1)
        self.cold.record_cold_time(0.0, 2.0)
        self.assertIsNone(self.cold.remaining(2.0))
        self.cold.assume_cold(3.0, 3.0)
        self.assertIsNone(self.cold.remaining(6.1))

    def test_a_new_process_accounts_for_calls_of_the_previous_one(self):
        # A node is killed and restarted beside a cold upstream. Both processes together
        # would send twice the limit within a second, and the upstream would crash.
        self.cold.expect_earlier_calls(0.0)
        self.assertEqual(self.cold.remaining(0.9), 0)
        self.assertAlmostEqual(self.cold.wait(0, 0.4), WINDOW - 0.4)
        self.assertEqual(self.cold.remaining(WINDOW + 0.01), MAX_PER_SECOND - 1)


class ColdAdmissionTests(TestCase):
    def play(self, seed, rate, most=MAX_PER_SECOND - 1):
        """Simulate random arrivals at a cold upstream.

        Return when calls were sent, and the number of refused calls.
        """
        rng = random.Random(seed)
        admission = Admission(9)
        admission.cold_start.max_calls = most
        admission.cold_start.record_cold_time(9.0, 0.0)
        now, sent, refused, ends = 0.0, [], 0, []
        for number in range(int(rate * 3)):
            now += rng.expovariate(rate)
            for end, ticket in [each for each in ends if each[0] <= now]:
                admission.finish(ticket, True, end)
                ends.remove((end, ticket))
            arrival = Arrival(number, "r", 0, now + 0.6, now + 4.0)
            refused += admission.arrive(arrival, now) is not None
            while True:
                given, late = admission.next(now)
                refused += len(late)
                if given is None:
                    break
                admission.send(given.ticket, now)
                sent.append(now)
                ends.append((now + rng.uniform(0.05, 0.3), given.ticket))
        return sent, refused

    def test_no_second_exceeds_the_limit(self):
        # A zone becomes available again with cold upstreams, and all entries see it
        # idle. Without the limit its upstreams would get several times the load that
        # they sustain, and crash one after the other.
        for seed in range(20):
            sent, _ = self.play(seed, rate=60)
            self.assertTrue(max_per_second(sent) <= MAX_PER_SECOND, seed)
            # The limit is nearly used up.
            self.assertTrue(len(sent) >= 2 * (MAX_PER_SECOND - 1), (seed, len(sent)))

    def test_without_a_limit_a_second_has_more(self):
        sent, _ = self.play(1, rate=60, most=None)
        self.assertTrue(max_per_second(sent) > MAX_PER_SECOND)

    def test_calls_that_would_be_late_are_refused_at_once(self):
        # A call that waits for a cold upstream in vain cannot be served elsewhere in
        # time.
        _, refused = self.play(1, rate=60)
        self.assertTrue(refused > 90, refused)

    def test_the_wait_is_reported_to_entries(self):
        admission = Admission(9)
        admission.cold_start.max_calls = MAX_PER_SECOND - 1
        admission.cold_start.record_cold_time(3.0, 0.0)
        for number in range(MAX_PER_SECOND - 1):
            admission.cold_start.begin(number)
            admission.cold_start.send(number, 0.0)
        self.assertAlmostEqual(admission.wait_for_rank(0, 0.1), WINDOW - 0.1)


class ReportingUpstream:
    """Answers calls at once and reports its cold time in health checks."""

    report = None

    def __init__(self):
        self.cold_seconds = 0.0
        self.health_checks = []
        self.ran = []
        self.reachable = True
        # If set, connections wait for this event.
        self.gate = None

    async def call(self, request, instance, deadline, idempotent, on_send):
        if not self.reachable:
            return NotRun(UNREACHABLE)
        if self.gate is not None:
            await self.gate.wait()
        on_send()
        self.ran.append(clock.now())
        return Answer(200, (), b"")

    async def check_health(self, path, deadline):
        self.health_checks.append(path)
        if not self.reachable:
            return None
        return HealthAnswer("", self.cold_seconds, UpstreamReport())

    def close_idle_connections(self):
        pass

    def tick(self, now):
        pass


class ColdHomeTests(TestCase):
    def play(self, scenario):
        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)
        self.patch(clock, "STARTED", self.time - 50.0)

        async def run():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            self.directory, self.upstream = Directory(), ReportingUpstream()
            self.directory.put(ENDPOINT, 5, self.time)
            self.home = Home(self.upstream, self.directory, log)
            self.home.set_slots(9)
            self.home.health_monitor.set_service(SERVICE, LIMITS)
            self.told = {}
            await scenario()

        asyncio.run(run())

    async def submit(self, count):
        before = len(self.upstream.ran)
        for _ in range(count):
            key = object()
            start = ENDPOINT.incarnation
            request = Request("GET", "/", (), b"")
            call = HomeCall(request, start, "r", 0, True, self.time + 9, self.time + 9)
            self.home.submit(key, call, lambda outcome: None)
            await self.settle()
        return len(self.upstream.ran) - before

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def wait(self, seconds):
        self.time += seconds
        self.home.tick(self.time)
        await self.settle()

    def test_a_warm_upstream_has_no_limit_and_gets_no_health_checks(self):
        async def scenario():
            self.assertEqual(await self.submit(30), 30)
            await self.wait(1.0)
            self.assertEqual(self.upstream.health_checks, [])

        self.play(scenario)

    def test_the_directory_entry_reports_a_cold_upstream(self):
        async def scenario():
            self.directory.put(COLD, 6, self.time)
            self.home.update_endpoint(COLD)
            self.assertEqual(await self.submit(30), MAX_PER_SECOND - 1)

        self.play(scenario)

    def test_after_an_evacuation_an_upstream_is_assumed_to_be_cold(self):
        # After an evacuation of a zone all entries send calls to it again. Its
        # upstreams are cold, which their directory entries may not show yet.
        async def scenario():
            self.home.set_evacuated(True, 0)
            await self.wait(2.0)
            self.assertEqual(self.upstream.health_checks, [])
            self.upstream.cold_seconds = 2.0
            self.home.set_evacuated(False, 9)
            self.assertEqual(await self.submit(30), MAX_PER_SECOND - 1)
            await self.wait(WINDOW)
            self.assertEqual(self.upstream.health_checks, ["/health"])
            self.assertEqual(max_per_second(self.upstream.ran), MAX_PER_SECOND - 1)

        self.play(scenario)

    def test_a_warm_upstream_serves_at_once_after_an_evacuation(self):
        async def scenario():
            self.home.set_evacuated(True, 0)
            self.home.set_evacuated(False, 9)
            await self.wait(0.01)
            self.assertEqual(await self.submit(30), 30)

        self.play(scenario)

    def test_an_upstream_may_be_cold_after_an_unnoticed_evacuation(self):
        # The evacuation ended before this node was notified of its start.
        async def scenario():
            self.upstream.cold_seconds = 2.0
            self.home.set_evacuated(False, 9)
            self.assertEqual(await self.submit(30), MAX_PER_SECOND - 1)

        self.play(scenario)

    def test_delayed_calls_are_counted_when_they_are_sent(self):
        # The queue of new connections is full, and calls wait for a connection. If they
        # counted from admission, they would be sent together with as many calls of the
        # next second.
        async def scenario():
            self.directory.put(COLD, 6, self.time)
            self.home.update_endpoint(COLD)
            self.upstream.gate = asyncio.Event()
            await self.submit(30)
            await self.wait(1.2)
            await self.submit(30)
            self.upstream.gate.set()
            await self.settle()
            await self.wait(0.3)
            self.assertEqual(max_per_second(self.upstream.ran), MAX_PER_SECOND - 1)

        self.play(scenario)

    def test_an_unreachable_upstream_may_have_restarted(self):
        # After a power failure of a zone its upstreams restart cold under the same
        # names, before their directory entries show it.
        async def scenario():
            self.upstream.reachable = False
            await self.submit(1)
            await self.wait(0.3)
            self.upstream.reachable, self.upstream.cold_seconds = True, 2.5
            self.assertEqual(await self.submit(30), MAX_PER_SECOND - 1)
            await self.wait(0.3)
            self.assertEqual(len(self.upstream.health_checks), 3)
            await self.wait(2.6)
            await self.wait(0.1)
            self.assertTrue(await self.submit(30) > MAX_PER_SECOND)

        self.play(scenario)
