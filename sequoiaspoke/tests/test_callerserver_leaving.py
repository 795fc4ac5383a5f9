"""Tests of callers that end their connections before they are answered."""

import socket
import struct
from errno import ETIMEDOUT

from sequoiaspoke.sidecar.bodypolicy import CallerEnd, ReadAllBodies
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
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
