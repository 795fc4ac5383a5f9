"""Tests that timers take account of what waits in the kernel, over loopback sockets."""

import asyncio
import socket
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.core.mesh.outcome import Answer, Request
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.httpclient import open_connection
from sequoiaspoke.sidecar.liveness import LIVENESS_TIMEOUT
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.tests.heldloop import run_held
from sequoiaspoke.tests.test_meshlink import LinkWorld
from sequoiaspoke.tests.test_sidecar_exit import REQUEST, WAIT, ExitTestCase, received
from sequoiaspoke.tests.test_sidecar_home import ENDPOINT
from sequoiaspoke.tests.test_sidecar_upstream import answer


def read_request(listener):
    """Accept a connection; return it and the request that came on it."""
    connection, _ = listener.accept()
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(65536)
    return connection, data


class HeldCallerTests(ExitTestCase):
    """Sends requests in the moment in which a timer is due and nothing was read."""

    def test_a_request_that_came_before_the_input_ends_is_answered(self):
        # A process that had waited for its processor closed the connection unread.
        async def scenario():
            self.serve_callers()
            self.caller = await self.connect()
            self.stop_idle()
            self.caller.sendall(REQUEST % (b"read", 1))
            self.sidecar.run_ticks()

        self.play(scenario)
        self.assertTrue(received(self.caller).endswith(b"/read/1"))

    def test_a_connection_that_came_before_the_input_ends_is_served(self):
        # It waited to be accepted, and was reset with the listener.
        async def scenario():
            self.serve_callers()
            await self.connect()
            self.stop_idle()
            self.late = self.connect_late()
            self.late.sendall(REQUEST % (b"read", 2))
            self.sidecar.run_ticks()

        self.play(scenario)
        self.assertTrue(received(self.late).endswith(b"/read/1"))

    def test_a_request_that_came_before_the_exit_is_refused(self):
        # The timer of the exit closed the connection unread.
        async def scenario():
            self.caller = await self.connect()
            self.sidecar.stop()
            self.skipped += self.drain
            self.caller.sendall(REQUEST % (b"order", 1))
            self.sidecar.shutdown.timers.on_timer()

        self.play(scenario)
        self.assertIn(b" 503 ", received(self.caller))
        self.assertEqual(self.sent, [])

    def test_a_request_that_came_within_the_idle_timeout_is_answered(self):
        # The connection was closed as idle with the request in the kernel.
        async def scenario():
            self.serve_callers()
            limits = replace(CallerLimits(), idle_timeout=0.5)
            self.sidecar.callers.current_limits = limits
            self.caller = await self.connect()
            self.skipped += 0.9
            self.caller.sendall(REQUEST % (b"read", 1))
            self.sidecar.run_ticks()
            self.sidecar.stop()

        self.play(scenario)
        self.assertTrue(received(self.caller).endswith(b"/read/1"))


class HeldAnswerTests(ExitTestCase):
    def test_an_answer_that_came_before_the_deadline_is_passed_on(self):
        # Its caller got 504, as the timers of the call ran before the answer was read.
        async def scenario():
            with socket.create_server(self.sidecar.settings.upstream) as upstream:
                await self.call_at(upstream)

        self.play(scenario)
        text = received(self.caller)
        self.assertTrue(text.endswith(b"\r\n\r\nready"), text)

    async def call_at(self, listener):
        """Call an upstream that answers while the process is held."""
        node, loop = self.sidecar, asyncio.get_running_loop()
        endpoint = replace(ENDPOINT, host=node.settings.links[0])
        node.state.directory.put(endpoint, 2, clock.now())
        del node.entry.attempts.send_to_home, node.entry.attempts.usable
        self.caller = await self.connect()
        self.caller.sendall(REQUEST.replace(b"1000", b"500") % (b"order", 7))
        accepted = loop.run_in_executor(None, read_request, listener)
        connection, _ = await accepted
        self.skipped += 0.6
        connection.sendall(answer("7", "ready", headers="X-Upstream-Stamp: s\r\n"))
        node.entry.deadlines.on_timer()
        node.upstream.deadlines.on_timer()
        while node.home.calls:
            await asyncio.sleep(0.005)
        connection.close()
        self.stop_idle()


class HeldClientTests(TestCase):
    def test_an_upstreams_answer_that_waits_is_no_timeout(self):
        async def scenario():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                loop = asyncio.get_running_loop()
                upstream = Upstream(*listener.getsockname()[:2], HeaderNames())
                request = Request("GET", "/a", (("X-Request-Id", "c"),), b"")
                call = asyncio.ensure_future(
                    upstream.call(request, "i", clock.now() + 0.2, True, lambda: None)
                )
                reading = loop.run_in_executor(None, read_request, listener)
                connection, _ = await reading
                with connection:
                    loop.hold(0.25, lambda: connection.sendall(answer("c")))
                    outcome = await call
                upstream.close_idle_connections()
                return outcome

        self.assertIsInstance(run_held(scenario()), Answer)

    def test_a_connection_that_is_open_is_no_timeout(self):
        # Its upstream was taken for unreachable.
        async def scenario():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                loop = asyncio.get_running_loop()
                address = listener.getsockname()[:2]
                opening = asyncio.ensure_future(
                    open_connection(address, "", Deadlines(), 0.05)
                )
                while len(loop.held.get_map()) < 2:
                    await asyncio.sleep(0)
                loop.hold(0.1, lambda: None)
                connection = await opening
                self.assertIsNotNone(connection)
                connection.close()

        run_held(scenario())


class HeldLinkTests(TestCase):
    def test_a_home_whose_answer_to_a_ping_waits_is_not_silent(self):
        # The link was closed, and the order went to another home.
        async def scenario():
            world = LinkWorld()
            world.upstream.gate.set()
            try:
                async with asyncio.timeout(WAIT):
                    await world.start_call("/first")
                    await world.until(world.link.stale)
                    call = world.start_call("/second")
                    asyncio.get_running_loop().hold(LIVENESS_TIMEOUT, lambda: None)
                    return await call
            finally:
                world.close()

        self.assertIsInstance(run_held(scenario()), Answer)
