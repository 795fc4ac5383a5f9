"""A loopback proxy that passes bytes on at the rate of a narrow network link."""

from __future__ import annotations

import asyncio
import socket

BYTES_PER_MBIT = 125_000
# Bytes passed on at a time, as in a segment on Ethernet.
SEGMENT_BYTES = 1448
# Receive buffer of an accepted connection. By default the kernel would buffer megabytes
# here, which a network link does not.
BUFFER_BYTES = 8 << 10
BACKLOG = 8
# Seconds that a late timer may catch up. Timers are late by a millisecond and a segment
# takes 2.3 ms at 5 Mbit/s: without it the link had 0.7 of its rate.
CATCH_UP_SECONDS = 0.01


class Direction:
    """One direction of a link; its connections take turns by segment.

    Attributes
    ----------
    rate : float
        Bytes per second.
    free_at : float
        When the link has passed on all bytes that it was given.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0

    async def transmit(self, size: int) -> None:
        """Wait until the link has passed on some bytes."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(now - CATCH_UP_SECONDS, self.free_at) + size / self.rate
        await asyncio.sleep(max(0.0, self.free_at - now))

    async def forward(self, source: socket.socket, target: socket.socket) -> None:
        """Pass on the bytes of one connection until it ends."""
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(source, SEGMENT_BYTES):
            await self.transmit(len(data))
            await loop.sock_sendall(target, data)


class SlowLink:
    """Accepts connections and forwards them to one address over a narrow link.

    Attributes
    ----------
    port : int
        Port to connect to, chosen by the system.
    """

    def __init__(self, mbps: float, target: tuple[str, int]) -> None:
        self.target = target
        self.there = Direction(mbps * BYTES_PER_MBIT)
        self.back = Direction(mbps * BYTES_PER_MBIT)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        # Accepted connections inherit both; without the smaller segments, a sender on
        # loopback waits until a segment of 64 KB fits into the buffer.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepting = asyncio.ensure_future(self.accept())

    async def accept(self) -> None:
        """Accept connections until the link is closed."""
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.listener)
            accepted.setblocking(False)
            task = asyncio.ensure_future(self.serve(accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, accepted: socket.socket) -> None:
        """Forward one connection in both directions until one of them ends."""
        loop = asyncio.get_running_loop()
        target = socket.socket()
        target.setblocking(False)
        ways: list[asyncio.Task[None]] = []
        try:
            await loop.sock_connect(target, self.target)
            for end in (accepted, target):
                # Otherwise the last bytes of a frame wait for the acknowledgement of
                # those before, which a link does not cause.
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            ways = [
                asyncio.ensure_future(self.there.forward(accepted, target)),
                asyncio.ensure_future(self.back.forward(target, accepted)),
            ]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            accepted.close()
            target.close()

    async def close(self) -> None:
        """End all connections."""
        tasks = [self.accepting, *self.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.listener.close()
