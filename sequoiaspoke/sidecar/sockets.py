"""Connections of a sidecar, driven by the event loop's callbacks.

What has come is handed on in the turn in which the loop read it, and what is written in
one turn leaves together. Streams that are read by a task need a future and a turn more
for each piece: of a node's turns of the loop four in five found nothing to read.
"""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from sequoiaspoke.errors import AddressInUseError

if TYPE_CHECKING:
    from collections.abc import Iterable

# Seconds after which a silent peer is probed, between probes, and until sent bytes
# must be acknowledged; a dead connection is found in about two seconds.
KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES = 1, 1, 1
USER_TIMEOUT_MS = 2000
# Connections that may wait to be accepted: callers that come back after a restart of
# this node open theirs in one moment, and one that finds no place is opened again
# after a second only.
BACKLOG = 1024


class Connection(asyncio.Protocol, ABC):
    """One end of a TCP connection.

    Attributes
    ----------
    closed : bool
        Whether this end has been closed or the connection has ended.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False

    def connection_made(self, transport: Any) -> None:
        """Take the connection that stands."""
        self.transport = transport
        enable_keepalive(transport.get_extra_info("socket"))
        self.opened()

    def opened(self) -> None:
        """Begin to use the connection."""

    def data_received(self, data: bytes) -> None:
        """Take what came, unless this end was closed."""
        if not self.closed:
            self.received(data)

    def eof_received(self) -> bool:
        """Let the transport close: whoever stops sending has left."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Take the end of the connection."""
        closed_locally, self.closed = self.closed, True
        self.lost(error, closed_locally)

    @abstractmethod
    def received(self, data: bytes) -> None:
        """Take bytes of the peer."""

    @abstractmethod
    def lost(self, error: Exception | None, closed_locally: bool) -> None:
        """Take the end of the connection.

        Parameters
        ----------
        error : Exception or None
            What broke the connection; None if the peer closed it.
        closed_locally : bool
            Whether this end was closed first.
        """

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection has ended."""
        if not self.closed:
            assert self.transport is not None
            self.transport.write(data)

    def unsent_bytes(self) -> int:
        """Return how many bytes wait for a peer that does not read."""
        return 0 if self.closed else self.transport.get_write_buffer_size()

    def close(self) -> None:
        """End the connection at once; what is not sent yet is dropped."""
        if not self.closed:
            self.closed = True
            self.transport.abort()


class ConnectionServer(ABC):
    """Accepts connections on some addresses."""

    def __init__(self) -> None:
        self.listeners: list[socket.socket] = []
        self.accept_tasks: list[asyncio.Task[None]] = []
        self.servers: list[asyncio.AbstractServer] = []

    @abstractmethod
    def new_connection(self) -> Connection:
        """Return what serves the next connection."""

    def listen(self, host: str, port: int) -> None:
        """Open an address; raise AddressInUseError."""
        try:
            listener = socket.create_server((host, port), backlog=BACKLOG)
        except OSError as error:
            raise AddressInUseError(f"{host}:{port}: {error}") from error
        self.add_sockets([listener])

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on sockets that listen."""
        for listener in sockets:
            listener.setblocking(False)
            self.listeners.append(listener)
            self.accept_tasks.append(asyncio.ensure_future(self.accept_on(listener)))

    async def accept_on(self, listener: socket.socket) -> None:
        """Have the loop accept connections."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self.new_connection, sock=listener, backlog=BACKLOG
        )
        self.servers.append(server)

    def stop(self) -> None:
        """Accept no more connections; those that stand go on."""
        for task in self.accept_tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        for listener in self.listeners:
            # Also those that the loop does not know yet.
            listener.close()


def enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel find a connection that went silent for good."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
