"""Tests of requests after which the parser stops or reads in another way."""

import asyncio

from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

HEAD = b"Host: x\r\n"
H2C = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n"
WEBSOCKET = b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: AA==\r\n"
LENGTH, CHUNKED = b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"4\r\nbody\r\n0\r\n\r\n"
# Name of a case, the request, and target and body with which it is served.
# Source: RFC 9110, sections 7.8 (Upgrade), 9.3.2 (HEAD), 9.3.6 (CONNECT), 10.1.1
# (Expect); RFC 9112, section 9.3.2 (pipelining).
CASES = (
    ("h2c", b"GET /a HTTP/1.1\r\n" + HEAD + H2C + b"\r\n", b"/a"),
    ("websocket", b"GET /a HTTP/1.1\r\n" + HEAD + WEBSOCKET + b"\r\n", b"/a"),
    (
        "h2c with a length",
        b"POST /a HTTP/1.1\r\n" + HEAD + H2C + LENGTH + b"\r\nbody",
        b"/abody",
    ),
    (
        "websocket with chunks",
        b"POST /a HTTP/1.1\r\n" + HEAD + WEBSOCKET + CHUNKED + b"\r\n" + CHUNKS,
        b"/abody",
    ),
    ("only Upgrade", b"GET /a HTTP/1.1\r\nUpgrade: h2c\r\n" + HEAD + b"\r\n", b"/a"),
    (
        "only Connection",
        b"GET /a HTTP/1.1\r\nConnection: upgrade\r\n" + HEAD + b"\r\n",
        b"/a",
    ),
    ("CONNECT", b"CONNECT x:80 HTTP/1.1\r\n" + HEAD + b"\r\n", b"x:80"),
    ("HEAD with a body", b"HEAD /a HTTP/1.1\r\n" + HEAD + LENGTH + b"\r\nbody", b""),
    (
        "another expectation",
        b"POST /a HTTP/1.1\r\nExpect: more\r\n" + HEAD + LENGTH + b"\r\nbody",
        b"/abody",
    ),
)
NEXT = b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n"


async def read_answer(reader, has_body=True):
    """Return the status and body of the next answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    _, _, length = head.lower().partition(b"content-length: ")
    size = int(length.split(b"\r\n")[0]) if has_body else 0
    return int(head.split(b" ")[1]), await reader.readexactly(size)


class ModeTests(CallerServerTestCase):
    def play_case(self, name, parts, served):
        """Send parts one after the other, and expect the case and the next answer."""

        async def scenario(reader, writer):
            self.handler.gate.set()
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            answer = await read_answer(reader, bool(served))
            self.assertEqual(answer, (200, served), name)
            self.assertEqual(await read_answer(reader), (200, b"/next"), name)
            self.assertEqual(len(self.handler.begun), 2, name)

        self.play(scenario)

    def test_the_request_after_an_upgrade_is_answered(self):
        # The connection was kept open, and nothing was read from it any more.
        for name, request, served in CASES:
            self.play_case(name, (request, NEXT), served)

    def test_a_request_sent_together_with_an_upgrade_is_answered(self):
        for name, request, served in CASES:
            self.play_case(name, (request + NEXT,), served)

    def test_it_does_not_matter_where_the_bytes_are_split(self):
        for name, request, served in CASES:
            text = request + NEXT
            for at in range(1, len(text), 7):
                self.play_case(name, (text[:at], text[at:]), served)

    def test_two_upgrades_in_a_row_are_answered(self):
        name, request, _ = CASES[0]

        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(request * 3)
            for _ in range(3):
                self.assertEqual(await read_answer(reader), (200, b"/a"), name)

        self.play(scenario)

    def test_the_upgrade_is_not_passed_on(self):
        # An upstream that accepts it would answer in another protocol.
        async def scenario(reader, writer):
            self.handler.gate.set()
            for _, request, _ in CASES[:4]:
                writer.write(request)
                await read_answer(reader)
            for request in self.handler.begun:
                self.assertEqual(request.header("upgrade"), "")

        self.play(scenario)
