"""Tests of the connections that a sidecar keeps open."""

import asyncio
import resource
import socket
from types import SimpleNamespace

from testtools import TestCase

from sequoiaspoke import descriptors
from sequoiaspoke.descriptors import available_descriptors, limit_connections
from sequoiaspoke.sidecar.callerserver import CallerConnection, CallerServer
from sequoiaspoke.sidecar.linkserver import AcceptedLink, LinkServer
from sequoiaspoke.tests.test_callerserver import (
    CallerServerTestCase,
    FakeTransport,
    send_at_once,
)

REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class DescriptorTests(TestCase):
    def available(self, soft, platform):
        self.patch(resource, "getrlimit", lambda kind: (soft, soft))
        return available_descriptors(platform)

    def test_the_smaller_limit_holds(self):
        self.assertEqual(self.available(300, 4100), 300)
        self.assertEqual(self.available(10_000, 4100), 3900)
        self.assertEqual(self.available(300, 0), 300)

    def test_a_process_without_a_limit_has_a_large_one(self):
        unlimited = self.available(resource.RLIM_INFINITY, 0)
        self.assertEqual(unlimited, descriptors.UNLIMITED)

    def test_callers_leave_descriptors_for_links_and_the_upstream(self):
        limits = limit_connections(300)
        self.assertEqual((limits.callers, limits.health), (150, 18))
        self.assertEqual(limit_connections(3900).health, descriptors.MAX_SMALL)


class SurplusTests(CallerServerTestCase):
    """A server that keeps three connections of callers open."""

    async def open(self, data=b""):
        """Return the ends of a new connection that has brought data."""
        known = set(self.server.connections)
        ends = await asyncio.open_connection(*self.address)
        await self.until(lambda: self.server.connections - known)
        if data:
            begun = len(self.handler.begun)
            ends[1].write(data)
            await self.until(lambda: len(self.handler.begun) > begun)
        return ends

    def play(self, scenario):
        async def limited(reader, writer):
            await self.until(lambda: self.server.connections)
            self.server.max_connections = 3
            self.reports = []
            self.server.on_limited = self.reports.append
            await scenario(reader, writer)

        super().play(limited)

    async def closed(self, reader):
        return not await reader.read()

    def test_the_one_that_is_silent_for_longest_is_closed(self):
        # New callers waited until others had timed out.
        async def scenario(reader, writer):
            others = [await self.open() for _ in range(3)]
            self.assertTrue(await self.closed(reader))
            self.handler.gate.set()
            others[0][1].write(REQUEST)
            self.assertIn(b" 200 ", await others[0][0].readuntil(b"/a"))
            self.server.tick(0.0)
            self.server.tick(0.0)
            self.assertEqual(self.reports, [1])
            for _, each in others:
                each.close()

        self.play(scenario)

    def test_a_new_caller_is_served_beside_others_that_stay_idle(self):
        # The newest connection was closed, as it had brought no request.
        async def scenario(reader, writer):
            self.server.max_connections = 8
            self.handler.gate.set()
            writer.write(REQUEST)
            await reader.readuntil(b"/a")
            others = [await self.open(REQUEST) for _ in range(7)]
            late = await self.open(REQUEST)
            self.assertIn(b" 200 ", await late[0].readuntil(b"/a"))
            self.assertTrue(await self.closed(reader))
            for _, each in (*others, late):
                each.close()

        self.play(scenario)

    def test_one_that_has_brought_a_request_is_kept_before_silent_ones(self):
        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(REQUEST)
            await reader.readuntil(b"/a")
            others = [await self.open() for _ in range(3)]
            self.assertTrue(await self.closed(others[0][0]))
            writer.write(REQUEST)
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            for _, each in others:
                each.close()

        self.play(scenario)

    def test_idle_ones_do_not_keep_new_callers_out(self):
        # Each new connection was closed at once, until others had timed out.
        async def scenario(reader, writer):
            self.handler.gate.set()
            ends = [(reader, writer), *[await self.open() for _ in range(2)]]
            for each, each_writer in ends:
                each_writer.write(REQUEST)
                await each.readuntil(b"/a")
            late, late_writer = await asyncio.open_connection(*self.address)
            late_writer.write(REQUEST)
            self.assertIn(b" 200 ", await late.readuntil(b"/a"))
            self.assertTrue(await self.closed(reader))
            for _, each in (*ends, (late, late_writer)):
                each.close()

        self.play(scenario)

    def test_one_whose_request_has_arrived_is_not_closed(self):
        # It was reset, and its caller could not know whether the request had run.
        async def scenario(reader, writer):
            self.handler.gate.set()
            ends = [(reader, writer), await self.open()]
            for each, each_writer in ends:
                each_writer.write(REQUEST)
                await each.readuntil(b"/a")
            self.server.max_connections = 1
            send_at_once(writer, REQUEST)
            self.server.close_surplus()
            self.assertIn(b" 200 ", await reader.readuntil(b"/a"))
            self.assertTrue(await self.closed(ends[1][0]))
            ends[1][1].close()

        self.play(scenario)

    def test_one_with_a_call_is_never_closed(self):
        async def scenario(reader, writer):
            writer.write(REQUEST)
            others = [await self.open(REQUEST) for _ in range(2)]
            await self.until(lambda: len(self.handler.begun) == 3)
            late, late_writer = await asyncio.open_connection(*self.address)
            self.assertTrue(await self.closed(late))
            self.handler.gate.set()
            for each, _ in ((reader, writer), *others):
                self.assertIn(b" 200 ", await each.readuntil(b"/a"))
            for _, each in (*others, (late, late_writer)):
                each.close()

        self.play(scenario)


class CountingSet(set):
    """A set that counts how often it is searched."""

    searches = 0

    def __iter__(self):
        self.searches += 1
        return super().__iter__()


class SearchTests(TestCase):
    def test_not_all_connections_are_searched_for_each_that_is_closed(self):
        # A crowd that opened connections kept the event loop busy with that alone.
        server = CallerServer(None, None)
        server.connections = CountingSet()
        server.max_connections = 200
        pairs = [socket.socketpair() for _ in range(300)]
        for sock, _ in pairs:
            connection = CallerConnection(server)
            connection.transport = ClosingTransport(sock)
            connection.opened()
        self.assertEqual(server.closed_beyond_limit, 100)
        self.assertEqual(
            [x.fileno() < 0 for x, _ in pairs], 100 * [True] + 200 * [False]
        )
        self.assertTrue(server.connections.searches <= 50)
        for pair in pairs:
            for each in pair:
                each.close()


class ClosingTransport(FakeTransport):
    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.sock.close()


class UnknownLinkTests(TestCase):
    def test_the_earliest_link_without_a_hello_is_closed(self):
        # Connections that say nothing took all descriptors.
        closed = []
        server = LinkServer(None, None, 1, None)
        server.max_connections = 2
        for number in range(4):
            stream = SimpleNamespace(close=lambda number=number: closed.append(number))
            link = AcceptedLink(stream, server)
            link.peer = ("10.0.0.1", 1) if number == 1 else None
            server.links.append(link)
            server.close_surplus()
        self.assertEqual((closed, server.closed_beyond_limit), ([0], 1))
