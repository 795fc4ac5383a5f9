"""Connections between nodes: length-prefixed frames of thrift messages over TCP.

A malformed, oversized, truncated or unknown message is counted and closes the link
that it came on; other links are unaffected.
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
# Larger than the largest answer: one part of at most 1 MiB and its frame.
FRAME_LIMIT = 2 << 20
READ_BYTES = 64 * 1024
# Bytes buffered for a peer that does not read; above this the link is closed.
# Otherwise a stalled peer would fill this node's memory.
UNSENT_LIMIT = 4 << 20


class LinkListener(ABC):
    """Receives the events of the links."""

    @abstractmethod
    def link_up(self, number: int) -> None:
        """Handle an established connection."""

    @abstractmethod
    def link_down(self, number: int) -> None:
        """Handle the end of a connection, or a failure to open one."""

    @abstractmethod
    def received(self, link: int, number: int, message: Message) -> None:
        """Handle a message."""


class FrameSplitter:
    """Splits a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the complete frames.

        Raises
        ------
        MessageError
            A frame's length exceeds the limit.
        """
        self.buffer += data
        frames = []
        while len(self.buffer) >= HEADER.size:
            (size,) = HEADER.unpack_from(self.buffer)
            if size > FRAME_LIMIT:
                raise MessageError(f"frame of {size} bytes; the limit is {FRAME_LIMIT}")
            end = HEADER.size + size
            if len(self.buffer) < end:
                break
            frames.append(bytes(self.buffer[HEADER.size : end]))
            del self.buffer[:end]
        return frames

    def has_partial_frame(self) -> bool:
        """Return whether part of a frame is buffered."""
        return bool(self.buffer)


class PeerLinks(TCPServer):
    """All connections with other nodes; accepted ones have negative numbers."""

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
        """Serve a connection that another node opened; called by tornado."""
        del address
        await self.read_messages(next(self.accepted_numbers), stream)

    def connect(self, number: int, address: str, port: int) -> None:
        """Open a connection; the outcome goes to the listener."""
        task = asyncio.get_running_loop().create_task(
            self._connect(number, address, port)
        )
        self.connecting[number] = task

    async def _connect(self, number: int, address: str, port: int) -> None:
        try:
            stream = await self.client.connect(
                address, port, max_buffer_size=FRAME_LIMIT + READ_BYTES
            )
        # The VM list may hold an invalid port or address.
        except (OSError, StreamClosedError, ValueError, OverflowError):
            self.connecting.pop(number, None)
            self.listener.link_down(number)
            return
        # The task stays in `connecting` while it reads: nothing else references it.
        await self.read_messages(number, stream)
        self.connecting.pop(number, None)

    async def read_messages(self, number: int, stream: IOStream) -> None:
        """Read messages from a connection until it ends."""
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
        """Pass the complete messages to the listener."""
        self.bytes_received += len(data)
        for frame in frames.feed(data):
            if number not in self.streams:
                return
            message_number, message = decode_message(frame)
            self.counters["message-received"] += 1
            self.listener.received(number, message_number, message)

    def drop(self, number: int) -> None:
        """Remove a connection that ended."""
        stream = self.streams.pop(number, None)
        if stream:
            stream.close()
            self.listener.link_down(number)

    def send(self, link: int, number: int, message: Message) -> None:
        """Send a message; on a closed link it is counted and dropped."""
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
        # Writes are not awaited; the reader detects a lost connection.
        future.add_done_callback(lambda done: done.cancelled() or done.exception())

    def close_link(self, number: int) -> None:
        """Close a connection, or cancel opening it."""
        stream = self.streams.pop(number, None)
        if stream:
            stream.close()
            return
        task = self.connecting.pop(number, None)
        if task:
            task.cancel()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for number in [*self.streams, *self.connecting]:
            self.close_link(number)
        self.client.close()
