"""Tests of the log of refusals and of answers that belong to no call under way."""

from collections import Counter

from loguru import logger
from testtools import TestCase

from sequoiaspoke.node.logs import format_line
from sequoiaspoke.sidecar.answerlog import AnswerLog, AnswerSource
from sequoiaspoke.sidecar.logs import EventLog


class AnswerLogTests(TestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        logger.remove()
        sink = logger.add(self.lines.append, format=format_line, colorize=False)
        self.addCleanup(logger.remove, sink)
        self.counts = Counter()
        self.log = AnswerLog(EventLog("x-request-id"), self.counts)

    def test_a_refusal_names_both_ids_and_the_connection(self):
        # Without them a refusal taken from an answer to another call looks true.
        self.log.refused(AnswerSource("c2", "", 503, 3, 2), marked=False)
        self.assertIn(
            "event=upstream-refusal id=c2 echoed=none status=503 marked=False"
            " connection=3 exchange=2",
            self.lines[0],
        )
        self.assertEqual(self.counts, {"refusal-unmarked": 1})

    def test_a_skipped_answer_names_both_ids(self):
        self.log.skipped(AnswerSource("c2", "c1", 200, 3, 2))
        self.assertIn("event=answer-skipped id=c2 echoed=c1", self.lines[0])
        self.assertEqual(self.counts, {"answer-skipped": 1})
