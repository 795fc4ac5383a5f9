"""Tests of the deadline heap, on a virtual clock."""

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

    def test_callbacks_run_at_their_times_whatever_the_order_of_scheduling(self):
        async def scenario(deadlines):
            for name, seconds in (("c", 3.0), ("a", 1.0), ("b", 2.0)):
                deadlines.call_at(clock.now() + seconds, self.note(name))
            await asyncio.sleep(10)

        self.play(scenario)
        self.assertEqual(self.ran, [("a", 1.0), ("b", 2.0), ("c", 3.0)])

    def test_a_cancelled_callback_does_not_run(self):
        async def scenario(deadlines):
            first = deadlines.call_at(clock.now() + 1.0, self.note("a"))
            deadlines.call_at(clock.now() + 2.0, self.note("b"))
            first.cancel()
            await asyncio.sleep(10)

        self.play(scenario)
        self.assertEqual(self.ran, [("b", 2.0)])

    def test_a_callback_that_raises_does_not_stop_the_others(self):
        # Otherwise one call's error would leave all other callers without an answer.
        async def scenario(deadlines):
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)
            deadlines.call_at(clock.now() + 1.0, lambda: 1 // 0)
            deadlines.call_at(clock.now() + 1.0, self.note("b"))
            await asyncio.sleep(10)

        self.play(scenario)
        self.assertEqual([name for name, _ in self.ran], ["b"])

    def test_a_cap_applies_to_callbacks_set_before_and_after_it(self):
        async def scenario(deadlines):
            deadlines.call_at(clock.now() + 30.0, self.note("a"))
            deadlines.cap(clock.now() + 2.0)
            deadlines.call_at(clock.now() + 40.0, self.note("b"))
            await asyncio.sleep(50)

        self.play(scenario)
        self.assertEqual(self.ran, [("a", 2.0), ("b", 2.0)])

    def test_a_timer_is_set_once_per_callback(self):
        # The event loop's timers have a resolution of a millisecond. One set for the
        # exact time fired a moment early and was set again, 200 times a second.
        async def scenario(deadlines):
            armed = []
            arm = deadlines.arm
            deadlines.arm = lambda: (armed.append(1), arm())
            for number in range(10):
                deadlines.call_at(clock.now() + 1.00037 + number, self.note(number))
            await asyncio.sleep(20)
            return len(armed)

        self.assertTrue(self.play(scenario) <= 11)

    def test_cancelled_callbacks_are_removed(self):
        # Nearly all calls end before their deadlines. Kept until then, the callbacks of
        # all calls of the last 15 s would stay in memory.
        async def scenario(deadlines):
            for _ in range(50 * MIN_SWEEP_SIZE):
                deadlines.call_at(clock.now() + 15.0, self.note("a")).cancel()
            return len(deadlines.heap)

        self.assertTrue(self.play(scenario) <= MIN_SWEEP_SIZE + 1)
