"""Tests of what the loss of connections to an upstream is taken for."""

import asyncio

from testtools import TestCase

from sequoiaspoke.core.mesh.crashes import Crashes
from sequoiaspoke.core.mesh.model import Incarnation
from sequoiaspoke.core.mesh.outcome import (
    CONNECTION_LOST,
    TIMED_OUT,
    UPSTREAM_CRASHED,
    Request,
    Unknown,
)
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.crashdetector import CrashDetector, SentCall

START = Incarnation("i-1")
LOST = Unknown(CONNECTION_LOST)


def sent(target, suspected=False):
    return SentCall(Request("GET", target, (), b""), START, suspected)


class CrashWatchTests(TestCase):
    def play(self, scenario, refuses=True, service="fleet"):
        self.reports = []
        self.asked = 0

        async def answer():
            self.asked += 1
            await asyncio.sleep(0)
            return refuses

        async def run():
            detector = CrashDetector(
                answer, lambda start: service, lambda *told: self.reports.append(told)
            )
            async with asyncio.timeout(10):
                return await scenario(detector)

        return asyncio.run(run())

    def test_all_that_ran_is_suspected_once_the_upstream_accepts_nobody(self):
        async def scenario(detector):
            for name in ("/a", "/b", "/c"):
                detector.call_sent(name, sent(name, suspected=name == "/b"))
            detector.call_ended("/c")
            lost = [detector.classify(name, LOST) for name in ("/a", "/b")]
            return await asyncio.gather(*lost)

        outcomes = self.play(scenario)
        self.assertEqual({each.reason for each in outcomes}, {UPSTREAM_CRASHED})
        ((crash, calls),) = self.reports
        self.assertEqual(crash.instance, START.instance)
        self.assertEqual(len(calls), 2)
        self.assertEqual(crash.suspects, {each.request.fingerprint for each in calls})
        self.assertEqual(crash.proven, {sent("/b").request.fingerprint})
        self.assertEqual(self.asked, 1)

    def test_an_upstream_that_drops_one_call_has_not_ended(self):
        # Guards against requests that are suspected for an answer that was lost.
        async def scenario(detector):
            detector.call_sent("/a", sent("/a"))
            return await detector.classify("/a", LOST)

        self.assertEqual(self.play(scenario, refuses=False), LOST)
        self.assertEqual(self.reports, [])

    def test_an_upstream_at_which_a_call_goes_on_has_not_ended(self):
        # Guards against an upstream with too many connections, which resets new ones.
        async def scenario(detector):
            detector.call_sent("/a", sent("/a"))
            detector.call_sent("/b", sent("/b"))
            return await detector.classify("/a", LOST)

        self.assertEqual(self.play(scenario), LOST)
        self.assertEqual(self.reports, [])

    def test_connections_that_are_lost_a_little_later_belong_to_the_same_crash(self):
        async def scenario(detector):
            detector.call_sent("/a", sent("/a"))
            detector.call_sent("/b", sent("/b"))
            first = asyncio.ensure_future(detector.classify("/a", LOST))
            await asyncio.sleep(0.01)
            return [await detector.classify("/b", LOST), await first]

        outcomes = self.play(scenario)
        self.assertEqual({each.reason for each in outcomes}, {UPSTREAM_CRASHED})
        self.assertEqual(len(self.reports[0][1]), 2)

    def test_a_second_crash_is_not_cleared_by_what_cleared_the_first(self):
        # Guards against an upstream that ends twice under a name known to be one start.
        now = [1000.0]
        self.patch(clock, "now", lambda: now[0])
        known = Crashes()

        async def scenario(detector):
            for number in range(2):
                now[0] += 1.0
                detector.call_sent(number, sent("/a"))
                await detector.classify(number, LOST)
                known.take(self.reports[-1][0], now[0])
                if number == 0:
                    known.clear("fleet", sent("/a").request.fingerprint)

        self.play(scenario)
        self.assertEqual(len(known.of("fleet", sent("/a").request.fingerprint)), 1)

    def test_a_planned_end_blames_nobody(self):
        async def scenario(detector):
            detector.call_sent("/a", sent("/a"))
            return await detector.classify("/a", LOST)

        self.assertEqual(self.play(scenario, service=""), LOST)

    def test_a_call_whose_time_is_over_asks_nothing(self):
        async def scenario(detector):
            detector.call_sent("/a", sent("/a"))
            return await detector.classify("/a", Unknown(TIMED_OUT))

        self.assertEqual(self.play(scenario), Unknown(TIMED_OUT))
        self.assertEqual(self.asked, 0)
