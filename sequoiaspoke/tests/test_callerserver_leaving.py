"""Tests of callers that end their connections before they are answered."""

import asyncio
import socket
import struct
from dataclasses import replace
from errno import ETIMEDOUT

import uvloop

from sequoiaspoke import endedinput
from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.endedinput import CallerEnd
from sequoiaspoke.sidecar import callerserver
from sequoiaspoke.sidecar.bodypolicy import ReadAllBodies
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

HEAD_END = b"\r\n\r\n"
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
EXPECT = "Expect: 100-continue"
# Value of SO_LINGER with which closing a socket resets its connection.
NO_LINGER = struct.pack("ii", 1, 0)


class RecordingPolicy(ReadAllBodies):
    """Records how callers with unanswered calls have ended their connections."""

    def __init__(self):
        self.ends = []

    def caller_left(self, end, calls):
        self.ends.append((end, calls))


class LeavingTestCase(CallerServerTestCase):
    """Records how callers leave."""

    def play(self, scenario):
        async def recorded(reader, writer):
            self.policy = self.server.policy = RecordingPolicy()
            await scenario(reader, writer)

        super().play(recorded)

    async def send(self, writer, data, count):
        """Send requests and return their connection once all of them have begun."""
        writer.write(data)
        await self.until(lambda: len(self.handler.begun) == count)
        (connection,) = self.server.connections
        return connection

    async def end_input(self, connection, writer):
        """End the input of a connection, and wait until the server has noticed."""
        noticed = []
        notice = connection.eof_received
        connection.eof_received = lambda: noticed.append(0) or notice()
        writer.write_eof()
        await self.until(lambda: noticed)


class ReportTests(LeavingTestCase):
    """Nothing told a caller that has closed from one that only ended its input."""

    def test_the_end_of_the_input_is_reported(self):
        async def scenario(reader, writer):
            connection = await self.send(writer, 2 * REQUEST, 2)
            await self.end_input(connection, writer)
            await self.until(lambda: connection.ended_input.checked)
            self.handler.gate.set()
            await self.until(lambda: self.policy.ends)
            self.assertEqual(self.policy.ends, [(CallerEnd.INPUT, 2)])

        self.play(scenario)

    def test_a_reset_is_reported(self):
        async def scenario(reader, writer):
            await self.send(writer, REQUEST, 1)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.close()
            await self.until(lambda: self.policy.ends)
            self.assertEqual(self.policy.ends, [(CallerEnd.RESET, 1)])

        self.play(scenario)

    def test_a_caller_that_answers_no_probe_is_reported(self):
        async def scenario(reader, writer):
            connection = await self.send(writer, REQUEST, 1)
            connection.connection_lost(OSError(ETIMEDOUT, "timed out"))
            self.assertEqual(self.policy.ends, [(CallerEnd.TIMEOUT, 1)])

        self.play(scenario)

    def test_a_caller_without_unanswered_calls_is_not_reported(self):
        async def scenario(reader, writer):
            self.handler.gate.set()
            await self.send(writer, REQUEST, 1)
            await reader.readuntil(b"/a")
            writer.close()
            await self.until(lambda: not self.server.connections)
            self.assertEqual(self.policy.ends, [])

        self.play(scenario)


def request(target, *lines, version="1.1"):
    """Return the bytes of a read."""
    return "\r\n".join(
        [f"GET {target} HTTP/{version}", "Host: x", *lines, "", ""]
    ).encode()


def split_answers(data):
    """Return status, body and whether the connection closes of each response."""
    answers = []
    while data:
        head, _, data = data.partition(HEAD_END)
        length = 0
        for line in head.split(b"\r\n"):
            if line.startswith(b"Content-Length: "):
                length = int(line.split()[1])
        closes = b"Connection: close" in head
        answers.append((int(head.split()[1]), data[:length], closes))
        data = data[length:]
    return answers


class EndedInputTests(LeavingTestCase):
    """A caller that closed its sending side and read on got no answer."""

    def test_a_caller_that_only_ends_its_input_is_answered(self):
        for line, expected in (("X: y", 0), ("Connection: close", 0), (EXPECT, 1)):

            async def scenario(reader, writer, line=line, expected=expected):
                connection = await self.send(writer, request("/a", line), 1)
                await self.end_input(connection, writer)
                self.handler.gate.set()
                *interim, last = split_answers(await reader.read())
                self.assertEqual(last, (200, b"/a", True))
                self.assertEqual(interim, (expected + 1) * [(100, b"", False)])
                await self.until(lambda: not self.server.connections)

            self.play(scenario)

    def test_a_caller_that_ends_its_input_with_the_request_is_answered(self):
        # The request and the end of the input are then read together.
        async def scenario(reader, writer):
            writer.write(REQUEST)
            writer.write_eof()
            await self.until(lambda: self.handler.begun)
            self.handler.gate.set()
            self.assertEqual(split_answers(await reader.read())[-1][1], b"/a")

        self.play(scenario)

    def test_a_body_is_answered_although_no_more_input_comes(self):
        async def scenario(reader, writer):
            head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
            connection = await self.send(writer, head + b"body", 1)
            await self.end_input(connection, writer)
            self.handler.gate.set()
            self.assertEqual(split_answers(await reader.read())[-1][1], b"/abody")
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_pipelined_requests_are_answered_in_their_order(self):
        # The interim response is no part of the answers around it.
        async def scenario(reader, writer):
            targets = ("/a", "/b", "/c")
            data = b"".join(request(target) for target in targets)
            connection = await self.send(writer, data, 3)
            *_, third = connection.pending
            connection.send_answer(third, Answer(200, (), b"early"))
            await self.end_input(connection, writer)
            self.handler.gate.set()
            self.assertEqual(
                split_answers(await reader.read()),
                [
                    (100, b"", False),
                    (200, b"/a", False),
                    (200, b"/b", False),
                    (200, b"early", True),
                ],
            )

        self.play(scenario)

    def test_an_answer_that_is_still_being_sent_is_not_broken(self):
        # The caller reads it only after it has ended its input.
        size = 4 << 20

        async def handle(request):
            if request.target == "/large":
                return Answer(200, (), b"x" * size)
            return await self.handler.handle(request)

        async def scenario(reader, writer):
            self.server.handle = handle
            data = request("/large") + request("/b")
            connection = await self.send(writer, data, 1)
            await self.until(lambda: connection.writing_paused)
            await self.end_input(connection, writer)
            await self.until(lambda: connection.ended_input.checked)
            self.handler.gate.set()
            first, *interim, last = split_answers(await reader.read())
            self.assertEqual((first[0], len(first[1])), (200, size))
            self.assertEqual([status for status, _, _ in interim], [])
            self.assertEqual(last, (200, b"/b", True))
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_one_that_does_not_read_is_closed_after_the_idle_timeout(self):
        # Its answer would stay in memory for good.
        async def scenario(reader, writer):
            self.patch(callerserver, "CLOSE_TIMEOUT", 0.02)
            connection = await self.send(writer, REQUEST, 1)
            connection.limits = replace(connection.limits, idle_timeout=0.05)
            await self.end_input(connection, writer)
            writer.transport.pause_reading()
            (exchange,) = connection.pending
            connection.send_answer(exchange, Answer(200, (), b"x" * (8 << 20)))
            self.handler.gate.set()
            self.assertGreater(connection.unsent_bytes(), 0)
            await self.until(lambda: not self.server.connections)
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_the_part_of_a_request_before_the_end_is_not_served(self):
        # Neither is its body asked for, nor does it count as held.
        part = (
            b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        for more in (b"", b"part"):

            async def scenario(reader, writer, more=more):
                connection = await self.send(writer, REQUEST + part + more, 1)
                await self.end_input(connection, writer)
                self.handler.gate.set()
                answers = split_answers(await reader.read())
                self.assertEqual(answers, [(100, b"", False), (200, b"/a", True)])
                self.assertEqual(len(self.handler.begun), 1)
                self.assertEqual(self.memory.held, 0)
                await self.until(lambda: not self.server.connections)
                self.assertFalse(self.server.reads_input)
                self.assertEqual(self.server.unanswered, 0)

            self.play(scenario)

    def test_a_node_that_reads_no_more_requests_answers_it(self):
        for ends_first in (True, False):

            async def scenario(reader, writer, ends_first=ends_first):
                connection = await self.send(writer, REQUEST, 1)
                if ends_first:
                    await self.end_input(connection, writer)
                self.server.end_input()
                if not ends_first:
                    await self.end_input(connection, writer)
                self.assertEqual(self.server.unanswered, 1)
                self.handler.gate.set()
                answers = split_answers(await reader.read())
                self.assertEqual(answers[-1], (200, b"/a", True))
                await self.until(lambda: not self.server.connections)

            self.play(scenario)

    def test_an_idle_connection_that_ends_its_input_is_closed(self):
        async def scenario(reader, writer):
            self.handler.gate.set()
            await self.send(writer, REQUEST, 1)
            await reader.readuntil(b"/a")
            writer.write_eof()
            self.assertEqual(await reader.read(), b"")

        self.play(scenario)

    def test_the_calls_of_a_caller_that_closes_are_cancelled(self):
        # It sends the same as one that only ends its input.
        async def scenario(reader, writer):
            connection = await self.send(writer, 2 * REQUEST, 2)
            writer.close()
            await self.until(lambda: len(self.handler.cancelled) == 2)
            self.assertEqual(self.policy.ends, [(CallerEnd.RESET, 2)])
            self.assertTrue(connection.closed)

        self.play(scenario)

    def test_the_calls_of_a_caller_that_resets_later_are_cancelled(self):
        # The event loop does not poll a socket whose input has ended.
        async def scenario(reader, writer):
            connection = await self.send(writer, REQUEST, 1)
            await self.end_input(connection, writer)
            await self.until(lambda: connection.ended_input.checked)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()
            await self.until(lambda: self.handler.cancelled)
            self.assertEqual(self.policy.ends, [(CallerEnd.RESET, 1)])

        self.play(scenario)


class EndedInputUvloopTests(EndedInputTests):
    loop_factory = staticmethod(uvloop.new_event_loop)


class OldCallerTests(LeavingTestCase):
    """A caller of HTTP/1.0 takes no interim response and cannot be asked."""

    def test_a_caller_of_the_old_version_gets_an_answer_and_no_interim_response(self):
        async def scenario(reader, writer):
            self.patch(endedinput, "UNKNOWN_SECONDS", 60.0)
            connection = await self.send(writer, request("/a", version="1.0"), 1)
            await self.end_input(connection, writer)
            self.handler.gate.set()
            self.assertEqual(split_answers(await reader.read()), [(200, b"/a", True)])
            await self.until(lambda: not self.server.connections)
            self.assertEqual(self.policy.ends, [(CallerEnd.UNKNOWN, 1)])

        self.play(scenario)

    def test_an_interim_response_to_a_newer_request_before_it_is_taken(self):
        # Both calls were cancelled, although the caller could have been asked.
        async def scenario(reader, writer):
            self.patch(endedinput, "UNKNOWN_SECONDS", 0.02)
            data = request("/a") + request("/b", version="1.0")
            connection = await self.send(writer, data, 2)
            await self.end_input(connection, writer)
            await self.until(
                lambda: connection.closed or connection.ended_input.checked
            )
            await asyncio.sleep(2 * endedinput.UNKNOWN_SECONDS)
            self.handler.gate.set()
            answers = split_answers(await reader.read())
            self.assertEqual(
                answers, [(100, b"", False), (200, b"/a", False), (200, b"/b", True)]
            )

        self.play(scenario)

    def test_its_calls_are_cancelled_after_a_while(self):
        # A caller that has left cannot be told from one that reads on.
        async def scenario(reader, writer):
            self.patch(endedinput, "UNKNOWN_SECONDS", 0.02)
            connection = await self.send(writer, request("/a", version="1.0"), 1)
            await self.end_input(connection, writer)
            self.assertEqual(await reader.read(), b"")
            await self.until(lambda: self.handler.cancelled)
            self.assertEqual(self.policy.ends, [(CallerEnd.UNKNOWN, 1)])

        self.play(scenario)


class OldCallerUvloopTests(OldCallerTests):
    loop_factory = staticmethod(uvloop.new_event_loop)
