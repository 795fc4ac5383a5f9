"""Frames of the mesh link over a stream."""

from __future__ import annotations

import socket
import struct
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer
from tornado.iostream import IOStream, StreamClosedError

from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar.sockets import READ_BYTES, unsent_bytes, watch_for_silence
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Headers

HEADER = struct.Struct("!I")
# Above the largest body that an upstream's answer or a request may have.
FRAME_LIMIT = 70 << 20
# Bytes that wait for a peer that does not read; beyond, the link is closed.
UNSENT_LIMIT = 16 << 20


def encode(frame: wire.Frame) -> bytes:
    """Return a frame with its length."""
    buffer = TMemoryBuffer()
    frame.write(TCompactProtocolAccelerated(buffer))
    payload = buffer.getvalue()
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


def flatten(headers: Headers) -> list[str]:
    """Return names and values in turn."""
    return [text for pair in headers for text in pair]


def unflatten(flat: list[str]) -> Headers:
    """Return names with their values."""
    return tuple(zip(flat[::2], flat[1::2], strict=True))


class Frames(ABC):
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

    @abstractmethod
    async def read(self, take: Callable[[wire.Frame], None]) -> str:
        """Hand on frames until the link ends; return why it did."""

    @abstractmethod
    def close(self) -> None:
        """End the link."""


class Dialer(ABC):
    """Opens links to other nodes."""

    @abstractmethod
    async def dial(self, host: str, port: int) -> Frames:
        """Open a link; raise OSError, ConnectionRefusedError if nothing listens."""


class TcpDialer(Dialer):
    """Opens links over TCP."""

    async def dial(self, host: str, port: int) -> Frames:
        """Open a link; raise OSError, ConnectionRefusedError if nothing listens."""
        stream = IOStream(
            socket.socket(), max_buffer_size=FRAME_LIMIT, read_chunk_size=READ_BYTES
        )
        try:
            await stream.connect((host, port))
        except StreamClosedError as error:
            raise stream.error or OSError(str(error)) from error
        except BaseException:
            # Given up on; the socket must not stay open.
            stream.close()
            raise
        return FrameStream(stream)


class FrameStream(Frames):
    """Frames over a stream."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.buffer = bytearray()
        watch_for_silence(stream)

    def send(self, frame: wire.Frame) -> None:
        """Send a frame; a peer that does not read loses the link."""
        if self.closed or self.stream.closed():
            return
        if unsent_bytes(self.stream) > UNSENT_LIMIT:
            self.close()
            return
        self.stream.write(encode(frame))

    async def read(self, take: Callable[[wire.Frame], None]) -> str:
        """Hand on frames until the link ends; return why it did."""
        try:
            while not self.closed:
                self.buffer += await self.stream.read_bytes(READ_BYTES, partial=True)
                self.cut(take)
        except StreamClosedError:
            return "closed"
        except MessageError as error:
            return str(error)
        finally:
            self.close()
        return "closed-here"

    def cut(self, take: Callable[[wire.Frame], None]) -> None:
        """Hand on the whole frames that have come."""
        begin = 0
        while len(self.buffer) - begin >= HEADER.size and not self.closed:
            (length,) = HEADER.unpack_from(self.buffer, begin)
            if length > FRAME_LIMIT:
                raise MessageError(f"frame of {length} bytes")
            end = begin + HEADER.size + length
            if len(self.buffer) < end:
                break
            payload = bytes(memoryview(self.buffer)[begin + HEADER.size : end])
            begin = end
            take(decode(payload))
        del self.buffer[:begin]

    def close(self) -> None:
        """End the link."""
        self.closed = True
        self.stream.close()
