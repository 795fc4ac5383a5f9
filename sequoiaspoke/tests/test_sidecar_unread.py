"""Tests that nothing which waits in the kernel is dropped, over loopback sockets."""

import asyncio
from dataclasses import replace

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.sidecar import clock, shutdown
from sequoiaspoke.tests.test_sidecar_exit import REQUEST, ExitTestCase, received

# More than the event loop accepts until a timer runs that has the sockets read.
CALLERS = 20


class PauseTests(ExitTestCase):
    def test_long_iterations_between_timer_and_tick_are_no_pause(self):
        # A busy node read the store anew with every tick.
        async def scenario():
            await self.connect()
            node, self.events = self.sidecar, []
            self.patch(node.log, "event", lambda name, **_: self.events.append(name))
            ticked = asyncio.Event()
            self.patch(node.callers, "tick", lambda now: ticked.set())  # noqa: ARG005
            node.ticked_at = clock.now() - 0.6
            node.callers_ticked_at = 0.0
            node.run_ticks()
            self.skipped += 0.6
            await ticked.wait()
            self.stop_idle()

        self.play(scenario)
        self.assertEqual(self.events.count("pause"), 1, self.events)

    def test_a_pause_between_timer_and_tick_is_found(self):
        # The timers of the calls would not be set anew.
        async def scenario():
            await self.connect()
            node, self.events = self.sidecar, []
            self.patch(node.log, "event", lambda name, **_: self.events.append(name))
            node.run_ticks()
            self.skipped += 1.1
            while "pause" not in self.events:
                await asyncio.sleep(0.005)
            self.stop_idle()

        self.play(scenario)


class UnreadTests(ExitTestCase):
    def test_connections_behind_silent_ones_are_accepted_before_the_input_ends(self):
        # The event loop accepts one in each iteration; the others were reset.
        async def scenario():
            self.serve_callers()
            await self.connect()
            self.stop_idle()
            self.late = [self.connect_late() for _ in range(CALLERS)]
            self.late[-1].sendall(REQUEST % (b"read", 1))
            self.sidecar.run_ticks()

        self.play(scenario)
        self.assertTrue(received(self.late[-1]).endswith(b"/read/1"))

    def test_connections_that_came_before_the_exit_are_accepted(self):
        # The timer of the exit reset those that waited behind others.
        async def scenario():
            await self.connect()
            self.patch(shutdown, "LAST_ANSWERS_SECONDS", 1.0)
            self.sidecar.stop()
            self.skipped += self.drain
            self.late = [self.connect_late() for _ in range(CALLERS)]
            for caller in self.late:
                caller.sendall(REQUEST % (b"order", 1))
            self.sidecar.shutdown.timers.on_timer()

        self.play(scenario)
        refused = sum(b" 503 " in received(caller) for caller in self.late)
        self.assertEqual((refused, self.sent), (CALLERS, []))

    def test_a_request_that_comes_between_the_poll_and_the_tick_is_answered(self):
        # The process may have waited for its processor between the two.
        async def scenario():
            self.serve_callers()
            self.caller = await self.connect()
            self.stop_idle()
            self.caller.sendall(REQUEST % (b"read", 1))
            self.sidecar.tick()

        self.play(scenario)
        self.assertTrue(received(self.caller).endswith(b"/read/1"))

    def test_a_request_that_comes_before_the_check_of_the_idle_time_is_answered(self):
        # The process may have waited for its processor since the last read.
        async def scenario():
            self.serve_callers()
            limits = replace(CallerLimits(), idle_timeout=0.5)
            self.sidecar.callers.current_limits = limits
            self.caller = await self.connect()
            self.skipped += 0.9
            self.caller.sendall(REQUEST % (b"read", 1))
            self.sidecar.tick()
            await asyncio.sleep(0.05)
            self.sidecar.stop()

        self.play(scenario)
        self.assertTrue(received(self.caller).endswith(b"/read/1"))
