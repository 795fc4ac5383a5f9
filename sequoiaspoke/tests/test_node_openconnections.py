"""Tests of the connections that a node closes when too many are open."""

import asyncio
import socket
from types import SimpleNamespace

from loguru import logger
from testtools import TestCase
from tornado.netutil import bind_sockets

from sequoiaspoke.node import app, openconnections
from sequoiaspoke.node.admin import admin_server
from sequoiaspoke.node.logs import format_line
from sequoiaspoke.node.openconnections import LimitedHTTPServer, OpenConnections
from sequoiaspoke.tests.loopback import WAIT, LoopbackTestCase, until
from sequoiaspoke.tests.nodeserver import ServerTestCase

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class StreamStub:
    """A connection; `peer` is the socket of its client."""

    def __init__(self):
        self.socket, self.peer = socket.socketpair()

    def fileno(self):
        return self.socket.fileno()

    def closed(self):
        return self.socket.fileno() < 0

    def close(self):
        self.socket.close()


class ChoiceTests(TestCase):
    """Four connections, of which one is closed for a fifth."""

    def setUp(self):
        super().setUp()
        self.connections = OpenConnections()
        self.connections.limit = 4
        self.streams = [self.stream() for _ in range(5)]
        for stream in self.streams[:4]:
            self.connections.add(stream)

    def stream(self):
        stream = StreamStub()
        self.addCleanup(stream.socket.close)
        self.addCleanup(stream.peer.close)
        return stream

    def call(self, *numbers):
        for number in numbers:
            self.connections.begin_call(self.streams[number])

    def answer(self, *numbers):
        for number in numbers:
            self.connections.end_call(self.streams[number])

    def closed_for_another(self):
        """Return which connections are closed once there is a fifth."""
        closed = self.connections.add(self.streams[4])
        numbers = [i for i, each in enumerate(self.streams) if each.closed()]
        self.assertEqual(len(numbers), closed)
        self.assertEqual(4, len(self.connections))
        return numbers

    def test_the_longest_silent_is_closed(self):
        self.assertEqual([0], self.closed_for_another())

    def test_one_without_a_request_is_closed_before_an_idle_one(self):
        self.call(0, 1)
        self.answer(0, 1)
        self.assertEqual([2], self.closed_for_another())

    def test_one_with_a_call_in_progress_is_never_closed(self):
        self.call(0, 1, 2)
        self.assertEqual([3], self.closed_for_another())

    def test_the_one_that_was_idle_for_longest_is_closed(self):
        self.call(0, 1, 2, 3)
        self.answer(2, 0)
        self.connections.begin_call(self.streams[2])
        self.answer(2)
        self.assertEqual([0], self.closed_for_another())

    def test_callers_that_stay_idle_do_not_keep_others_out(self):
        self.call(0, 1, 2, 3)
        self.answer(3, 1, 0, 2)
        self.assertEqual([3], self.closed_for_another())

    def test_the_new_one_is_closed_if_all_have_calls(self):
        self.call(0, 1, 2, 3)
        self.assertEqual([4], self.closed_for_another())

    def test_one_whose_request_has_arrived_is_kept(self):
        for number in (0, 1):
            self.streams[number].peer.send(REQUEST)
        self.assertEqual([2], self.closed_for_another())

    def test_one_that_has_ended_makes_room(self):
        self.streams[1].close()
        self.streams[0].peer.send(REQUEST)
        self.connections.add(self.streams[4])
        self.assertEqual([1], [i for i, x in enumerate(self.streams) if x.closed()])

    def test_a_forgotten_one_is_not_counted(self):
        self.connections.remove(self.streams[3])
        self.connections.add(self.streams[4])
        self.assertFalse(any(each.closed() for each in self.streams))


class LimitedServerTests(ServerTestCase):
    """Two connections are allowed."""

    async def open(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    def test_silent_callers_are_closed_for_one_that_calls(self):
        async def scenario(reader, writer):
            self.server.server.connections.limit = 2
            silent = [(reader, writer), await self.open(), await self.open()]
            called, caller = await self.open()
            caller.write(REQUEST)
            for closed, _ in silent[:2]:
                self.assertEqual(b"", await closed.read())
            self.handler.gate.set()
            self.assertIn(b" 200 ", await called.readline())

        self.play(scenario)

    def test_a_call_in_progress_is_answered(self):
        async def scenario(reader, writer):
            self.server.server.connections.limit = 2
            writer.write(REQUEST)
            await until(lambda: self.handler.begun)
            silent = [await self.open() for _ in range(4)]
            for closed, _ in silent[:3]:
                self.assertEqual(b"", await closed.read())
            self.handler.gate.set()
            self.assertIn(b" 200 ", await reader.readline())

        self.play(scenario)

    def test_connections_are_not_counted_once_they_have_ended(self):
        async def scenario(reader, writer):
            connections = self.server.server.connections
            self.handler.gate.set()
            writer.write(REQUEST)
            self.assertIn(b" 200 ", await reader.readline())
            await until(lambda: connections.idle)
            writer.close()
            await until(lambda: not len(connections))

        self.play(scenario)

    def test_one_line_tells_of_all_that_were_closed(self):
        self.patch(openconnections, "REPORT_SECONDS", 0.1)

        async def scenario(reader, writer):
            del reader, writer
            server = self.server.server
            server.name, server.connections.limit = "call", 1
            lines = []
            sink = logger.add(lines.append, format=format_line, colorize=False)
            self.addCleanup(logger.remove, sink)
            for _ in range(3):
                await self.open()
            await until(lambda: lines)
            (line,) = lines
            self.assertIn("event=connections-limited port=call limit=1 closed=3", line)

        self.play(scenario)


class LimitedPagesTests(TestCase):
    """Operators may have two connections."""

    def test_a_page_that_is_asked_for_is_sent(self):
        async def run():
            server = admin_server(SimpleNamespace())
            server.connections.limit = 2
            (listening,) = bind_sockets(0, "127.0.0.1")
            server.add_sockets([listening])
            address = listening.getsockname()
            async with asyncio.timeout(WAIT):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(
                    b"GET /live HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"
                )
                await until(lambda: server.connections.in_use)
                silent = [await asyncio.open_connection(*address) for _ in range(3)]
                for closed, _ in silent[:2]:
                    self.assertEqual(b"", await closed.read())
                writer.write(b"ab")
                self.assertIn(b" 200 ", await reader.readline())
                await until(lambda: server.connections.idle)
            for each in (writer, *(writer for _, writer in silent)):
                each.transport.abort()
            server.stop()
            await server.close_all_connections()

        asyncio.run(run())


class NodeLimitTests(LoopbackTestCase):
    def test_each_port_has_a_share_of_the_descriptors(self):
        async def test(deployment):
            node = deployment.sites[0].node
            self.patch(app, "available_descriptors", lambda **_: 1000)
            node.limit_connections()
            limits = {
                server.name: server.connections.limit
                for server in node.servers().values()
                if isinstance(server, LimitedHTTPServer)
            }
            self.assertEqual({"call": 500, "mesh": 250, "admin": 62}, limits)

        self.run_with(test)
