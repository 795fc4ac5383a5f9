"""Tests of calls to a faulty upstream over loopback sockets."""

import asyncio
import socket
import struct
from types import SimpleNamespace

from testtools import TestCase

from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request, Unknown
from sequoiaspoke.sidecar import clock, httpclient
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstream import MAX_IDLE, Upstream

TIMEOUT = 20.0  # seconds; only a failing test takes so long
STAMP = "X-Upstream-Stamp: s\r\n"


def answer(call_id, body="ok", status=200, headers=STAMP):
    """Return the bytes of an answer."""
    head = f"HTTP/1.1 {status} x\r\nX-Request-Id: {call_id}\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


class RawUpstream:
    """Answers calls with bytes that the test supplies.

    Attributes
    ----------
    replies : list
        For each call a list of pieces to send. None resets the connection, an ellipsis
        closes it, and a number is a delay in seconds. If the first piece is "early",
        the answer is sent before the body of the request is read.
    """

    def __init__(self, replies):
        self.replies = replies
        self.requests = []
        self.connections = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.decode().lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        length = int(line.split(":")[1])
                replies = self.replies.pop(0)
                if replies and replies[0] == "early":
                    replies = replies[1:]
                else:
                    await reader.readexactly(length)
                self.requests.append(head.decode())
                for piece in replies:
                    if piece is None:
                        linger = struct.pack("ii", 1, 0)
                        sock = writer.get_extra_info("socket")
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        writer.transport.abort()
                        return
                    if piece is ...:
                        writer.close()
                        return
                    if isinstance(piece, float):
                        await asyncio.sleep(piece)
                    else:
                        writer.write(piece)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The client has closed the connection.
            writer.close()


class UpstreamTests(TestCase):
    def play(self, *replies, bodies=None):
        """Make a call for each reply in turn and return the outcomes."""

        async def run():
            self.raw = RawUpstream([list(reply) for reply in replies])
            server = await asyncio.start_server(self.raw.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            self.upstream = Upstream("127.0.0.1", port, HeaderNames())
            outcomes = []
            async with asyncio.timeout(TIMEOUT):
                for number in range(len(replies)):
                    body = bodies[number] if bodies else b""
                    request = Request(
                        "POST", "/a", (("X-Request-Id", f"c{number}"),), body
                    )
                    outcomes.append(
                        await self.upstream.call(
                            request,
                            "i-1",
                            clock.now() + TIMEOUT,
                            idempotent=True,
                            on_send=lambda: None,
                        )
                    )
            for connection in self.upstream.idle:
                connection.close()
            server.close()
            for writer in self.raw.writers:
                writer.transport.abort()
            # The event loop needs two iterations to close the connections.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return outcomes

        return asyncio.run(run())

    def test_connections_are_reused(self):
        outcomes = self.play([answer("c0")], [answer("c1")])
        self.assertEqual([each.body for each in outcomes], [b"ok", b"ok"])
        self.assertEqual(self.raw.connections, 1)
        self.assertIn("x-instance: i-1", self.raw.requests[0])

    def test_a_truncated_answer_is_an_unknown_outcome(self):
        # The upstream announces 10 bytes, sends 3 and closes the connection. The caller
        # could not tell the part from a complete answer.
        cut = answer("c0", "0123456789")[:-7]
        (outcome,) = self.play([cut, ...])
        self.assertEqual(outcome, Unknown("connection-lost"))

    def test_an_answer_without_a_length_ends_with_the_connection(self):
        text = f"HTTP/1.1 200 x\r\nX-Request-Id: c0\r\n{STAMP}\r\nall of it".encode()
        (outcome,) = self.play([text, ...])
        self.assertEqual(outcome.body, b"all of it")

    def test_an_answer_without_a_length_that_is_reset_is_incomplete(self):
        text = f"HTTP/1.1 200 x\r\nX-Request-Id: c0\r\n{STAMP}\r\na part".encode()
        (outcome,) = self.play([text, 0.1, None])
        self.assertIsInstance(outcome, Unknown)

    def test_a_second_answer_is_not_used_for_the_next_call(self):
        # The upstream answers one call twice. If the next call on this connection
        # got the second answer, its caller would see the wrong page.
        twice = answer("c0") + answer("c0", "again")
        first, second = self.play([twice], [answer("c1", "mine")])
        self.assertEqual((first.body, second.body), (b"ok", b"mine"))
        self.assertEqual(self.raw.connections, 2)

    def test_a_late_second_answer_is_skipped_by_its_call_id(self):
        late = answer("c0", "again") + answer("c1", "mine")
        _, second = self.play([answer("c0")], [late])
        self.assertEqual(second.body, b"mine")

    def test_malformed_answers_are_not_forwarded(self):
        (outcome,) = self.play([b"\x00garbage\r\n\r\n"])
        self.assertEqual(outcome, Unknown("answer-malformed"))

    def test_a_success_without_a_stamp_is_an_unknown_outcome(self):
        (outcome,) = self.play([answer("c0", headers="")])
        self.assertEqual(outcome, Unknown("answer-unstamped"))

    def test_an_answer_before_the_end_of_the_request_closes_the_connection(self):
        # The upstream refuses a request before it has read the body. On a reused
        # connection the next call would follow the rest of that body.
        body = b"x" * (8 << 20)
        outcomes = self.play(
            ["early", answer("c0", status=413), 0.2, ...],
            [answer("c1")],
            bodies=[body, b""],
        )
        self.assertEqual(outcomes[1].status, 200)
        self.assertEqual(self.raw.connections, 2)

    def test_refusals_of_the_upstream_are_reported_as_not_run(self):
        shed = answer("c0", status=503, headers="X-Not-Run: 1\r\n")
        replaced = answer("c1", status=421, headers="")
        outcomes = self.play([shed], [replaced])
        self.assertEqual(
            outcomes,
            [
                NotRun("upstream-refused", from_upstream=True),
                NotRun("instance-replaced", from_upstream=True),
            ],
        )

    def test_a_reset_well_before_the_average_time_means_a_full_upstream(self):
        # A full upstream resets new calls at once; on a busy VM the node notices it a
        # little later. If it took the reset for a lost answer, it would keep sending
        # calls that are not idempotent, each with an unknown outcome.
        slow = [0.4, answer("c0")]
        _, early = self.play(slow, [0.05, None])
        self.assertEqual(early, Unknown("reset-at-once"))
        _, late = self.play(slow, [0.3, None])
        self.assertEqual(late, Unknown("connection-lost"))

    def test_a_server_error_of_the_upstream_is_forwarded(self):
        (outcome,) = self.play([answer("c0", status=500)])
        self.assertIsInstance(outcome, Answer)
        self.assertEqual(outcome.status, 500)

    def test_a_connection_that_the_upstream_closes_is_not_reused(self):
        closing = answer("c0", headers=STAMP + "Connection: close\r\n")
        self.play([closing, ...], [answer("c1")])
        self.assertEqual(self.raw.connections, 2)

    def test_a_connection_whose_end_was_just_read_is_not_reused(self):
        # The transport drops what is written on it, and the call, which was never sent,
        # had an unknown outcome.
        async def run():
            raw = RawUpstream([[answer("c0")], [answer("c0")]])
            server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
            upstream = Upstream(*server.sockets[0].getsockname(), HeaderNames())
            request = Request("POST", "/a", (("X-Request-Id", "c0"),), b"")
            outcomes = []
            async with asyncio.timeout(TIMEOUT):
                for _ in range(2):
                    for connection in upstream.idle:
                        connection.transport.close()
                    deadline = clock.now() + TIMEOUT
                    outcomes.append(
                        await upstream.call(request, "i", deadline, True, lambda: None)
                    )
            upstream.close_idle_connections()
            server.close()
            for writer in raw.writers:
                writer.transport.abort()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return [outcome.body for outcome in outcomes]

        self.assertEqual(asyncio.run(run()), [b"ok", b"ok"])

    def test_a_call_that_cannot_connect_in_time_is_not_run_before_its_deadline(self):
        # A full upstream does not accept connections. Told at the deadline, the caller
        # has already got a timeout.
        async def hanging(address, call_header, deadlines, timeout):
            self.time += timeout
            raise TimeoutError

        async def run(left):
            self.time = 1000.0
            upstream = Upstream("127.0.0.1", 1, HeaderNames())
            request = Request("GET", "/a", (), b"")
            return await upstream.call(request, "i", 1000 + left, True, self.fail)

        self.patch(httpclient, "connect", hanging)
        self.patch(clock, "now", lambda: self.time)
        for left, timeout, reason in (
            (0.46, 0.4, "no-time"),
            (0.08, 0.04, "no-time"),
            (4.0, 1.0, "upstream-unreachable"),
        ):
            self.assertEqual(asyncio.run(run(left)), NotRun(reason))
            self.assertAlmostEqual(self.time, 1000 + timeout)

    def test_a_call_to_an_upstream_that_does_not_listen_has_not_run(self):
        async def run():
            upstream = Upstream("127.0.0.1", 1, HeaderNames())
            request = Request("GET", "/a", (), b"")
            return await upstream.call(request, "i", clock.now() + 5, True, self.fail)

        self.assertEqual(asyncio.run(run()), NotRun("upstream-unreachable"))


class IdleConnectionTests(TestCase):
    def test_only_some_are_kept(self):
        # Each call without an id opens a connection, and left it idle for seconds.
        closed = []
        upstream = Upstream("127.0.0.1", 1, HeaderNames())
        for number in range(MAX_IDLE + 2):
            connection = SimpleNamespace(
                not_reusable=False,
                closed=False,
                close=lambda number=number: closed.append(number),
            )
            upstream.release(connection)
        self.assertEqual((len(upstream.idle), closed), (MAX_IDLE, [0, 1]))
