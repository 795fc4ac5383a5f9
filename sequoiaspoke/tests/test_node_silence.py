"""Tests of a node that does not run for a while.

The event loop is blocked while something arrives and a timer becomes due. The timer
then runs before what has arrived was handled.
"""

import asyncio
import random
import socket
import time
from dataclasses import replace
from types import SimpleNamespace

from testtools import TestCase
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.netutil import bind_sockets

from sequoiaspoke.core.idempotency.calls import KeptAnswer
from sequoiaspoke.core.membership.settings import MembershipSettings
from sequoiaspoke.core.spread.events import CancelRead
from sequoiaspoke.core.spread.settings import SpreadSettings
from sequoiaspoke.errors import DeadlineNotRunError, DeadlineUnknownError
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.node.keyedrun import KeyRun
from sequoiaspoke.node.server import CallHandler, CallServer
from sequoiaspoke.node.spreadloop import TICK_SECONDS, SpreadSource
from sequoiaspoke.node.watchall import PlatformWatch
from sequoiaspoke.settings.schema import LimitSettings, PlatformSettings, Settings
from sequoiaspoke.tests.loopback import WAIT, LoopbackTestCase, status, until

LIMIT = 0.2  # seconds of the timers in these tests
HOLD = 0.25  # seconds for which the event loop is blocked
# Seconds that a node takes for a pause, and that each iteration of a slow loop takes.
PAUSE, SLOW_ITERATION = 0.8, 0.06
REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


async def receive(sock):
    """Return what has arrived on a plain socket, empty at its end."""
    sock.setblocking(False)
    async with asyncio.timeout(WAIT):
        try:
            return await asyncio.get_running_loop().sock_recv(sock, 65536)
        except ConnectionResetError:
            return b""


class PlainServer:
    """A server whose connections are plain sockets, written to at once."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = Address(*self.listener.getsockname())
        self.sockets = [self.listener]

    async def accept(self):
        """Return a connection of the node once its request has arrived."""
        async with asyncio.timeout(WAIT):
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.sockets.append(sock)
        await receive(sock)
        return sock

    def close(self):
        for sock in self.sockets:
            sock.close()


class RelayHandler(CallHandler):
    """Relays each call to a server."""

    def __init__(self, pool):
        self.pool = pool

    async def handle(self, call):
        line = RequestStartLine("GET", call.uri, "HTTP/1.1")
        headers = HTTPHeaders({"Host": "x"})
        deadline = asyncio.get_running_loop().time() + WAIT
        answer = await self.pool.call(line, headers, None, deadline)
        try:
            headers = HTTPHeaders({"Content-Length": "4"})
            await call.writer.relay(answer, headers, LIMIT)
        finally:
            answer.close()


class CountingServer(CallServer):
    """A server that counts how often a connection waits for a request."""

    waits = 0

    def start_request(self, server_conn, request_conn):
        self.waits += 1
        return super().start_request(server_conn, request_conn)


class HeldServerTests(TestCase):
    def play(self, scenario, limits):
        async def run():
            self.upstream = PlainServer()
            pool = Pool(self.upstream.address, LimitSettings())
            self.server = CountingServer(RelayHandler(pool), limits)
            (listening,) = bind_sockets(0, "127.0.0.1")
            self.server.server.add_sockets([listening])
            try:
                with socket.create_connection(listening.getsockname()) as caller:
                    await scenario(caller)
            finally:
                self.server.server.stop()
                await self.server.server.close_all_connections()
                pool.close()
                self.upstream.close()

        asyncio.run(run())

    def test_a_request_that_came_in_a_hold_is_served_on_an_idle_connection(self):
        # The connection was closed as idle, and the request dropped with it.
        async def scenario(caller):
            await until(lambda: self.server.waits)
            await asyncio.sleep(0)
            caller.sendall(REQUEST)
            time.sleep(HOLD)
            upstream = await self.upstream.accept()
            upstream.sendall(HEAD + b"body")
            self.assertEqual(200, status(await receive(caller)))

        self.play(scenario, LimitSettings(keepalive=LIMIT))

    def test_a_connection_that_stays_idle_is_closed(self):
        async def scenario(caller):
            self.assertEqual(b"", await receive(caller))

        self.play(scenario, LimitSettings(keepalive=LIMIT))

    def test_a_connection_that_was_used_is_idle_from_its_answer(self):
        # A timer that is not set again would leave it open for good.
        async def scenario(caller):
            caller.sendall(REQUEST)
            upstream = await self.upstream.accept()
            await asyncio.sleep(2 * LIMIT)
            upstream.sendall(HEAD + b"body")
            self.assertEqual(200, status(await receive(caller)))
            await until(lambda: self.server.waits == 2)
            self.assertEqual(b"", await receive(caller))

        self.play(scenario, LimitSettings(keepalive=LIMIT))

    def test_an_answer_is_relayed_whose_rest_came_in_a_hold(self):
        # It was cut off for want of progress although it was complete.
        async def scenario(caller):
            caller.sendall(REQUEST)
            upstream = await self.upstream.accept()
            upstream.sendall(HEAD + b"bo")
            seen = await receive(caller)
            upstream.sendall(b"dy")
            time.sleep(HOLD)
            while not seen.endswith(b"body") and (data := await receive(caller)):
                seen += data
            self.assertTrue(seen.endswith(b"body"), seen)

        self.play(scenario, LimitSettings())

    def test_an_answer_without_progress_is_cut_off(self):
        async def scenario(caller):
            caller.sendall(REQUEST)
            upstream = await self.upstream.accept()
            upstream.sendall(HEAD + b"bo")
            self.assertTrue((await receive(caller)).endswith(b"bo"))
            self.assertEqual(b"", await receive(caller))

        self.play(scenario, LimitSettings())


class HeldClientTests(TestCase):
    def play(self, scenario, limits=None):
        async def run():
            self.upstream = PlainServer()
            self.pool = Pool(self.upstream.address, limits or LimitSettings())
            try:
                await scenario()
            finally:
                self.pool.close()
                self.upstream.close()

        asyncio.run(run())

    def call(self):
        """Start a call with a deadline."""
        line = RequestStartLine("GET", "/", "HTTP/1.1")
        headers = HTTPHeaders({"Host": "x"})
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LIMIT
        return loop.create_task(self.pool.call(line, headers, None, deadline))

    def test_an_answer_that_came_in_a_hold_is_in_time(self):
        # The call was answered as timed out, with an unknown outcome.
        async def scenario():
            call = self.call()
            upstream = await self.upstream.accept()
            upstream.sendall(HEAD + b"body")
            time.sleep(HOLD)
            answer = await call
            self.assertEqual((200, b"body"), (answer.status, await answer.body.get()))
            answer.close()

        self.play(scenario)

    def test_a_call_without_an_answer_times_out(self):
        async def scenario():
            call = self.call()
            await self.upstream.accept()
            with self.assertRaises(DeadlineUnknownError):
                await call

        self.play(scenario)

    def test_a_connection_that_opened_in_a_hold_is_used(self):
        # The server was taken for unreachable.
        async def scenario():
            loop = asyncio.get_running_loop()
            opening = loop.create_task(self.pool.acquire())
            loop.call_soon(time.sleep, HOLD)
            (await opening).close()

        self.play(scenario, LimitSettings(connect=LIMIT))

    def test_a_call_whose_deadline_passed_while_connecting_is_not_sent(self):
        # It would run although its caller has been told that it did not.
        async def scenario():
            call = self.call()
            asyncio.get_running_loop().call_soon(time.sleep, HOLD)
            with self.assertRaises(DeadlineNotRunError):
                await call
            self.pool.close()
            self.upstream.listener.setblocking(True)
            sock, _ = self.upstream.listener.accept()
            self.upstream.sockets.append(sock)
            self.assertEqual(b"", await receive(sock))

        self.play(scenario)


class HeldReadTests(TestCase):
    def test_a_document_whose_rest_came_in_a_hold_is_complete(self):
        # The read failed for want of progress.
        async def run():
            platform = PlainServer()
            url = f"http://127.0.0.1:{platform.address.port}"
            settings = Settings(platform=PlatformSettings(url=url, timeout=LIMIT))
            watch = PlatformWatch(settings, None)
            reading = asyncio.ensure_future(watch.read("documents/head", WAIT))
            sock = await platform.accept()
            sock.sendall(HEAD + b"bo")
            await until(lambda: watch.pool.opened and not watch.pool.idle)
            await asyncio.sleep(LIMIT / 2)
            sock.sendall(b"dy")
            time.sleep(HOLD)
            self.assertEqual(b"body", (await reading).body)
            watch.pool.close()
            platform.close()

        asyncio.run(run())


class HeldKeyTests(LoopbackTestCase):
    def test_the_answer_of_a_run_that_came_in_a_hold_is_in_time(self):
        # Its caller was told that the upstream still runs the call.
        async def test(deployment):
            loop = asyncio.get_running_loop()
            key_run = KeyRun(loop.create_future())
            call = SimpleNamespace(method="GET", deadline=loop.time() + LIMIT)
            near, far = socket.socketpair()

            def finish():
                loop.remove_reader(near)
                kept = KeptAnswer(200, "OK", (), near.recv(16))
                key_run.done.set_result(kept)

            with near, far:
                loop.add_reader(near, finish)
                home = deployment.sites[0].node.keyed
                waiting = loop.create_task(home.wait(key_run, call, "", joined=False))
                await asyncio.sleep(0)
                far.sendall(b"body")
                time.sleep(HOLD)
                answer = await waiting
                self.assertEqual(b"body", await answer.body.get())
                self.assertFalse(key_run.first_caller_gone)

        self.run_with(test)


class HeldSourceTests(TestCase):
    def test_a_document_that_came_in_a_hold_is_in_time(self):
        # Its read was cancelled as overdue, and the version came into force later.
        async def run():
            platform = PlainServer()
            url = f"http://127.0.0.1:{platform.address.port}"
            settings = Settings(
                platform=PlatformSettings(url=url),
                spread=SpreadSettings(exchange=LIMIT),
            )
            source = SpreadSource(settings, random.Random(1))
            cancelled, events = [], []
            source.action_handlers[CancelRead] = cancelled.append
            handle = source.core.handle

            def note(event, now):
                events.append(event)
                return handle(event, now)

            source.core.handle = note
            await source.start()
            sock = await platform.accept()
            sock.sendall(HEAD.replace(b"OK", b"OK\r\nRevision: 7") + b"body")
            time.sleep(LIMIT + TICK_SECONDS)
            await until(lambda: cancelled or events)
            self.assertEqual(([], [7]), (cancelled, [each.revision for each in events]))
            await source.stop()
            platform.close()

        asyncio.run(run())


class SlowLoopTests(TestCase):
    def test_a_slow_event_loop_is_not_taken_for_a_pause(self):
        # All calls were refused as not ready, though no iteration took long.
        async def run():
            membership = MembershipSettings(pause=PAUSE)
            source = SpreadSource(Settings(membership=membership), random.Random(1))
            source.ticker.start()
            source.tick()
            loop = asyncio.get_running_loop()
            ends_at, longest = loop.time() + 2 * PAUSE + TICK_SECONDS, 0.0
            while loop.time() < ends_at:
                before = loop.time()
                time.sleep(SLOW_ITERATION)
                await asyncio.sleep(0)
                longest = max(longest, loop.time() - before)
            pauses = source.core.state.counters["pause-detected"]
            await source.stop()
            self.assertEqual((0, True), (pauses, longest < PAUSE), longest)

        asyncio.run(run())


class HeldStopTests(LoopbackTestCase):
    """Guards against a stop that drops requests which it has not read.

    A stopping node ends once no call is in flight. A request in a socket is none yet.
    """

    async def stop(self, deployment, hold):
        """Stop a node and return what a kept connection to it receives."""
        node = deployment.sites[0].node
        with socket.create_connection(("127.0.0.1", node.ports["call"])) as caller:
            caller.sendall(REQUEST)
            self.assertEqual(200, status(await receive(caller)))
            stopping = asyncio.ensure_future(node.stop())
            await hold(node, caller)
            seen = await receive(caller)
            await stopping
        return seen

    def test_a_request_that_came_in_a_hold_is_answered(self):
        async def test(deployment):
            async def hold(node, caller):
                await until(lambda: node.draining)
                caller.sendall(REQUEST)
                time.sleep(HOLD)

            seen = await self.stop(deployment, hold)
            self.assertIn(status(seen), (200, 503), seen)

        self.run_with(test)

    def test_a_request_that_came_while_the_last_call_ended_is_answered(self):
        async def test(deployment):
            async def hold(node, caller):
                # The step in which the last call ends. A connection on which nothing
                # has arrived is closed before.
                caller.sendall(REQUEST[:3])
                node.callers.in_flight += 1
                await until(lambda: node.callers.idle_callbacks)
                caller.sendall(REQUEST[3:])
                node.callers.call_ended()

            seen = await self.stop(deployment, hold)
            self.assertIn(status(seen), (200, 503), seen)

        self.run_with(test)

    def test_a_connection_in_the_backlog_is_answered(self):
        # Closing the listener resets the connections that it has not accepted.
        async def test(deployment):
            node = deployment.sites[0].node
            limits = replace(node.settings.node, drain=0)
            node.settings = replace(node.settings, node=limits)
            callers = []

            def drained():
                address = ("127.0.0.1", node.ports["call"])
                callers.append(socket.create_connection(address))
                callers[0].sendall(REQUEST)

            # The last step before the listener may close.
            node.grants.drain = drained
            await node.stop()
            with callers[0] as caller:
                seen = await receive(caller)
            self.assertIn(status(seen), (200, 503), seen)

        self.run_with(test)

    def test_a_retry_in_the_backlog_of_other_nodes_is_answered(self):
        # Only this node knows the answers to the keys that have run here.
        async def test(deployment):
            node = deployment.sites[0].node
            others = []

            async def linger():
                address = ("127.0.0.1", node.ports["mesh"])
                others.append(socket.create_connection(address))
                others[0].sendall(REQUEST)

            node.keyed.linger = linger
            await node.stop()
            with others[0] as other:
                # No node sends it in this form; any answer shows that it was read.
                self.assertEqual(400, status(await receive(other)))

        self.run_with(test)
