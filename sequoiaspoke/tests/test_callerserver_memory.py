"""Tests of the memory that a node holds for its callers."""

import asyncio
import random
import socket
from contextlib import suppress

from testtools import TestCase

from sequoiaspoke.core.mesh.memory import (
    DEFAULT_LIMIT,
    HEADER_BYTES,
    MAX_LIMIT,
    SMALL_BODY,
    MemoryAccount,
    header_size,
    memory_limit,
)
from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.bodypolicy import ReadAllBodies
from sequoiaspoke.sidecar.callerserver import CallerServer
from sequoiaspoke.sidecar.httptext import local_answer
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase, FakeTransport

BODY = 100 << 10  # bytes of the bodies in these tests; the limit holds two


def head(size, extra=""):
    """Return the head of an upload."""
    return (
        f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n{extra}\r\n"
    ).encode()


def held_for(size):
    """Return the bytes that are reserved for an upload that is arriving."""
    lines = header_size("Host", "x") + header_size("Content-Length", str(size))
    return len("/a") + lines + size


CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(size):
    """Return one chunk of a chunked body."""
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


class MemoryAccountTests(TestCase):
    def test_the_limit_is_a_share_of_a_known_memory(self):
        self.assertEqual(memory_limit(64), 16 << 20)
        self.assertEqual(memory_limit(4096), MAX_LIMIT)
        self.assertEqual(memory_limit(0), DEFAULT_LIMIT)

    def test_what_does_not_fit_is_not_reserved(self):
        # Reserved all the same, it would never be released.
        account = MemoryAccount(100)
        account.reserve(70)
        self.assertFalse(account.try_reserve(31))
        self.assertTrue(account.try_reserve(30))
        account.release(100)
        self.assertEqual(account.held, 0)


class BodyMemoryTests(CallerServerTestCase):
    # Two bodies and the heads of a few requests.
    limit = 2 * BODY + 4096

    async def fill(self):
        """Begin two uploads that fill the account."""
        self.writers = []
        for _ in range(2):
            _, writer = await asyncio.open_connection(*self.address)
            writer.write(head(BODY) + b"x" * 10)
            self.writers.append(writer)
        await self.until(lambda: self.memory.held == 2 * held_for(BODY))

    async def assert_refused(self, reader):
        answer = await reader.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"Retry-After: 1.0", answer)
        self.assertIn(b"Connection: close", answer)

    async def assert_all_released(self):
        for writer in self.writers:
            writer.close()
        await self.until(lambda: self.memory.held == 0)

    def test_a_body_that_does_not_fit_is_refused_before_it_is_read(self):
        # The bodies before it are still arriving: each of them alone would fit.
        async def scenario(reader, writer):
            await self.fill()
            held = self.memory.held
            writer.write(head(BODY))
            await self.assert_refused(reader)
            self.assertEqual(self.memory.held, held)
            await self.assert_all_released()

        self.play(scenario)

    def test_bodies_that_take_too_long_make_room_for_an_announced_one(self):
        # Two callers that sent a byte now and then kept all other uploads out.
        async def scenario(reader, writer):
            await self.fill()
            for connection in self.server.arriving:
                connection.request_started -= 2 * connection.limits.header_timeout
            self.handler.gate.set()
            writer.write(head(BODY) + b"x" * BODY)
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
            await self.assert_all_released()

        self.play(scenario)

    def test_the_refusal_replaces_continue(self):
        # Told to continue, the caller would send the body over its narrow link.
        async def scenario(reader, writer):
            await self.fill()
            writer.write(head(BODY, "Expect: 100-continue\r\n"))
            await self.assert_refused(reader)
            await self.assert_all_released()

        self.play(scenario)

    def test_a_caller_that_sends_the_whole_body_first_reads_the_refusal(self):
        # A reset because of unread data would destroy the answer.
        async def scenario(reader, writer):
            await self.fill()
            writer.write(head(8 << 20))
            for _ in range(128):
                writer.write(b"x" * (64 << 10))
                await writer.drain()
            await self.assert_refused(reader)
            await self.assert_all_released()

        self.play(scenario)

    def test_a_small_body_is_never_refused(self):
        # Uploads must not stop the orders beside them.
        async def scenario(reader, writer):
            await self.fill()
            self.handler.gate.set()
            writer.write(head(SMALL_BODY) + b"x" * SMALL_BODY)
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
            writer.write(CHUNKED + chunk(SMALL_BODY) + b"0\r\n\r\n")
            await reader.readexactly(SMALL_BODY + len(b"/a"))
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
            await self.assert_all_released()

        self.play(scenario)

    def test_a_chunked_body_is_refused_once_it_does_not_fit(self):
        # Its length is not known before; what was received of it is released.
        async def scenario(reader, writer):
            writer.write(CHUNKED + chunk(BODY) * 3)
            await self.assert_refused(reader)
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_a_malformed_body_is_released(self):
        async def scenario(reader, writer):
            writer.write(CHUNKED + chunk(BODY) + b"no length\r\n")
            self.assertIn(b" 400 ", await reader.read())
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_a_body_behind_the_last_answer_of_a_stopping_node_is_released(self):
        # The connection ends with that answer, and the body is never served.
        async def scenario(reader, writer):
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + head(BODY))
            held = len("/a") + header_size("Host", "x") + held_for(BODY)
            await self.until(lambda: self.memory.held == held)
            self.server.closing = True
            self.handler.gate.set()
            self.assertIn(b"Connection: close", await reader.read())
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_a_body_that_is_known_not_to_be_servable_is_not_read(self):
        async def scenario(reader, writer):
            self.server.policy.early_refusal = lambda head: local_answer(
                503, "no-endpoint", 1.0
            )
            writer.write(head(BODY))
            await self.assert_refused(reader)
            self.assertEqual((self.memory.held, self.handler.begun), (0, []))

        self.play(scenario)

    def test_all_memory_is_released_after_many_uploads(self):
        # Bytes that stay reserved would add up until every upload is refused.
        async def upload(rng):
            sock = socket.socket()
            sock.setblocking(False)
            # A small window, so that answers wait in the server.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await asyncio.get_running_loop().sock_connect(sock, self.address)
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            size = rng.randrange(1, BODY)
            leaves = rng.random() < 0.3
            writer.write(head(size) + b"x" * (rng.randrange(size) if leaves else size))
            if not leaves:
                try:
                    answer = await reader.readuntil(b"\r\n\r\n")
                    self.statuses.add(answer.split()[1])
                    await asyncio.sleep(rng.choice((0, 0.02)))
                except (asyncio.IncompleteReadError, ConnectionError):
                    # Closed because the account was full.
                    pass
            writer.transport.abort()

        async def scenario(reader, writer):
            rng = random.Random(7)
            self.statuses = set()
            self.handler.gate.set()
            # Half of the bodies do not fit even if they are alone.
            occupied = self.limit - BODY // 2
            self.memory.reserve(occupied)
            await asyncio.gather(*(upload(rng) for _ in range(200)))
            self.assertEqual(self.statuses, {b"200", b"503"})
            await self.until(lambda: len(self.server.connections) == 1)
            await self.until(lambda: self.memory.held == occupied)

        self.play(scenario)


class UnreadTransport(FakeTransport):
    """A transport whose caller reads only when the test says so."""

    buffered = 0

    def write(self, data):
        self.buffered += len(data)
        self.connection.pause_writing()

    def get_write_buffer_size(self):
        return self.buffered

    def read_all(self):
        self.buffered = 0
        self.connection.resume_writing()

    def abort(self):
        asyncio.get_running_loop().call_soon(self.connection.connection_lost, None)


class PromptCallersTests(CallerServerTestCase):
    """Callers that read at once, with large answers from several homes."""

    def test_their_answers_are_not_cut(self):
        # Those that had not been read in the moment in which they came were.
        size, callers = 7 << 20, 12

        async def handle(request):
            await gate.wait()
            return Answer(200, (), b"x" * size)

        async def call():
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            received = 0
            with suppress(ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                while data := await reader.read(1 << 16):
                    received += len(data)
            writer.close()
            return received

        async def scenario(reader, writer):
            writer.close()
            self.server.handle = handle
            calls = [asyncio.ensure_future(call()) for _ in range(callers)]
            await self.until(lambda: self.server.unanswered == callers)
            gate.set()
            self.assertEqual(await asyncio.gather(*calls), [size] * callers)

        gate = asyncio.Event()
        self.play(scenario)


class RecordingPolicy(ReadAllBodies):
    """Keeps the unread bytes of closed connections."""

    def __init__(self):
        self.closed = []

    def caller_closed(self, unread):
        self.closed.append(unread)


# Bytes in memory of the header of an answer.
HEAD = 2 + HEADER_BYTES


class UnreadAnswersTests(TestCase):
    """Answers of 1000 bytes and a head to callers that do not read them."""

    def play(self, limit, scenario):
        async def handle(request):
            await self.gate.wait()
            return Answer(200, (("a", "b"),), b"x" * 1000)

        async def run():
            self.gate = asyncio.Event()
            self.gate.set()
            self.memory = MemoryAccount(limit)
            self.server = CallerServer(handle, self.fail, memory=self.memory)
            self.server.policy = RecordingPolicy()
            with socket.socket() as self.sock:
                await scenario()

        asyncio.run(run())

    async def call(self, connection=None, count=1):
        if connection is None:
            connection = self.server.new_connection()
            connection.connection_made(UnreadTransport(self.sock))
            connection.transport.connection = connection
        connection.data_received(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n" * count)
        await self.settle()
        return connection

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    def test_unread_answers_are_counted_until_they_are_read(self):
        async def scenario():
            connection = await self.call(count=2)
            self.assertEqual(self.memory.held, connection.transport.buffered)
            self.assertTrue(self.memory.held > 2000)
            connection.transport.read_all()
            self.assertEqual((self.memory.held, self.memory.unread), (0, 0))

        self.play(1 << 20, scenario)

    def test_the_connection_with_the_most_unread_bytes_is_closed_first(self):
        # Closing another one would free less and end the call of a faster reader.
        async def scenario():
            one = await self.call()
            three = await self.call(count=3)
            three_unread = three.unread
            two = await self.call(count=2)
            closed = [each.closed for each in (one, two, three)]
            self.assertEqual(closed, [False, False, True])
            self.assertEqual(self.server.policy.closed, [three_unread])
            self.assertEqual(self.memory.held, one.unread + two.unread)

        self.play(5000, scenario)

    def test_a_caller_that_has_stopped_reading_is_closed_before_one_that_reads(self):
        # A few callers that read nothing held the account until their idle timeout, and
        # meanwhile each large answer was cut, however fast its caller read.
        async def scenario():
            stopped = await self.call()
            reader = await self.call(count=3)
            for line in (b"GET /a HTTP/1.1\r\n", b"Host: x\r\n", b"X: x\r\n"):
                self.time += 0.5
                # What a caller sends does not show that it reads.
                stopped.data_received(line)
                reader.transport.buffered -= 1
                self.server.tick(self.time)
            self.time += 0.5
            reader.transport.buffered -= 1
            fresh = await self.call(count=2)
            closed = [each.closed for each in (stopped, reader, fresh)]
            self.assertEqual(closed, [True, False, False])

        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)
        self.play(6000, scenario)

    def test_callers_that_have_stopped_reading_are_closed_if_an_answer_waits(self):
        # It would wait until their idle timeout, and its upstream would give it up.
        async def scenario():
            one, two, reader = [await self.call(count=n) for n in (1, 2, 3)]
            everyone = (one, two, reader)
            for wanted, closed in (
                (0, [False, False, False]),
                (10_000 - self.memory.held + 100, [False, True, False]),
                (10_000, [True, True, False]),
            ):
                self.time += 2.0
                self.memory.wanted = wanted
                reader.transport.buffered -= 1
                self.server.tick(self.time)
                self.assertEqual([each.closed for each in everyone], closed)
            self.assertEqual(self.memory.held, reader.unread)
            self.assertEqual(self.memory.unread, reader.unread)

        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)
        self.play(10_000, scenario)

    def test_bodies_that_fill_the_account_close_no_connection(self):
        # The caller reads as fast as its link allows; only bodies can be refused.
        async def scenario():
            self.memory.reserve(100_000)
            connection = await self.call()
            self.assertFalse(connection.closed)

        self.play(100_000, scenario)

    def test_an_answer_that_waits_for_an_earlier_one_is_counted(self):
        async def scenario():
            self.gate.clear()
            connection = await self.call()
            self.gate = asyncio.Event()
            self.gate.set()
            await self.call(connection)
            self.assertEqual(len(connection.pending), 2)
            self.assertEqual(self.memory.held - connection.held_by_calls, 1000 + HEAD)
            connection.close()
            await self.settle()
            self.assertEqual(self.memory.held, 0)

        self.play(1 << 20, scenario)
