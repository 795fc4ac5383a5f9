"""Tests of the ports of a stopping sidecar for other nodes and for health checks."""

import asyncio
import socket

from sequoiaspoke.core.mesh.admission import RefusalReason
from sequoiaspoke.core.mesh.outcome import NotRun, Request
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.frames import HEADER, decode, encode
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.wirecalls import pack_call, unpack_outcome
from sequoiaspoke.tests.test_sidecar_exit import WAIT, ExitTestCase, received
from sequoiaspoke.tests.test_sidecar_home import ENDPOINT, BlockingUpstream
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

# Number of the call of another node, and the identity of that node.
NUMBER, PEER = 7, ("10.0.0.2", 5)
CHECK = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def read_outcomes(link):
    """Return the outcomes that are received on the socket of a link."""
    data, frames = received(link), []
    while data:
        end = HEADER.size + HEADER.unpack_from(data)[0]
        frames.append(decode(data[HEADER.size : end]))
        data = data[end:]
    outcomes = [unpack_outcome(frame) for frame in frames]
    return [outcome[1] for outcome in outcomes if outcome is not None]


class HeldHomeTests(ExitTestCase):
    """Guards against orders that have not run, and of which nobody is told so.

    Their home gets no processor until its exit is due.
    """

    def send_order(self):
        """Send an order on the link of another node, which would not come back."""
        ends = clock.now() + 2 * self.drain
        request = Request("POST", "/order", (), b"")
        call = HomeCall(request, ENDPOINT.incarnation, "r", 0, False, ends, ends)
        self.link.sendall(encode(pack_call(call, NUMBER, 0.0)))

    def play_held(self, before, meanwhile, warm):
        """Play two actions, before a stop and while the home is held in it.

        A warm upstream gets an order at once.
        """
        upstream = BlockingUpstream()

        async def scenario():
            node = self.sidecar
            await self.connect()
            node.home.upstream = upstream
            node.home.admission.upstream_slots.has_answered = warm
            self.link = socket.create_connection(node.settings.links, timeout=WAIT)
            self.addCleanup(self.link.close)
            host, incarnation = PEER
            hello = wire.Hello(host, incarnation, "akaki", clock.now(), False, 0)
            self.link.sendall(encode(wire.Frame(hello=hello)))
            before()
            while not any(link.peer for link in node.links.links):
                await asyncio.sleep(0.005)
            node.stop()
            self.skipped += self.drain
            meanwhile()
            node.shutdown.timers.on_timer()

        self.play(scenario)
        (outcome,) = read_outcomes(self.link)
        self.assertEqual(
            (NotRun, RefusalReason.LEAVING, []),
            (type(outcome), outcome.reason, upstream.ran),
        )

    def test_an_order_that_comes_meanwhile_is_refused(self):
        self.play_held(lambda: None, self.send_order, warm=True)

    def test_an_order_that_waits_for_a_slot_is_refused(self):
        self.play_held(self.send_order, lambda: None, warm=False)


class ReadinessTests(ExitTestCase):
    def test_a_node_is_not_ready_until_it_exits(self):
        # A check that is not answered may count as a failure of another kind.
        async def scenario():
            node, entry = self.sidecar, (PEER, NUMBER)
            await self.connect()
            self.stop_idle()
            node.links.unread.add(entry, clock.now())
            await node.shutdown.input_ended.wait()
            reader, writer = await asyncio.open_connection(*node.settings.health)
            writer.write(CHECK)
            self.answer = await reader.read()
            writer.close()
            node.links.unread.asked_again(entry)

        self.play(scenario)
        self.assertTrue(self.answer.startswith(b"HTTP/1.1 503"), self.answer)
