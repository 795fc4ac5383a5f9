"""Tests of the entry's decisions that need a loop but no other process."""

import asyncio
import random

from testtools import TestCase
from tornado.netutil import bind_sockets

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig, Route, Service
from sequoiaspoke.core.mesh.outcome import TIMED_OUT, Answer, NotRun, Request, Unknown
from sequoiaspoke.core.mesh.reading import ReadingDuty
from sequoiaspoke.core.mesh.retrybudget import RetryLimits
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.attempts import Attempts
from sequoiaspoke.sidecar.callerserver import CallerServer
from sequoiaspoke.sidecar.entry import Entry
from sequoiaspoke.sidecar.frames import TcpDialer
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.peers import Peers
from sequoiaspoke.sidecar.pending import LinkIdentity
from sequoiaspoke.sidecar.source import ItemDecoder
from sequoiaspoke.sidecar.spread import Spread
from sequoiaspoke.sidecar.state import MeshState

WAIT = 20.0  # seconds; only a failing test waits so long
LOST = Unknown("connection-lost")
SHED = NotRun("upstream-refused", 0.2, from_upstream=True)
SERVED = Answer(200, (), b"served")


class NoItems(ItemDecoder):
    def kind(self, key):
        return ""

    def instance(self, key):
        return key

    def endpoint(self, key, value):
        raise NotImplementedError

    def config(self, value):
        raise NotImplementedError


class ScriptedAttempts(Attempts):
    """Attempts that bring what the test says, by instance."""

    script = {}
    sent = ()

    def begin(self, attempt):
        instance = attempt.endpoint.instance
        self.sent += (instance,)
        outcome = self.script[instance]
        if outcome is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(attempt.take, outcome, LoadReport())


def route(name, idempotent):
    split = (WeightedService("fleet"),)
    return Route(name, "x.example", f"/{name}/", idempotent, 5.0, 1.0, 1, 2, split)


def entry(script):
    """Return an entry that knows one endpoint for each line of the script."""
    names, log = HeaderNames(), EventLog("x-request-id")
    state = MeshState(NoItems(), log, lambda: None)
    routes = (route("read", True), route("order", False))
    state.table = RouteTable(MeshConfig(1, routes, {"fleet": Service("fleet")}))
    state.as_of = clock.now()
    for number, instance in enumerate(script):
        host = f"10.0.0.{number}"
        endpoint = Endpoint(instance, "fleet", host, 80, "akaki", 4)
        state.directory.put(endpoint, 1, clock.now())
    home = Home(None, state.directory, log)
    rng = random.Random(3)
    identity = LinkIdentity("10.0.9.9", "akaki", 1)
    spread = Spread(state, ReadingDuty("10.0.9.9", "akaki"), log)
    peers = Peers(identity, 1, state, spread, rng, log, TcpDialer())
    limits = RetryLimits(0.2, 500, 10)
    made = Entry("fleet", {}, names, state, home, peers, limits, rng, log)
    made.attempts = ScriptedAttempts(state, home, peers, limits, {}, log)
    made.attempts.script = script
    return made


def request(name, left=4000):
    headers = (("Host", "x.example"), ("X-Request-Id", "1"), ("X-Time-Left-Ms", left))
    return Request("GET", f"/{name}/1", headers, b"")


class FinalAnswersTests(TestCase):
    def play(self, script, name, left=4000):
        async def run():
            self.entry = entry(script)
            async with asyncio.timeout(WAIT):
                return await self.entry.handle(request(name, left))

        return asyncio.run(run())

    def test_a_read_that_was_lost_is_tried_elsewhere(self):
        answer = self.play({"a": LOST, "b": SERVED}, "read")
        self.assertEqual(answer.status, 200)

    def test_an_order_that_was_lost_is_never_tried_again(self):
        # The connection broke after the order was sent. It may have been booked.
        answer = self.play({"a": LOST, "b": LOST}, "order")
        self.assertEqual((answer.status, len(self.entry.attempts.sent)), (502, 1))

    def test_an_order_that_was_turned_away_is_tried_elsewhere(self):
        answer = self.play({"a": SHED, "b": SHED}, "order")
        self.assertEqual((answer.status, len(self.entry.attempts.sent)), (503, 2))

    def test_an_order_whose_time_ran_out_at_its_home_is_a_timeout(self):
        # The home's clock runs out a moment before the entry's. Whichever it is, the
        # caller hears the same.
        answer = self.play({"a": Unknown(TIMED_OUT)}, "order")
        self.assertEqual(answer.status, 504)

    def test_a_read_that_may_have_run_is_not_told_as_not_run(self):
        # The first attempt was lost and the second turned away. "Not run" would be
        # untrue, and a caller who counts runs would count one too few.
        answer = self.play({"a": LOST, "b": SHED}, "read")
        self.assertEqual((answer.status, self.entry.attempts.sent), (502, ("a", "b")))

    def test_a_refusal_tells_when_to_return(self):
        answer = self.play({"a": SHED}, "order")
        self.assertIn(("Retry-After", "0.200"), answer.headers)

    def test_targets_of_one_call_stay_within_its_attempts(self):
        answer = self.play({"a": LOST, "b": LOST, "c": SERVED}, "read")
        self.assertTrue(len(self.entry.attempts.sent) <= 2)
        self.assertIn(answer.status, (200, 502))

    def test_a_call_without_time_is_refused_at_once(self):
        answer = self.play({"a": SERVED}, "read", left=0)
        self.assertEqual((answer.status, self.entry.attempts.sent), (503, ()))

    def test_a_route_that_may_be_too_new_is_not_denied(self):
        # This node cannot read the store. A caller uses a route that was added
        # meanwhile; told that there is none, it gives up for good.
        async def run():
            made = entry({"a": SERVED})
            made.state.as_of -= 60
            stale = await made.handle(request("added"))
            made.state.as_of += 60
            fresh = await made.handle(request("added"))
            return stale.status, fresh.status

        self.assertEqual(asyncio.run(run()), (503, 404))


class HedgingTests(TestCase):
    def test_a_second_endpoint_answers_beside_one_that_hangs(self):
        async def run():
            made = entry({"a": None, "b": None})
            made.attempts.script["b"] = SERVED
            async with asyncio.timeout(WAIT):
                return await made.handle(request("read")), made.attempts.sent

        answer, sent = asyncio.run(run())
        self.assertEqual(answer.status, 200)
        self.assertTrue(len(sent) <= 2)

    def test_an_order_is_never_sent_beside_itself(self):
        async def run():
            made = entry({"a": None, "b": None})
            answer = await made.handle(request("order", left=600))
            return answer.status, made.attempts.sent

        status, sent = asyncio.run(run())
        self.assertEqual((status, len(sent)), (504, 1))


class StoppingTests(TestCase):
    def play(self, usual):
        async def run():
            made = entry({"a": SERVED})
            made.attempts.placing.mean_seconds["order"] = usual
            made.closes_at = clock.now() + 1.0
            return await made.handle(request("order")), made.attempts.sent

        return asyncio.run(run())

    def test_a_node_that_stops_takes_no_call_that_would_outlast_it(self):
        # A node is told to stop, its last callers have not moved away yet, and a long
        # call comes a second before its end. It is cut, and its caller does not know
        # whether it ran.
        answer, sent = self.play(usual=0.5)
        self.assertEqual((answer.status, sent), (503, ()))

    def test_a_node_that_stops_still_takes_short_calls(self):
        answer, _ = self.play(usual=0.05)
        self.assertEqual(answer.status, 200)

    def test_a_ready_answer_behind_a_long_call_is_given_before_the_end(self):
        # A caller sends a long call and a page view behind it on one connection. The
        # node is told to stop; the page is ready within a moment, but its turn comes
        # after the long call, which outlasts the node. The connection ended without
        # a word, and the page had run for nothing.
        async def run():
            made = entry({"a": SERVED, "b": None})
            made.attempts.choose = lambda progress: self.by_route(made, progress)
            server = CallerServer(made.handle, self.fail)
            (socket,) = bind_sockets(0, "127.0.0.1")
            server.add_sockets([socket])
            reader, writer = await asyncio.open_connection(*socket.getsockname()[:2])
            for name in ("order", "read"):
                writer.write(
                    f"GET /{name}/1 HTTP/1.1\r\nHost: x.example\r\n"
                    f"X-Request-Id: {name}\r\nX-Time-Left-Ms: 5000\r\n\r\n".encode()
                )
            async with asyncio.timeout(WAIT):
                while len(made.attempts.sent) < 2:
                    await asyncio.sleep(0.001)
                made.stop_at(clock.now() + 0.05)
                seen = b""
                while seen.count(b"HTTP/1.1") < 2:
                    seen += await reader.read(65536)
            writer.close()
            server.stop()
            return seen

        begun = clock.now()
        seen = asyncio.run(run())
        self.assertTrue(seen.startswith(b"HTTP/1.1 504"), seen)
        self.assertTrue(seen.endswith(b"served"), seen)
        self.assertTrue(clock.now() - begun < 4.0)

    def by_route(self, made, progress):
        """Return the endpoint that never answers for orders, the other for reads."""
        wanted = "b" if progress.route.name == "order" else "a"
        held = made.state.directory.held.values()
        return next(e.endpoint for e in held if e.endpoint.instance == wanted)

    def test_a_call_taken_while_stopping_is_answered_before_the_end(self):
        async def run():
            made = entry({"a": None})
            made.stop_at(clock.now() + 0.5)
            made.attempts.placing.mean_seconds["order"] = 0.05
            return (await made.handle(request("order"))).status

        self.assertEqual(asyncio.run(run()), 504)


class SuspendedTests(TestCase):
    def test_callers_get_their_answer_when_the_vm_wakes(self):
        # The VM is suspended for a minute while a call is under way. Its clock for
        # timers stood still, so the timer still has its five seconds to go.
        async def run():
            made = entry({"a": None})
            call = asyncio.ensure_future(made.handle(request("order", left=5000)))
            while not made.attempts.sent:
                await asyncio.sleep(0)
            made.woke(clock.now() + 60)
            begun = clock.now()
            answer = await call
            return answer.status, clock.now() - begun

        status, seconds = asyncio.run(run())
        self.assertEqual(status, 504)
        self.assertTrue(seconds < 4, seconds)

    def test_a_call_that_ends_as_the_vm_wakes_does_no_harm(self):
        # The VM wakes just as the timer of a call runs out. Set right once more, the
        # timer raises an error, and the process ended with all its calls.
        async def run():
            made = entry({"a": None})
            call = asyncio.ensure_future(made.handle(request("order", left=1)))
            while not made.attempts.sent or made.deadlines.heap:
                await asyncio.sleep(0)
            made.woke(clock.now() + 60)
            return (await call).status

        self.assertEqual(asyncio.run(run()), 504)
