"""Tests of sidecars whose VM's system clock jumps."""

import itertools
import time

from testtools import TestCase

from sequoiaspoke.tests.meshsim import play
from sequoiaspoke.tests.spreadsim import simulate as play_spread

STEPS = (0.0, 2400.0, -5.0, 60.0, -2400.0, 1e6, -1e9)  # seconds
SEEDS = (3, 11)


class ClockStepTests(TestCase):
    def step_clock(self):
        """Make the system clock jump at each reading."""
        steps = itertools.cycle(STEPS)
        real_time = time.time
        self.patch(time, "time", lambda: real_time() + next(steps))

    def test_clock_jumps_do_not_change_answers(self):
        # The system clock of a VM is set back or ahead. If deadlines or the window of
        # the retry budget depended on it, calls would end early, wait forever, or be
        # retried more often than allowed.
        for seed in SEEDS:
            before = play(seed, self)
            self.step_clock()
            after = play(seed, self)
            self.assertEqual(after.problems, [])
            self.assertEqual(after.answers, before.answers)
            self.assertEqual(after.runs, before.runs)

    def test_clock_jumps_do_not_change_when_changes_are_applied(self):
        # If the age of a node's state depended on the system clock, it would take its
        # readers for silent, or trust outdated state for hours.
        for seed in SEEDS:
            before = play_spread(seed, self)
            self.step_clock()
            after = play_spread(seed, self)
            self.assertEqual(after.problems, [])
            versions = [
                [node.versions for node in world.nodes.values()]
                for world in (before, after)
            ]
            self.assertEqual(*versions)
