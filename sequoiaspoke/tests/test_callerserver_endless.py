"""Tests of callers whose request never ends."""

import asyncio
import contextlib

from sequoiaspoke.core.mesh.model import CallerLimits
from sequoiaspoke.sidecar.callerserver import MAX_DISCARDED_BYTES
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

LIMITS = CallerLimits(header_bytes=16 << 10, body_bytes=256 << 10)
# Bytes that sockets buffer on the way, on both sides together.
BUFFERED = 16 << 20
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"10\r\n" + 16 * b"x" + b"\r\n"
LARGE_CHUNK = b"10000\r\n" + 65536 * b"x" + b"\r\n"
# Name of a case, how it begins, what is repeated, and the status of its refusal.
# Source: RFC 9110, sections 15.5.1 (400), 15.5.14 (413); RFC 6585, section 5 (431).
CASES = (
    ("head", HEAD, b"X-A: " + 1000 * b"a" + b"\r\n", 431),
    ("one header", HEAD + b"X-A: ", 1000 * b"a", 431),
    ("trailers", CHUNKED + b"0\r\n", b"X-A: " + 1000 * b"a" + b"\r\n", 400),
    ("one trailer", CHUNKED + b"0\r\nX-A: ", 1000 * b"a", 400),
    ("chunk extension", CHUNKED + b"1;x=", 1000 * b"a", 400),
    ("empty lines", b"", 1000 * b"\r\n", 400),
    ("small chunks", CHUNKED, 60 * SMALL_CHUNK, 413),
    ("large chunks", CHUNKED, LARGE_CHUNK, 413),
    ("length", HEAD + b"Content-Length: 99999999999\r\n\r\n", 65536 * b"x", 413),
)


class EndlessRequestTests(CallerServerTestCase):
    async def flood(self, reader, writer, start, part):
        """Send without end; return how much was taken, and the answer."""
        sent = 0
        receiving = asyncio.ensure_future(reader.read(4096))
        with contextlib.suppress(ConnectionError):
            writer.write(start)
            while sent < 8 * MAX_DISCARDED_BYTES:
                writer.write(part)
                sent += len(part)
                await writer.drain()
                await asyncio.sleep(0)
        return sent, await receiving

    def play_case(self, name, start, part, status):
        async def scenario(reader, writer):
            self.handler.gate.set()
            self.server.current_limits = LIMITS
            caller = await asyncio.open_connection(*self.address)
            flood = await asyncio.open_connection(*self.address)
            flooding = asyncio.ensure_future(self.flood(*flood, start, part))
            served = 0
            while not flooding.done():
                caller[1].write(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await caller[0].readuntil(b"\r\n\r\n/b")
                self.assertIn(b" 200 ", head, name)
                served += 1
            sent, seen = await flooding
            self.assertEqual(seen.split(b" ")[1], str(status).encode(), name)
            self.assertTrue(sent < MAX_DISCARDED_BYTES + BUFFERED, (name, sent))
            self.assertTrue(served > 0, name)
            self.assertEqual(self.memory.held, 0, name)
            self.assertEqual({each.target for each in self.handler.begun}, {"/b"})
            for _, each in (caller, flood):
                each.close()

        self.play(scenario)

    def test_a_request_without_end_is_refused_and_its_caller_cut_off(self):
        # Trailers took a process from 37 MB to gigabytes; the others were read for as
        # long as they were sent, with a core kept busy.
        for case in CASES:
            self.play_case(*case)

    def test_trailers_are_dropped(self):
        # They were taken for headers, and could replace one that was checked before.
        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(CHUNKED + SMALL_CHUNK + b"0\r\nX-Trailer: 1\r\n\r\n")
            await reader.readuntil(16 * b"x")
            (request,) = self.handler.begun
            self.assertEqual(request.header("x-trailer"), "")

        self.play(scenario)
