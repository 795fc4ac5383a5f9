"""Tests of callers of a node that have ended their sending side."""

import asyncio

from sequoiaspoke.tests.loopback import until
from sequoiaspoke.tests.nodeserver import ServerTestCase


class HalfClosedTests(ServerTestCase):
    """A caller that has ended its sending side may still wait for its answers."""

    GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    POST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok"
    CHUNKED = (
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nok\r\n0\r\n\r\n"
    )
    OLD = b"GET / HTTP/1.0\r\n\r\n"
    LAST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

    def answers_to(self, *parts):
        """Send parts, end the sending side and return the statuses of the answers."""

        async def scenario(reader, writer):
            writer.writelines(parts)
            writer.write_eof()
            for number in range(1, len(parts) + 1):
                await until(lambda n=number: self.handler.begun == n)
                # The end of the input arrives while the call runs.
                await asyncio.sleep(0.02)
                self.handler.gate.set()
                self.handler.gate.clear()
            self.received = await reader.read()

        self.play(scenario)
        self.assertEqual(self.handler.cancelled, 0)
        heads = self.received.split(b"HTTP/1.1 ")[1:]
        return [int(head[:3]) for head in heads if head[:3] != b"100"]

    def test_its_calls_are_answered(self):
        # The connection was closed without an answer while the call ran.
        for call in (self.GET, self.POST, self.CHUNKED, self.OLD, self.LAST):
            self.assertEqual(self.answers_to(call), [200], call)

    def test_its_pipelined_calls_are_answered(self):
        calls = (self.GET, self.POST, self.CHUNKED, self.GET)
        self.assertEqual(self.answers_to(*calls), [200] * 4)

    def test_a_caller_of_http_1_0_gets_no_interim_answer(self):
        self.answers_to(self.OLD)
        self.assertEqual(self.received.count(b"HTTP/1.1 "), 1)

    def test_an_incomplete_request_is_not_run(self):
        async def scenario(reader, writer):
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n")
            writer.write_eof()
            self.assertEqual(await reader.read(), b"")

        self.play(scenario)
        self.assertEqual(self.handler.begun, 0)

    def test_a_call_with_an_incomplete_body_is_not_completed(self):
        async def scenario(reader, writer):
            writer.write(self.POST[:-1])
            await until(lambda: self.handler.begun == 1)
            writer.write_eof()
            self.handler.gate.set()
            self.assertEqual(await reader.read(), b"")

        self.play(scenario)

    def test_a_caller_that_has_left_is_found(self):
        # It has closed the connection whole: nobody would read the answer.
        async def scenario(_, writer):
            writer.write(self.GET)
            await until(lambda: self.handler.begun == 1)
            writer.close()
            await until(lambda: self.handler.cancelled == 1)
            await until(lambda: self.server.in_flight == 0)

        self.play(scenario)
