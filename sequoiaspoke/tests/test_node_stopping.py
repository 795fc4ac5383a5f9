"""Tests of the calls that a stopping node takes."""

import asyncio
import socket
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.node import app
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.stopping import StopTimes, stop_times
from sequoiaspoke.settings.schema import NodeSettings
from sequoiaspoke.tests.loopback import (
    WAIT,
    LoopbackTestCase,
    header,
    raw,
    request,
    status,
    until,
)


def is_closed(port):
    """Return whether nobody listens on a port."""
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) != 0


class StopTimesTests(TestCase):
    """A stop of 1 s in which callers are moved, and 9 s in which calls finish."""

    TIMES = StopTimes(callers_moved_at=1.0, answers_at=10.0)

    def test_a_call_that_is_done_by_its_deadline_is_taken(self):
        self.assertTrue(self.TIMES.takes(5.0, 10.0, usual=8.0))

    def test_a_call_that_may_outlast_the_stop_is_taken_while_callers_move(self):
        self.assertTrue(self.TIMES.takes(0.5, 20.0, usual=0.1))
        self.assertFalse(self.TIMES.takes(1.5, 20.0, usual=0.1))

    def test_a_call_that_usually_outlasts_the_stop_is_never_taken(self):
        self.assertFalse(self.TIMES.takes(0.5, 20.0, usual=9.0))

    def test_all_is_answered_some_time_before_the_grace_is_over(self):
        # A process that waits for its processor then was killed with its calls.
        times = stop_times(NodeSettings("a", "z", drain=1, grace=30), now=100.0)
        self.assertEqual(StopTimes(101.0, 129.25), times)

    def test_a_short_grace_keeps_most_of_its_time(self):
        times = stop_times(NodeSettings("a", "z", drain=0, grace=3), now=100.0)
        self.assertEqual(StopTimes(100.0, 102.5), times)

    def test_callers_are_moved_for_longer_than_a_shorter_grace(self):
        times = stop_times(NodeSettings("a", "z", drain=3, grace=1), now=100.0)
        self.assertEqual(StopTimes(103.0, 103.0), times)


class EndOfGraceTests(LoopbackTestCase):
    def test_what_is_in_flight_is_answered_at_the_time_of_the_stop(self):
        # Each wait of a stop had a whole grace of its own.
        async def test(deployment):
            node = deployment.sites[0].node
            hold = request("GET", "/", "Standin-Hold: yes")
            held = asyncio.ensure_future(raw(node.ports["call"], hold))
            sites = deployment.sites
            await until(lambda: sum(site.upstream.runs_total for site in sites) == 1)
            now = asyncio.get_running_loop().time()
            self.patch(app, "stop_times", lambda *_: StopTimes(now, now))
            await asyncio.wait_for(node.stop(), WAIT)
            answer = await held
            self.assertEqual(502, status(answer))
            self.assertEqual("node-stopped", header(answer, names.REASON))

        self.run_with(test)


class LateCallTests(LoopbackTestCase):
    """Guards against calls that are passed on and cut off when the grace is over."""

    RULES = "[rule all]\nwhen = always\nthen = route fleet\ntimeout = 30\n"

    async def late_answer(self, deployment, method, grace):
        """Return the answer to a call on a connection that was kept.

        The listener is closed by then, and another call keeps the node running. The
        call has begun to arrive before, as the connection is closed otherwise.
        """
        node = deployment.sites[0].node
        port = node.ports["call"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        late = request(method, "/")
        writer.write(late[:3])
        hold = request("GET", "/", "Standin-Hold: yes")
        held = asyncio.ensure_future(raw(port, hold))
        await until(lambda: self.runs(deployment) == 1)
        limits = replace(node.settings.node, drain=0, grace=grace)
        node.settings = replace(node.settings, node=limits)
        stopping = asyncio.ensure_future(node.stop())
        await until(lambda: is_closed(port))
        writer.write(late[3:])
        async with asyncio.timeout(WAIT):
            answer = await reader.read()
        writer.close()
        self.ran = self.runs(deployment) - 1
        for site in deployment.sites:
            site.upstream.release()
        self.assertEqual(200, status(await held))
        await stopping
        return answer

    def runs(self, deployment):
        return sum(site.upstream.runs_total for site in deployment.sites)

    async def check_refused(self, deployment, method):
        answer = await self.late_answer(deployment, method, grace=20)
        self.assertEqual(503, status(answer))
        self.assertEqual("draining", header(answer, names.REASON))
        self.assertEqual("not-run", header(answer, names.RAN))
        self.assertEqual("close", header(answer, "Connection"))
        self.assertEqual(0, self.ran)

    def test_a_late_call_that_may_outlast_the_stop_is_not_run(self):
        self.run_with(lambda deployment: self.check_refused(deployment, "POST"))

    def test_a_late_call_that_may_be_repeated_is_not_run_either(self):
        self.run_with(lambda deployment: self.check_refused(deployment, "GET"))

    def test_a_late_call_whose_deadline_is_before_is_served(self):
        async def test(deployment):
            answer = await self.late_answer(deployment, "POST", grace=60)
            self.assertEqual((200, 1), (status(answer), self.ran))

        self.run_with(test)


class ClosingTests(LoopbackTestCase):
    """Guards against requests that a node takes and leaves to its end.

    If it waits for its processor then, it is killed with what it has accepted.
    """

    # Connections that wait to be accepted, more than a turn of the event loop accepts.
    WAITING = 150

    def play(self, scenario):
        """Run a scenario beside a stop that a call in progress holds up."""

        async def test(deployment):
            node = deployment.sites[0].node
            limits = replace(node.settings.node, drain=0, grace=60)
            node.settings = replace(node.settings, node=limits)
            port = node.ports["call"]
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
            self.writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nStandin-Hold: yes\r\n\r\n")
            sites = deployment.sites
            await until(lambda: sum(site.upstream.runs_total for site in sites) == 1)
            await scenario(node)
            self.assertEqual(1, node.callers.in_flight)
            for site in sites:
                site.upstream.release()
            async with asyncio.timeout(WAIT):
                self.answer = await self.reader.read()
                await self.stopping
            self.writer.close()

        self.run_with(test)

    async def check_closed(self, node, name):
        """Check that an idle connection to a port of a stopping node is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", node.ports[name])
        self.stopping = asyncio.ensure_future(node.stop())
        async with asyncio.timeout(WAIT):
            self.assertEqual(b"", await reader.read())
        writer.close()

    def test_an_idle_connection_of_a_caller_is_closed(self):
        self.play(lambda node: self.check_closed(node, "call"))

    def test_an_idle_connection_of_another_node_is_closed(self):
        # A call that may run only once was sent on it, and its outcome unknown.
        self.play(lambda node: self.check_closed(node, "mesh"))

    def connect_at_close(self, node, server, name, sent=b""):
        """Stop a node; return connections that wait as a listener of it is closed."""
        stop, waiting = server.stop, []

        def stop_listening():
            while len(waiting) < self.WAITING:
                address = ("127.0.0.1", node.ports[name])
                caller = socket.create_connection(address, WAIT)
                self.addCleanup(caller.close)
                caller.sendall(sent)
                caller.setblocking(False)
                waiting.append(caller)
            stop()

        self.patch(server, "stop", stop_listening)
        self.stopping = asyncio.ensure_future(node.stop())
        return waiting

    async def received(self, waiting):
        """Return the statuses that waiting connections receive."""
        loop = asyncio.get_running_loop()
        await until(lambda: len(waiting) == self.WAITING)
        async with asyncio.timeout(WAIT):
            return {status(await loop.sock_recv(each, 65536)) for each in waiting}

    def test_callers_that_wait_as_the_listener_is_closed_are_answered(self):
        # The kernel reset their connections.
        async def scenario(node):
            get = request("GET", "/")
            waiting = self.connect_at_close(node, node.callers.server, "call", get)
            self.assertLessEqual(await self.received(waiting), {200, 503})
            # A call ends after its caller has the answer.
            await until(lambda: node.callers.in_flight == 1)

        self.play(scenario)

    def test_other_nodes_that_wait_as_the_listener_is_closed_are_answered(self):
        # Only this node knows the answers to the keys that have run here.
        async def scenario(node):
            get = request("GET", "/")
            waiting = self.connect_at_close(node, node.mesh.server, "mesh", get)
            # No node sends it in this form; any answer shows that it was read.
            self.assertEqual({400}, await self.received(waiting))

        self.play(scenario)

    def check_known(self, name, statuses):
        """Check that connections that waited are known when idle ones are closed."""

        async def test(deployment):
            node = deployment.sites[0].node
            limits = replace(node.settings.node, drain=0)
            node.settings = replace(node.settings, node=limits)
            calls = {"call": node.callers, "mesh": node.mesh}[name]
            close_idle, known = calls.close_idle, []

            async def close_known():
                known.append(len(calls.readers))
                for caller in waiting:
                    caller.sendall(request("GET", "/"))
                await close_idle()

            self.patch(calls, "close_idle", close_known)
            waiting = self.connect_at_close(node, calls.server, name)
            self.assertLessEqual(await self.received(waiting), statuses)
            # Other nodes may have had connections before.
            self.assertGreaterEqual(known[0], self.WAITING)
            await self.stopping

        self.run_with(test)

    def test_callers_that_waited_have_time_to_send_their_requests(self):
        # Idle connections had this time only if one was known, and the node ended.
        self.check_known("call", {200, 503})

    def test_other_nodes_that_waited_have_time_to_send_their_requests(self):
        # A retry for which the node had lingered was lost.
        self.check_known("mesh", {400})

    def test_a_request_that_has_arrived_is_answered_before(self):
        async def scenario(node):
            port = node.ports["call"]
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                self.stopping = asyncio.ensure_future(node.stop())
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(WAIT):
                    answer = await loop.sock_recv(caller, 65536)
                    self.assertEqual(b"", await loop.sock_recv(caller, 65536))
            self.assertEqual("close", header(answer, "Connection"))

        self.play(scenario)

    def test_a_connection_ends_with_the_answer_to_a_call_begun_before(self):
        async def scenario(node):
            self.stopping = asyncio.ensure_future(node.stop())
            await until(lambda: is_closed(node.ports["call"]))

        self.play(scenario)
        self.assertEqual(200, status(self.answer))
        self.assertEqual("close", header(self.answer, "Connection"))

    def test_granted_calls_of_other_nodes_do_not_keep_the_listener_open(self):
        async def scenario(node):
            returned = asyncio.Event()
            self.patch(node.grants, "wait_until_returned", lambda _: returned.wait())
            self.stopping = asyncio.ensure_future(node.stop())
            try:
                await until(lambda: is_closed(node.ports["call"]))
            finally:
                returned.set()

        self.play(scenario)
