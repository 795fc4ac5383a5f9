"""Tests of the memory that heads, chunks and trailers of callers take."""

import sys

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.sidecar.callerserver import PARSE_BYTES, CallerConnection
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

LINE = b"ab:c\r\n"
START = b"GET /a HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
LIMITS = CallerLimits(header_bytes=16 << 10, body_bytes=1 << 20)


class HeadTestCase(CallerServerTestCase):
    def play(self, scenario):
        async def limited(reader, writer):
            self.server.current_limits = LIMITS
            await self.until(lambda: self.server.connections)
            (connection,) = self.server.connections
            connection.limits = LIMITS
            await scenario(reader, writer, connection)

        super().play(limited)


class LargeHeadTests(HeadTestCase):
    def test_lines_beyond_the_limit_are_neither_parsed_nor_kept(self):
        # Those of one read were parsed, and kept until the connection had ended.
        lines = []
        add = CallerConnection.on_header

        def add_line(connection, name, value):
            lines.append(name)
            add(connection, name, value)

        async def scenario(reader, writer, connection):
            connection.data_received(START + 100_000 * LINE)
            self.assertEqual(connection.headers, [])
            self.assertIn(b" 431 ", await reader.readuntil(b"\r\n"))

        self.patch(CallerConnection, "on_header", add_line)
        self.play(scenario)
        self.assertTrue(len(lines) * len(LINE) <= LIMITS.header_bytes + PARSE_BYTES)


class TrailerTests(HeadTestCase):
    def test_trailers_beyond_the_limit_of_a_head_are_refused(self):
        # They were taken for the framing of small chunks, 8 bytes for each of the body.
        async def scenario(reader, writer, connection):
            body = b"%x\r\n" % LIMITS.body_bytes + LIMITS.body_bytes * b"x" + b"\r\n"
            connection.data_received(CHUNKED + body + b"0\r\nab:")
            connection.data_received((LIMITS.header_bytes + PARSE_BYTES) * b"c")
            self.assertIn(b" 400 ", await reader.readuntil(b"\r\n"))

        self.play(scenario)


class SmallChunkTests(HeadTestCase):
    def test_a_body_takes_as_much_memory_as_it_has_bytes(self):
        # Each chunk was an object of its own until the last one had come.
        size = 100_000

        async def scenario(reader, writer, connection):
            connection.data_received(CHUNKED + size * b"1\r\nx\r\n")
            self.assertEqual(len(connection.body), size)
            self.assertTrue(sys.getsizeof(connection.body) < 2 * size)
            self.handler.gate.set()
            connection.data_received(b"0\r\n\r\n")
            seen = await reader.readuntil(size * b"x")
            self.assertIn(b" 200 ", seen)

        self.play(scenario)
