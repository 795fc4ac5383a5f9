"""Connections between nodes: frames of thrift messages over streams.

Whatever arrives malformed, oversized, cut short or unknown is counted and
closes the one link that it came on; nothing else is harmed.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from sequoiaspoke.errors import MessageError
from sequoiaspoke.node.resolver import NumericResolver
from sequoiaspoke.wire.codec import decode_message, encode_message

if TYPE_CHECKING:
    from typing import Any

    from sequoiaspoke.core.spread.messages import Message

HEADER = struct.Struct("!I")
# Above the largest answer: one part of at most a megabyte and its frame.
FRAME_LIMIT = 2 << 20
READ_BYTES = 64 * 1024
# Bytes that wait for a peer that does not read; beyond, the link is closed.
# Otherwise a peer that stands still would fill this node's memory.
UNSENT_LIMIT = 4 << 20


class LinkListener(ABC):
    """Is told what happens on the links."""

    @abstractmethod
    def link_up(self, number: int) -> None:
        """Take a connection that stands."""

    @abstractmethod
    def link_down(self, number: int) -> None:
        """Take the end of a connection."""

    @abstractmethod
    def received(self, link: int, number: int, message: Message) -> None:
        """Take a message."""


class FrameSplitter:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the frames that are whole.

        Raises
        ------
        MessageError
            A frame announces more than the limit.
        """
        self.buffer += data
        frames = []
        while len(self.buffer) >= HEADER.size:
            (size,) = HEADER.unpack_from(self.buffer)
            if size > FRAME_LIMIT:
                raise MessageError(f"frame of {size} bytes; allowed: {FRAME_LIMIT}")
            end = HEADER.size + size
            if len(self.buffer) < end:
                break
            frames.append(bytes(self.buffer[HEADER.size : end]))
            del self.buffer[:end]
        return frames

    def has_partial_frame(self) -> bool:
        """Return whether the stream stands within a frame."""
        return bool(self.buffer)


class PeerLinks(TCPServer):
    """Every connection with other nodes; accepted ones have negative numbers."""

    def __init__(self, listener: LinkListener) -> None:
        super().__init__(max_buffer_size=FRAME_LIMIT + READ_BYTES)
        self.listener = listener
        self.streams: dict[int, IOStream] = {}
        self.connecting: dict[int, asyncio.Task[None]] = {}
        self.accepted_numbers = itertools.count(-1, -1)
        self.client = TCPClient(resolver=NumericResolver())
        self.counters: Counter[str] = Counter()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Follow a connection that another node opened; called by the library."""
        del address
        await self.read_messages(next(self.accepted_numbers), stream)

    def connect(self, number: int, address: str, port: int) -> None:
        """Open a connection; the listener hears how it went."""
        task = asyncio.get_running_loop().create_task(
            self._connect(number, address, port)
        )
        self.connecting[number] = task

    async def _connect(self, number: int, address: str, port: int) -> None:
        try:
            stream = await self.client.connect(
                address, port, max_buffer_size=FRAME_LIMIT + READ_BYTES
            )
        # The list of VMs may name a port or an address that cannot be.
        except (OSError, StreamClosedError, ValueError, OverflowError):
            self.connecting.pop(number, None)
            self.listener.link_down(number)
            return
        # Without a task here, nobody else holds the connection's reader.
        await self.read_messages(number, stream)
        self.connecting.pop(number, None)

    async def read_messages(self, number: int, stream: IOStream) -> None:
        """Read a connection until it ends."""
        stream.set_nodelay(True)
        stream.max_write_buffer_size = UNSENT_LIMIT
        self.streams[number] = stream
        self.listener.link_up(number)
        frames = FrameSplitter()
        try:
            while True:
                data = await stream.read_bytes(READ_BYTES, partial=True)
                self.dispatch(number, frames, data)
        except StreamClosedError:
            if frames.has_partial_frame():
                self.counters["frame-truncated"] += 1
        except MessageError:
            self.counters["message-invalid"] += 1
        finally:
            self.drop(number)

    def dispatch(self, number: int, frames: FrameSplitter, data: bytes) -> None:
        """Hand over the messages that have come in whole."""
        self.bytes_received += len(data)
        for frame in frames.feed(data):
            if number not in self.streams:
                return
            message_number, message = decode_message(frame)
            self.counters["message-received"] += 1
            self.listener.received(number, message_number, message)

    def drop(self, number: int) -> None:
        """Drop a connection that ended."""
        stream = self.streams.pop(number, None)
        if stream:
            stream.close()
            self.listener.link_down(number)

    def send(self, link: int, number: int, message: Message) -> None:
        """Send a message; on a link that is gone it is lost."""
        stream = self.streams.get(link)
        if stream is None or stream.closed():
            self.counters["message-on-closed-link"] += 1
            return
        payload = encode_message(number, message)
        frame = HEADER.pack(len(payload)) + payload
        self.bytes_sent += len(frame)
        self.counters["message-sent"] += 1
        try:
            future = stream.write(frame)
        except (StreamBufferFullError, StreamClosedError):
            self.counters["peer-does-not-read"] += 1
            stream.close()
            return
        # The reader notices a lost connection; nobody awaits single writes.
        future.add_done_callback(lambda done: done.cancelled() or done.exception())

    def close_link(self, number: int) -> None:
        """Close a connection, or give up opening it."""
        stream = self.streams.pop(number, None)
        if stream:
            stream.close()
            return
        task = self.connecting.pop(number, None)
        if task:
            task.cancel()

    async def close(self) -> None:
        """Stop listening and close everything."""
        self.stop()
        for number in [*self.streams, *self.connecting]:
            self.close_link(number)
        self.client.close()
