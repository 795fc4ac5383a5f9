"""Tests of peers that send bytes without end to the product's node."""

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace

from testtools import TestCase
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.netutil import bind_sockets

from sequoiaspoke.core.idempotency.key import issue_key, parse_key
from sequoiaspoke.core.routing.grants import Ask
from sequoiaspoke.core.routing.grants_entry import Question
from sequoiaspoke.core.rules.model import Endpoint
from sequoiaspoke.errors import (
    CallError,
    ConnectionLostError,
    DrainingError,
    PlatformError,
    SequoiaspokeError,
    TruncatedAnswerError,
    UpstreamShedError,
)
from sequoiaspoke.node.admin import admin_server
from sequoiaspoke.node.attempts import Attempts
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.node.home import Home, HomeCall
from sequoiaspoke.node.keyedhome import KeyedHome
from sequoiaspoke.node.keyedrun import KeyRun
from sequoiaspoke.node.metrics import CallCounters
from sequoiaspoke.node.platformclient import PlatformClient
from sequoiaspoke.node.server import CallServer
from sequoiaspoke.node.watchall import PlatformWatch
from sequoiaspoke.settings.schema import (
    LimitSettings,
    NodeSettings,
    PlatformSettings,
    Settings,
    UpstreamSettings,
)
from sequoiaspoke.tests.nodeserver import GatedHandler
from sequoiaspoke.tests.test_endless_answers import (
    BUFFERED,
    WAIT,
    EndlessUpstream,
    serving,
)

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG = b"Content-Length: 4000000000\r\n\r\n"
LINE = b"X-More: " + b"y" * 1000 + b"\r\n"
CHUNK = b"3e8\r\n" + b"y" * 1000 + b"\r\n"
# What a server sends once, and what it repeats without end.
HEADS = {
    "header lines": (OK, LINE),
    "one header line": (OK + b"X-More: ", b"y" * 1000),
    "a reason phrase": (b"HTTP/1.1 200 ", b"y" * 1000),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "a chunk extension": (OK + CHUNKED + b"5;", b"y" * 1000),
    "trailers": (OK + CHUNKED + b"0\r\n", LINE),
    "a body without a length": (OK + b"\r\n", b"y" * 1000),
    "bytes that are no HTTP": (b"", b"y" * 1000),
}
BODIES = {"chunked": (CHUNKED, CHUNK), "with a length": (LONG, b"y" * 1000)}
REQUEST = b"POST /live HTTP/1.1\r\nHost: x\r\n"
REQUESTS = {
    "header lines": (REQUEST, LINE),
    "one header line": (REQUEST + b"X-More: ", b"y" * 1000),
    "a request line": (b"GET /", b"y" * 1000),
    "a chunk extension": (REQUEST + CHUNKED + b"5;", b"y" * 1000),
    "trailers": (REQUEST + CHUNKED + b"0\r\n", LINE),
    "bytes that are no HTTP": (b"", b"y" * 1000),
}


def make_settings():
    """Return settings with the node's name and upstream."""
    node = NodeSettings(name="n", zone="akaki")
    upstream = UpstreamSettings(target="i", service="fleet")
    return Settings(node=node, upstream=upstream)


def make_call():
    """Return a call whose deadline is later than the end of a failing test."""
    deadline = asyncio.get_running_loop().time() + 10 * WAIT
    return HomeCall("fleet", "i", "GET", "/a", HTTPHeaders(), None, deadline)


class StalledUpstream:
    """Sends the beginning of an answer on each connection until it is closed."""

    def __init__(self, prefix):
        self.prefix = prefix
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.prefix)
            await reader.read()
        finally:
            self.closed.set()


class EndlessCase(TestCase):
    """Plays a server whose answer does not end, until it is disconnected."""

    def play(self, prefix, repeated, use):
        """Return what `use` returns, or the error that it raises."""

        async def run():
            if repeated:
                raw = EndlessUpstream(prefix, repeated)
            else:
                raw = StalledUpstream(prefix)
            async with asyncio.timeout(WAIT), serving(raw.serve) as port:
                try:
                    result = await use(Address("127.0.0.1", port))
                except SequoiaspokeError as error:
                    result = error
                await raw.closed.wait()
            return result, raw.sent

        result, sent = asyncio.run(run())
        self.assertTrue(sent <= BUFFERED, sent)
        return result


class EndlessHeadTests(EndlessCase):
    """Answers that end only with their connection, at pools of connections."""

    async def call(self, address):
        pool = Pool(address, LimitSettings())
        line = RequestStartLine("GET", "/", "HTTP/1.1")
        deadline = asyncio.get_running_loop().time() + 10 * WAIT
        answer = await pool.call(line, HTTPHeaders({"Host": "x"}), None, deadline)
        while await answer.body.get():
            pass
        return answer

    def test_they_are_cut_at_a_bound(self):
        for prefix, repeated in HEADS.values():
            self.assertIsInstance(self.play(prefix, repeated, self.call), CallError)


class EndlessRefusalTests(EndlessCase):
    """Refusals whose body does not end."""

    HEAD = (
        b"HTTP/1.1 503 x\r\nSequoiaspoke-Ran: not-run\r\n"
        b"Sequoiaspoke-Reason: draining\r\n"
    )

    async def ask_upstream(self, address):
        settings = make_settings()
        home = Home(settings, CallCounters(), random.Random(1))
        pool = Pool(address, settings.limits)
        return await home.send_to_upstream(make_call(), pool)

    def attempts(self):
        settings = make_settings()
        counters = CallCounters()
        home = Home(settings, counters, random.Random(1))
        return Attempts(settings, home, counters, random.Random(1))

    async def ask_home(self, address):
        endpoint = Endpoint("i", "i", "akaki", address.host, address.port)
        return await self.attempts().send(endpoint, make_call())

    async def ask_for_grant(self, address):
        direct = self.attempts().direct
        direct.home_addresses["i"] = address
        return await direct.post(Question("i", Ask("n")))

    def check(self, use, error):
        for prefix, repeated in (*BODIES.values(), (LONG, b"")):
            result = self.play(self.HEAD + prefix, repeated, use)
            self.assertIsInstance(result, error)

    # They were read past the deadline of the call, and its caller got no answer.

    def test_of_an_upstream_the_rest_is_not_read(self):
        self.check(self.ask_upstream, UpstreamShedError)

    def test_of_another_node_the_rest_is_not_read(self):
        self.check(self.ask_home, DrainingError)

    def test_of_a_home_that_was_asked_for_a_grant_the_rest_is_not_read(self):
        self.check(self.ask_for_grant, object)


class EndlessStoreTests(EndlessCase):
    """Documents without end, with each of the clients of the store."""

    def settings(self, address):
        return PlatformSettings(url=f"http://{address.host}:{address.port}")

    async def read_by_watch(self, address):
        settings = Settings(platform=self.settings(address))
        source = PlatformWatch(settings, random.Random(1))
        return await source.read("documents/head", 10 * WAIT)

    async def read_by_client(self, address):
        return await PlatformClient(self.settings(address)).read("head")

    def check(self, read):
        for prefix, repeated in BODIES.values():
            result = self.play(OK + b"Revision: 1\r\n" + prefix, repeated, read)
            self.assertIsInstance(result, CallError | PlatformError)

    def test_a_node_that_watches_keeps_no_document_without_end(self):
        # It kept all that came within its timeout, 600 MB.
        self.check(self.read_by_watch)

    def test_a_node_that_reads_keeps_no_document_without_end(self):
        self.check(self.read_by_client)


class EndlessRequestTests(TestCase):
    """Requests without end."""

    def play(self, make_server, prefix, repeated):
        """Send a request until the server closes; return the bytes sent."""

        async def run():
            server, close = make_server()
            (listening,) = bind_sockets(0, "127.0.0.1")
            server.add_sockets([listening])
            reader, writer = await asyncio.open_connection(*listening.getsockname())
            raw = EndlessUpstream(prefix, repeated)
            try:
                async with asyncio.timeout(WAIT):
                    with suppress(ConnectionError):
                        await raw.send(writer)
            finally:
                writer.transport.abort()
                server.stop()
                close()
                await server.close_all_connections()
            return raw.sent

        return asyncio.run(run())

    def check(self, make_server, requests):
        for prefix, repeated in requests:
            sent = self.play(make_server, prefix, repeated)
            self.assertTrue(sent <= BUFFERED, sent)

    def serve_calls(self):
        server = CallServer(GatedHandler(), LimitSettings())
        return server.server, server.cut_off

    def serve_pages(self):
        return admin_server(SimpleNamespace()), lambda: None

    def test_of_callers_only_a_bounded_part_is_read(self):
        self.check(self.serve_calls, REQUESTS.values())

    def test_of_operators_only_a_bounded_part_is_read(self):
        # Bodies were read whole, up to 100 MB on each connection.
        bodies = ((REQUEST + prefix, more) for prefix, more in BODIES.values())
        self.check(self.serve_pages, (*REQUESTS.values(), *bodies))


class KeyedAnswerTests(EndlessCase):
    """Answers to keyed calls that are never complete."""

    # They are read without a caller that waits, in a task of their own. Each of them
    # took a slot of the upstream for good.

    def run_key(self, prefix, repeated=b"", idle=0.1):
        """Run a key; return the outcome and the number of slots that are in use."""

        async def use(address):
            limits = LimitSettings(idle=idle)
            settings = replace(make_settings(), limits=limits)
            home = Home(settings, CallCounters(), random.Random(1))
            home.pool = Pool(address, limits)
            keyed = KeyedHome(settings, home, SimpleNamespace(), random.Random(1))
            key = issue_key(keyed.core.identity, time.time(), random.Random(1))
            run = KeyRun(asyncio.get_running_loop().create_future())
            await keyed.execute(run, make_call(), parse_key(key, settings.idempotency))
            return run.done.exception(), home.in_flight

        return self.play(prefix, repeated, use)

    def test_one_that_stalls_is_given_up(self):
        for prefix in (LONG, CHUNKED, CHUNKED + CHUNK):
            error, in_use = self.run_key(OK + prefix)
            self.assertIsInstance(error, ConnectionLostError)
            self.assertEqual(in_use, 0)

    def test_the_slot_of_one_that_is_malformed_is_released(self):
        error, in_use = self.run_key(OK + CHUNKED + CHUNK + b"z", b"z", WAIT)
        self.assertIsInstance(error, TruncatedAnswerError)
        self.assertEqual(in_use, 0)
