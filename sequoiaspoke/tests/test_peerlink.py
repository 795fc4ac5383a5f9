"""Tests of connections between nodes over loopback sockets."""

import asyncio
import random
import struct
from dataclasses import replace

from testtools import ExpectedException, TestCase
from testtools.matchers import GreaterThan
from tornado.netutil import bind_sockets

from sequoiaspoke.core.idempotency import messages as witness_messages
from sequoiaspoke.core.idempotency.epoch import Epoch
from sequoiaspoke.core.membership.settings import MembershipSettings
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import Vm, VmList
from sequoiaspoke.core.spread import messages
from sequoiaspoke.core.spread.settings import SpreadSettings
from sequoiaspoke.errors import MessageError
from sequoiaspoke.node.peerlink import FRAME_LIMIT, LinkListener, PeerLinks
from sequoiaspoke.node.spreadloop import SpreadSource
from sequoiaspoke.settings.schema import (
    NodeSettings,
    PlatformSettings,
    Settings,
    UpstreamSettings,
)
from sequoiaspoke.standins.platform import PlatformStandin
from sequoiaspoke.standins.settings import PlatformStandinSettings
from sequoiaspoke.tests.fleet import publication
from sequoiaspoke.wire.codec import decode_message, encode_message

LOOPBACK = "127.0.0.1"
TIMEOUT = 60.0  # seconds; generous for a slow machine, no assertion depends on it
DIGEST = "ab" * 16
STATUS = messages.Status(7, DIGEST, 8, DIGEST, 3, 1, 2, {"rules": DIGEST})
EPOCH = Epoch(7, "ab" * 8, 3)
DELTA = messages.HeadDelta(7, DIGEST, DIGEST, {"service/fleet": DIGEST}, ("rules",))
EXAMPLES = (
    messages.Hello("vm-1", "akaki", 99, STATUS),
    messages.Welcome("vm-1", "akaki", 99, messages.Status()),
    messages.Beat(STATUS),
    messages.BeatAnswer(messages.Status()),
    messages.Announcement(7, DIGEST, DELTA, 3),
    messages.Announcement(0, vms_revision=3),
    messages.HeadQuestion(7, DIGEST, DIGEST),
    messages.HeadAnswer(DELTA),
    messages.HeadAnswer(),
    messages.PartsQuestion((DIGEST, "cd" * 16)),
    messages.PartsAnswer((messages.Part(DIGEST, b"bytes"),), busy=True),
    messages.VmsQuestion(3),
    messages.VmsAnswer(4, 3, b"bytes", ("vm-1",)),
    witness_messages.Question("vm-1", "booking", "booking-1", 9, EPOCH, EPOCH, EPOCH),
    witness_messages.Answer("vm-1", "booking-1", 9, EPOCH, EPOCH, EPOCH),
    witness_messages.Answer("vm-1", "booking-1", 9),
)


class MessageTests(TestCase):
    def test_every_message_round_trips(self):
        for message in EXAMPLES:
            encoded = encode_message(12, message)
            self.assertEqual((12, message), decode_message(encoded))

    def test_a_heartbeat_is_less_than_48_bytes(self):
        status = messages.Status(1_900_000, DIGEST, 0, "", 270_000, 1)
        self.assertThat(
            48, GreaterThan(len(encode_message(9999, messages.Beat(status))))
        )

    def test_a_malformed_payload_raises_message_error(self):
        rng = random.Random(4)
        whole = [encode_message(12, message) for message in EXAMPLES]
        unknown = whole[2].replace(b"beat", b"boat")
        for payload in (b"", b"\x00", unknown, *(one[:-1] for one in whole)):
            with ExpectedException(MessageError):
                decode_message(payload)
        for _ in range(500):
            payload = bytearray(rng.choice(whole))
            payload[rng.randrange(len(payload))] = rng.randrange(256)
            try:
                decode_message(bytes(payload))
            except MessageError:
                continue


class Recorder(LinkListener):
    def __init__(self):
        self.events = []
        self.changed = asyncio.Event()

    def note(self, *event):
        self.events.append(event)
        self.changed.set()

    def link_up(self, number):
        self.note("up", number)

    def link_down(self, number):
        self.note("down", number)

    def received(self, link, number, message):
        self.note(link, number, message)

    async def until(self, *event):
        async with asyncio.timeout(TIMEOUT):
            while event not in self.events:
                self.changed.clear()
                await self.changed.wait()


def listen(links):
    sockets = bind_sockets(0, LOOPBACK)
    links.add_sockets(sockets)
    return sockets[0].getsockname()[1]


class BadFrameTests(TestCase):
    """A peer sends a malformed, an oversized or a truncated frame.

    If that stopped the reading of all links, one faulty node would cut its peers
    off from new versions.
    """

    def test_a_bad_frame_closes_only_its_own_link(self):
        asyncio.run(self.bad_frames())

    async def bad_frames(self):
        recorder = Recorder()
        links = PeerLinks(recorder)
        port = listen(links)
        good = Recorder()
        client = PeerLinks(good)
        client.connect(1, LOOPBACK, port)
        await good.until("up", 1)
        await recorder.until("up", -1)
        oversized = struct.pack("!I", FRAME_LIMIT + 1)
        nonsense = struct.pack("!I", 4) + b"\xff\xff\xff\xff"
        truncated = struct.pack("!I", 100) + b"\x82"
        for number, data in enumerate((oversized, nonsense, truncated), start=2):
            _, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(data)
            await writer.drain()
            writer.write_eof()
            await recorder.until("down", -number)
            writer.close()
        client.send(1, 5, EXAMPLES[2])
        await recorder.until(-1, 5, EXAMPLES[2])
        self.assertEqual(2, links.counters["message-invalid"])
        self.assertEqual(1, links.counters["frame-truncated"])
        await client.close()
        await recorder.until("down", -1)
        await links.close()

    def test_a_refused_connection_is_reported(self):
        async def refused():
            recorder = Recorder()
            links = PeerLinks(recorder)
            (socket,) = bind_sockets(0, LOOPBACK)
            port = socket.getsockname()[1]
            socket.close()
            links.connect(1, LOOPBACK, port)
            await recorder.until("down", 1)
            await links.close()

        asyncio.run(refused())


class SourceTests(TestCase):
    def test_versions_reach_every_node_through_two_readers(self):
        asyncio.run(self.three_nodes())

    async def three_nodes(self):
        platform = PlatformStandin(PlatformStandinSettings())
        platform.start()
        names = [f"akaki-{number}" for number in range(4)]
        sources = [
            SpreadSource(settings(n, platform.url), random.Random(n)) for n in names
        ]
        vms = tuple(
            Vm(name, "akaki", LOOPBACK, listen(source.links), 1)
            for name, source in zip(names, sources, strict=True)
        )
        platform.publish({"vms": codec.encode_json(VmList(1, vms))})
        platform.publish(publication(1).documents())
        for source in sources:
            await source.start()
        for version in (1, 2, 3):
            platform.publish(publication(version).documents())
            await converged(sources, version)
        watching = [source.status().details["watching"] for source in sources]
        self.assertEqual(2, sum(watching))
        followers = [
            s for s, watches in zip(sources, watching, strict=True) if not watches
        ]
        self.assertEqual([2, 2], [source.platform.reads for source in followers])
        counters = followers[0].counters["sequoiaspoke_spread"]
        self.assertEqual(1, counters["platform-read-head"])
        for source in sources:
            await source.stop()
        await platform.stop()


def settings(name, url):
    return replace(
        Settings(),
        node=NodeSettings(name=name, zone="akaki"),
        platform=PlatformSettings(url=url, timeout=TIMEOUT),
        spread=SpreadSettings(exchange=TIMEOUT),
        membership=MembershipSettings(pause=TIMEOUT),
        upstream=UpstreamSettings(target=name, service="fleet"),
    )


async def converged(sources, version):
    async with asyncio.timeout(TIMEOUT):
        while any(source.holder.version < version for source in sources):
            await asyncio.sleep(0.02)
