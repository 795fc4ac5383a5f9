"""Tests that a large body is in the memory of a node only once."""

import asyncio
import tracemalloc
from contextlib import contextmanager
from dataclasses import replace

from sequoiaspoke.core.mesh.outcome import Answer, Request
from sequoiaspoke.sidecar import callerserver, clock
from sequoiaspoke.sidecar.transfers import IncomingBodies
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.tests.test_bodies import BodiesCase
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase
from sequoiaspoke.tests.test_slow_reading import (
    NAMES,
    WAIT,
    SlowReadingCase,
    small_socket,
)

BODY = bytes(range(256)) * (16 << 10)
# Bytes that a call may take beside its body.
ALLOWED = 1 << 20


@contextmanager
def allocations():
    """Yield a function that returns the bytes allocated since the start."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        yield lambda: tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


class RunningBodyTests(SlowReadingCase):
    def play(self, scenario):
        """Play a call with a large body at an upstream whose socket is given."""

        async def run():
            listening = small_socket()
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            upstream = Upstream(*listening.getsockname()[:2], NAMES)
            headers = (("Host", "x"), (NAMES.call_id, "c1"))
            request = Request("POST", "/a", headers, BODY)
            call = asyncio.ensure_future(
                upstream.call(request, "i", clock.now() + WAIT, False, lambda: None)
            )
            sock, _ = await asyncio.get_running_loop().sock_accept(listening)
            try:
                await scenario(upstream, sock, call)
            finally:
                upstream.close_idle_connections()
                sock.close()
                listening.close()

        self.run_bounded(run)

    async def read(self, sock, size):
        """Return the next bytes that the upstream is sent."""
        seen = bytearray()
        while len(seen) < size:
            data = await asyncio.get_running_loop().sock_recv(sock, 65536)
            self.assertTrue(data)
            seen += data
        return bytes(seen)

    async def answer(self, sock):
        """Answer the call."""
        lines = f"{NAMES.stamp}: s\r\n{NAMES.call_id}: c1\r\nContent-Length: 1\r\n\r\n"
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, f"HTTP/1.1 200 OK\r\n{lines}z".encode())

    def test_a_body_that_the_upstream_does_not_read_is_held_once(self):
        # The buffer of the connection held all that was not sent a second time.
        async def scenario(upstream, sock, call):
            with allocations() as allocated:
                await asyncio.sleep(0.2)
                self.assertTrue(upstream.unsent_bytes() > len(BODY) // 2)
                self.assertTrue(allocated() < ALLOWED, allocated())
            call.cancel()

        self.play(scenario)

    def test_a_body_is_held_once_until_its_answer(self):
        # It was joined with its head, and both were held while the call ran.
        async def scenario(upstream, sock, call):
            with allocations() as allocated:
                head = await self.read(sock, 1)
                start = head[head.index(b"\r\n\r\n") + 4 :]
                rest = await self.read(sock, len(BODY) - len(start))
                self.assertEqual(start + rest, BODY)
                del rest
                self.assertEqual(upstream.unsent_bytes(), 0)
                self.assertTrue(allocated() < ALLOWED, allocated())
            await self.answer(sock)
            self.assertIsInstance(await call, Answer)
            self.assertEqual(len(upstream.idle), 1)

        self.play(scenario)

    def test_a_connection_whose_body_was_not_read_is_not_used_again(self):
        # The upstream would read the rest as a request.
        async def scenario(upstream, sock, call):
            await self.read(sock, 1)
            await self.answer(sock)
            self.assertIsInstance(await call, Answer)
            self.assertEqual((upstream.idle, upstream.unsent_bytes()), ([], 0))

        self.play(scenario)


class GrowthMixin:
    """Measures what a method allocates at its peak, beyond what it leaves."""

    def measure(self, owner, name):
        """Measure a method of a class from now on."""
        method = getattr(owner, name)
        self.growth = []

        def measured(*args):
            tracemalloc.reset_peak()
            method(*args)
            after, peak = tracemalloc.get_traced_memory()
            self.growth.append(peak - after)

        self.patch(owner, name, measured)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def check_growth(self):
        self.assertTrue(max(self.growth) < ALLOWED, max(self.growth))


class FetchedBodyTests(GrowthMixin, BodiesCase):
    def test_a_body_is_not_copied_as_it_becomes_complete(self):
        # The home held the largest body that it may have twice.
        async def scenario(world):
            world.home.admission.transfers.set_link_mbps(100.0)
            world.send("/1", len(BODY), seconds=30.0)
            await world.until(lambda: world.outcomes, 30.0)
            self.assertIsInstance(world.outcomes["/1"], Answer)
            self.check_growth()

        self.measure(IncomingBodies, "receive")
        self.play(scenario)


class CallerBodyTests(GrowthMixin, CallerServerTestCase):
    def test_a_body_is_not_copied_as_it_becomes_complete(self):
        # The entry held the largest body that it may have twice.
        async def scenario(reader, writer):
            self.server.current_limits = replace(
                self.server.current_limits, body_bytes=2 * len(BODY)
            )
            self.handler.gate.set()
            head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {len(BODY)}\r\n\r\n"
            writer.write(head.encode() + BODY)
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
            self.check_growth()

        self.measure(callerserver.CallerConnection, "on_message_complete")
        self.play(scenario)
