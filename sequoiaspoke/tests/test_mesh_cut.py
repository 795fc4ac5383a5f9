"""Tests of calls that may run only once while their entry and home are cut off."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh import ledger as ledger_module
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.ledger import DEADLINE_MARGIN, RETENTION_SECONDS, Ledger
from sequoiaspoke.core.mesh.outcome import NotRun, Request, Unknown
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.linkclient import HANDSHAKE_TIMEOUT, LinkClient
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.pending import LinkIdentity, PendingCall
from sequoiaspoke.tests.meshsim import MeshWorld, play_world
from sequoiaspoke.tests.test_sidecar_home import ENDPOINT, BlockingUpstream
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

ORDERS = 6


class CutWorld(MeshWorld):
    """Two nodes of which one sends orders to the other and is cut off meanwhile."""

    def __init__(self, seed, timeout, cut_seconds, large_bodies=False):
        self.timeout, self.cut_seconds = timeout, cut_seconds
        self.large_bodies = large_bodies
        super().__init__(seed, nodes=2)
        del self.endpoints["i-h0"]
        for node in self.nodes.values():
            node.home.set_slots(ORDERS)

    def route(self, name):
        return replace(
            super().route(name), timeout=self.timeout, large_bodies=self.large_bodies
        )

    def request(self, name, call_id):
        headers = (("Host", "x"), ("X-Request-Id", call_id))
        return Request("GET", f"/{name}/1", headers, b"")

    async def order(self, number):
        call_id = f"order-{number}"
        entry = self.nodes["h0"].entry
        answer = await entry.handle(self.request("order", call_id))
        self.answers[call_id] = answer

    async def play(self):
        await asyncio.sleep(1.0)
        await self.order("first")
        orders = [asyncio.ensure_future(self.order(each)) for each in range(ORDERS)]
        await asyncio.sleep(0.04)
        self.cuts.add(("h0", "h1"))
        await asyncio.sleep(self.cut_seconds)
        self.cuts.clear()
        await asyncio.gather(*orders)
        await asyncio.sleep(3.0)
        self.check_guarantees()
        for node in self.nodes.values():
            node.kill()
        await asyncio.sleep(0)


class CutTests(TestCase):
    def check(self, timeout, cut_seconds, **options):
        world = play_world(
            lambda: CutWorld(int(cut_seconds), timeout, cut_seconds, **options), self
        )
        case = (timeout, cut_seconds)
        self.assertEqual((case, world.problems), (case, []))
        ran = [len(world.runs[f"order-{number}"]) for number in range(ORDERS)]
        self.assertEqual((case, ran), (case, [1] * ORDERS))
        return {answer.status for answer in world.answers.values()}

    def test_an_order_runs_once_however_long_the_cut_lasts(self):
        # After the cut the entry sends its orders again. Their home had forgotten after
        # ten seconds that it had run them, and ran them a second time.
        for timeout, cut_seconds in ((5, 3), (15, 12), (60, 11), (60, 50), (300, 290)):
            self.assertEqual(self.check(timeout, cut_seconds), {200})

    def test_an_order_whose_deadline_is_near_runs_once(self):
        for cut_seconds in (14.0, 14.5, 14.9, 14.97, 15.0, 15.1, 16.0):
            self.check(15, cut_seconds)

    def test_an_order_that_ran_is_not_withdrawn_as_not_run(self):
        # Withdrawn shortly before its deadline, a forgotten order was told as not run.
        for cut_seconds in (14.0, 14.9, 14.95, 15.2):
            self.check(15, cut_seconds, large_bodies=True)


class KeptCallTests(TestCase):
    def test_a_call_that_may_run_only_once_is_kept_until_its_deadline(self):
        # Forgotten earlier, it would run again if its entry sends it again.
        ledger = Ledger()
        ledger.begin("order", 60.0)
        ledger.begin("read")
        ledger.finish("order", "answer", 10, 1.0)
        ledger.finish("read", "answer", 10, 1.0)
        ledger.expire(1.0 + RETENTION_SECONDS)
        self.assertIsNone(ledger.find("read"))
        ledger.expire(60.0 + DEADLINE_MARGIN - 0.01)
        self.assertEqual(ledger.find("order").outcome, "answer")
        ledger.expire(60.0 + DEADLINE_MARGIN)
        self.assertIsNone(ledger.find("order"))
        self.assertEqual((ledger.bytes, ledger.kept_calls), (0, 0))

    def test_a_call_that_ends_after_its_deadline_is_kept_for_a_while(self):
        ledger = Ledger()
        ledger.begin("order", 5.0)
        ledger.finish("order", "answer", 10, 6.0)
        ledger.expire(5.0 + RETENTION_SECONDS)
        self.assertIsNotNone(ledger.find("order"))

    def test_dropping_answers_does_not_take_longer_with_many_calls(self):
        # All kept calls were gone through for each answer that was dropped.
        ledger = Ledger()
        ledger.answered = CountingDict()
        for number in range(1000):
            ledger.begin(number, 1000.0)
            ledger.finish(number, "answer", ledger_module.MAX_ANSWER_BYTES // 2, 1.0)
        self.assertTrue(ledger.answered.steps <= 1000, ledger.answered.steps)


class CountingDict(dict):
    """A dictionary that counts the keys that were iterated over."""

    steps = 0

    def __iter__(self):
        for key in super().__iter__():
            self.steps += 1
            yield key


class FullLedgerTests(TestCase):
    """A home that keeps as many calls as it can."""

    def submit(self, name, idempotent, left=60.0):
        now, incarnation = clock.now(), ENDPOINT.incarnation
        call = HomeCall(
            Request("GET", name, (), b""), incarnation, "r", 0, idempotent, now + left,
            now + left,
        )  # fmt: skip
        self.home.submit(
            name, call, lambda outcome: self.outcomes.update({name: outcome})
        )

    def test_a_full_ledger_refuses_orders_and_forgets_none(self):
        # A ledger without a limit grows with the timeouts of orders until the node is
        # out of memory; one that forgets has them run again.
        self.patch(ledger_module, "MAX_KEPT_CALLS", 2)
        self.time, self.outcomes = 1000.0, {}
        self.patch(clock, "now", lambda: self.time)

        async def run():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            directory, upstream = Directory(), BlockingUpstream()
            directory.put(ENDPOINT, 5, self.time)
            self.home = Home(upstream, directory, log)
            self.home.set_slots(9)
            upstream.gate.set()
            for name in ("a", "b", "c"):
                self.submit(name, idempotent=False)
                await asyncio.sleep(0.001)
            self.submit("read", idempotent=True)
            self.time += RETENTION_SECONDS + 1.0
            self.home.tick(self.time)
            self.submit("d", idempotent=False)
            self.time += 60.0
            self.home.tick(self.time)
            self.submit("e", idempotent=False)
            await asyncio.sleep(0.001)
            return upstream.ran

        self.assertEqual(asyncio.run(run()), ["a", "b", "read", "e"])
        for name, seconds in (("c", 5.0), ("d", 5.0)):
            self.assertEqual(self.outcomes[name], NotRun("ledger-full", seconds))


class FakeGossip:
    """Takes no part in what nodes tell each other."""

    def uninformed(self):
        return False

    def link_up(self, link):
        pass


class FakeStream:
    closed = False

    def __init__(self):
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)

    def close(self):
        self.closed = True


class HandshakeTests(TestCase):
    """Handshakes of a link while the VM is suspended."""

    def play(self, seconds, left=60.0):
        """Return the link after a welcome that came so long after the hello.

        A call with `left` seconds was sent on the link before it.
        """
        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)
        log = EventLog("x-request-id")
        log.allowed = lambda kind: False
        identity = LinkIdentity("x", "z", 1)
        link = LinkClient(("h", 1), identity, FakeGossip(), log, None)
        link.stream = FakeStream()
        link.last_pinged, link.hellos = self.time, 1
        order = HomeCall(
            Request("GET", "/", (), b""), ENDPOINT.incarnation, "r", 0, False,
            self.time + left, self.time + left,
        )  # fmt: skip
        self.outcomes = []
        link.pending[1] = PendingCall(1, order, self.outcomes.append)
        link.pending[1].home_incarnation = link.incarnation = 7
        self.time += seconds
        link.handle_welcome(wire.Welcome(7, 5000.0, False, False, 0))
        return link

    def test_a_handshake_that_took_too_long_is_not_used(self):
        # The clock offset was wrong by half of the time for which the VM was suspended,
        # and a home took the deadlines of all calls to be so much earlier.
        link = self.play(HANDSHAKE_TIMEOUT + 3.0)
        self.assertFalse(link.established)
        self.time += HANDSHAKE_TIMEOUT + 3.0
        link.handle_welcome(wire.Welcome(7, 5000.0, False, False, 0))
        self.assertTrue(link.stream.closed)
        self.assertFalse(link.established)

    def test_a_handshake_that_took_too_long_is_begun_again(self):
        # The connection was closed, and the home taken for unreachable: reads that it
        # ran were answered 502.
        link = self.play(HANDSHAKE_TIMEOUT + 3.0)
        (frame,) = link.stream.sent
        self.assertEqual(frame.hello.clock, self.time)
        link.handle_welcome(wire.Welcome(7, 5000.0, False, False, 0))
        self.assertTrue(link.established)
        self.assertEqual(link.clock_offset, 5000.0 - self.time)
        self.assertEqual(self.outcomes, [])

    def test_a_handshake_that_was_held_up_makes_no_deadline_early(self):
        # The home ended calls up to 0.4 s before their deadlines while they ran.
        link = self.play(0.7)
        self.assertTrue(-0.1 <= link.clock_offset - 4000.0 <= 0.0, link.clock_offset)
        self.assertEqual(link.stream.sent[-1].ping.sent, self.time)

    def test_a_usual_handshake_is_used(self):
        link = self.play(0.01)
        self.assertTrue(link.established)
        self.assertEqual([each.call.number for each in link.stream.sent], [1])
        self.assertAlmostEqual(link.clock_offset, 5000.0 - 1000.005, delta=0.001)

    def test_a_call_whose_deadline_has_passed_is_not_sent_again(self):
        # The VM was suspended, and the timer of the call had not run yet. Its home may
        # have forgotten that it ran.
        sent = self.play(0.5, left=0.4).stream.sent
        self.assertEqual([frame for frame in sent if frame.ping is None], [])
        self.assertEqual(self.outcomes, [Unknown("timeout")])
