"""Tests of the server for callers, over loopback sockets."""

import asyncio
import contextlib
import os
import socket

from testtools import TestCase
from tornado.netutil import bind_sockets

from sequoiaspoke.core.mesh.memory import DEFAULT_LIMIT, MemoryAccount, header_size
from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar.callerserver import MAX_PIPELINED, CallerServer
from sequoiaspoke.sidecar.httptext import CONTINUE

WAIT = 20.0  # seconds; only a failing test waits so long


class FakeTransport:
    """A transport of a caller that has sent everything and reads nothing."""

    def __init__(self, sock):
        self.sock = sock

    def get_extra_info(self, name):
        return self.sock if name == "socket" else ("10.0.0.1", 1)

    def set_write_buffer_limits(self, high):
        pass


class Handler:
    """A handler that echoes target and body once its gate is open."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.begun = []
        self.cancelled = []

    async def handle(self, request):
        self.begun.append(request)
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return Answer(200, (), request.target.encode() + request.body)


def send_at_once(writer, data):
    """Send bytes before the event loop goes on."""
    os.write(writer.get_extra_info("socket").fileno(), data)


class CallerServerTestCase(TestCase):
    """Runs a server for callers and one connection to it."""

    limit = DEFAULT_LIMIT
    loop_factory = None

    def play(self, scenario):
        async def run():
            self.handler = Handler()
            self.crashes = []
            self.memory = MemoryAccount(self.limit)
            self.server = CallerServer(
                self.handler.handle, self.crashes.append, memory=self.memory
            )
            (listening,) = bind_sockets(0, "127.0.0.1")
            self.address = listening.getsockname()[:2]
            self.server.add_sockets([listening])
            try:
                async with asyncio.timeout(WAIT):
                    reader, writer = await asyncio.open_connection(*self.address)
                    await scenario(reader, writer)
                    writer.close()
                    with contextlib.suppress(OSError):
                        await writer.wait_closed()
            finally:
                self.server.stop()
                for connection in list(self.server.connections):
                    connection.close()
                # The event loop closes only once its transports have.
                await asyncio.sleep(0.001)

        with asyncio.Runner(loop_factory=self.loop_factory) as runner:
            runner.run(run())
        self.assertEqual(self.crashes, [])

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.002)


class Unforeseen(BaseException):
    """An error that is no Exception, as raised by an interpreter that shuts down."""


class EndedTaskTests(CallerServerTestCase):
    """A request whose task has ended in whatever way is answered.

    Otherwise its connection would neither answer nor close, nor would any request
    behind it be answered.
    """

    async def send_three(self, writer):
        for target in (b"/a", b"/b", b"/c"):
            writer.write(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        await self.until(lambda: len(self.handler.begun) == 3)
        (connection,) = self.server.connections
        return connection

    async def read_answer(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        _, _, length = head.partition("content-length: ")
        body = await reader.readexactly(int(length.partition("\r\n")[0]))
        return int(head.split()[1]), head, body

    def test_a_call_that_is_cancelled_while_its_caller_waits_gets_502(self):
        # The task of the first request was cancelled: the connection stayed open, and
        # none of its requests was ever answered.
        async def scenario(reader, writer):
            connection = await self.send_three(writer)
            connection.pending[0].task.cancel()
            self.assertEqual((await self.read_answer(reader))[0], 502)
            self.handler.gate.set()
            for target in (b"/b", b"/c"):
                status, _, body = await self.read_answer(reader)
                self.assertEqual((status, body), (200, target))

        self.play(scenario)

    def test_the_answer_to_a_cancelled_call_waits_for_its_turn(self):
        # Answers are told apart by their order only.
        async def scenario(reader, writer):
            connection = await self.send_three(writer)
            connection.pending[1].task.cancel()
            await self.until(lambda: self.handler.cancelled)
            self.handler.gate.set()
            statuses = [(await self.read_answer(reader))[0] for _ in range(3)]
            self.assertEqual(statuses, [200, 502, 200])
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_a_call_that_is_cancelled_before_it_started_gets_503(self):
        # Nothing was passed on, so that the caller may send it again.
        async def scenario(reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            await self.until(lambda: self.handler.begun)
            (connection,) = self.server.connections
            connection.data_received(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
            connection.pending[1].task.cancel()
            self.handler.gate.set()
            self.assertEqual((await self.read_answer(reader))[0], 200)
            status, head, _ = await self.read_answer(reader)
            self.assertEqual(status, 503)
            self.assertIn("retry-after:", head)
            self.assertEqual(len(self.handler.begun), 1)

        self.play(scenario)

    def test_a_call_that_ends_with_an_unforeseen_error_gets_502(self):
        # Only errors of the class Exception were answered.
        async def fail(request):
            raise Unforeseen

        async def scenario(reader, writer):
            self.server.handle = fail
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual((await self.read_answer(reader))[0], 502)
            self.assertIsInstance(self.crashes.pop(), Unforeseen)

        self.play(scenario)

    def test_an_answer_that_cannot_be_sent_is_replaced_by_502(self):
        # It was dropped, and the next answer on the connection taken for it.
        async def handle(request):
            headers = (("X", "\u2603"),) if request.target == "/a" else ()
            return Answer(200, headers, request.target.encode())

        async def scenario(reader, writer):
            self.server.handle = handle
            for target in (b"/a", b"/b"):
                writer.write(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual((await self.read_answer(reader))[0], 502)
            self.assertEqual((await self.read_answer(reader))[2], b"/b")
            self.assertIsInstance(self.crashes.pop(), UnicodeEncodeError)

        self.play(scenario)

    def test_a_cancelled_call_of_a_stopping_node_closes_its_connection(self):
        # The connection stayed open until the process was killed.
        async def scenario(reader, writer):
            connection = await self.send_three(writer)
            self.server.end_input()
            self.handler.gate.set()
            connection.pending[2].task.cancel()
            seen = await reader.read()
            self.assertEqual(seen.count(b"HTTP/1.1 200"), 2)
            self.assertEqual(seen.count(b"HTTP/1.1 502"), 1)

        self.play(scenario)

    def test_no_answer_is_sent_to_a_caller_that_has_left(self):
        # Its calls are cancelled because it has left.
        async def scenario(reader, writer):
            connection = await self.send_three(writer)
            written, write = [], connection.write
            connection.write = lambda data: written.append(data) or write(data)
            writer.close()
            await self.until(lambda: len(self.handler.cancelled) == 3)
            await asyncio.sleep(0.01)
            # Asks whether it has left; the answer is the reset of its connection.
            self.assertEqual(written, [CONTINUE])

        self.play(scenario)

    def test_calls_that_the_end_of_the_process_cancels_are_answered(self):
        # Their connections were closed without an answer. The event loop ends once the
        # tasks that it has cancelled are done.
        async def scenario(reader, writer):
            await self.send_three(writer)
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for _ in range(3):
                self.assertEqual((await self.read_answer(reader))[0], 502)

        self.play(scenario)


class CallerServerTests(CallerServerTestCase):
    def test_the_body_of_a_caller_that_disconnects_at_once_is_released(self):
        # A caller sends an order and disconnects before its task has started. Its body
        # was counted as held for good; after some thousands of these every order was
        # refused because the limit of held bodies was reached.
        async def scenario(reader, writer):
            with socket.socket() as sock:
                connection = self.server.new_connection()
                connection.connection_made(FakeTransport(sock))
                connection.data_received(
                    b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
                )
                lines = header_size("Host", "x") + header_size("Content-Length", "4")
                self.assertEqual(
                    self.server.memory.held, len("/a") + lines + len("body")
                )
                connection.connection_lost(None)
            await self.until(lambda: self.server.memory.held == 0)
            self.assertEqual(self.handler.begun, [])

        self.play(scenario)

    def test_calls_of_the_upstream_beside_this_node_are_nested(self):
        # Only the upstream calls from this VM's own address.
        async def scenario(reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            await self.until(lambda: self.handler.begun)
            self.server.upstream_host = "127.0.0.1"
            _, other = await asyncio.open_connection(*writer.get_extra_info("peername"))
            other.write(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
            await self.until(lambda: len(self.handler.begun) == 2)
            other.close()
            nested = [request.nested for request in self.handler.begun]
            self.assertEqual(nested, [False, True])

        self.play(scenario)

    def test_a_disconnect_is_detected_whatever_the_connection_header(self):
        # A caller asks to close the connection after its answer and disconnects before
        # it. Undetected, its call would run on with nobody to answer.
        for extra in ("", "Connection: close\r\n"):

            async def scenario(reader, writer, extra=extra):
                writer.write(f"GET /a HTTP/1.1\r\nHost: x\r\n{extra}\r\n".encode())
                await self.until(lambda: self.handler.begun)
                writer.close()
                await self.until(lambda: self.handler.cancelled)

            self.play(scenario)
            self.assertEqual(self.handler.cancelled, ["/a"])

    def test_the_last_answer_arrives_although_more_requests_were_sent(self):
        # A stopping node closes a connection after an answer while the caller has just
        # sent the next request. A reset would discard the answer.
        async def scenario(reader, writer):
            self.server.closing = True
            self.handler.gate.set()
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            await self.until(lambda: self.handler.begun)
            writer.write(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n" * 3)
            seen = await reader.read()
            self.assertIn(b"Connection: close", seen)
            self.assertTrue(seen.endswith(b"/a"))
            self.assertEqual(len(self.handler.begun), 1)

        self.play(scenario)

    def test_bodies_are_read_by_length_and_in_chunks(self):
        async def scenario(reader, writer):
            self.handler.gate.set()
            head = b"POST /a HTTP/1.1\r\nHost: x\r\n"
            writer.write(head + b"Content-Length: 3\r\n\r\nabc")
            writer.write(head + b"transfer-ENCODING: chunked\r\n\r\n2\r\nde\r\n")
            writer.write(b"1;x=y\r\nf\r\n0\r\n\r\n")
            await self.until(lambda: len(self.handler.begun) == 2)
            bodies = [request.body for request in self.handler.begun]
            self.assertEqual(bodies, [b"abc", b"def"])

        self.play(scenario)

    def test_a_smuggled_request_is_not_served(self):
        # Two conflicting lengths: a server that follows the other one would run what is
        # hidden in the body as a request of its own.
        async def scenario(reader, writer):
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
            )
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 400"))
            self.assertEqual(self.handler.begun, [])

        self.play(scenario)

    def test_a_request_that_expects_continue_gets_it(self):
        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                b"Expect: 100-continue\r\n\r\n"
            )
            self.assertIn(b" 100 ", await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"z")
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))

        self.play(scenario)

    def test_continue_is_sent_after_the_answers_before_it(self):
        # Sent at once, it would be taken for the head of the earlier call's answer.
        async def scenario(reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            writer.write(
                b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                b"Expect: 100-continue\r\n\r\n"
            )
            await self.until(lambda: self.handler.begun)
            self.handler.gate.set()
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            self.assertIn(b" 100 ", await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"z")
            self.assertIn(b" 200 ", await reader.readuntil(b"/bz"))

        self.play(scenario)

    def test_pipelined_requests_up_to_the_limit_are_served(self):
        async def scenario(reader, writer):
            one = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
            for _ in range(MAX_PIPELINED):
                writer.write(one)
                await asyncio.sleep(0)
            await self.until(lambda: len(self.handler.begun) >= MAX_PIPELINED)
            self.handler.gate.set()
            for _ in range(MAX_PIPELINED):
                await reader.readuntil(b"/a")

        self.play(scenario)

    def test_a_head_beyond_the_limit_is_refused(self):
        async def scenario(reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"X-Long: " + b"y" * 20000)
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 431"))

        self.play(scenario)


class DroppedInputTests(CallerServerTestCase):
    def test_a_close_with_bytes_that_were_not_read_is_reported(self):
        # Nothing told a request that came while the process waited from one that
        # crossed the close.
        async def scenario(reader, writer):
            reported = []
            self.server.policy.input_dropped = reported.append
            await self.until(lambda: self.server.connections)
            (connection,) = self.server.connections
            send_at_once(writer, b"GET")
            connection.report_dropped_input()
            self.assertEqual(reported, [3])
            connection.close()
            connection.report_dropped_input()
            self.assertEqual(len(reported), 1)

        self.play(scenario)
