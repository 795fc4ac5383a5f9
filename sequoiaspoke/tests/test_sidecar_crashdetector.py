"""Tests of telling a crash of the upstream from single lost connections."""

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

INCARNATION = Incarnation("i-1")
LOST = Unknown(CONNECTION_LOST)


def sent_call(target, suspected=False):
    return SentCall(Request("GET", target, (), b""), INCARNATION, suspected)


class CrashWatchTests(TestCase):
    def play(self, scenario, refuses=True, service="fleet"):
        self.reports = []
        self.checks = 0

        async def refuses_connections():
            self.checks += 1
            await asyncio.sleep(0)
            return refuses

        async def run():
            detector = CrashDetector(
                refuses_connections,
                lambda incarnation: service,
                lambda *report: self.reports.append(report),
            )
            async with asyncio.timeout(10):
                return await scenario(detector)

        return asyncio.run(run())

    def test_running_requests_are_suspected_if_connections_are_refused(self):
        async def scenario(detector):
            for name in ("/a", "/b", "/c"):
                detector.call_sent(name, sent_call(name, suspected=name == "/b"))
            detector.call_ended("/c")
            lost = [detector.classify(name, LOST) for name in ("/a", "/b")]
            return await asyncio.gather(*lost)

        outcomes = self.play(scenario)
        self.assertEqual({each.reason for each in outcomes}, {UPSTREAM_CRASHED})
        ((crash, calls),) = self.reports
        self.assertEqual(crash.instance, INCARNATION.instance)
        self.assertEqual(len(calls), 2)
        self.assertEqual(crash.suspects, {each.request.fingerprint for each in calls})
        self.assertEqual(crash.proven, {sent_call("/b").request.fingerprint})
        self.assertEqual(self.checks, 1)

    def test_a_single_lost_call_is_not_a_crash(self):
        # The upstream accepts connections; a request must not be suspected only because
        # its answer was lost.
        async def scenario(detector):
            detector.call_sent("/a", sent_call("/a"))
            return await detector.classify("/a", LOST)

        self.assertEqual(self.play(scenario, refuses=False), LOST)
        self.assertEqual(self.reports, [])

    def test_an_upstream_that_still_runs_a_call_has_not_crashed(self):
        # An upstream with too many connections resets new ones and runs the others.
        async def scenario(detector):
            detector.call_sent("/a", sent_call("/a"))
            detector.call_sent("/b", sent_call("/b"))
            return await detector.classify("/a", LOST)

        self.assertEqual(self.play(scenario), LOST)
        self.assertEqual(self.reports, [])

    def test_connections_lost_shortly_after_belong_to_the_same_crash(self):
        async def scenario(detector):
            detector.call_sent("/a", sent_call("/a"))
            detector.call_sent("/b", sent_call("/b"))
            first = asyncio.ensure_future(detector.classify("/a", LOST))
            await asyncio.sleep(0.01)
            return [await detector.classify("/b", LOST), await first]

        outcomes = self.play(scenario)
        self.assertEqual({each.reason for each in outcomes}, {UPSTREAM_CRASHED})
        self.assertEqual(len(self.reports[0][1]), 2)

    def test_a_second_crash_is_separate_from_a_cleared_first_one(self):
        # The upstream crashes twice before its second incarnation is known here. The
        # two crashes need different names, or clearing one would clear the other.
        now = [1000.0]
        self.patch(clock, "now", lambda: now[0])
        known = Crashes()

        async def scenario(detector):
            for number in range(2):
                now[0] += 1.0
                detector.call_sent(number, sent_call("/a"))
                await detector.classify(number, LOST)
                known.add(self.reports[-1][0], now[0])
                if number == 0:
                    known.clear("fleet", sent_call("/a").request.fingerprint)

        self.play(scenario)
        self.assertEqual(
            len(known.for_request("fleet", sent_call("/a").request.fingerprint)), 1
        )

    def test_bodies_that_explain_a_crash_make_no_request_a_suspect(self):
        # Innocent uploads would run one at a time, and be held back after the next.
        async def scenario(detector):
            detector.explained_by = lambda sizes: sizes == [0, 0]
            for name in ("/a", "/b"):
                detector.call_sent(name, sent_call(name, suspected=name == "/b"))
            lost = [detector.classify(name, LOST) for name in ("/a", "/b")]
            return await asyncio.gather(*lost)

        self.assertEqual(set(self.play(scenario)), {Unknown(UPSTREAM_CRASHED)})
        ((crash, _),) = self.reports
        self.assertEqual(crash.suspects | crash.proven, frozenset())

    def test_the_planned_end_of_an_upstream_is_not_a_crash(self):
        async def scenario(detector):
            detector.call_sent("/a", sent_call("/a"))
            return await detector.classify("/a", LOST)

        self.assertEqual(self.play(scenario, service=""), LOST)

    def test_a_call_that_timed_out_starts_no_check(self):
        async def scenario(detector):
            detector.call_sent("/a", sent_call("/a"))
            return await detector.classify("/a", Unknown(TIMED_OUT))

        self.assertEqual(self.play(scenario), Unknown(TIMED_OUT))
        self.assertEqual(self.checks, 0)
