"""Tests of sidecars whose VM's time of day jumps."""

import itertools
import time

from testtools import TestCase

from sequoiaspoke.tests.meshsim import play
from sequoiaspoke.tests.spreadsim import play as play_spread

STEPS = (0.0, 2400.0, -5.0, 60.0, -2400.0, 1e6, -1e9)  # seconds, in turn
SEEDS = (3, 11)


class ClockStepTests(TestCase):
    def step_clock(self):
        """Let the time of day jump at each look."""
        steps = itertools.cycle(STEPS)
        real_time = time.time
        self.patch(time, "time", lambda: real_time() + next(steps))

    def test_callers_get_the_same_answers_whatever_the_time_of_day(self):
        # The time of day is set back or ahead on a VM. Had a deadline or the window of
        # repeats been reckoned by it, calls would end early, wait for ever, or be
        # repeated beyond what is allowed.
        for seed in SEEDS:
            before = play(seed, self)
            self.step_clock()
            after = play(seed, self)
            self.assertEqual(after.problems, [])
            self.assertEqual(after.answers, before.answers)
            self.assertEqual(after.runs, before.runs)

    def test_changes_are_acted_on_at_the_same_moment_whatever_the_time_of_day(self):
        # Had the age of what is known been reckoned by it, a node would take its
        # readers for silent, or believe them for hours.
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
