"""Tests of the connections that a node keeps to an address."""

import asyncio
import contextlib

from testtools import TestCase
from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.settings.schema import LimitSettings
from sequoiaspoke.tests.loopback import WAIT, until


def numbered(number):
    """Return an answer with a number as its body."""
    return f"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{number}".encode()


class SecondAnswerTests(TestCase):
    """The server answers the first call twice."""

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                second = numbered(self.calls) if self.calls == 1 else b""
                writer.write(numbered(self.calls) + (b"" if self.late else second))
                if self.late:
                    await self.answered.wait()
                    writer.write(second)
                    await writer.drain()
                    self.sent.set()
        writer.close()
        self.connections -= 1

    async def call(self, pool):
        """Return the body of the answer to a call."""
        line = RequestStartLine("GET", "/", "HTTP/1.1")
        deadline = asyncio.get_running_loop().time() + WAIT
        answer = await pool.call(line, HTTPHeaders({"Host": "x"}), None, deadline)
        body = b""
        while chunk := await answer.body.get():
            body += chunk
        answer.close()
        await until(lambda: bool(pool.idle))
        return body

    def play(self, late):
        """Make two calls; the second answer comes `late`, or with the first one."""

        async def run():
            self.late = late
            self.calls = self.connections = 0
            self.answered, self.sent = asyncio.Event(), asyncio.Event()
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            pool = Pool(Address(*server.sockets[0].getsockname()), LimitSettings())
            first = await self.call(pool)
            self.answered.set()
            if late:
                await self.sent.wait()
                stream, _ = pool.idle[0]
                await until(lambda: stream._read_buffer_size)
            second = await self.call(pool)
            pool.close()
            server.close()
            await until(lambda: not self.connections)
            return first, second

        return asyncio.run(run())

    def test_a_second_answer_is_not_taken_for_that_to_the_next_call(self):
        # Its bytes were left on the connection, and the next caller got them.
        for late in (False, True):
            self.assertEqual(self.play(late), (b"1", b"2"))
