"""Fuzz tests of frames and messages from other nodes."""

import asyncio
import contextlib
import random
from functools import partial
from math import inf, nan

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from sequoiaspoke.core.idempotency import messages as idempotency_messages
from sequoiaspoke.core.idempotency.epoch import Epoch
from sequoiaspoke.core.mesh.transfers import PART_BYTES
from sequoiaspoke.core.spread import events, messages
from sequoiaspoke.core.spread.core import SpreadCore
from sequoiaspoke.core.spread.state import Identity
from sequoiaspoke.errors import MessageError
from sequoiaspoke.settings.schema import NodeSettings, Settings
from sequoiaspoke.sidecar import frames
from sequoiaspoke.sidecar.wirecalls import MAX_SECONDS_LEFT, unpack_call
from sequoiaspoke.tests.bodysim import play_bodies
from sequoiaspoke.tests.test_fuzz import FUZZ
from sequoiaspoke.wire.codec import decode_message, encode_message
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

TEXT = st.one_of(st.sampled_from(["", "rules", "ab" * 16, "v1"]), st.text(max_size=4))
DIGESTS = st.sampled_from(["ab" * 16, "cd" * 16, "", "zz"])
NUMBERS = st.one_of(
    st.integers(-1, 9), st.sampled_from([2**63 - 1, -(2**63), 2**31, 2**62])
)
MAPS = st.dictionaries(TEXT, DIGESTS, max_size=2)
TEXTS = st.lists(TEXT, max_size=3).map(tuple)
STATUS = st.builds(
    messages.Status,
    NUMBERS,
    DIGESTS,
    NUMBERS,
    DIGESTS,
    NUMBERS,
    NUMBERS,
    NUMBERS,
    MAPS,
)
DELTA = st.builds(messages.HeadDelta, NUMBERS, DIGESTS, DIGESTS, MAPS, TEXTS)
PARTS = st.lists(
    st.builds(messages.Part, DIGESTS, st.binary(max_size=9)), max_size=2
).map(tuple)
EPOCHS = st.builds(Epoch, NUMBERS, DIGESTS, NUMBERS)
OPTIONAL_EPOCHS = st.none() | EPOCHS
MESSAGES = st.one_of(
    st.builds(messages.Hello, TEXT, TEXT, NUMBERS, STATUS),
    st.builds(messages.Welcome, TEXT, TEXT, NUMBERS, STATUS),
    st.builds(messages.Beat, STATUS),
    st.builds(messages.BeatAnswer, STATUS),
    st.builds(messages.Announcement, NUMBERS, DIGESTS, st.none() | DELTA, NUMBERS),
    st.builds(messages.HeadQuestion, NUMBERS, DIGESTS, DIGESTS),
    st.builds(messages.HeadAnswer, st.none() | DELTA),
    st.builds(messages.PartsQuestion, st.lists(DIGESTS, max_size=3).map(tuple)),
    st.builds(messages.PartsAnswer, PARTS, st.booleans()),
    st.builds(messages.VmsQuestion, NUMBERS),
    st.builds(messages.VmsAnswer, NUMBERS, NUMBERS, st.binary(max_size=9), TEXTS),
    st.builds(
        idempotency_messages.Question, TEXT, TEXT, TEXT, NUMBERS, EPOCHS, EPOCHS, EPOCHS
    ),
    st.builds(
        idempotency_messages.Answer,
        TEXT,
        TEXT,
        NUMBERS,
        OPTIONAL_EPOCHS,
        OPTIONAL_EPOCHS,
        OPTIONAL_EPOCHS,
    ),
)
HELLO = messages.Hello("v1", "z", 1, messages.Status(1, "ab" * 16))
CHANGES = st.lists(st.tuples(st.integers(0, 200), st.integers(0, 255)), max_size=4)


def encoded(message):
    """Return a frame's payload, or nothing if the fields cannot be encoded."""
    try:
        return encode_message(1, message)
    except Exception:  # only encoded messages are input from outside
        return b""


class FrameFuzzTests(TestCase):
    """Arbitrary bytes arrive at the peer port.

    An exception other than MessageError would end the task that reads, and the
    connection would stay open without a reader.
    """

    @FUZZ
    @given(st.binary(max_size=64))
    def test_any_bytes(self, payload):
        with contextlib.suppress(MessageError):
            decode_message(payload)

    @FUZZ
    @given(MESSAGES, CHANGES)
    def test_messages_with_bytes_changed(self, message, changes):
        payload = bytearray(encoded(message))
        for index, value in changes:
            if payload:
                payload[index % len(payload)] = value
        with contextlib.suppress(MessageError):
            decode_message(bytes(payload))

    def test_deep_nesting_and_false_lengths_are_refused(self):
        for payload in (
            b"\x82\x21\x01\x05greet" + b"\x1c" * 200_000,
            b"\x82\x21\x01\x05greet\x1c\x18\xff\xff\xff\xff\x07",
            b"\x82\x21\x01\x0bfetch_parts\x1c\x19\xf8\xff\xff\xff\xff\x07",
        ):
            self.assertRaises(MessageError, decode_message, payload)


INTS = (
    st.none() | st.integers(-1, 3) | st.sampled_from([2**31 - 1, -(2**31), PART_BYTES])
)
FLOATS = st.none() | st.sampled_from(
    [0.0, -1.0, 0.5, 5.0, 1e308, -1e308, inf, -inf, nan]
)
WORDS = st.none() | st.sampled_from(["", "x", "i-1"])
BYTES = st.none() | st.builds(bytes, st.sampled_from([0, 1, PART_BYTES]))
HEADERS = st.none() | st.lists(st.text(max_size=2), max_size=3)
BOOLS = st.none() | st.booleans()
NEWS = st.none() | st.builds(wire.News, FLOATS, FLOATS, FLOATS)
CALLS = st.builds(
    wire.Call,
    number=INTS,
    instance=WORDS,
    route=WORDS,
    method=WORDS,
    target=WORDS,
    headers=HEADERS,
    body=BYTES,
    deadline=FLOATS,
    on_time=FLOATS,
    rank=INTS,
    born=INTS,
    body_size=INTS,
    max_wait=FLOATS,
    longest_seen=FLOATS,
    measured_for=FLOATS,
)
VALID_CALLS = st.builds(
    partial(wire.Call, method="POST", target="/", deadline=5.0, on_time=5.0),
    number=st.integers(1, 3),
    headers=st.lists(st.just("x"), max_size=3),
    instance=st.just("i-1"),
    route=st.just("up"),
    rank=st.integers(0, 2),
    idempotent=st.booleans(),
    body_size=st.sampled_from([1, PART_BYTES, 3 * PART_BYTES]),
    max_wait=st.none() | st.just(0.0),
    longest_seen=FLOATS,
    measured_for=FLOATS,
)
FRAMES = st.one_of(
    st.builds(wire.Frame, call=VALID_CALLS),
    st.builds(wire.Frame, call=CALLS),
    st.builds(wire.Frame, fetch=st.builds(wire.Fetch, INTS, INTS, INTS)),
    st.builds(wire.Frame, body_part=st.builds(wire.BodyPart, INTS, INTS, BYTES)),
    st.builds(wire.Frame, withdraw=st.builds(wire.Withdraw, INTS)),
    st.builds(wire.Frame, cancel=st.builds(wire.Cancel, INTS)),
    st.builds(wire.Frame, hello=st.builds(wire.Hello, WORDS, INTS, WORDS, FLOATS)),
    st.builds(
        wire.Frame,
        welcome=st.builds(wire.Welcome, INTS, FLOATS, BOOLS, BOOLS, INTS),
    ),
    st.builds(wire.Frame, ping=st.builds(wire.Ping, FLOATS)),
    st.builds(wire.Frame, pong=st.builds(wire.Pong, FLOATS, FLOATS, NEWS)),
    st.builds(
        wire.Frame,
        answer=st.builds(wire.Answer, INTS, INTS, HEADERS, BYTES, FLOATS, NEWS),
    ),
    st.builds(
        wire.Frame, not_run=st.builds(wire.NotRun, INTS, WORDS, FLOATS, BOOLS, NEWS)
    ),
    st.builds(wire.Frame, unknown=st.builds(wire.Unknown, INTS, WORDS)),
)


def frame_payload(frame):
    """Return an encoded frame without its length."""
    return frames.encode(frame)[frames.HEADER.size :]


class MeshFrameFuzzTests(TestCase):
    """Arbitrary frames arrive on a link between nodes, in any order.

    An exception other than MessageError would end the link without a reason in the log,
    and an absurd time or size would stay in the queue or the account of the home.
    """

    @FUZZ
    @given(st.binary(max_size=64))
    def test_any_bytes(self, payload):
        with contextlib.suppress(MessageError):
            frames.decode(payload)

    @FUZZ
    @given(FRAMES, CHANGES)
    def test_frames_with_bytes_changed(self, frame, changes):
        payload = bytearray(frame_payload(frame))
        for index, value in changes:
            payload[index % len(payload)] = value
        with contextlib.suppress(MessageError):
            frames.decode(bytes(payload))

    @FUZZ
    @given(FLOATS, FLOATS)
    def test_what_is_told_of_a_route_is_bounded(self, longest, seconds):
        # A home would compare its times with it.
        call = wire.Call(
            1, "i-1", "up", "POST", "/", [], deadline=5.0, on_time=5.0, rank=0
        )
        call.longest_seen, call.measured_for = longest, seconds
        received = frames.decode(frame_payload(wire.Frame(call=call)))
        measured = unpack_call(received.call).measured
        for told, found in ((longest, measured.longest), (seconds, measured.seconds)):
            in_range = told is not None and 0 <= told <= MAX_SECONDS_LEFT
            self.assertEqual(found, told if in_range else 0.0)

    @FUZZ
    @given(st.lists(FRAMES, max_size=12))
    def test_both_ends_of_a_link_take_any_sequence(self, sequence):
        async def scenario(world):
            world.send("/1", 3 * PART_BYTES)
            await world.until(lambda: world.server.links and world.server.links[0].peer)
            link, entry = world.server.links[0], world.entries[0]
            for frame in sequence:
                received = frames.decode(frame_payload(frame))
                for end in (link, entry):
                    with contextlib.suppress(MessageError):
                        end.handle_frame(received)
                await asyncio.sleep(0.01)
            world.break_links()
            entry.close()
            await asyncio.sleep(7)
            home = world.home
            left = (home.calls, home.bodies.bodies, world.memory.held)
            self.assertEqual(left, ({}, {}, 0))

        play_bodies(self, scenario, entries=1)


class MessageFuzzTests(TestCase):
    """Well-formed messages with arbitrary values arrive in any order."""

    @FUZZ
    @given(st.lists(st.tuples(MESSAGES, st.integers(0, 4)), max_size=12))
    def test_the_core_takes_any_sequence(self, sequence):
        settings = Settings(node=NodeSettings(name="v0", zone="z"))
        core = SpreadCore(settings, Identity("v0", "z", 7), random.Random(0))
        now = 100.0
        core.tick(now)
        core.handle(events.LinkUp(-1), now)
        core.handle(events.Received(-1, 1, HELLO), now)
        for message, number in sequence:
            payload = encoded(message)
            if not payload:
                continue
            _, received = decode_message(payload)
            now += 0.1
            core.handle(events.Received(-1, number, received), now)
            core.tick(now)
        self.assertEqual(0, core.holder.version)
