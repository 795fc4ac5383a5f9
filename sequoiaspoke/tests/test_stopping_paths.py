"""Tests of the answers of a stopping node that are under way to other nodes."""

import asyncio
import socket

from testtools import TestCase

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar.frames import TcpFrameStream
from sequoiaspoke.sidecar.wirecalls import pack_outcome

# Number of the call of another node.
NUMBER = 7
# Size of an answer, and of the buffer in which its receiver's kernel keeps it unread.
LARGE, RECEIVE_BUFFER = 3 << 20, 1 << 16
WAIT = 20.0  # seconds; only a failing test takes as long


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
