"""Length-prefixed Thrift frames on the links between nodes."""

from __future__ import annotations

import asyncio
import struct
from abc import ABC, abstractmethod
from functools import cached_property
from typing import TYPE_CHECKING

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar.sockets import Connection
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.answerroom import AnswerRoom

HEADER = struct.Struct("!I")
# Bytes; more than the largest body that a request or an upstream's answer may have.
FRAME_LIMIT = 70 << 20
# Bytes of the largest first frame, in which a node introduces itself.
FIRST_FRAME_LIMIT = 64 << 10
# Bytes of the largest frame that always has room in memory. What nodes tell each other
# of the platform is smaller. Larger frames are calls and answers, of which those with
# large bodies come from nodes that do not send these in parts.
LARGE_FRAME = 1 << 20
# Bytes buffered for a peer that does not read; beyond that the link is closed.
UNSENT_LIMIT = 16 << 20


# Shared by all frames, each with its own buffer: creating a protocol object costs as
# much as the encoding itself.
WRITER = TCompactProtocolAccelerated(TMemoryBuffer())


def encode(frame: wire.Frame) -> bytes:
    """Return an encoded frame with its length prefix."""
    WRITER.trans = TMemoryBuffer()
    frame.write(WRITER)
    payload = WRITER.trans.getvalue()
    return HEADER.pack(len(payload)) + payload


def decode(payload: bytes) -> wire.Frame:
    """Decode the payload of a frame; raise MessageError."""
    frame = wire.Frame()
    try:
        frame.read(TCompactProtocolAccelerated(TMemoryBuffer(payload)))
    except Exception as error:
        # The decoder raises any kind of exception on malformed bytes.
        raise MessageError(f"cannot decode frame: {error!r}") from error
    return frame


class SharedFrame:
    """A frame that is sent to several nodes and encoded only once."""

    def __init__(self, frame: wire.Frame) -> None:
        self.frame = frame

    @cached_property
    def data(self) -> bytes:
        """Return the encoded frame with its length prefix."""
        return encode(self.frame)


class FrameStream(ABC):
    """A stream of frames to and from another node.

    Attributes
    ----------
    closed : bool
        Whether the stream is closed; frames read but not passed on yet are dropped.
    frame_limit : int
        Bytes of the largest accepted frame.
    reads_old : bool
        Whether the frames that are passed on had arrived at the last `note_arrived`.
    """

    closed = False
    frame_limit = FRAME_LIMIT
    reads_old = False

    @abstractmethod
    def send(self, frame: wire.Frame) -> None:
        """Send a frame."""

    def send_shared(self, shared: SharedFrame) -> None:
        """Send a frame that is sent to other nodes as well."""
        self.send(shared.frame)

    def note_arrived(self) -> None:
        """Take all that has arrived but was not read as old; nothing by default."""
        self.reads_old = False

    def buffered_bytes(self) -> int:
        """Return how many bytes of incomplete frames have arrived; none by default."""
        return 0

    def unsent_bytes(self) -> int:
        """Return how many bytes are buffered for the peer; none by default."""
        return 0

    def undelivered_bytes(self) -> int:
        """Return how many bytes might be lost if this process ended now."""
        return self.unsent_bytes()

    @abstractmethod
    async def read(self, on_frame: Callable[[wire.Frame], None]) -> str:
        """Pass on frames until the link ends; return why it ended."""

    @abstractmethod
    def close(self) -> None:
        """Close the link."""


class Dialer(ABC):
    """Opens links to other nodes."""

    @abstractmethod
    async def dial(self, host: str, port: int) -> FrameStream:
        """Open a link; raise OSError, ConnectionRefusedError if nothing listens."""


class TcpDialer(Dialer):
    """Opens links over TCP."""

    async def dial(self, host: str, port: int) -> FrameStream:
        """Open a link; raise OSError, ConnectionRefusedError if nothing listens."""
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(TcpFrameStream, host, port)
        return link


class TcpFrameStream(Connection, FrameStream):
    """A frame stream over a TCP connection.

    Attributes
    ----------
    room : AnswerRoom or None
        Counts the bytes that the peer has not read, and those of large frames that have
        not arrived whole; None if they are not counted.
    counted : int
        Bytes of an incomplete frame that are counted.
    old_bytes : int
        Bytes left to read of those that had arrived at the last `note_arrived`.
    """

    peer_reads_at_once = True

    def __init__(self, room: AnswerRoom | None = None) -> None:
        super().__init__()
        self.room = room
        self.chunks: list[bytes] = []
        self.buffered = self.old_bytes = self.counted = 0
        self.bytes_needed = HEADER.size
        self.on_frame: Callable[[wire.Frame], None] | None = None
        self.reason = ""
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def send(self, frame: wire.Frame) -> None:
        """Send a frame; close the link if the peer does not read."""
        self.send_data(encode(frame))

    def send_shared(self, shared: SharedFrame) -> None:
        """Send a frame that is sent to other nodes as well."""
        self.send_data(shared.data)

    def send_data(self, data: bytes) -> None:
        """Send bytes; close the link if too many are buffered already."""
        if self.unsent_bytes() > UNSENT_LIMIT:
            self.close()
        else:
            self.write(data)

    def unread_changed(self, change: int) -> None:
        """Count the change, if that is of interest to this node."""
        if self.room is not None:
            self.room.change_held(change)

    def note_arrived(self) -> None:
        """Take all that has arrived but was not read as old."""
        self.old_bytes = self.waiting_bytes()

    async def read(self, on_frame: Callable[[wire.Frame], None]) -> str:
        """Pass on frames until the link ends; return why it ended."""
        self.on_frame = on_frame
        self.parse()
        try:
            return await self.ended
        finally:
            self.close()

    def buffered_bytes(self) -> int:
        """Return how many bytes of incomplete frames have arrived."""
        return self.buffered

    def received(self, data: bytes) -> None:
        """Buffer bytes from the peer, and pass on the frames they complete."""
        self.reads_old = len(data) <= self.old_bytes
        self.old_bytes = max(0, self.old_bytes - len(data))
        self.chunks.append(data)
        self.buffered += len(data)
        if self.buffered >= self.bytes_needed and self.on_frame is not None:
            self.count_incomplete(0)
            self.parse()
        if self.bytes_needed > LARGE_FRAME and not self.closed:
            self.check_room()

    def check_room(self) -> None:
        """Count what has arrived of a large frame; close the link if it has no room."""
        if self.room is None:
            return
        if self.room.memory.fits(self.buffered - self.counted):
            self.count_incomplete(self.buffered)
        else:
            self.reason = "frame without room"
            self.close()

    def count_incomplete(self, size: int) -> None:
        """Count so many bytes of an incomplete frame."""
        if self.room is not None and size != self.counted:
            self.room.memory.reserve(size - self.counted)
            self.counted = size

    def parse(self) -> None:
        """Pass on the complete frames; close the link at an invalid one."""
        buffer = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        # Not kept beside the buffer while large frames are handled.
        self.chunks.clear()
        start = 0
        try:
            while not self.closed:
                self.bytes_needed = HEADER.size
                if len(buffer) - start < self.bytes_needed:
                    break
                (length,) = HEADER.unpack_from(buffer, start)
                if length > self.frame_limit:
                    raise MessageError(f"frame too large: {length} bytes")
                self.bytes_needed += length
                end = start + self.bytes_needed
                if len(buffer) < end:
                    break
                payload = buffer[start + HEADER.size : end]
                start = end
                if len(payload) > LARGE_FRAME:
                    # Not kept beside the frame and what is decoded from it.
                    buffer, start = buffer[end:], 0
                frame = decode(payload)
                del payload
                self.on_frame(frame)
        except MessageError as error:
            self.reason = str(error)
            self.close()
        self.chunks = [buffer[start:]]
        self.buffered = len(buffer) - start

    def lost(self, error: Exception | None, closed_locally: bool) -> None:  # noqa: ARG002
        """Let `read` return why the link has ended."""
        self.chunks.clear()
        self.buffered = 0
        self.count_incomplete(0)
        if not self.ended.done():
            ended = "closed-here" if closed_locally else "closed"
            self.ended.set_result(self.reason or ended)
