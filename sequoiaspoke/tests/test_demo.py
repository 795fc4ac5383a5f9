"""The whole session of the demonstration, against its golden file."""

import asyncio

from loguru import logger
from testtools import TestCase

from sequoiaspoke.demo.session import Session
from sequoiaspoke.tests.golden import assert_golden

FLOW_SECONDS = 0.3


class SessionTests(TestCase):
    """Rules are edited and reordered and a target leaves while calls flow.

    A lost call is a family that sees no ceremony; a doubled one is a mourner
    who pays twice for flowers.
    """

    def test_the_session_loses_and_doubles_nothing(self):
        logger.disable("sequoiaspoke")
        self.addCleanup(logger.enable, "sequoiaspoke")
        session = Session(lambda text: None, FLOW_SECONDS)
        whole = asyncio.run(session.run())
        assert_golden(self, "session.txt", "\n".join(session.events) + "\n")
        self.assertTrue(whole)
        self.assertTrue(session.traffic.tally.answered > 100)
