"""TCP connections of a sidecar, driven by callbacks of the event loop.

Received bytes are handled in the iteration of the loop that read them, and bytes
written in one iteration are sent together. Streams that are read by a task need a
future and another iteration for each chunk: four of five iterations of a node then
found nothing to read.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from abc import ABC, abstractmethod
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Any

from sequoiaspoke.listening import BACKLOG, accept_waiting
from sequoiaspoke.socketqueues import count_unacknowledged_bytes, count_waiting_bytes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


@dataclass(frozen=True)
class KeepAlive:
    """How the kernel finds that the peer of a silent connection is gone.

    Attributes
    ----------
    idle, interval : int
        Seconds until a silent peer is probed, and between probes.
    probes : int
        Unanswered probes that end the connection.
    """

    idle: int = 1
    interval: int = 1
    probes: int = 1


# A dead connection on which all sent bytes are acknowledged is found within two
# seconds. Calls on it are sent over another one if a live peer lost a packet.
FAST_PROBES = KeepAlive()
# A caller can get its answer on this connection only. If one packet in thirty is lost
# in each direction, one probe in fifteen stays unanswered, and five in a row one time
# in 760,000.
PATIENT_PROBES = KeepAlive(probes=5)
# Milliseconds within which a peer that reads at once must acknowledge what it is sent.
USER_TIMEOUT_MS = 2000


class Connection(asyncio.BaseProtocol, ABC):
    """One end of a TCP connection.

    Attributes
    ----------
    peer_reads_at_once : bool
        Whether a peer that lives reads what it is sent without delay. Such a connection
        is dead if sent bytes are not acknowledged for some time. A peer that reads
        slowly acknowledges them, too, but the kernel applies the same timeout to the
        time for which its receive buffer is full.
    probing : KeepAlive
        How a peer that is gone is found.
    closed : bool
        Whether this end was closed or the connection has ended.
    writing_paused : bool
        Whether the transport buffers more bytes than its limit.
    unread : int
        Bytes that the peer has not read, as counted last; 0 if they are below the
        limit of the transport.
    """

    peer_reads_at_once = False
    probing = FAST_PROBES

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.writing_paused = False
        self.unread = 0

    def connection_made(self, transport: Any) -> None:
        """Start to use an established connection."""
        self.transport = transport
        enable_keepalive(self.socket, self.probing)
        if self.peer_reads_at_once:
            set_user_timeout(self.socket, USER_TIMEOUT_MS)
        self.opened()

    @property
    def socket(self) -> socket.socket:
        """Return the socket of an established connection."""
        return self.transport.get_extra_info("socket")

    def opened(self) -> None:
        """Handle the start of the connection; does nothing by default."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, unless this end was closed."""
        if not self.closed:
            self.received(data)

    def eof_received(self) -> bool:
        """Let the transport close: a peer that stops sending has left."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection."""
        closed_locally, self.closed = self.closed, True
        self.lost(error, closed_locally)
        self.count_unread()

    @abstractmethod
    def received(self, data: bytes) -> None:
        """Handle bytes from the peer."""

    @abstractmethod
    def lost(self, error: Exception | None, closed_locally: bool) -> None:
        """Handle the end of the connection.

        Parameters
        ----------
        error : Exception or None
            The cause of a failure; None if the peer closed the connection.
        closed_locally : bool
            Whether this end was closed first.
        """

    @property
    def closing(self) -> bool:
        """Return whether bytes written from now on would be dropped."""
        return self.closed or self.transport.is_closing()

    def write(self, data: bytes | memoryview) -> None:
        """Send bytes, unless the connection is closed."""
        if not self.closed:
            assert self.transport is not None
            self.transport.write(data)
            if self.writing_paused:
                self.count_unread()

    def pause_writing(self) -> None:
        """Count the bytes that the transport has begun to buffer."""
        self.writing_paused = True
        self.count_unread()

    def resume_writing(self) -> None:
        """Note that the transport has few bytes left to send."""
        self.writing_paused = False
        self.count_unread()

    def count_unread(self) -> None:
        """Count the bytes that the peer has not read, as they are now."""
        before = self.unread
        self.unread = self.unsent_bytes() if self.writing_paused else 0
        if self.unread != before:
            self.unread_changed(self.unread - before)

    def unread_changed(self, change: int) -> None:
        """Handle a change of the unread bytes; does nothing by default."""

    def unsent_bytes(self) -> int:
        """Return how many bytes are buffered for a peer that does not read."""
        return 0 if self.closed else self.transport.get_write_buffer_size()

    def waiting_bytes(self) -> int:
        """Return how many received bytes the event loop has not read yet."""
        return 0 if self.closed else count_waiting_bytes(self.socket.fileno())

    def undelivered_bytes(self) -> int:
        """Return how many bytes might be lost if the connection was closed now.

        If the peer then sends something, the kernel drops what that of the peer has not
        acknowledged.
        """
        if self.closed:
            return 0
        unacknowledged = count_unacknowledged_bytes(self.socket.fileno())
        return self.unsent_bytes() + unacknowledged

    def close(self) -> None:
        """Close the connection at once and drop unsent bytes."""
        if not self.closed:
            self.closed = True
            self.transport.abort()
            self.count_unread()


def ignore_limited(closed: int) -> None:
    """Do nothing; the default until somebody wants to know."""


class ConnectionServer(ABC):
    """Accepts connections on one or more addresses.

    Attributes
    ----------
    max_connections : float
        Open connections beyond which the least useful ones are closed.
    closed_beyond_limit : int
        Connections that were closed for that since the last report.
    on_limited : callable
        Called with their number now and then.
    """

    def __init__(self) -> None:
        self.max_connections = inf
        self.closed_beyond_limit = 0
        self.on_limited: Callable[[int], None] = ignore_limited
        self.listeners: list[socket.socket] = []
        self.accept_tasks: list[asyncio.Task[None]] = []
        self.servers: list[asyncio.AbstractServer] = []
        self.connect_tasks: set[asyncio.Task[None]] = set()

    @abstractmethod
    def new_connection(self) -> Connection:
        """Return the protocol object that serves the next connection."""

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listener in sockets:
            listener.setblocking(False)
            self.listeners.append(listener)
            self.accept_tasks.append(asyncio.ensure_future(self.accept_on(listener)))

    async def accept_on(self, listener: socket.socket) -> None:
        """Have the event loop accept connections on a listening socket."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self.new_connection, sock=listener, backlog=BACKLOG
        )
        self.servers.append(server)

    def accept_waiting(self) -> None:
        """Accept all connections that wait before the listeners are closed."""
        for listener in self.listeners:
            for sock, _ in accept_waiting(listener):
                task = asyncio.ensure_future(self.connect(sock))
                self.connect_tasks.add(task)
                task.add_done_callback(self.connect_tasks.discard)

    def limit_waiting(self, connections: int) -> None:
        """Let one connection more than this wait to be accepted.

        The kernel drops the first packet of others, which is sent again after a second.
        """
        for listener in self.listeners:
            # The backlog of a socket that listens may be changed.
            with contextlib.suppress(OSError):
                listener.listen(connections)

    async def connect(self, sock: socket.socket) -> None:
        """Have the event loop serve an accepted connection."""
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self.new_connection, sock)
        except OSError:
            # The peer has left already.
            sock.close()

    def report_limited(self) -> None:
        """Report the connections that were closed as there were too many."""
        if self.closed_beyond_limit:
            self.on_limited(self.closed_beyond_limit)
            self.closed_beyond_limit = 0

    def stop(self) -> None:
        """Accept no more connections; open ones are not closed."""
        for task in self.accept_tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        for listener in self.listeners:
            # Includes those that the loop has not started to accept on.
            listener.close()


def enable_keepalive(sock: socket.socket, probing: KeepAlive) -> None:
    """Have the kernel detect a connection whose peer is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probing.idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probing.interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probing.probes)


def set_user_timeout(sock: socket.socket, milliseconds: int) -> None:
    """Limit the time for which sent bytes may stay unacknowledged; 0 for the default.

    Source: RFC 5482. On Linux it also limits the time for which the peer's receive
    buffer may be full, although the peer answers the probes that are sent meanwhile.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
