"""Tests of the home of calls, with a simulated upstream."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.leaving import LEAVING_QUEUE_SECONDS
from sequoiaspoke.core.mesh.model import Endpoint
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request, Unknown
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.upstream import UNREACHABLE

ENDPOINT = Endpoint("i-1", "fleet", "10.0.0.1", 80, "akaki", 2)


class BlockingUpstream:
    """Answers calls only once its gate is opened."""

    report = None

    def __init__(self):
        self.ran = []
        self.gate = asyncio.Event()

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        self.ran.append(request.target)
        await self.gate.wait()
        return Answer(200, (), b"")

    def tick(self, now):
        pass


class LeavingUpstreamTests(TestCase):
    def play(self, scenario):
        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)

        async def run():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            self.directory, self.upstream = Directory(), BlockingUpstream()
            self.directory.put(ENDPOINT, 5, self.time)
            self.home = Home(self.upstream, self.directory, log)
            self.home.set_slots(2)
            self.outcomes = {}
            await scenario()

        asyncio.run(run())

    def submit(self, name):
        request = Request("GET", name, (), b"")
        incarnation = ENDPOINT.incarnation
        call = HomeCall(
            request, incarnation, "r", 0, True, self.time + 9, self.time + 30
        )
        self.home.submit(
            name, call, lambda outcome: self.outcomes.update({name: outcome})
        )

    async def wait(self, seconds):
        self.time += seconds
        self.home.tick(self.time)
        await asyncio.sleep(0)

    def test_queued_calls_for_a_draining_upstream_are_refused(self):
        # The end of a long queue would reach a draining upstream just before it exits,
        # and be interrupted there. Refused in time, it can be served elsewhere.
        async def scenario():
            for number in range(5):
                self.submit(str(number))
            await self.wait(0.1)
            self.assertEqual(self.upstream.ran, ["0", "1"])
            self.directory.put(replace(ENDPOINT, draining=True), 6, self.time)
            await self.wait(0.1)
            self.assertEqual(self.outcomes, {})
            await self.wait(LEAVING_QUEUE_SECONDS + 0.1)
            self.assertEqual(set(self.outcomes), {"2", "3", "4"})
            expected = {(NotRun, "instance-leaving")}
            found = {(type(each), each.reason) for each in self.outcomes.values()}
            self.assertEqual(found, expected)
            self.upstream.gate.set()
            await self.wait(0.1)
            await asyncio.sleep(0)
            self.assertEqual(len(self.outcomes), 5)
            self.assertEqual(self.upstream.ran, ["0", "1"])

        self.play(scenario)

    def test_queued_calls_for_an_upstream_that_stays_are_kept(self):
        async def scenario():
            for number in range(5):
                self.submit(str(number))
            await self.wait(LEAVING_QUEUE_SECONDS + 0.3)
            await self.wait(LEAVING_QUEUE_SECONDS + 0.3)
            self.assertEqual(self.outcomes, {})

        self.play(scenario)


class ConnectingUpstream(BlockingUpstream):
    """Opens connections only once its gate is opened, and then never answers."""

    async def call(self, request, instance, deadline, idempotent, on_send):
        await self.gate.wait()
        on_send()
        self.ran.append(request.target)
        await asyncio.Event().wait()


class UnsentCallTests(TestCase):
    """Calls end whose upstream has not accepted a connection yet, and after that."""

    def play(self, stop, idempotent, connected):
        """Return the outcome, the free slots and the calls that the upstream got."""
        outcomes = []

        async def scenario():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            self.upstream = ConnectingUpstream()
            self.home = Home(self.upstream, Directory(), log)
            request, until = Request("POST", "/a", (), b""), clock.now() + 9
            call = HomeCall(
                request, ENDPOINT.incarnation, "r", 0, idempotent, until, until
            )
            self.home.submit("k", call, outcomes.append)
            await asyncio.sleep(0)
            if connected:
                self.upstream.gate.set()
                await asyncio.sleep(0.01)
            stop(self.home)
            self.upstream.gate.set()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.free = self.home.admission.free_slots(clock.now())
            return self.home.ledger.find("k").outcome, list(outcomes)

        return asyncio.run(scenario())

    def test_a_call_that_was_not_sent_is_withdrawn(self):
        # While the upstream accepted no connection, callers got 504 for calls that it
        # never saw, and their slots stayed occupied.
        for idempotent in (False, True):
            ended = self.play(lambda home: home.withdraw("k"), idempotent, False)
            self.assertEqual(ended, (NotRun("withdrawn"), [NotRun("withdrawn")]))
            self.assertEqual((self.free, self.upstream.ran), (1, []))

    def test_a_call_that_was_sent_goes_on_after_its_withdrawal(self):
        # Reported as not run, an order would run twice.
        for idempotent in (False, True):
            ended = self.play(lambda home: home.withdraw("k"), idempotent, True)
            self.assertEqual((ended, self.upstream.ran), ((None, []), ["/a"]))

    def test_a_cancelled_call_has_not_run_only_if_it_was_not_sent(self):
        for idempotent, connected, expected in (
            (False, False, NotRun("cancelled")),
            (True, False, NotRun("cancelled")),
            (True, True, Unknown("cancelled")),
            (False, True, None),
        ):
            outcome, _ = self.play(lambda home: home.cancel("k"), idempotent, connected)
            self.assertEqual(outcome, expected)
            self.assertEqual(self.free, 0 if connected else 1)


class DownUpstream(BlockingUpstream):
    """Refuses connections while it is down."""

    down = True

    async def call(self, request, instance, deadline, idempotent, on_send):
        return NotRun(UNREACHABLE) if self.down else Answer(200, (), b"")


class OutageLogTests(TestCase):
    def test_an_outage_and_its_end_are_logged_once_each(self):
        events = []

        async def scenario():
            log = EventLog("x-request-id")
            log.event = lambda kind, **pairs: events.append(kind)
            log.call = lambda kind, request, **pairs: events.append(kind)
            log.request = log.call
            upstream = DownUpstream()
            home = Home(upstream, Directory(), log)
            for number, down in enumerate((True, True, False, False)):
                upstream.down = down
                request = Request("GET", "/a", (), b"")
                until = clock.now() + 9
                call = HomeCall(
                    request, ENDPOINT.incarnation, "r", 0, True, until, until
                )
                home.submit(number, call, lambda outcome: None)
                await asyncio.sleep(0.01)

        asyncio.run(run_with_timeout(scenario))
        logged = [kind for kind in events if kind.startswith("upstream-")]
        self.assertEqual(logged, ["upstream-down", "upstream-up"])


async def run_with_timeout(scenario):
    async with asyncio.timeout(5):
        await scenario()


class FingerprintTests(TestCase):
    def request(self, call_id="1", host="a.example", target="/a?b=1", body=b""):
        headers = (("Host", host), ("X-Request-Id", call_id))
        return Request("GET", target, headers, body)

    def test_retries_of_a_request_have_the_same_fingerprint(self):
        first = self.request("1").fingerprint
        self.assertEqual(first, self.request("2", host="A.example").fingerprint)

    def test_different_requests_have_different_fingerprints(self):
        others = (
            self.request(),
            self.request(host="b.example"),
            self.request(target="/a?b=2"),
            self.request(body=b"x"),
        )
        self.assertEqual(len({each.fingerprint for each in others}), 4)
