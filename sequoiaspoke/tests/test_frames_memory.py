"""Tests of the memory that a node holds for frames that have not arrived whole."""

import asyncio
from types import SimpleNamespace

from testtools import TestCase

from sequoiaspoke.core.mesh.answerroom import AnswerRoom
from sequoiaspoke.core.mesh.memory import MemoryAccount
from sequoiaspoke.sidecar.frames import (
    FRAME_LIMIT,
    HEADER,
    LARGE_FRAME,
    TcpFrameStream,
    encode,
)
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

PIECE = 64 << 10
LIMIT = 4 << 20


class Transport(SimpleNamespace):
    """A transport that is only closed."""

    def abort(self):
        self.aborted = True


class IncompleteFrameTests(TestCase):
    def play(self, scenario):
        async def run():
            self.memory = MemoryAccount(LIMIT)
            scenario()

        asyncio.run(run())

    def open_link(self):
        """Return a link of a node that has introduced itself, and its frames."""
        stream = TcpFrameStream(AnswerRoom(self.memory))
        stream.transport = Transport(aborted=False)
        stream.frame_limit = FRAME_LIMIT
        frames = []
        stream.on_frame = frames.append
        return stream, frames

    def receive(self, stream, data):
        """Have a link receive bytes in pieces, until it is closed."""
        for start in range(0, len(data), PIECE):
            stream.data_received(data[start : start + PIECE])

    def begin_frame(self, stream, size, arrived):
        """Have a link receive the start of a frame."""
        self.receive(stream, HEADER.pack(size) + bytes(arrived))

    def test_links_are_closed_whose_frames_have_no_room(self):
        # Six links took 393 MB, as each was bounded for itself only.
        def scenario():
            links = [self.open_link()[0] for _ in range(6)]
            for _ in range(FRAME_LIMIT // PIECE):
                for link in links:
                    header = b"" if link.buffered else HEADER.pack(FRAME_LIMIT)
                    self.receive(link, header + bytes(PIECE))
            self.assertTrue(all(link.transport.aborted for link in links))
            self.assertEqual({link.reason for link in links}, {"frame without room"})
            self.assertTrue(self.memory.held <= LIMIT + len(links) * PIECE)
            for link in links:
                link.connection_lost(None)
            self.assertEqual(self.memory.held, 0)

        self.play(scenario)

    def test_a_large_frame_that_has_room_is_counted_until_it_is_complete(self):
        def scenario():
            stream, frames = self.open_link()
            body = bytes(LIMIT // 2)
            data = encode(wire.Frame(body_part=wire.BodyPart(1, 0, body)))
            self.receive(stream, data[:-1])
            self.assertEqual(self.memory.held, len(data) - 1)
            held = []
            stream.on_frame = lambda frame: held.append(self.memory.held)
            self.receive(stream, data[-1:])
            self.assertEqual((held, self.memory.held, frames), ([0], 0, []))

        self.play(scenario)

    def test_smaller_frames_have_room_beside_a_full_account(self):
        # What nodes tell each other of the platform is no call that can be refused.
        def scenario():
            self.memory.reserve(2 * LIMIT)
            stream, frames = self.open_link()
            part = wire.BodyPart(1, 0, bytes(LARGE_FRAME - 100))
            self.receive(stream, encode(wire.Frame(body_part=part)))
            self.assertEqual(len(frames), 1)
            self.assertEqual(self.memory.held, 2 * LIMIT)

        self.play(scenario)

    def test_a_frame_behind_a_large_one_is_passed_on(self):
        def scenario():
            stream, frames = self.open_link()
            large = encode(wire.Frame(body_part=wire.BodyPart(1, 0, bytes(LIMIT // 2))))
            small = encode(wire.Frame(ping=wire.Ping(1.0)))
            stream.data_received(small + large + small + small[:3])
            stream.data_received(small[3:])
            pings = [each.ping is not None for each in frames]
            self.assertEqual(pings, [True, False, True, True])

        self.play(scenario)
