"""Tests of what a node does with a connection whose input has ended."""

import asyncio
import socket
import struct

from tornado.httputil import HTTPHeaders

from sequoiaspoke import endedinput
from sequoiaspoke.node.callerstream import CallerStream
from sequoiaspoke.tests.loopback import until
from sequoiaspoke.tests.nodeserver import ServerTestCase

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
OLD = b"GET / HTTP/1.0\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


class EndedInputTests(ServerTestCase):
    async def begin(self, writer, request):
        """Send a request, end the input and wait until the node has seen that."""
        reads = []
        read_from_fd = CallerStream.read_from_fd

        def read(stream, buf):
            size = read_from_fd(stream, buf)
            if stream.input_ended:
                reads.append(size)
            return size

        self.patch(CallerStream, "read_from_fd", read)
        writer.write(request)
        writer.write_eof()
        await until(lambda: self.handler.begun and reads)
        return reads

    def test_the_end_of_an_input_does_not_keep_the_loop_busy(self):
        # A socket at its end is always ready to be read.
        async def scenario(reader, writer):
            reads = await self.begin(writer, GET)
            await asyncio.sleep(0.02)
            self.assertEqual(reads, [None])
            self.handler.gate.set()
            await reader.read()

        self.play(scenario)

    def test_its_answer_may_be_larger_than_the_buffers(self):
        size = 16 << 20

        async def answer(call):
            self.handler.begun += 1
            await self.handler.gate.wait()
            await call.writer.write_head(200, HTTPHeaders(), b"")
            for _ in range(16):
                await call.writer.write(bytes(size // 16))
            call.writer.finish()

        async def scenario(reader, writer):
            self.handler.handle = answer
            await self.begin(writer, GET)
            self.handler.gate.set()
            await asyncio.sleep(0.05)
            seen = await reader.read()
            self.assertGreater(len(seen), size)
            self.assertTrue(seen.endswith(b"0\r\n\r\n"))

        self.play(scenario)

    def test_one_that_leaves_later_is_found(self):
        # Its socket is no longer polled.
        async def scenario(_, writer):
            await self.begin(writer, GET)
            await asyncio.sleep(0.05)
            self.assertEqual(self.handler.cancelled, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
            await until(lambda: self.handler.cancelled == 1)
            await until(lambda: self.server.in_flight == 0)

        self.play(scenario)

    def test_a_reset_before_the_end_of_the_input_ends_its_call(self):
        async def scenario(_, writer):
            writer.write(GET)
            await until(lambda: self.handler.begun == 1)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
            await until(lambda: self.handler.cancelled == 1)

        self.play(scenario)

    def test_requests_behind_the_first_of_one_that_has_left_are_not_run(self):
        # They were read before the end of the connection, and run one by one.
        async def scenario(_, writer):
            writer.write(GET * 3)
            await until(lambda: self.handler.begun == 1)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
            await asyncio.sleep(0.02)
            self.handler.gate.set()
            await until(lambda: not self.server.readers)
            self.assertEqual(self.handler.begun, 1)

        self.play(scenario)

    def test_a_caller_of_http_1_0_that_cannot_be_asked_is_taken_for_one_that_left(self):
        self.patch(endedinput, "UNKNOWN_SECONDS", 0.02)

        async def scenario(_, writer):
            await self.begin(writer, OLD)
            await until(lambda: self.handler.cancelled == 1)

        self.play(scenario)

    def test_an_answer_to_a_caller_of_http_1_0_that_has_begun_is_completed(self):
        self.patch(endedinput, "UNKNOWN_SECONDS", 0.02)

        async def answer(call):
            self.handler.begun += 1
            await call.writer.write_head(200, HTTPHeaders(), b"1")
            await self.handler.gate.wait()
            await call.writer.write(b"2")
            call.writer.finish()

        async def scenario(reader, writer):
            self.handler.handle = answer
            await self.begin(writer, OLD)
            await asyncio.sleep(0.06)
            self.handler.gate.set()
            self.assertTrue((await reader.read()).endswith(b"12"))

        self.play(scenario)


class EndedConnectionTests(ServerTestCase):
    def test_nothing_is_kept_of_a_connection_that_has_ended(self):
        # The reader of each connection was kept for as long as the node ran.
        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(GET)
            await reader.readuntil(b"done")
            writer.close()
            await until(lambda: not self.server.readers)

        self.play(scenario)
