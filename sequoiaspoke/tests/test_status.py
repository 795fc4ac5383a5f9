"""Tests of the commands that fetch the status of nodes."""

import asyncio
import contextlib
import io
import json
import time

from testtools import TestCase
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from sequoiaspoke.commands.nodestatus import NodeStatus, ask_nodes, read_status
from sequoiaspoke.commands.status import HEADINGS, as_table
from sequoiaspoke.commands.versionof import follow, version_of
from sequoiaspoke.errors import NodeUnreachableError, NotConvergedError
from sequoiaspoke.tests.golden import assert_golden
from sequoiaspoke.tests.loopback import LoopbackTestCase

PAGE = {
    "name": "akaki-fleet-1",
    "zone": "akaki",
    "target": "fleet-1",
    "version": 7,
    "installed_at": 1000.0,
    "learnt_from": "platform",
    "in_flight": 3,
    "queued": 2,
    "limit": 20,
    "ledger": 117,
    "ejected": ["fleet-3", "fleet-4"],
    "calls": {"fleet": 40, "billing": 2},
    "refused": {"overloaded": 5},
    "unknown": {},
    "retried": {"connect-failed": 1},
    "verified": True,
    "draining": False,
    "details": {"links": ["a", "b"], "rank": 1, "watching": True, "events": {"x": 1}},
    "last_refused_version": None,
}
UNUSED_ADDRESS = "127.0.0.1:1"


class PageSequence:
    """Status pages with one version after another; the last one repeats."""

    def __init__(self, versions):
        self.versions = list(versions)

    def next_page(self):
        """Return the page for the next request."""
        version = self.versions[0]
        if len(self.versions) > 1:
            self.versions.pop(0)
        return {**PAGE, "version": version}


class PageHandler(RequestHandler):
    def initialize(self, pages):
        self.pages = pages

    def get(self):
        self.finish(json.dumps(self.pages.next_page()))


@contextlib.contextmanager
def served(pages):
    """Serve pages on a free port within the block; yield its address."""
    sockets = bind_sockets(0, "127.0.0.1")
    app = Application([("/status", PageHandler, {"pages": pages})])
    server = HTTPServer(app)
    server.add_sockets(sockets)
    try:
        yield f"127.0.0.1:{sockets[0].getsockname()[1]}"
    finally:
        server.stop()


class StatusTableTests(TestCase):
    def test_one_line_for_each_node(self):
        behind = {
            "version": 6,
            "name": "bole-fleet-2",
            "draining": True,
            "last_refused_version": 7,
            "last_refused_reason": "rule charges: unknown service billing",
        }
        nodes = [
            NodeStatus("10.0.0.1:8083", 7, PAGE),
            NodeStatus("10.0.0.2:8083", 6, behind),
            NodeStatus("10.0.0.3:8083", fault="timed out"),
        ]
        assert_golden(self, "status.txt", as_table(nodes, 1012.4) + "\n")

    def test_pages_that_are_not_a_node_s_are_rejected(self):
        for body in (b"", b"[]", b"{}", b'{"version": "7"}', b"[" * 100_000):
            self.assertRaises(NodeUnreachableError, read_status, "a", body)


class VersionOfTests(TestCase):
    def test_it_waits_until_a_node_enforces_the_version(self):
        async def wait():
            with served(PageSequence([5, 6, 7])) as address:
                return await follow((address,), 7, 10.0)

        self.assertEqual([7], [node.version for node in asyncio.run(wait())])

    def test_a_node_that_is_behind_or_does_not_answer_is_named(self):
        async def ask():
            with served(PageSequence([5])) as address:
                return address, await ask_nodes((address, UNUSED_ADDRESS), 2.0)

        address, nodes = asyncio.run(ask())
        self.assertEqual([5, 0], [node.version for node in nodes])
        self.assertTrue(nodes[1].fault)
        with contextlib.redirect_stdout(io.StringIO()):
            error = self.assertRaises(
                NotConvergedError, version_of, address, wait=7, timeout=0.1
            )
        self.assertIn(address, str(error))


class LiveStatusTests(LoopbackTestCase):
    def test_a_node_fills_every_column(self):
        async def test(deployment):
            ports = [site.node.ports["admin"] for site in deployment.sites]
            addresses = tuple(f"127.0.0.1:{port}" for port in ports)
            nodes = await ask_nodes(addresses, 5.0)
            self.assertEqual([1, 1], [node.version for node in nodes])
            table = as_table(nodes, time.time()).splitlines()
            for line in table[1:]:
                # Only the list of ejected targets may be empty.
                cells = zip(HEADINGS, line.split(), strict=False)
                empty = [heading for heading, cell in cells if cell == "-"]
                self.assertEqual(["ejected"], empty)

        self.run_with(test)
