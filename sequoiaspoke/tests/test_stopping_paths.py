"""Tests of the answers of a stopping node that are under way to other nodes."""

import asyncio
import itertools
import socket
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from unittest import mock

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import RefusalReason
from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.frames import FrameStream, TcpFrameStream
from sequoiaspoke.sidecar.home import LEAVING_RETRY_AFTER
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.linkfeatures import SUPPORTED
from sequoiaspoke.sidecar.linkserver import AcceptedLink
from sequoiaspoke.sidecar.stopplan import LINGER_SECONDS, RESTART_SECONDS
from sequoiaspoke.sidecar.wirecalls import pack_call, pack_outcome, unpack_outcome
from sequoiaspoke.tests import test_sidecar_stopping as stopping
from sequoiaspoke.tests.meshsim import MeshWorld, SimDialer, run_virtual
from sequoiaspoke.tests.test_sidecar_home import ENDPOINT, BlockingUpstream
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

# Seconds of the longest call of a route whose other calls are short.
LONGEST = 2.6
# Number of the call of another node, and the identity of that node.
NUMBER, PEER = 7, ("10.0.0.2", 5)
# Size of an answer, and of the buffer in which its receiver's kernel keeps it unread.
LARGE, RECEIVE_BUFFER = 3 << 20, 1 << 16
# Seconds after the signal until which the last frames are unread.
READ_SECONDS = LINGER_SECONDS + 1.0
WAIT = 20.0  # seconds; only a failing test takes as long


class EndingStream(FrameStream):
    """A link that keeps what is sent on it until the test ends it."""

    def __init__(self):
        self.sent = []
        self.ended = asyncio.Event()
        self.on_frame = None

    def send(self, frame):
        if not self.closed:
            self.sent.append(frame)

    async def read(self, on_frame):
        self.on_frame = on_frame
        await self.ended.wait()
        return "closed"

    def close(self):
        self.closed = True
        self.ended.set()

    def outcomes(self):
        """Return the outcomes that were sent on it."""
        found = (unpack_outcome(frame) for frame in self.sent)
        return [each[1] for each in found if each is not None]


class LostLinkTests(stopping.StoppingCase):
    """The entry of a call takes its silent home for dead, and connects again."""

    async def link(self):
        """Return a new link of the other node, which sends its call on it."""
        stream = EndingStream()
        self.served.append(asyncio.ensure_future(self.sidecar.links.serve(stream)))
        await asyncio.sleep(0)
        host, incarnation = PEER
        hello = wire.Hello(host, incarnation, "akaki", clock.now(), False, 0)
        stream.on_frame(wire.Frame(hello=hello))
        stream.on_frame(pack_call(self.call, NUMBER, 0.0))
        return stream

    async def begin(self):
        """Have the upstream begin to run a call of another node."""
        self.served = []
        self.sidecar.home.upstream = BlockingUpstream()
        until = self.stopped_at + 4.5
        request = Request("POST", "/", (), b"")
        incarnation = ENDPOINT.incarnation
        self.call = HomeCall(request, incarnation, "r", 0, False, until, until)
        self.sidecar.run_ticks()
        await asyncio.sleep(0.5)
        return await self.link()

    async def answer_after_the_end(self, stream):
        """Have the link end, and then the call; return when the node has exited."""
        await asyncio.sleep(LINGER_SECONDS)
        stream.close()
        self.sidecar.home.upstream.gate.set()
        exiting = asyncio.ensure_future(self.sidecar.shutdown.finish())
        await asyncio.sleep(0.5)
        return exiting

    def test_a_node_waits_for_the_entry_of_an_answer(self):
        # It exited with the answer as no call was in progress, and the order's caller
        # was told 502.
        async def scenario():
            exiting = await self.answer_after_the_end(await self.begin())
            waited = not exiting.done()
            again = await self.link()
            await exiting
            return waited, again.outcomes(), self.elapsed()

        waited, outcomes, elapsed = self.play(scenario)
        self.assertTrue(waited)
        self.assertEqual([200], [each.status for each in outcomes])
        self.assertTrue(elapsed < 4.0, elapsed)

    def test_a_node_waits_for_an_answer_that_was_sent_as_the_link_ended(self):
        # The entry closes a silent link without reading what is sent on it meanwhile.
        async def scenario():
            stream = await self.begin()
            await asyncio.sleep(LINGER_SECONDS)
            self.sidecar.home.upstream.gate.set()
            await asyncio.sleep(0.01)
            stream.close()
            exiting = asyncio.ensure_future(self.sidecar.shutdown.finish())
            await asyncio.sleep(0.5)
            waited = not exiting.done()
            again = await self.link()
            await exiting
            return waited, again.outcomes()

        waited, outcomes = self.play(scenario)
        self.assertTrue(waited)
        self.assertEqual([200], [each.status for each in outcomes])

    def test_a_node_does_not_wait_for_an_entry_that_is_gone(self):
        async def scenario():
            exiting = await self.answer_after_the_end(await self.begin())
            await exiting
            return self.elapsed()

        # The call has no time left then, and nobody asks for its answer.
        self.assertTrue(self.play(scenario) <= 4.6)


class UnreadAnswerTests(TestCase):
    """An answer that the kernel still holds is lost if the process exits."""

    def play(self, scenario):
        """Play a scenario with a link and the socket of its other end."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = socket.socket()
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            peer.connect(listener.getsockname())
            accepted, _ = listener.accept()
        self.addCleanup(peer.close)
        peer.setblocking(False)

        async def run():
            loop = asyncio.get_running_loop()
            _, stream = await loop.create_connection(TcpFrameStream, sock=accepted)
            try:
                async with asyncio.timeout(WAIT):
                    return await scenario(stream, peer)
            finally:
                stream.close()
                await stream.ended

        return asyncio.run(run())

    def test_an_answer_is_undelivered_until_the_other_node_has_it(self):
        # The process took it for sent. Its exit then had the kernel drop the rest, as
        # the entry sent a ping.
        async def scenario(stream, peer):
            answer = Answer(200, (), bytes(LARGE))
            stream.send(pack_outcome(NUMBER, answer, LoadReport()))
            loop, received = asyncio.get_running_loop(), 0
            while stream.unsent_bytes():
                received += len(await loop.sock_recv(peer, 1 << 16))
            left = stream.undelivered_bytes()
            while received < LARGE:
                received += len(await loop.sock_recv(peer, 1 << 20))
            while stream.undelivered_bytes():
                await asyncio.sleep(0.001)
            return left

        self.assertTrue(self.play(scenario) > 0)

    def test_a_closed_link_has_nothing_to_deliver(self):
        async def scenario(stream, peer):
            stream.close()
            return stream.undelivered_bytes()

        self.assertEqual(0, self.play(scenario))


class LastFramesTests(stopping.StoppingCase):
    def test_a_node_exits_after_other_nodes_have_its_answers(self):
        # It exited once its own buffers were empty.
        async def scenario():
            until = self.stopped_at + READ_SECONDS
            stream = SimpleNamespace(
                send=lambda frame: None,
                unsent_bytes=lambda: 0,
                undelivered_bytes=lambda: 100 if clock.now() < until else 0,
            )
            self.sidecar.links.links.append(SimpleNamespace(stream=stream))
            self.sidecar.run_ticks()
            await self.sidecar.shutdown.finish()
            return self.elapsed()

        elapsed = self.play(scenario)
        self.assertTrue(READ_SECONDS <= elapsed < READ_SECONDS + 0.1, elapsed)


class QueuedOrderTests(stopping.StoppingCase):
    """Calls that wait at a home as it is told to stop."""

    stops_first = False

    async def queue(
        self, left, own=False, idempotent=False, other=True, waits=2.5, ticks=True
    ):
        """Return the outcomes of a call that waits as the node is told to stop.

        Parameters
        ----------
        waits : float
            Seconds from the signal until a slot is free for it.
        ticks : bool
            Whether the node looks at its queue meanwhile.
        """
        home, links = self.sidecar.home, self.sidecar.links
        if other:
            second = replace(ENDPOINT, instance="i-2", host="10.0.0.3")
            self.sidecar.state.directory.put(second, 2, clock.now())
        home.upstream = BlockingUpstream()
        home.set_slots(1)
        home.admission.upstream_slots.has_answered = True
        stream = EndingStream()
        link = AcceptedLink(stream, links)
        link.peer, link.features = PEER, SUPPORTED
        outcomes = []
        for number, seconds in ((1, 9.0), (2, left)):
            until = clock.now() + seconds
            request = Request("POST", str(number), (), b"")
            incarnation = ENDPOINT.incarnation
            call = HomeCall(request, incarnation, "r", 0, idempotent, until, until)
            if own:
                home.submit(number, call, outcomes.append)
            else:
                link.handle_frame(pack_call(call, number, 0.0))
            await asyncio.sleep(0.01)
        self.assertEqual(["1"], home.upstream.ran)
        self.sidecar.stop()
        if ticks:
            self.sidecar.run_ticks()
        await asyncio.sleep(waits)
        found = list(outcomes) or stream.outcomes()
        home.upstream.gate.set()
        await asyncio.sleep(0.1)
        self.ran = home.upstream.ran
        self.ended = {type(each) for each in outcomes or stream.outcomes()}
        return found

    def measure(self):
        """Have one call of the route take much longer than the others."""
        durations, now = self.sidecar.home.admission.durations, clock.now()
        durations.begin("measured", "r", now - stopping.MEASURED)
        durations.end("measured", True, now - stopping.MEASURED + 0.05)
        for seconds in (LONGEST, *40 * [0.05]):
            durations.begin("measured", "r", now - seconds)
            durations.end("measured", True, now)

    def test_one_that_the_exit_may_cut_off_goes_to_another_home(self):
        # It was started seconds later, and cut off as the process ended.
        outcomes = self.play(lambda: self.queue(left=8.0))
        refusal = NotRun(RefusalReason.LEAVING, LEAVING_RETRY_AFTER)
        self.assertEqual([refusal], outcomes)

    def test_one_that_ends_before_the_exit_waits(self):
        self.assertEqual([], self.play(lambda: self.queue(left=5.0)))

    def test_one_that_may_be_tried_again_goes_to_another_home_too(self):
        # It waited for a slot beside homes that go on, and was cut off then.
        outcomes = self.play(lambda: self.queue(left=8.0, idempotent=True))
        refusal = NotRun(RefusalReason.LEAVING, LEAVING_RETRY_AFTER)
        self.assertEqual([refusal], outcomes)

    def test_one_that_may_be_tried_again_and_ends_before_the_exit_waits(self):
        self.assertEqual([], self.play(lambda: self.queue(left=5.0, idempotent=True)))

    def test_one_that_no_other_home_takes_waits(self):
        self.assertEqual([], self.play(lambda: self.queue(left=8.0, other=False)))

    def test_one_is_refused_once_its_start_could_not_end_well(self):
        # It was held for seconds, started then and cut off by the exit.
        async def scenario(idempotent):
            self.measure()
            return await self.queue(8.0, False, idempotent, other=False, waits=3.5)

        for idempotent in (False, True):
            (refusal,) = self.play(partial(scenario, idempotent))
            self.assertEqual(RefusalReason.LEAVING, refusal.reason)
            back_after = LONGEST + stopping.SPARE_SHARE * stopping.DRAIN
            back_after += RESTART_SECONDS
            # It is found at a tick.
            self.assertAlmostEqual(back_after, refusal.retry_after, delta=0.11)
            self.assertEqual(["1"], self.ran)

    def test_one_is_not_started_too_late_between_two_ticks(self):
        async def scenario(waits):
            self.measure()
            await self.queue(8.0, other=False, waits=waits, ticks=False)
            return self.ran, self.ended

        self.assertEqual((["1", "2"], {Answer}), self.play(partial(scenario, 2.5)))
        self.assertEqual((["1"], {Answer, NotRun}), self.play(partial(scenario, 3.5)))

    def test_one_of_a_caller_of_the_node_waits(self):
        self.assertEqual([], self.play(lambda: self.queue(left=8.0, own=True)))


async def dial_in_vain(dialer, host, port):
    """Dial a node that gets no processor."""
    await asyncio.sleep(3600.0)


class SilentHomeTests(TestCase):
    """A home gets no processor while its upstream runs a call of another node."""

    def status(self, name):
        """Return the status of a call whose home is silent for two seconds."""

        async def scenario():
            world = MeshWorld(1, nodes=2)
            del world.endpoints["i-h0"]
            entry, home = world.nodes["h0"].entry, world.nodes["h1"].home
            home.upstream = BlockingUpstream()
            home.admission.upstream_slots.has_answered = True
            await asyncio.sleep(1.0)
            call = asyncio.ensure_future(entry.handle(world.request(name, name)))
            await asyncio.sleep(0.1)
            self.assertEqual([f"/{name}/1"], home.upstream.ran)
            for pipe in itertools.chain(*world.links):
                pipe.push = lambda frame: None
            with mock.patch.object(SimDialer, "dial", dial_in_vain):
                await asyncio.sleep(2.0)
            home.upstream.gate.set()
            answer = await call
            for node in world.nodes.values():
                node.kill()
            await asyncio.sleep(0)
            return answer.status

        return run_virtual(scenario, self)

    def test_an_order_gets_the_answer_of_its_upstream(self):
        self.assertEqual(200, self.status("order"))

    def test_a_call_that_no_other_home_takes_gets_the_answer_of_its_upstream(self):
        # It may run again, and was answered 502 where that could not be: a stopping
        # node broke off all such calls while their upstream was at work.
        self.assertEqual(200, self.status("read"))
