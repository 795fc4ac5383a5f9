"""What all connections of a sidecar have in common."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado.iostream import IOStream

# Bytes read at once.
READ_BYTES = 64 * 1024
# Seconds after which a silent peer is probed, between probes, and until sent bytes
# must be acknowledged; a dead connection is found in about two seconds.
PROBE_AFTER, PROBE_EVERY, PROBES = 1, 1, 1
UNACKED_MS = 2000


def watch_for_silence(stream: IOStream) -> None:
    """Have the kernel find a connection that went silent for good."""
    sock = stream.socket
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)
    stream.set_nodelay(True)


def unsent_bytes(stream: IOStream) -> int:
    """Return how many bytes wait for a peer that does not read.

    The library counts them but has no public name for it.
    """
    return stream._total_write_index - stream._total_write_done_index
