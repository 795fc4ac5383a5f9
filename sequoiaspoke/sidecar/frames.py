"""Frames of the mesh link over a stream."""

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


HEADER = struct.Struct("!I")
# Above the largest body that an upstream's answer or a request may have.
FRAME_LIMIT = 70 << 20
# Bytes that wait for a peer that does not read; beyond, the link is closed.
UNSENT_LIMIT = 16 << 20


# Writes every frame, each into a buffer of its own; a new one costs as much as the
# encoding itself.
WRITER = TCompactProtocolAccelerated(TMemoryBuffer())


def encode(frame: wire.Frame) -> bytes:
    """Return a frame with its length."""
    WRITER.trans = TMemoryBuffer()
    frame.write(WRITER)
    payload = WRITER.trans.getvalue()
    return HEADER.pack(len(payload)) + payload


def decode(payload: bytes) -> wire.Frame:
    """Return the frame of a payload."""
    frame = wire.Frame()
    try:
        frame.read(TCompactProtocolAccelerated(TMemoryBuffer(payload)))
    except Exception as error:
        # The decoder raises whatever the bytes provoke.
        raise MessageError(f"frame: {error!r}") from error
    return frame


class SharedFrame:
    """A frame that goes to many nodes and is encoded once for all of them."""

    def __init__(self, frame: wire.Frame) -> None:
        self.frame = frame

    @cached_property
    def data(self) -> bytes:
        """Return the frame with its length."""
        return encode(self.frame)


class FrameStream(ABC):
    """Frames to and from another node.

    Attributes
    ----------
    closed : bool
        Once set, no further frame is handed on, also not one read before.
    """

    closed = False

    @abstractmethod
    def send(self, frame: wire.Frame) -> None:
        """Send a frame."""

    def send_shared(self, shared: SharedFrame) -> None:
        """Send a frame that goes to others, too."""
        self.send(shared.frame)

    @abstractmethod
    async def read(self, on_frame: Callable[[wire.Frame], None]) -> str:
        """Hand on frames until the link ends; return why it did."""

    @abstractmethod
    def close(self) -> None:
        """End the link."""


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
    """Frames over a connection."""

    def __init__(self) -> None:
        super().__init__()
        self.chunks: list[bytes] = []
        self.buffered = 0
        self.bytes_needed = HEADER.size
        self.on_frame: Callable[[wire.Frame], None] | None = None
        self.reason = ""
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def send(self, frame: wire.Frame) -> None:
        """Send a frame; a peer that does not read loses the link."""
        self.send_data(encode(frame))

    def send_shared(self, shared: SharedFrame) -> None:
        """Send a frame that goes to others, too."""
        self.send_data(shared.data)

    def send_data(self, data: bytes) -> None:
        """Send bytes, unless too many wait already."""
        if self.unsent_bytes() > UNSENT_LIMIT:
            self.close()
        else:
            self.write(data)

    async def read(self, on_frame: Callable[[wire.Frame], None]) -> str:
        """Hand on frames until the link ends; return why it did."""
        self.on_frame = on_frame
        self.parse()
        try:
            return await self.ended
        finally:
            self.close()

    def received(self, data: bytes) -> None:
        """Take bytes of the peer."""
        self.chunks.append(data)
        self.buffered += len(data)
        if self.buffered >= self.bytes_needed and self.on_frame is not None:
            self.parse()

    def parse(self) -> None:
        """Hand on the whole frames that have come; end the link at one that is none."""
        buffer = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        start = 0
        try:
            while not self.closed:
                self.bytes_needed = HEADER.size
                if len(buffer) - start < self.bytes_needed:
                    break
                (length,) = HEADER.unpack_from(buffer, start)
                if length > FRAME_LIMIT:
                    raise MessageError(f"frame of {length} bytes")
                self.bytes_needed += length
                end = start + self.bytes_needed
                if len(buffer) < end:
                    break
                payload = buffer[start + HEADER.size : end]
                start = end
                self.on_frame(decode(payload))
        except MessageError as error:
            self.reason = str(error)
            self.close()
        self.chunks = [buffer[start:]]
        self.buffered = len(buffer) - start

    def lost(self, error: Exception | None, closed_locally: bool) -> None:  # noqa: ARG002
        """Tell whoever reads why the link has ended."""
        if not self.ended.done():
            ended = "closed-here" if closed_locally else "closed"
            self.ended.set_result(self.reason or ended)
