"""Tests of callbacks at their times, on a virtual clock."""

import asyncio

from testtools import TestCase

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import MIN_SWEEP_SIZE, Deadlines
from sequoiaspoke.tests.meshsim import VirtualLoop


class DeadlinesTests(TestCase):
    def play(self, scenario):
        loop = VirtualLoop()
        self.patch(clock, "now", loop.time)
        self.ran = []
        try:
            return loop.run_until_complete(scenario(Deadlines()))
        finally:
            loop.close()

    def note(self, name):
        return lambda: self.ran.append((name, round(clock.now() - 1000.0, 2)))

    def test_each_runs_at_its_time_in_whatever_order_they_were_set(self):
        async def scenario(deadlines):
            for name, seconds in (("c", 3.0), ("a", 1.0), ("b", 2.0)):
                deadlines.call_at(clock.now() + seconds, self.note(name))
            await asyncio.sleep(10)

        self.play(scenario)
        self.assertEqual(self.ran, [("a", 1.0), ("b", 2.0), ("c", 3.0)])

    def test_what_was_called_off_does_not_run(self):
        async def scenario(deadlines):
            first = deadlines.call_at(clock.now() + 1.0, self.note("a"))
            deadlines.call_at(clock.now() + 2.0, self.note("b"))
            first.cancel()
            await asyncio.sleep(10)

        self.play(scenario)
        self.assertEqual(self.ran, [("b", 2.0)])

    def test_one_that_fails_does_not_hold_up_the_others(self):
        # The answer to one call cannot be given for some fault. The callers of all
        # others would wait until they give up.
        async def scenario(deadlines):
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            deadlines.call_at(clock.now() + 1.0, lambda: 1 // 0)
            deadlines.call_at(clock.now() + 1.0, self.note("b"))
            await asyncio.sleep(10)

        self.play(scenario)
        self.assertEqual([name for name, _ in self.ran], ["b"])

    def test_a_node_that_ends_runs_all_before(self):
        async def scenario(deadlines):
            deadlines.call_at(clock.now() + 30.0, self.note("a"))
            deadlines.cap(clock.now() + 2.0)
            deadlines.call_at(clock.now() + 40.0, self.note("b"))
            await asyncio.sleep(50)

        self.play(scenario)
        self.assertEqual(self.ran, [("a", 2.0), ("b", 2.0)])

    def test_the_loop_is_not_kept_busy_until_the_next_is_due(self):
        # The loop's timers go by the millisecond. One set for the exact time ran a
        # moment too soon and was set again, 200 times a second.
        async def scenario(deadlines):
            armed = []
            arm = deadlines.arm
            deadlines.arm = lambda: (armed.append(1), arm())
            for number in range(10):
                deadlines.call_at(clock.now() + 1.00037 + number, self.note(number))
            await asyncio.sleep(20)
            return len(armed)

        self.assertTrue(self.play(scenario) <= 11)

    def test_what_was_called_off_is_not_kept(self):
        # Nearly all calls end in time. Kept until their deadlines, 15 s of calls would
        # stand in memory.
        async def scenario(deadlines):
            for _ in range(50 * MIN_SWEEP_SIZE):
                deadlines.call_at(clock.now() + 15.0, self.note("a")).cancel()
            return len(deadlines.heap)

        self.assertTrue(self.play(scenario) <= MIN_SWEEP_SIZE + 1)
