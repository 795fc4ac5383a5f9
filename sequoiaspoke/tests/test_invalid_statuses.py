"""Tests of answers whose status is none of HTTP (RFC 9110, section 15)."""

import asyncio

from testtools import TestCase
from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.core.mesh.outcome import INVALID_STATUS, Answer, Request, Unknown
from sequoiaspoke.errors import InvalidStatusError
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.settings.schema import LimitSettings
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.sidecar.wirecalls import unpack_outcome
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

WAIT = 10.0  # seconds; only a failing test takes as long
DEADLINE = 6 * WAIT
NAMES = HeaderNames()
# Parsers take the first two for 0 and 99.
INVALID = ("000", "099", "600", "999")
EMPTY = "Content-Length: 0\r\n"
VALID = f"HTTP/1.1 200 OK\r\n{NAMES.stamp}: s\r\n{{echo}}{EMPTY}\r\n"


class RawServer:
    """Answers each request on a connection with the next of some texts."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        """Answer, and note when the client has closed the connection."""
        for answer in self.answers:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            name = f"{NAMES.call_id}: "
            ids = [x[len(name) :] for x in head.splitlines() if x.startswith(name)]
            echo = f"{name}{ids[0]}\r\n" if ids else ""
            writer.write(answer.replace("{echo}", echo).encode())
        await reader.read()
        self.closed.set()
        writer.close()


class InvalidStatusCase(TestCase):
    def run_bounded(self, scenario):
        async def run():
            async with asyncio.timeout(WAIT):
                return await scenario()

        return asyncio.run(run())


class UpstreamTests(InvalidStatusCase):
    def call(self, answer, idempotent):
        """Return the outcome of a call that gets an answer, after one served."""

        async def scenario():
            async with RawServer(VALID, answer) as server:
                upstream = Upstream(*server.address, NAMES)
                for number in range(2):
                    headers = (("Host", "x"), (NAMES.call_id, f"c{number}"))
                    outcome = await upstream.call(
                        Request("GET", "/a", headers, b""),
                        "i",
                        clock.now() + DEADLINE,
                        idempotent,
                        lambda: None,
                    )
                    if not number:
                        self.assertIsInstance(outcome, Answer)
                if isinstance(outcome, Unknown):
                    await server.closed.wait()
                upstream.close_idle_connections()
                return outcome

        return self.run_bounded(scenario)

    def test_an_invalid_status_fails_the_call_at_once(self):
        # The call waited for its deadline, or its caller got the status.
        for status in INVALID:
            for headers in ("{echo}" + EMPTY, EMPTY, ""):
                for idempotent in (True, False):
                    outcome = self.call(
                        f"HTTP/1.1 {status} Odd\r\n{headers}\r\n", idempotent
                    )
                    self.assertEqual(outcome, Unknown(INVALID_STATUS))

    def test_it_is_known_at_the_first_line(self):
        # A head that does not end kept the call until its deadline.
        for status in INVALID:
            outcome = self.call(f"HTTP/1.1 {status} Odd\r\nX-More: ", False)
            self.assertEqual(outcome, Unknown(INVALID_STATUS))

    def test_a_line_without_a_phrase(self):
        for status in INVALID:
            outcome = self.call(f"HTTP/1.1 {status}\r\n{EMPTY}\r\n", False)
            self.assertEqual(outcome, Unknown(INVALID_STATUS))

    def test_no_status_at_all_and_an_upgrade_nobody_asked_for(self):
        for status in ("0", "2000", "abc", "101"):
            outcome = self.call(f"HTTP/1.1 {status} Odd\r\n{EMPTY}\r\n", False)
            self.assertEqual(outcome, Unknown("answer-malformed"))

    def test_informational_answers_are_skipped(self):
        for status in ("100", "102", "103", "199"):
            interim = f"HTTP/1.1 {status} Odd\r\n\r\n"
            outcome = self.call(2 * interim + VALID, False)
            self.assertEqual(outcome.status, 200)

    def test_unusual_final_statuses_are_passed_on(self):
        for status in (299, 418, 499, 599):
            text = VALID.replace("200", str(status))
            self.assertEqual(self.call(text, False).status, status)

    def test_a_health_check_fails_at_once(self):
        async def scenario(status):
            text = f"HTTP/1.1 {status} Odd\r\n{EMPTY}\r\n"
            async with RawServer(text) as server:
                upstream = Upstream(*server.address, NAMES)
                health = await upstream.check_health("/h", clock.now() + DEADLINE)
                await server.closed.wait()
                return health

        for status in INVALID:
            health = self.run_bounded(lambda status=status: scenario(status))
            self.assertIsNone(health)


class LinkTests(TestCase):
    def test_an_invalid_status_of_a_home_fails_only_its_call(self):
        # Homes of the previous build pass on what their upstreams answer.
        for status in (100, 199, 600, 999):
            answer = wire.Answer(7, status, [], b"", 0.1, wire.News(1.0, 0.1, 0.0))
            number, outcome, _ = unpack_outcome(wire.Frame(answer=answer))
            self.assertEqual((number, outcome), (7, Unknown(INVALID_STATUS)))


class NodeClientTests(InvalidStatusCase):
    def call(self, answer):
        """Return the status of a call of the product's node, or raise its error."""

        async def scenario():
            async with RawServer(answer) as server:
                pool = Pool(Address(*server.address), LimitSettings())
                start = RequestStartLine("GET", "/a", "HTTP/1.1")
                headers = HTTPHeaders({"Host": "x"})
                deadline = asyncio.get_running_loop().time() + DEADLINE
                try:
                    received = await pool.call(start, headers, None, deadline)
                    received.close()
                    return received.status
                except InvalidStatusError:
                    await server.closed.wait()
                    raise
                finally:
                    pool.close()

        return self.run_bounded(scenario)

    def test_an_invalid_status_fails_the_call_at_once(self):
        # The call waited for its deadline, or its caller got the status.
        for status in INVALID:
            text = f"HTTP/1.1 {status} Odd\r\n{EMPTY}\r\n"
            self.assertRaises(InvalidStatusError, self.call, text)

    def test_an_upgrade_that_nobody_asked_for(self):
        text = "HTTP/1.1 101 Switching Protocols\r\n\r\n"
        self.assertRaises(InvalidStatusError, self.call, text)

    def test_informational_answers_are_skipped(self):
        interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
        self.assertEqual(self.call(2 * interim + VALID.replace("{echo}", "")), 200)
