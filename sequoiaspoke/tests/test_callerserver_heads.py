"""Tests of the memory that heads, chunks and trailers of callers take."""

import asyncio
import sys

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.callerserver import (
    CALL_BYTES,
    MAX_CROWDED,
    MAX_PIPELINED,
    MIN_HEADS,
    PARSE_BYTES,
    CallerConnection,
)
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
            self.assertEqual(connection.body.tell(), size)
            self.assertTrue(sys.getsizeof(connection.body) < 2 * size)
            self.handler.gate.set()
            connection.data_received(b"0\r\n\r\n")
            seen = await reader.readuntil(size * b"x")
            self.assertIn(b" 200 ", seen)

        self.play(scenario)


class HeadMemoryTests(HeadTestCase):
    """Heads of short lines, which take many times their bytes."""

    REQUEST = START + 2500 * LINE + b"\r\n"
    SMALL = START + b"\r\n"
    # A request and a half.
    limit = 800_000

    async def open(self, data=b""):
        """Return the ends of a new connection that has brought data."""
        count = len(self.server.connections)
        ends = await asyncio.open_connection(*self.address)
        ends[1].write(data)
        await self.until(lambda: len(self.server.connections) > count)
        return ends

    def test_a_head_is_counted_by_what_it_takes_until_its_call_has_ended(self):
        # Only bodies were counted, whatever their requests took.
        async def scenario(reader, writer, connection):
            writer.write(self.REQUEST)
            await self.until(lambda: self.handler.begun)
            self.assertTrue(self.memory.held > 20 * len(self.REQUEST))
            self.handler.gate.set()
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            await self.until(lambda: not self.memory.held)

        self.play(scenario)

    def test_a_large_head_without_room_is_refused(self):
        async def scenario(reader, writer, connection):
            writer.write(self.REQUEST)
            await self.until(lambda: self.handler.begun)
            late, late_writer = await self.open(self.REQUEST)
            seen = await late.read()
            late_writer.close()
            self.assertTrue(seen.startswith(b"HTTP/1.1 503"), seen)
            self.assertIn(b"Retry-After", seen)
            self.assertEqual(len(self.handler.begun), 1)

        self.play(scenario)

    def test_a_small_head_always_has_room(self):
        async def scenario(reader, writer, connection):
            self.memory.reserve(2 * self.limit)
            self.handler.gate.set()
            writer.write(self.SMALL)
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))

        self.play(scenario)

    def test_the_head_that_takes_longest_makes_room(self):
        # Heads that did not end kept others out.
        async def scenario(reader, writer, connection):
            half = self.REQUEST[: len(self.REQUEST) // 2]
            first, first_writer = await self.open(half)
            await self.until(lambda: self.memory.held)
            second, second_writer = await self.open(half)
            self.handler.gate.set()
            writer.write(self.REQUEST)
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            self.assertTrue((await first.read()).startswith(b"HTTP/1.1 503"))
            self.assertFalse(second.at_eof())
            first_writer.close()
            second_writer.close()

        self.play(scenario)

    def test_requests_behind_large_ones_wait_unread(self):
        # Each of them was parsed and held as it came.
        async def scenario(reader, writer, connection):
            self.memory.limit = 100 * self.limit
            writer.write(10 * self.REQUEST)
            await self.until(lambda: connection.reading_paused)
            self.assertEqual(len(connection.pending), 1)
            self.handler.gate.set()
            for _ in range(10):
                self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            await self.until(lambda: not self.memory.held)

        self.play(scenario)

    def test_one_read_brings_no_more_calls_than_may_be_pipelined(self):
        # All requests of a read were begun: some 290 of a few bytes.
        async def scenario(reader, writer, connection):
            connection.data_received(500 * self.SMALL)
            self.assertTrue(len(connection.pending) <= MAX_PIPELINED + MIN_HEADS)
            self.handler.gate.set()
            for _ in range(500):
                self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            await self.until(lambda: not self.memory.held)

        self.play(scenario)

    def test_a_crowd_does_not_pipeline_more_calls_than_memory_is_left_for(self):
        # Calls took memory beside their requests, and each connection might have 64.
        count, requests = 10, 64

        async def scenario(reader, writer, connection):
            self.memory.limit = 100 * CALL_BYTES
            ends = [(reader, writer)]
            ends += [await self.open() for _ in range(count - 1)]
            for _, each in ends:
                each.write(requests * self.SMALL)
            connections = self.server.connections
            await self.until(lambda: all(each.pending for each in connections))
            await self.until(lambda: all(each.reading_paused for each in connections))
            most = 100 + requests + count * MAX_CROWDED
            self.assertTrue(len(self.handler.begun) <= most, len(self.handler.begun))
            self.handler.gate.set()
            for each, _ in ends:
                for _ in range(requests):
                    self.assertIn(b" 200 ", await each.readuntil(b"/a"))
            await self.until(lambda: not self.server.calls)
            for _, each in ends[1:]:
                each.close()

        self.play(scenario)

    def test_a_head_that_was_not_read_has_all_its_time_afterwards(self):
        # It was refused with 408 although its server had stopped reading it.
        async def scenario(reader, writer, connection):
            head = self.SMALL[:-2] + 2000 * LINE
            connection.data_received(self.REQUEST + head[:100])
            connection.data_received(head[100:2000])
            self.assertTrue(connection.reading_paused)
            connection.request_started -= 2 * connection.limits.header_timeout
            self.handler.gate.set()
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            self.assertFalse(connection.reading_paused)
            connection.tick(clock.now())
            connection.data_received(head[2000:] + b"\r\n")
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))

        self.play(scenario)

    def test_requests_are_read_on_when_the_large_one_has_ended(self):
        # They waited for the answer of a small call that was still in progress.
        async def scenario(reader, writer, connection):
            gates = {"/a": asyncio.Event(), "/slow": asyncio.Event()}
            begun = []

            async def handle(request):
                begun.append(request.target)
                await gates[request.target].wait()
                return Answer(200, (), b"")

            self.server.handle = handle
            slow = START.replace(b"/a", b"/slow") + b"\r\n"
            for first in (slow + self.REQUEST, self.REQUEST + slow):
                begun.clear()
                writer.write(first)
                await self.until(lambda: len(begun) == 2)
                writer.write(slow)
                await self.until(lambda: connection.reading_paused)
                gates["/a"].set()
                await self.until(lambda: len(begun) == 3)
                gates["/slow"].set()
                await self.until(lambda: not connection.pending)
                gates["/a"].clear()
                gates["/slow"].clear()

        self.play(scenario)

    def test_small_chunks_do_not_search_all_connections_for_room(self):
        # Each chunk did while memory was short, and the event loop stood still.
        searched = []

        def outstays(connection, now):
            searched.append(connection)
            return False

        async def scenario(reader, writer, connection):
            ends = [await self.open(CHUNKED) for _ in range(5)]
            await self.until(lambda: len(self.server.arriving) == 5)
            self.memory.reserve(2 * self.limit)
            self.handler.gate.set()
            connection.data_received(CHUNKED + 1000 * b"1\r\nx\r\n" + b"0\r\n\r\n")
            self.assertIn(b" 200 ", await reader.readuntil(1000 * b"x"))
            for _, each in ends:
                each.close()

        self.patch(CallerConnection, "outstays", outstays)
        self.play(scenario)
        self.assertEqual(searched, [])

    def test_all_memory_is_released_when_connections_end(self):
        async def scenario(reader, writer, connection):
            ends = [await self.open(self.REQUEST[:5000]) for _ in range(3)]
            ends.append(await self.open(self.REQUEST))
            await self.until(lambda: self.handler.begun)
            for _, each in ends:
                each.transport.abort()
            await self.until(lambda: len(self.server.connections) == 1)
            await self.until(lambda: not self.memory.held)
            self.assertEqual(self.server.arriving, {})

        self.play(scenario)
