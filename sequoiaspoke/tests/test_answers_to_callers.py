"""Tests of large answers on their way from an upstream to many callers at once."""

import asyncio
import socket
from contextlib import suppress
from functools import partial

from testtools import TestCase
from tornado.netutil import bind_sockets

from sequoiaspoke.core.mesh import answerroom
from sequoiaspoke.core.mesh.answerroom import SMALL_ANSWER, AnswerRoom
from sequoiaspoke.core.mesh.memory import MemoryAccount
from sequoiaspoke.core.mesh.outcome import Answer, Request
from sequoiaspoke.sidecar import callerserver, clock
from sequoiaspoke.sidecar.callerserver import CallerServer
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.tests.test_endless_answers import serve_text, serving
from sequoiaspoke.tests.test_sidecar_upstream import answer

WAIT = 20.0  # seconds; only a failing test waits so long
SIZE = 4 * SMALL_ANSWER
LIMIT = 10 * SMALL_ANSWER  # holds two answers
BUFFER = 32 << 10  # of both ends, as the kernel could hold whole answers otherwise
CALLERS = 12
CHUNK = 16 << 10
PAUSE = 0.002  # seconds between two chunks, in which a node reads a whole answer
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class AnswersToCallersTests(TestCase):
    """The account of a node holds two of the answers that its upstream gives."""

    def setUp(self):
        super().setUp()
        # A busy machine ends neither wait before the test has seen what it looks for.
        self.patch(answerroom, "MAX_WAIT_SECONDS", WAIT)
        self.patch(callerserver, "STOPPED_SECONDS", WAIT)

    def play(self, scenario):
        async def handle(request):
            call = Request("GET", "/a", (("X-Request-Id", "c"),), b"")
            outcome = await self.upstream.call(
                call, "i", clock.now() + WAIT, True, lambda: None
            )
            self.assertIsInstance(outcome, Answer)
            return outcome

        async def tick():
            while True:
                await asyncio.sleep(0.01)
                self.upstream.tick(clock.now())
                self.server.tick(clock.now())

        async def run():
            self.memory = MemoryAccount(LIMIT)
            room = AnswerRoom(self.memory)
            self.server = CallerServer(handle, self.fail, memory=self.memory)
            (listening,) = bind_sockets(0, "127.0.0.1")
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
            self.address = listening.getsockname()[:2]
            self.server.add_sockets([listening])
            serve = partial(serve_text, answer("c", "z" * SIZE))
            async with asyncio.timeout(WAIT), serving(serve) as port:
                self.upstream = Upstream("127.0.0.1", port, HeaderNames(), room)
                ticks = asyncio.ensure_future(tick())
                try:
                    await scenario()
                finally:
                    ticks.cancel()
                    self.server.stop()
                    for connection in list(self.server.connections):
                        connection.close()
                    self.upstream.close_idle_connections()
                    await asyncio.sleep(0.01)

        asyncio.run(run())

    async def send_request(self):
        """Return the socket of a caller that has sent its request."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.address)
        await loop.sock_sendall(sock, REQUEST)
        return sock

    async def read(self, sock):
        """Return how many bytes of the body a caller gets that reads on and on."""
        loop, seen = asyncio.get_running_loop(), b""
        with suppress(ConnectionError):
            while data := await loop.sock_recv(sock, CHUNK):
                seen += data
                await asyncio.sleep(PAUSE)
        return len(seen.partition(b"\r\n\r\n")[2])

    def test_callers_that_read_on_get_whole_answers(self):
        # Those that had not been read in the moment in which the next one came were
        # cut off, although that one could have waited in the kernel.
        async def scenario():
            callers = [await self.send_request() for _ in range(CALLERS)]
            sizes = await asyncio.gather(*map(self.read, callers))
            self.assertEqual(sizes, [SIZE] * CALLERS)
            self.assertEqual((self.memory.unread, self.memory.passing), (0, 0))

        self.play(scenario)

    def test_callers_that_read_nothing_keep_no_answer_from_others(self):
        # Nor do they fill the memory: each answer waits until there is room for it.
        self.patch(callerserver, "STOPPED_SECONDS", 0.2)
        most = []

        async def scenario():
            count = self.memory.change_unread

            def record(change):
                count(change)
                most.append(self.memory.held - self.memory.passing)

            self.memory.change_unread = record
            for _ in range(CALLERS // 2):
                await self.send_request()
            while not self.memory.wanted:
                await asyncio.sleep(0.01)
            self.assertEqual(await self.read(await self.send_request()), SIZE)

        self.play(scenario)
        self.assertTrue(max(most) <= LIMIT, max(most))
