"""Tests of upstreams that send bytes without end, or more than a node can hold."""

import asyncio
import gc
import tracemalloc
from contextlib import asynccontextmanager, suppress
from functools import partial
from types import SimpleNamespace

from testtools import TestCase

from sequoiaspoke.core.mesh.answerroom import (
    MAX_HELD_BYTES,
    MAX_WAIT_SECONDS,
    SMALL_ANSWER,
    AnswerRoom,
)
from sequoiaspoke.core.mesh.memory import MemoryAccount, header_size
from sequoiaspoke.core.mesh.outcome import TIMED_OUT, Answer, Request, Unknown
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.frames import FRAME_LIMIT, HEADER, TcpFrameStream
from sequoiaspoke.sidecar.httpclient import (
    MAX_ANSWER_BYTES,
    MAX_HEAD_BYTES,
    PARSE_BYTES,
    WITHOUT_ROOM,
    ClientConnection,
)
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstream import MAX_HEALTH_BYTES, Upstream
from sequoiaspoke.tests.crowds import SHORT_LINE, filled
from sequoiaspoke.tests.test_meshlink import LinkWorld
from sequoiaspoke.tests.test_sidecar_upstream import STAMP, answer

WAIT = 20.0  # seconds; only a failing test waits so long
HEAD = f"HTTP/1.1 200 x\r\nX-Request-Id: c\r\n{STAMP}".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes that may be on their way in the buffers of both ends of a connection when the
# node closes it.
BUFFERED = 16 << 20
# What the upstream sends once, what it repeats without end, the reason of the outcome,
# and the bytes that a node needs to see of it.
ENDLESS = {
    "header lines": (HEAD, b"X-More: " + b"y" * 1000 + b"\r\n", "head", 0),
    "one header line": (HEAD + b"X-More: ", b"y" * 1000, "head", 0),
    "a reason phrase": (b"HTTP/1.1 200 ", b"y" * 1000, "head", 0),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n", "head", 0),
    "a chunk extension": (CHUNKED + b"5;", b"y" * 1000, "head", 0),
    "chunk extensions": (CHUNKED, b"1;" + b"y" * 1000 + b"\r\nz\r\n", "head", 0),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: " + b"y" * 1000 + b"\r\n", "head", 0),
    "answers to other calls": (b"", answer("b", ""), "head", 0),
    "long answers to other calls": (b"", answer("b", "y" * 9000), "body", 1),
    "a chunked body": (CHUNKED, b"3e8\r\n" + b"y" * 1000 + b"\r\n", "body", 1),
    "a body without a length": (HEAD + b"\r\n", b"y" * 1000, "body", 1),
    "a body with a length": (
        HEAD + b"Content-Length: 999999999999\r\n\r\n", b"y" * 1000, "body", 0,
    ),
    "trailers behind a large body": (
        CHUNKED + b"100000\r\n" + b"y" * (1 << 20) + b"\r\n0\r\n",
        b"X-More: " + b"y" * 1000 + b"\r\n", "head", 0,
    ),
    "header lines of an answer to another call": (
        answer("b") + HEAD, b"X-More: " + b"y" * 1000 + b"\r\n", "head", 0,
    ),
}  # fmt: skip
REASONS = {"head": "answer-head-too-large", "body": "answer-too-large"}


@asynccontextmanager
async def serving(serve):
    """Listen with a function for each connection; yield the port."""
    writers = []

    async def recorded(reader, writer):
        writers.append(writer)
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(recorded, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        # Until the event loop has closed the connections and ended their tasks.
        await asyncio.sleep(0.01)


async def serve_text(text, reader, writer):
    """Answer one request with some bytes, and wait until the client has closed."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(text)
    await reader.read()


class EndlessUpstream:
    """Repeats bytes on each connection until it is closed."""

    def __init__(self, prefix, repeated):
        self.prefix = prefix
        self.repeated = repeated * (1 + 65536 // len(repeated))
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await self.send(writer)
        finally:
            self.closed.set()

    async def send(self, writer):
        writer.write(self.prefix)
        while True:
            writer.write(self.repeated)
            await writer.drain()
            self.sent += len(self.repeated)


class EndlessAnswerTests(TestCase):
    """Each is ended as soon as it exceeds a bound, not at the deadline of the call."""

    def play(self, prefix, repeated, use):
        async def run():
            self.raw = EndlessUpstream(prefix, repeated)
            self.memory = MemoryAccount(64 << 20)
            room = AnswerRoom(self.memory)
            async with asyncio.timeout(WAIT), serving(self.raw.serve) as port:
                result = await use(Upstream("127.0.0.1", port, HeaderNames(), room))
                await self.raw.closed.wait()
                return result

        return asyncio.run(run())

    async def call(self, upstream):
        request = Request("GET", "/a", (("X-Request-Id", "c"),), b"")
        return await upstream.call(
            request, "i", clock.now() + 10 * WAIT, False, lambda: None
        )

    def check(self, name):
        prefix, repeated, kind, bodies = ENDLESS[name]
        outcome = self.play(prefix, repeated, self.call)
        self.assertEqual(outcome.reason, REASONS[kind])
        self.assertEqual(self.memory.held, 0)
        limit = BUFFERED + bodies * MAX_ANSWER_BYTES
        self.assertTrue(self.raw.sent <= limit, self.raw.sent)

    def test_an_endless_answer_to_a_health_check_is_ended(self):
        async def check_health(upstream):
            return await upstream.check_health("/health", clock.now() + 10 * WAIT)

        for prefix in (HEAD, HEAD + b"\r\n"):
            self.assertIsNone(self.play(prefix, b"X: y\r\n", check_health))
            limit = BUFFERED + MAX_HEALTH_BYTES
            self.assertTrue(self.raw.sent <= limit, self.raw.sent)


def make_test(name):
    def test(self):
        self.check(name)

    return test


for each in ENDLESS:
    test_name = f"test_{each.replace(' ', '_')}_without_end"
    setattr(EndlessAnswerTests, test_name, make_test(each))


class AcceptedAnswerTests(TestCase):
    """Answers within the bounds, however they are framed."""

    def play(self, text):
        async def run():
            memory = MemoryAccount(64 << 20)
            room = AnswerRoom(memory)
            request = Request("GET", "/a", (("X-Request-Id", "c"),), b"")
            serve = partial(serve_text, text)
            async with asyncio.timeout(WAIT), serving(serve) as port:
                upstream = Upstream("127.0.0.1", port, HeaderNames(), room)
                outcome = await upstream.call(
                    request, "i", clock.now() + WAIT, False, lambda: None
                )
                upstream.close_idle_connections()
            self.assertEqual(memory.held, 0)
            return outcome

        return asyncio.run(run())

    def test_chunks_of_one_byte_are_accepted(self):
        # Their framing is five times as long as the body.
        size = 100_000
        text = CHUNKED + b"1\r\nz\r\n" * size + b"0\r\n\r\n"
        self.assertEqual(self.play(text).body, b"z" * size)

    def test_a_long_head_and_interim_answers_are_accepted(self):
        interim = b"HTTP/1.1 102 Processing\r\n\r\n" * 100
        fields = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 900) for n in range(50))
        text = interim + HEAD + fields + b"Content-Length: 2\r\n\r\nok"
        self.assertTrue(len(text) < MAX_HEAD_BYTES)
        self.assertEqual(self.play(text).body, b"ok")

    def test_a_head_of_as_many_lines_as_it_can_have_is_accepted(self):
        size = MAX_HEAD_BYTES - 4096
        text = HEAD + filled(SHORT_LINE, size) + b"Content-Length: 2\r\n\r\nok"
        outcome = self.play(text)
        self.assertEqual(outcome.body, b"ok")
        self.assertEqual(outcome.headers.count(("ab", "c")), size // len(SHORT_LINE))

    def test_the_largest_answer_is_accepted(self):
        body = "z" * MAX_ANSWER_BYTES
        self.assertEqual(len(self.play(answer("c", body)).body), MAX_ANSWER_BYTES)


class AnswerMemoryTests(TestCase):
    """What a process holds for the part of an answer that has come."""

    def held(self, data):
        """Return the bytes that a connection holds after some data, and at most."""

        async def run():
            connection = ClientConnection("x-request-id", Deadlines())
            connection.transport = SimpleNamespace(abort=lambda: None)
            connection.pending = asyncio.get_running_loop().create_future()
            tracemalloc.start()
            try:
                connection.received(data)
                # The interpreter keeps 2,000 freed tuples until then.
                gc.collect()
                return tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()

        return asyncio.run(run())

    def test_small_chunks_take_no_more_than_their_body(self):
        # An object was held for each chunk, over twenty bytes for one of the body.
        count = 50_000
        for chunk in (b"1\r\nz\r\n", b"2\r\nzz\r\n"):
            held, _ = self.held(CHUNKED + count * chunk)
            size = count * chunk.count(b"z")
            self.assertTrue(size <= held < 1.5 * size, held / size)

    def test_a_head_far_over_the_limit_is_not_parsed(self):
        # All lines of one read were kept, whatever their number.
        lines = HEAD + filled(SHORT_LINE, 10 * MAX_HEAD_BYTES)
        held, most = self.held(lines)
        parsed = (MAX_HEAD_BYTES + PARSE_BYTES) // len(SHORT_LINE)
        self.assertTrue(most < parsed * header_size("ab", "c"), most)
        self.assertTrue(held < MAX_HEAD_BYTES, held)


class HeadRoomTests(TestCase):
    """Heads that take much more memory than bytes."""

    LINES = HEAD + filled(SHORT_LINE, MAX_HEAD_BYTES // 2)
    CALLS = 30

    def play(self, text, limit=4 << 20, used=0):
        """Return the reasons of calls, the most that was held, and what is left."""

        async def run():
            memory = MemoryAccount(limit)
            room = AnswerRoom(memory)
            memory.reserve(used)
            most, change_held = [], room.change_held

            def record(change):
                change_held(change)
                most.append(room.held)

            room.change_held = record
            request = Request("GET", "/a", (("X-Request-Id", "c"),), b"")
            serve = partial(serve_text, text)
            async with asyncio.timeout(WAIT), serving(serve) as port:
                upstream = Upstream("127.0.0.1", port, HeaderNames(), room)
                calls = (
                    upstream.call(request, "i", clock.now() + 2.0, False, lambda: None)
                    for _ in range(self.CALLS)
                )
                outcomes = await asyncio.gather(*calls)
                upstream.close_idle_connections()
            kinds = {(type(x), getattr(x, "reason", "")) for x in outcomes}
            return kinds, max(most), memory.held - used, len(room.waiting)

        return asyncio.run(run())

    def test_a_head_without_room_fails_as_one_that_may_have_run(self):
        # Heads of legal size on all slots took several times the memory of a VM.
        for limit in (4 << 20, 1 << 30):
            kinds, most, held, waiting = self.play(self.LINES, limit)
            self.assertIn((Unknown, WITHOUT_ROOM), kinds)
            self.assertEqual({Unknown}, {kind for kind, _ in kinds})
            self.assertEqual((held, waiting), (0, 0))
            # What comes with the last piece is held before it is refused.
            self.assertTrue(most <= MAX_HELD_BYTES + self.CALLS * SMALL_ANSWER, most)

    def test_large_heads_do_not_wait_in_the_room_that_their_bodies_need(self):
        length = b"Content-Length: %d\r\n\r\n" % (1 << 20)
        text = self.LINES + length + b"y" * (1 << 20)
        kinds, _, held, waiting = self.play(text)
        self.assertIn((Unknown, WITHOUT_ROOM), kinds)
        self.assertIn((Answer, ""), kinds)
        self.assertNotIn((Unknown, TIMED_OUT), kinds)
        self.assertEqual((held, waiting), (0, 0))

    def test_answers_with_small_heads_wait_as_before(self):
        kinds, _, held, _ = self.play(answer("c", "z" * (1 << 20)))
        self.assertEqual((kinds, held), ({(Answer, "")}, 0))


class AnswerRoomTests(TestCase):
    def room(self, limit=10 << 20):
        self.admitted = []
        return AnswerRoom(MemoryAccount(limit))

    def request(self, room, ticket, size):
        return room.request(ticket, size, lambda: self.admitted.append(ticket))

    def test_answers_that_do_not_fit_wait_in_their_order(self):
        # Answers just below their bound on all slots at once took a node of 150 MB to
        # 307 MB, and two of three failed.
        room = self.room()
        large = 4 << 20
        granted = [self.request(room, n, large) for n in range(5)]
        self.assertEqual(granted, [True, True, False, False, False])
        self.assertTrue(self.request(room, "small", SMALL_ANSWER))
        self.assertFalse(self.request(room, "later", SMALL_ANSWER + 1))
        room.release(0)
        self.assertEqual(self.admitted, [2])
        room.release(3)
        room.release(1)
        self.assertEqual(self.admitted, [2, 4, "later"])
        for ticket in (2, 4, "later", "small"):
            room.release(ticket)
        self.assertEqual((room.held, room.memory.held), (0, 0))

    def test_answers_wait_for_memory_that_other_parts_of_the_node_hold(self):
        room = self.room()
        room.memory.reserve(8 << 20)
        self.assertTrue(self.request(room, "a", 1 << 20))
        self.assertFalse(self.request(room, "b", 4 << 20))
        room.memory.release(8 << 20)
        room.admit_waiting()
        self.assertEqual(self.admitted, ["b"])

    def test_answers_to_the_requests_that_fill_the_memory_are_read(self):
        # The bodies of uploads are held until these are answered. If the answers waited
        # for them, all would be late.
        room = self.room()
        room.memory.reserve(room.memory.limit)
        self.assertTrue(self.request(room, "small", SMALL_ANSWER))
        self.assertTrue(self.request(room, "a", 4 << 20))
        self.assertFalse(self.request(room, "b", 4 << 20))
        room.release("a")
        self.assertEqual(self.admitted, ["b"])
        room.release("b")
        self.assertTrue(room.extend("c", 4 << 20))

    def test_answers_wait_for_callers_that_have_not_read_others(self):
        # Read at once, one more closed the connection of a caller that was reading.
        room = self.room()
        room.memory.change_unread(8 << 20)
        self.assertFalse(self.request(room, "a", 4 << 20))
        self.assertTrue(room.memory.short)
        room.memory.change_unread(-(2 << 20))
        self.assertFalse(room.memory.short)
        room.tick(0.0)
        self.assertEqual((self.admitted, room.memory.wanted), (["a"], 0))

    def test_an_answer_does_not_wait_for_ever_for_callers_to_read(self):
        # Its upstream gives it up, and its own caller may read at once.
        room = self.room()
        room.memory.change_unread(8 << 20)
        for ticket in "ab":
            self.request(room, ticket, 4 << 20)
        for now in (0.0, MAX_WAIT_SECONDS - 0.1):
            room.tick(now)
            self.assertEqual(self.admitted, [])
        room.tick(MAX_WAIT_SECONDS)
        self.assertEqual(self.admitted, ["a"])
        room.release("a")
        room.tick(MAX_WAIT_SECONDS + 0.1)
        room.tick(2 * MAX_WAIT_SECONDS)
        self.assertEqual(self.admitted, ["a"])
        room.tick(2 * MAX_WAIT_SECONDS + 0.2)
        self.assertEqual(self.admitted, ["a", "b"])

    def test_a_complete_answer_keeps_its_room_until_it_was_passed_on(self):
        # The next one was read in its room before anybody had counted it again.
        room = self.room()
        for ticket in "ab":
            self.request(room, ticket, 6 << 20)
        passing = room.pass_on("a")
        self.assertEqual(self.admitted, [])
        room.memory.change_unread(5 << 20)
        # It is counted twice for a moment, which is no reason to close its caller.
        self.assertFalse(room.memory.exceeded)
        room.release(passing)
        self.assertEqual(self.admitted, [])
        self.assertEqual((room.held, room.memory.held), (0, 5 << 20))
        self.assertEqual(room.memory.passing, 0)

    def test_answers_wait_for_links_that_have_not_sent_others(self):
        # A link with too many unsent bytes is closed, and all its answers are lost.
        room = self.room(64 << 20)
        room.change_held(MAX_HELD_BYTES - SMALL_ANSWER)
        self.assertFalse(self.request(room, "a", SMALL_ANSWER + 1))
        room.change_held(-SMALL_ANSWER)
        self.assertEqual(self.admitted, ["a"])

    def test_an_answer_of_unknown_length_does_not_wait(self):
        # Several that wait for each other would all be incomplete at their deadlines.
        room = self.room()
        self.assertTrue(room.extend("a", 6 << 20))
        self.assertTrue(room.extend("b", SMALL_ANSWER))
        self.assertFalse(room.extend("b", 6 << 20))
        self.assertTrue(room.extend("a", 9 << 20))

    def test_an_answer_that_can_never_fit_is_not_possible(self):
        self.assertFalse(self.room(1 << 20).possible(2 << 20))
        self.assertTrue(self.room().possible(MAX_ANSWER_BYTES))


class ManyLargeAnswersTests(TestCase):
    """An upstream that gives large answers on all its slots."""

    def test_all_are_read_one_after_the_other(self):
        size, count, limit = 4 << 20, 12, 10 << 20

        async def run():
            room = AnswerRoom(MemoryAccount(limit))
            request = Request("GET", "/a", (("X-Request-Id", "c"),), b"")
            serve = partial(serve_text, answer("c", "z" * size))
            most, reserve = [], room.reserve

            def record(ticket, more):
                reserve(ticket, more)
                most.append(room.memory.held)

            room.reserve = record
            async with asyncio.timeout(WAIT), serving(serve) as port:
                upstream = Upstream("127.0.0.1", port, HeaderNames(), room)
                calls = (
                    upstream.call(request, "i", clock.now() + WAIT, False, lambda: None)
                    for _ in range(count)
                )
                outcomes = await asyncio.gather(*calls)
                upstream.close_idle_connections()
            return [len(each.body) for each in outcomes], max(most), room.memory.held

        sizes, most, held = asyncio.run(run())
        self.assertEqual((sizes, held), ([size] * count, 0))
        self.assertTrue(most <= limit, most)


class UnreadLinkTests(TestCase):
    """Answers that a link has not sent yet."""

    def test_they_are_counted_until_they_are_sent(self):
        # They were held beside the memory account, each in the buffer of its link.
        class Transport(SimpleNamespace):
            def write(self, data):
                self.buffered += len(data)

            def get_write_buffer_size(self):
                return self.buffered

            def abort(self):
                pass

        async def run():
            room = AnswerRoom(MemoryAccount())
            stream = TcpFrameStream(room)
            stream.transport = Transport(buffered=0)
            stream.send_data(b"x" * 100_000)
            stream.pause_writing()
            stream.send_data(b"x" * 100_000)
            held = [room.held]
            stream.transport.buffered = 0
            stream.resume_writing()
            held.append(room.held)
            stream.send_data(b"x" * 100_000)
            stream.pause_writing()
            stream.close()
            return [*held, room.held, room.memory.held]

        self.assertEqual(asyncio.run(run()), [200_000, 0, 0, 0])


class UnintroducedLinkTests(TestCase):
    """Links whose first frame does not end."""

    def test_only_a_short_first_frame_is_kept(self):
        # 70 MB were kept for each link, whoever had opened it.
        async def run():
            world = LinkWorld()
            raw = EndlessUpstream(HEADER.pack(FRAME_LIMIT), b"y" * 1000)
            try:
                async with asyncio.timeout(WAIT):
                    address = world.socket.getsockname()
                    _, writer = await asyncio.open_connection(*address)
                    with suppress(ConnectionError):
                        await raw.send(writer)
                    writer.close()
            finally:
                world.close()
            return raw.sent

        sent = asyncio.run(run())
        self.assertTrue(sent <= BUFFERED, sent)
