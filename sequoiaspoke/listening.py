"""Open the sockets of a process, and wait for addresses that are still taken.

An address may be taken for a while when a process starts: by the process before it,
which has not ended, or by an outgoing connection of any process of the host.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from errno import EADDRINUSE
from typing import TYPE_CHECKING, Any, TypeVar

from sequoiaspoke.errors import AddressInUseError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Opened = TypeVar("Opened")

# Seconds for which a taken address is waited for, more than the usual grace of the
# process before, and seconds between two tries.
TAKEN_SECONDS, TRY_SECONDS = 10.0, 0.05
# Connections that may wait to be accepted. Callers reconnect all at once after a
# restart, and one that does not fit is retried only after a second.
BACKLOG = 1024


def bind(
    host: str, port: int, kind: socket.SocketKind = socket.SOCK_STREAM
) -> socket.socket:
    """Return a socket that is bound to an IP address; raise OSError that names it."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, kind)
    sock.setblocking(False)
    try:
        if kind == socket.SOCK_STREAM:
            # Connections of the process before may still be closing.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            # The same port may be bound separately for IPv4.
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{host}:{port}: {error.strerror}") from error
    return sock


def listen_on_all(addresses: Iterable[tuple[str, int]]) -> list[socket.socket]:
    """Return sockets that listen on all of some addresses; raise OSError.

    None listens before all are bound, as connections that wait to be accepted are reset
    if the process then ends. The first address is opened last.
    """
    opened: list[socket.socket] = []
    try:
        for host, port in addresses:
            opened.append(bind(host, port))
        for sock in reversed(opened):
            sock.listen(BACKLOG)
    except OSError:
        for sock in opened:
            sock.close()
        raise
    return opened


def accept_waiting(listener: socket.socket) -> list[tuple[socket.socket, Any]]:
    """Return all connections that wait, as closing the listener would reset them.

    Under load, the event loop would find new ones in each iteration.
    """
    accepted = []
    # There is no further one, or the listener is closed.
    with contextlib.suppress(OSError):
        while True:
            accepted.append(listener.accept())
    return accepted


async def open_when_free(
    open_all: Callable[[], Opened],
    on_taken: Callable[[str], None],
    on_free: Callable[[float], None],
    stopping: Callable[[], bool],
) -> Opened | None:
    """Return what `open_all` returns once no address is taken, None after a stop.

    Parameters
    ----------
    open_all : callable
        Opens all sockets, or raises OSError and leaves none open.
    on_taken : callable
        Called with the reason when the wait begins.
    on_free : callable
        Called with the seconds of the wait when it has ended.
    stopping : callable
        Returns whether the process was told to stop.

    Raises
    ------
    AddressInUseError
        An address cannot be bound, or stays taken for too long.
    """
    loop = asyncio.get_running_loop()
    began, waited = loop.time(), False
    while not (waited and stopping()):
        # Compared before the try: the process may not run between the two.
        last = loop.time() - began >= TAKEN_SECONDS
        try:
            opened = open_all()
        except OSError as error:
            if last or error.errno != EADDRINUSE:
                raise AddressInUseError(error.strerror) from error
            if not waited:
                on_taken(error.strerror)
        else:
            if waited:
                on_free(loop.time() - began)
            return opened
        waited = True
        await asyncio.sleep(TRY_SECONDS)
    return None
