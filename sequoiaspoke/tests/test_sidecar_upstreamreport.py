"""Tests of what an upstream reports about itself."""

import asyncio

from testtools import TestCase

from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.model import Endpoint
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request
from sequoiaspoke.core.mesh.slots import Load
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.newheaders import MAX_NAMES, NewHeaders
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.sidecar.upstreamreport import (
    UpstreamReport,
    parse_load,
    parse_rate_limit,
    parse_report,
)

LIMIT, LEAVING = "X-Upstream-Rate-Limit", "X-Upstream-Leaving"
ENDPOINT = Endpoint("i", "fleet", "10.0.0.1", 80, "akaki", 2)
INVALID_LIMITS = ("-1", "nan", "inf", "-inf", "1e999", "1e7", "six", "6,4", "1_0", "٦")


class UpstreamReportTests(TestCase):
    def parse(self, *headers):
        return parse_report(headers, HeaderNames())

    def test_an_answer_without_headers_reports_nothing(self):
        self.assertEqual(self.parse(), UpstreamReport())

    def test_a_limit_is_a_decimal_number_of_calls_per_second(self):
        for text, limit in (("6.4", 6.4), (" 14 ", 14.0), ("0", 0.0)):
            report = UpstreamReport(rate_limit=limit)
            self.assertEqual(self.parse((LIMIT, text)), report)

    def test_a_header_may_have_any_prefix(self):
        for prefix in ("", "X-", "Other-"):
            headers = (
                (f"{prefix}Upstream-Rate-Limit", "2"),
                (f"{prefix}{LEAVING[2:]}", "1"),
            )
            report = UpstreamReport(rate_limit=2.0, leaving=True)
            self.assertEqual(self.parse(*headers), report)

    def test_an_invalid_limit_is_kept_as_text(self):
        for text in INVALID_LIMITS:
            self.assertIsNone(parse_rate_limit(text))
            self.assertEqual(self.parse((LIMIT, text)).invalid_rate_limit, text)

    def test_only_the_mark_announces_that_an_upstream_leaves(self):
        for text, leaving in (("1", True), ("0", False), ("", False)):
            self.assertEqual(self.parse((LEAVING, text)).leaving, leaving)

    def test_an_answer_of_another_upstream_is_marked(self):
        upstream = Upstream("127.0.0.1", 1, HeaderNames())
        outcome = upstream.classify(
            Answer(421, ((LIMIT, "2"),), b""), 0.1, idempotent=False
        )
        self.assertEqual(outcome, NotRun("instance-replaced", from_upstream=True))
        self.assertTrue(upstream.report.replaced)


class PaceHeaderTests(TestCase):
    def test_the_fourth_figure_is_the_pace_in_per_cent(self):
        for text, pace in (("100", 1.0), (" 250", 2.5), ("10", 0.1), ("62.5", 0.625)):
            self.assertEqual(parse_load(f"2,1,3,{text}"), Load(2, 1, 3, pace))

    def test_a_header_without_it_has_no_pace(self):
        # An upstream that reports none would count as one that reports garbage.
        report = parse_report((("X-Upstream-Load", "2,1,3"),), HeaderNames())
        self.assertEqual(report.load, Load(2, 1, 3))
        self.assertFalse(report.invalid_pace)

    def test_an_absurd_pace_is_dropped_and_the_counts_stay(self):
        # With the whole header dropped, the home would overfill its upstream.
        for text in ("", "9", "10001", "-100", "nan", "inf", "1_0", "six", "٦٦٦"):
            headers = (("X-Upstream-Load", f"2,1,3,{text}"),)
            report = parse_report(headers, HeaderNames())
            self.assertEqual(report.load, Load(2, 1, 3))
            self.assertTrue(report.invalid_pace, text)


class ReportingUpstream:
    """Answers each call at once with the next report."""

    def __init__(self, reports):
        self.reports = list(reports)
        self.report = None

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        self.report = self.reports.pop(0)
        return Answer(200, (), b"")


class ReportLogTests(TestCase):
    def events_of(self, *reports):
        """Return the logged events of calls that are answered with reports."""
        events, seconds = [], [0.0]
        self.patch(clock, "now", lambda: seconds[0])

        async def run():
            log = EventLog("x-request-id")
            log.event = lambda kind, **pairs: events.append((kind, pairs.get("limit")))
            directory = Directory()
            directory.put(ENDPOINT, 1, clock.now())
            home = Home(ReportingUpstream(reports), directory, log)
            for number in range(len(reports)):
                seconds[0] += 1.0
                until = clock.now() + 9
                request = Request("GET", "/a", (), b"")
                call = HomeCall(
                    request, ENDPOINT.incarnation, "r", 0, True, until, until
                )
                home.submit(number, call, lambda outcome: None)
                await asyncio.sleep(0.01)
                home.dispatch()
                await asyncio.sleep(0.01)

        asyncio.run(run())
        return events

    def test_a_limit_is_logged_when_it_changes(self):
        reports = (
            UpstreamReport(rate_limit=each) for each in (900.0, 900.0, 800.0, None)
        )
        expected = [("upstream-limit", each) for each in (900.0, 800.0, "none")]
        self.assertEqual(self.events_of(*reports), expected)

    def test_an_invalid_limit_is_logged(self):
        report = UpstreamReport(invalid_rate_limit="six")
        expected = [("upstream-limit-refused", "six")]
        self.assertEqual(self.events_of(report), expected)

    def test_a_leaving_upstream_is_logged_once(self):
        report = UpstreamReport(leaving=True)
        self.assertEqual(self.events_of(report), [("upstream-leaving", None)])

    def test_an_upstream_that_has_left_gets_no_further_calls(self):
        report = UpstreamReport(leaving=True)
        self.assertEqual(self.events_of(report, report), [("upstream-leaving", None)])


class NewHeadersTests(TestCase):
    def test_each_header_name_is_reported_once(self):
        found, headers = [], NewHeaders()
        headers.on_new = lambda name, value: found.append((name, value))
        headers.record((("A", "1"), ("B", "2")))
        headers.record((("A", "3"), ("C", "4")))
        self.assertEqual(found, [("A", "1"), ("B", "2"), ("C", "4")])

    def test_the_number_of_remembered_names_is_limited(self):
        found, headers = [], NewHeaders()
        headers.on_new = lambda name, value: found.append(name)
        headers.record(tuple((f"X-{number}", "") for number in range(3 * MAX_NAMES)))
        self.assertEqual(len(found), MAX_NAMES)
