"""Tests of the entry's retries, hedges, deadlines and final answers."""

import asyncio
import random
from dataclasses import replace

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
from sequoiaspoke.sidecar.stopplan import StopPlan

WAIT = 20.0  # seconds; only a failing test waits so long
LOST = Unknown("connection-lost")
SHED = NotRun("upstream-refused", 0.2, from_upstream=True)
SERVED = Answer(200, (), b"served")
FAILED = Answer(500, (), b"failed")


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
    """Attempts with outcomes that the test sets by instance; None never ends."""

    script = {}
    sent = ()

    def send_to_home(self, attempt):
        instance = attempt.endpoint.instance
        self.sent += (instance,)
        outcome = self.script[instance]
        if outcome is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(attempt.finish, outcome, LoadReport())


def route(name, idempotent):
    split = (WeightedService("fleet"),)
    return Route(name, "x.example", f"/{name}/", idempotent, 5.0, 1.0, 1, 2, split)


def make_entry(script):
    """Return an entry that knows one endpoint for each instance of the script."""
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
    entry = Entry("fleet", {}, names, state, home, peers, limits, rng, log)
    entry.attempts = ScriptedAttempts(
        state, home, peers, limits, {}, HeaderNames(), log
    )
    entry.attempts.script = script
    return entry


def request(name, left=4000):
    headers = (("Host", "x.example"), ("X-Request-Id", "1"), ("X-Time-Left-Ms", left))
    return Request("GET", f"/{name}/1", headers, b"")


class FinalAnswersTests(TestCase):
    def play(self, script, name, left=4000, **changes):
        async def run():
            self.entry = make_entry(script)
            config = self.entry.state.table.config
            routes = [replace(each, **changes) for each in config.routes]
            self.entry.state.table = RouteTable(replace(config, routes=routes))
            async with asyncio.timeout(WAIT):
                return await self.entry.handle(request(name, left))

        return asyncio.run(run())

    def test_a_read_that_was_lost_is_retried_elsewhere(self):
        answer = self.play({"a": LOST, "b": SERVED}, "read")
        self.assertEqual(answer.status, 200)

    def test_an_order_that_was_lost_is_never_retried(self):
        # The connection broke after the order was sent, so it may have run.
        answer = self.play({"a": LOST, "b": LOST}, "order")
        self.assertEqual((answer.status, len(self.entry.attempts.sent)), (502, 1))

    def test_an_order_that_was_refused_is_retried_elsewhere(self):
        answer = self.play({"a": SHED, "b": SHED}, "order")
        self.assertEqual((answer.status, len(self.entry.attempts.sent)), (503, 2))

    def test_an_answer_to_an_order_never_says_that_it_has_not_run(self):
        # A home of an earlier version passes on unmarked refusals of its upstream.
        for status in (408, 421, 429, 503):
            answer = self.play({"a": Answer(status, (), b"")}, "order")
            self.assertEqual((answer.status, answer.headers[1:]), (502, ()))

    def test_an_order_whose_time_ran_out_at_its_home_is_a_timeout(self):
        # The home's timer expires a moment before the entry's; the caller gets the same
        # answer from either.
        answer = self.play({"a": Unknown(TIMED_OUT)}, "order")
        self.assertEqual(answer.status, 504)

    def test_a_read_is_not_tried_again_after_its_deadline(self):
        # The timer of the upstream fired before that of the call, and the caller got
        # 502 for a retry without time in place of 504.
        steady, send = clock.now, ScriptedAttempts.send_to_home

        def send_late(attempts, attempt):
            send(attempts, attempt)
            self.patch(clock, "now", lambda: steady() + 5.0)

        self.patch(ScriptedAttempts, "send_to_home", send_late)
        answer = self.play({"a": Unknown(TIMED_OUT), "b": NotRun("no-time")}, "read")
        self.assertEqual((answer.status, self.entry.attempts.sent), (504, ("a",)))

    def test_a_read_that_may_have_run_is_not_reported_as_not_run(self):
        # The first attempt was lost and the second refused. Reported as not run, the
        # first one's run would be missing from the caller's count of runs.
        answer = self.play({"a": LOST, "b": SHED}, "read")
        self.assertEqual((answer.status, self.entry.attempts.sent), (502, ("a", "b")))

    def test_the_answer_before_a_refused_retry_of_a_read_is_returned(self):
        # The upstream's own answer is complete and true; a 502 was returned instead.
        for refusal in (SHED, NotRun("overloaded", 0.2)):
            answer = self.play({"a": FAILED, "b": refusal}, "read")
            self.assertEqual(answer, FAILED)
            self.assertEqual(self.entry.attempts.sent, ("a", "b"))

    def test_an_answer_not_run_does_not_hide_a_lost_attempt(self):
        # A read is lost, then answered 503, which is true of that attempt only, and
        # then refused.
        script = {"a": LOST, "b": Answer(503, (), b""), "c": SHED}
        answer = self.play(script, "read", attempts=3)
        self.assertEqual(self.entry.attempts.sent, ("a", "b", "c"))
        self.assertEqual(answer.status, 502)

    def test_a_refusal_has_a_retry_after_header(self):
        answer = self.play({"a": SHED}, "order")
        self.assertIn(("Retry-After", "0.200"), answer.headers)

    def test_attempts_of_a_call_are_limited_by_its_route(self):
        answer = self.play({"a": LOST, "b": LOST, "c": SERVED}, "read")
        self.assertTrue(len(self.entry.attempts.sent) <= 2)
        self.assertIn(answer.status, (200, 502))

    def test_a_call_without_time_left_is_refused_at_once(self):
        answer = self.play({"a": SERVED}, "read", left=0)
        self.assertEqual((answer.status, self.entry.attempts.sent), (503, ()))

    def test_a_time_left_that_is_no_number_is_ignored(self):
        # A deadline that is no number disordered the timers of all calls, and the call
        # itself was never answered.
        answer = self.play({"a": None}, "order", left="nan", timeout=0.05)
        self.assertEqual(answer.status, 504)

    def test_a_route_that_may_be_missing_here_is_not_answered_with_404(self):
        # This node has not read the store for a minute, and a caller uses a route added
        # meanwhile. After a 404 the caller would not try again.
        async def run():
            entry = make_entry({"a": SERVED})
            entry.state.as_of -= 60
            stale = await entry.handle(request("added"))
            entry.state.as_of += 60
            fresh = await entry.handle(request("added"))
            return stale.status, fresh.status

        self.assertEqual(asyncio.run(run()), (503, 404))


class EarlyRefusalTests(TestCase):
    """Calls that are refused before their body is read."""

    def play(self, script, name, prepare=None):
        async def run():
            entry = make_entry(script)
            config = entry.state.table.config
            routes = [replace(r, large_bodies=not r.idempotent) for r in config.routes]
            entry.state.table = RouteTable(replace(config, routes=routes))
            if prepare is not None:
                prepare(entry)
            answer = entry.early_refusal(request(name))
            return None if answer is None else (answer.status, answer.body)

        return asyncio.run(run())

    def test_an_upload_to_a_service_without_endpoints_is_not_read(self):
        # Its body would fill a narrow link for half a second.
        self.assertEqual(self.play({}, "order"), (503, b"no-endpoint\n"))

    def test_an_upload_to_a_node_without_a_configuration_is_not_read(self):
        refusal = self.play(
            {"a": SERVED}, "order", lambda entry: setattr(entry.state, "table", None)
        )
        self.assertEqual(refusal, (503, b"no-configuration\n"))

    def test_other_calls_are_read(self):
        # Some of them are answered otherwise, for example with 404.
        self.assertIsNone(self.play({"a": SERVED}, "order"))
        self.assertIsNone(self.play({}, "read"))
        self.assertIsNone(self.play({}, "missing"))


class HedgingTests(TestCase):
    def test_a_hedge_answers_if_the_first_endpoint_hangs(self):
        async def run():
            entry = make_entry({"a": None, "b": None})
            entry.attempts.script["b"] = SERVED
            async with asyncio.timeout(WAIT):
                return await entry.handle(request("read")), entry.attempts.sent

        answer, sent = asyncio.run(run())
        self.assertEqual(answer.status, 200)
        self.assertTrue(len(sent) <= 2)

    def test_an_order_is_never_hedged(self):
        async def run():
            entry = make_entry({"a": None, "b": None})
            answer = await entry.handle(request("order", left=600))
            return answer.status, entry.attempts.sent

        status, sent = asyncio.run(run())
        self.assertEqual((status, len(sent)), (504, 1))


def stop_by(end):
    """Return a plan by which all calls end at a time."""
    return StopPlan(ends_by=end, answers_by=end)


class StoppingTests(TestCase):
    def play(self, usual):
        async def run():
            entry = make_entry({"a": SERVED})
            entry.attempts.balancer.mean_seconds["order"] = usual
            entry.stop(stop_by(clock.now() + 1.0))
            return await entry.handle(request("order")), entry.attempts.sent

        return asyncio.run(run())

    def test_a_stopping_node_refuses_a_call_that_would_outlast_it(self):
        # A long call comes a second before a stopping node exits. Accepted, it would be
        # cut off, and its caller would not know whether it ran.
        answer, sent = self.play(usual=0.5)
        self.assertEqual((answer.status, sent), (503, ()))

    def test_a_stopping_node_still_accepts_short_calls(self):
        answer, _ = self.play(usual=0.05)
        self.assertEqual(answer.status, 200)

    def test_a_ready_answer_behind_a_long_call_is_sent_before_the_exit(self):
        # A caller pipelines a short call behind a long one, and the node is told to
        # stop. The short call's answer has to follow the long call's, and that takes
        # longer than the node has left: without a deadline for the long call, the
        # connection would end with neither answer.
        async def run():
            entry = make_entry({"a": SERVED, "b": None})
            entry.attempts.choose = lambda progress: self.by_route(entry, progress)
            server = CallerServer(entry.handle, self.fail)
            (socket,) = bind_sockets(0, "127.0.0.1")
            server.add_sockets([socket])
            reader, writer = await asyncio.open_connection(*socket.getsockname()[:2])
            for name in ("order", "read"):
                writer.write(
                    f"GET /{name}/1 HTTP/1.1\r\nHost: x.example\r\n"
                    f"X-Request-Id: {name}\r\nX-Time-Left-Ms: 5000\r\n\r\n".encode()
                )
            async with asyncio.timeout(WAIT):
                while len(entry.attempts.sent) < 2:
                    await asyncio.sleep(0.001)
                entry.stop(stop_by(clock.now() + 0.05))
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

    def by_route(self, entry, progress):
        """Return the endpoint that never answers for orders, the other for reads."""
        wanted = "b" if progress.route.name == "order" else "a"
        held = entry.state.directory.records.values()
        return next(e.endpoint for e in held if e.endpoint.instance == wanted)

    def test_a_call_accepted_while_stopping_is_answered_before_the_exit(self):
        async def run():
            entry = make_entry({"a": None})
            entry.stop(stop_by(clock.now() + 0.5))
            entry.attempts.balancer.mean_seconds["order"] = 0.05
            return (await entry.handle(request("order"))).status

        self.assertEqual(asyncio.run(run()), 504)


class SuspendedTests(TestCase):
    def test_an_overdue_call_is_answered_when_the_vm_resumes(self):
        # The VM is suspended for a minute during a call. The event loop's clock did not
        # advance, so the call's timer still has five seconds to go.
        async def run():
            entry = make_entry({"a": None})
            call = asyncio.ensure_future(entry.handle(request("order", left=5000)))
            while not entry.attempts.sent:
                await asyncio.sleep(0)
            entry.vm_resumed(clock.now() + 60)
            begun = clock.now()
            answer = await call
            return answer.status, clock.now() - begun

        status, seconds = asyncio.run(run())
        self.assertEqual(status, 504)
        self.assertTrue(seconds < 4, seconds)

    def test_a_call_that_times_out_as_the_vm_resumes_is_answered(self):
        # The VM resumes just as the timer of a call fires. Resetting a timer that has
        # fired raised an error that ended the process.
        async def run():
            entry = make_entry({"a": None})
            call = asyncio.ensure_future(entry.handle(request("order", left=1)))
            while not entry.attempts.sent or entry.deadlines.heap:
                await asyncio.sleep(0)
            entry.vm_resumed(clock.now() + 60)
            return (await call).status

        self.assertEqual(asyncio.run(run()), 504)
