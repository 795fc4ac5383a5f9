"""Tests of peers that read slowly, over loopback sockets with small buffers.

The kernel's timeout for unacknowledged bytes is shorter here, so that a second is long.
"""

import asyncio
import socket

from testtools import TestCase
from tornado.netutil import bind_sockets

from sequoiaspoke.core.mesh.memory import MemoryAccount
from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.core.mesh.outcome import Answer, Request
from sequoiaspoke.sidecar import callerserver, clock, httpclient, sockets
from sequoiaspoke.sidecar.callerserver import MAX_PIPELINED, CallerServer
from sequoiaspoke.sidecar.frames import TcpDialer, TcpFrameStream
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.tests.test_callerserver import FakeTransport

WAIT = 20.0  # seconds; only a failing test waits so long
USER_TIMEOUT_MS = 50
PAUSE = 1.0  # seconds for which a peer does not read
WINDOW = 8192
SEGMENT = 1460  # with the large segments of loopback the kernel buffers megabytes
ANSWER = b"x" * 9000
CALLS = 8
NAMES = HeaderNames()
# Until the first probe, between probes, and their number.
PROBE_OPTIONS = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)


def small_socket():
    """Return a socket with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    sock.setblocking(False)
    return sock


class SlowReadingCase(TestCase):
    def setUp(self):
        super().setUp()
        for module in (sockets, httpclient):
            self.patch(module, "USER_TIMEOUT_MS", USER_TIMEOUT_MS)

    def run_bounded(self, scenario):
        async def run():
            async with asyncio.timeout(WAIT):
                return await scenario()

        return asyncio.run(run())


class SlowCallerTests(SlowReadingCase):
    body = ANSWER

    def setUp(self):
        super().setUp()
        self.gate = asyncio.Event()

    async def serve(self):
        async def handle(request):
            if request.target == "/first":
                await self.gate.wait()
            return Answer(200, (), self.body)

        server = CallerServer(handle, self.fail, memory=MemoryAccount())
        (listening,) = bind_sockets(0, "127.0.0.1")
        server.add_sockets([listening])
        self.addCleanup(server.stop)
        self.server = server
        sock = small_socket()
        await asyncio.get_running_loop().sock_connect(sock, listening.getsockname()[:2])
        return sock

    async def read_all(self, sock, size):
        """Return what is read until `size` bytes have come or the connection ends."""
        loop, seen = asyncio.get_running_loop(), b""
        while len(seen) < size:
            data = await loop.sock_recv(sock, 65536)
            if not data:
                break
            seen += data
        sock.close()
        return seen

    def test_a_caller_that_pauses_gets_all_answers_of_its_connection(self):
        # The kernel reset the connection after two seconds, and the answers were lost.
        async def scenario():
            sock = await self.serve()
            loop = asyncio.get_running_loop()
            request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
            await loop.sock_sendall(sock, CALLS * request)
            await asyncio.sleep(PAUSE)
            return await self.read_all(sock, CALLS * len(ANSWER) + CALLS * 30)

        self.assertEqual(self.run_bounded(scenario).count(ANSWER), CALLS)

    def test_a_caller_that_pauses_gets_an_answer_that_closes_the_connection(self):
        # A second after the last answer the connection was closed, read or not.
        self.patch(callerserver, "CLOSE_TIMEOUT", 0.05)
        self.body = ANSWER * 1000

        async def scenario():
            sock = await self.serve()
            request = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            await asyncio.get_running_loop().sock_sendall(sock, request)
            await asyncio.sleep(0.5)
            return await self.read_all(sock, 10 * len(self.body))

        self.assertTrue(self.run_bounded(scenario).endswith(self.body))

    def test_a_caller_that_pauses_may_send_more_than_its_last_request(self):
        # The whole answer was in the kernel, which dropped the rest of it when more
        # came to the connection, as that had been closed meanwhile.
        self.patch(callerserver, "CLOSE_TIMEOUT", 0.05)
        self.body = ANSWER * 5

        async def scenario():
            sock = await self.serve()
            loop = asyncio.get_running_loop()
            request = b"GET /a HTTP/1.1\r\nHost: x\r\n"
            await loop.sock_sendall(sock, request + b"Connection: close\r\n\r\n")
            await asyncio.sleep(0.5)
            await loop.sock_sendall(sock, request + b"\r\n")
            return await self.read_all(sock, 10 * len(self.body))

        self.assertTrue(self.run_bounded(scenario).endswith(self.body))

    def test_a_caller_that_sent_too_many_requests_gets_the_answers_it_is_due(self):
        # Reading was paused until the end, and what had not been read reset the
        # connection with the answers that the kernel had not sent yet.
        self.patch(callerserver, "CLOSE_TIMEOUT", 0.05)
        self.body = b"x" * 400

        async def scenario():
            sock = await self.serve()
            self.server.closing = True
            loop = asyncio.get_running_loop()
            request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
            first = request.replace(b"/a", b"/first")
            await loop.sock_sendall(sock, first + (MAX_PIPELINED - 1) * request)
            while not any(each.reading_paused for each in self.server.connections):
                await asyncio.sleep(0.001)
            await loop.sock_sendall(sock, 20 * request)
            self.gate.set()
            while self.server.connections:
                await asyncio.sleep(0.01)
            return await self.read_all(sock, 10**9)

        seen = self.run_bounded(scenario)
        self.assertEqual(seen.count(b"HTTP/1.1 200"), MAX_PIPELINED)

    def test_a_stopping_node_waits_for_a_caller_that_still_reads(self):
        # It exited as soon as the answer was written, with most of it in its memory.
        self.body = ANSWER * 1000

        async def scenario():
            sock = await self.serve()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            while not any(each.unread for each in self.server.connections):
                await asyncio.sleep(0.01)
            self.server.stop_accepting()
            self.server.close_idle()
            open_connections = len(self.server.connections)
            seen = await self.read_all(sock, 10**9)
            while self.server.connections:
                await asyncio.sleep(0.01)
            return open_connections, seen

        open_connections, seen = self.run_bounded(scenario)
        self.assertEqual(open_connections, 1)
        self.assertTrue(seen.endswith(self.body))


class BufferingTransport(FakeTransport):
    """A transport with as many unread bytes as the test says."""

    buffered = 0
    aborted = False

    def get_write_buffer_size(self):
        return self.buffered

    def abort(self):
        self.aborted = True


class StalledCallerTests(TestCase):
    """Callers with unread answers and no call, on a clock that the test advances."""

    def play(self, sizes):
        """Return after which of the given sizes of unread bytes the caller is closed.

        There is one a second; the idle timeout is three seconds.
        """
        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)

        async def run():
            server = CallerServer(None, self.fail, memory=MemoryAccount())
            server.current_limits = CallerLimits(idle_timeout=3.0)
            connection = server.new_connection()
            with socket.socket() as sock:
                transport = BufferingTransport(sock)
                connection.connection_made(transport)
                connection.pause_writing()
                for number, size in enumerate(sizes):
                    transport.buffered = size
                    server.tick(self.time)
                    if transport.aborted:
                        return number
                    self.time += 1.0
            return None

        return asyncio.run(run())

    def test_a_caller_that_reads_slowly_is_not_idle(self):
        # Its connection was closed a while after the last answer, however much of it it
        # had read meanwhile.
        self.assertIsNone(self.play(range(90_000, 60_000, -1000)))

    def test_a_caller_that_reads_what_the_kernel_holds_is_not_idle(self):
        # The rest of its answer was dropped: the kernel takes nothing from the node
        # until a large part of its own buffer has been read.
        self.patch(
            sockets,
            "count_unacknowledged_bytes",
            lambda _: 1_000_000 - int(100 * self.time),
        )
        self.assertIsNone(self.play([9000] * 30))

    def test_a_caller_that_has_vanished_is_found(self):
        # Without a limit the kernel would repeat its answers for a quarter of an hour.
        self.assertEqual(self.play([9000] * 10), 4)


class SlowUpstreamTests(SlowReadingCase):
    def call(self, size):
        """Return the outcome of a call with a body at an upstream that pauses."""

        async def scenario():
            listening = small_socket()
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            loop = asyncio.get_running_loop()
            upstream = Upstream(*listening.getsockname()[:2], NAMES)
            request = Request("POST", "/a", (("Host", "x"),), b"b" * size)
            call = asyncio.ensure_future(
                upstream.call(request, "i", clock.now() + WAIT, False, lambda: None)
            )
            sock, _ = await loop.sock_accept(listening)
            await asyncio.sleep(PAUSE)
            seen = b""
            while seen.count(b"b") < size and not call.done():
                data = await loop.sock_recv(sock, 65536)
                if not data:
                    break
                seen += data
            if not call.done():
                head = (
                    f"HTTP/1.1 200 OK\r\n{NAMES.stamp}: s\r\nContent-Length: 1\r\n\r\n"
                )
                await loop.sock_sendall(sock, head.encode() + b"z")
            outcome = await call
            upstream.close_idle_connections()
            sock.close()
            listening.close()
            return outcome

        return self.run_bounded(scenario)

    def test_an_upstream_that_pauses_gets_a_large_body(self):
        # The kernel reset the connection after two seconds, and nobody knew whether the
        # order had been taken.
        outcome = self.call(400_000)
        self.assertIsInstance(outcome, Answer)
        self.assertEqual(outcome.status, 200)


class UserTimeoutTests(TestCase):
    """The kernel's timeouts of connections that are otherwise silent for good."""

    def user_timeout(self, connection):
        return connection.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    def play(self, scenario):
        async def run():
            (listening,) = bind_sockets(0, "127.0.0.1")
            address = listening.getsockname()[:2]
            server = await asyncio.get_running_loop().create_server(
                TcpFrameStream, sock=listening
            )
            try:
                async with asyncio.timeout(WAIT):
                    await scenario(address)
            finally:
                server.close()

        asyncio.run(run())

    def test_a_link_whose_node_has_vanished_is_found(self):
        # Nodes read their links at once, and a link that is silent holds up calls.
        async def scenario(address):
            link = await TcpDialer().dial(*address)
            self.assertEqual(self.user_timeout(link), sockets.USER_TIMEOUT_MS)
            link.close()

        self.play(scenario)

    def test_a_link_that_has_nothing_to_send_is_found_as_early(self):
        # Its calls can be sent over another link.
        async def scenario(address):
            link = await TcpDialer().dial(*address)
            idle, interval, probes = (
                link.socket.getsockopt(socket.IPPROTO_TCP, option)
                for option in PROBE_OPTIONS
            )
            milliseconds = 1000 * (idle + interval * probes)
            self.assertEqual(milliseconds, sockets.USER_TIMEOUT_MS)
            link.close()

        self.play(scenario)

    def test_an_upstream_connection_that_is_silent_is_found_if_a_request_is_small(self):
        # A call would wait for its deadline in place of being tried elsewhere.
        async def scenario(address):
            connection = await httpclient.connect(
                address, "x", Upstream(*address, NAMES).deadlines
            )
            usual = sockets.USER_TIMEOUT_MS
            for size, expected in ((100, usual), (100_000, 0), (100, usual)):
                connection.expect_slow_reading(size > httpclient.MAX_BUFFERED_REQUEST)
                self.assertEqual(self.user_timeout(connection), expected)
            connection.close()

        self.play(scenario)
