"""Tests of the memory that heads, chunks and trailers of callers take."""

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.sidecar.callerserver import PARSE_BYTES, CallerConnection
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

LINE = b"ab:c\r\n"
START = b"GET /a HTTP/1.1\r\nHost: x\r\n"
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
