"""Tests of the sidecar's log: limited in rate, and never blocking."""

import os
import runpy

from loguru import logger
from testtools import TestCase

from sequoiaspoke.core.mesh.outcome import Request
from sequoiaspoke.node.logs import format_line
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.events import EVENTS
from sequoiaspoke.sidecar.logs import MAX_LINES_PER_SECOND, DroppingOutput, EventLog
from sequoiaspoke.tests.golden import ROOT

CALL = Request("GET", "/a", (("X-Request-Id", "c 1"),), b"")


class EventLogTests(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.patch(clock, "now", lambda: self.now)
        self.lines = []
        logger.remove()
        sink = logger.add(self.lines.append, format=format_line, colorize=False)
        self.addCleanup(logger.remove, sink)
        self.log = EventLog("x-request-id")

    def test_a_line_has_the_call_id_and_the_reason(self):
        self.log.call("call-refused", CALL, reason="no-time", left="0.1")
        (line,) = self.lines
        self.assertIn('event=call-refused id="c 1" reason=no-time left=0.1', line)

    def test_excess_lines_of_an_event_are_suppressed_and_counted(self):
        # Every call fails for a minute. With a line for each, the log would take the
        # processor time that the calls need.
        for _ in range(1000):
            self.log.call("call-failed", CALL)
        self.log.call("hedge", CALL)
        self.assertEqual(len(self.lines), MAX_LINES_PER_SECOND + 1)
        self.now += 1
        self.log.call("call-failed", CALL)
        reported = [line for line in self.lines if "lines-left-out" in line]
        self.assertIn(
            f"kind=call-failed count={1000 - MAX_LINES_PER_SECOND}", reported[0]
        )


class DroppingOutputTests(TestCase):
    def test_a_hanging_reader_causes_dropped_lines_and_no_blocking(self):
        # The collector of the lines hangs and its pipe is full. A blocking write would
        # stop all calls of the node.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        output = DroppingOutput(writer)
        for _ in range(3000):
            output.write("x" * 100 + "\n")
        self.assertTrue(output.dropped > 0)
        os.read(reader, 1 << 16)
        before = output.dropped
        output.write("y\n")
        self.assertEqual(output.dropped, before)


class EventsTests(TestCase):
    def test_every_event_that_is_logged_has_a_meaning(self):
        # The reference page must explain each event that an operator may see.
        reference = runpy.run_path(str(ROOT / "tools" / "reference.py"))
        written = set(reference["event_pairs"]())
        self.assertEqual(written - set(EVENTS), set())
        # This event is logged without the methods of EventLog.
        self.assertEqual(set(EVENTS) - written, {"lines-left-out"})
