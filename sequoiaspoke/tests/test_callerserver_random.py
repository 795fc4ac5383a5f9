"""Tests of the memory account with callers that do anything in any order."""

import asyncio
import random

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
LINE = b"ab:c\r\n"
LIMITS = CallerLimits(header_bytes=16 << 10, body_bytes=200_000)


def random_request(rng):
    """Return a request, or something like one."""
    head = HEAD + rng.choice((0, 1, 100, 2000, 4000)) * LINE
    size = rng.choice((0, 10, 20_000, 150_000, 300_000))
    body = size * b"x"
    chunk = b"%x\r\n%b\r\n0\r\n" % (size or 1, body or b"x")
    return rng.choice(
        (
            START + b"\r\n",
            head + b"\r\n",
            head + b"Content-Length: %d\r\n\r\n" % size + body,
            head + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % size + body,
            head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"\r\n",
            head
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunk
            + 4000 * LINE
            + b"\r\n",
            head + b"Transfer-Encoding: chunked\r\n\r\n" + 2000 * b"1\r\nx\r\n",
            head + b"Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
            b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
            head.replace(b"1.1", b"1.0") + b"\r\n",
            head.replace(b"/a", b"http://y/a") + b"\r\n",
            head + b"no header\r\n\r\n",
            50 * (START + b"\r\n"),
        )
    )


START = HEAD.replace(b"POST", b"GET")


class RandomCallersTests(CallerServerTestCase):
    """Plays callers whose connections end in the middle of whatever they do."""

    # Fewer bytes than what the callers send at once.
    limit = 400_000

    async def serve(self, request):
        """Answer late, at once, not at all, or fail."""
        await asyncio.sleep(self.rng.choice((0, 0, 0.002, 0.02)))
        if self.rng.random() < 0.05:
            raise asyncio.CancelledError
        size = self.rng.choice((0, 100, 50_000))
        return Answer(200, (), size * b"y")

    def act(self, connection):
        """Have something happen to a connection."""
        rng, action = self.rng, self.rng.random()
        if action < 0.75:
            data = random_request(rng)
            at = rng.randrange(len(data) + 1)
            # The rest may come later, behind something else, or never.
            for part in (data[:at], data[at:]) if rng.random() < 0.8 else (data[:at],):
                while part and not (connection.closed or connection.reading_paused):
                    size = rng.choice((1000, 10_000, 100_000))
                    connection.data_received(part[:size])
                    part = part[size:]
        elif action < 0.85:
            connection.transport.abort()
        elif action < 0.90 and not connection.reading_paused:
            if not connection.eof_received():
                connection.transport.close()
        elif action < 0.94:
            connection.end_input()
        elif action < 0.97:
            connection.request_started = connection.request_started and 0.0
        else:
            connection.tick(self.rng.choice((0.0, 1e12)))

    async def play_callers(self):
        writers = []
        for _ in range(80):
            if len(self.server.connections) < 6:
                _, writer = await asyncio.open_connection(*self.address)
                writers.append(writer)
                await asyncio.sleep(0.001)
            connections = sorted(self.server.connections, key=lambda x: x.last_active)
            if connections:
                connection = self.rng.choice(connections)
                connection.limits = LIMITS
                self.act(connection)
            if self.rng.random() < 0.5:
                await asyncio.sleep(0)
        if self.rng.random() < 0.5:
            self.server.end_input()
        for writer in writers:
            writer.transport.abort()
        for connection in list(self.server.connections):
            connection.close()

    def test_nothing_stays_reserved(self):
        async def scenario(reader, writer):
            self.server.handle = self.serve
            await self.play_callers()
            await self.until(lambda: not self.server.connections)
            await asyncio.sleep(0.03)
            memory = self.memory
            self.assertEqual((memory.held, memory.unread), (0, 0))
            self.assertEqual(self.server.arriving, {})
            self.assertEqual((self.server.slow_callers, self.server.calls), (set(), 0))

        for seed in range(10):
            with self.subTest(seed=seed):
                self.rng = random.Random(seed)
                self.play(scenario)
