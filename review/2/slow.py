"""A requester that reads its answers slowly, on a socket of its own."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

from standins import Message

if TYPE_CHECKING:
    from mesh import World

# Segment size of the connections, as on Ethernet. With the segments of loopback the
# kernel would buffer megabytes.
SEGMENT_BYTES = 1460


class Requester:
    """One kept connection of a requester.

    `window_bytes` is its receive buffer. DEPLOY.md gives links small windows, so that
    a peer that does not read blocks the writer.
    """

    def __init__(self, world: World, name: str, window_bytes: int) -> None:
        self.world, self.name, self.window_bytes = world, name, window_bytes
        self.buffer = bytearray()
        self.answered: dict[str, Message] = {}
        self.end = ""

    async def connect(self, host: str, port: int) -> None:
        """Connect with a small receive buffer."""
        loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        options = (
            (socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes),
            (socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES),
        )
        for level, option, value in options:
            self.socket.setsockopt(level, option, value)
        self.socket.setblocking(False)
        await loop.sock_connect(self.socket, (host, port))

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read(self, size: int) -> bool:
        """Read once; return whether the connection goes on."""
        try:
            data = await asyncio.get_running_loop().sock_recv(self.socket, size)
        except OSError as error:
            self.end = f"{type(error).__name__}: {error}"
            return False
        if not data:
            self.end = "closed"
            return False
        self.buffer += data
        self.take_answers()
        return True

    def take_answers(self) -> None:
        """Take the complete answers off the buffer."""
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            message = Message(bytes(self.buffer[:end]), b"")
            whole = end + 4 + int(message.headers.get("content-length", 0))
            if len(self.buffer) < whole:
                return
            message.body = bytes(self.buffer[end + 4 : whole])
            del self.buffer[:whole]
            call = message.headers.get("sequoiaspoke-request-id", "none")
            self.answered[call] = message
            self.world.record.line(
                f"answer   {call} {message.first[1]} {len(message.body)} bytes"
                f" to {self.name}"
            )

    async def read_until(
        self, calls: list[str], latest: float, size: int, pause: float = 0.0
    ) -> None:
        """Read until all calls are answered, the connection ends or the time is up."""
        while not all(call in self.answered for call in calls):
            left = latest - time.monotonic()
            if left <= 0:
                self.end = "time budget over"
                return
            try:
                if not await asyncio.wait_for(self.read(size), left):
                    break
            except TimeoutError:
                continue
            if pause:
                await asyncio.sleep(pause)
        if self.end:
            self.world.record.line(f"end      {self.name}: {self.end}")

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
