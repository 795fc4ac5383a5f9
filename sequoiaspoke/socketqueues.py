"""Count the bytes that wait in the kernel for a socket."""

from __future__ import annotations

import fcntl
import sys
import termios

# Bytes of the answer to `FIONREAD` and `TIOCOUTQ`, a C int.
INT_SIZE = 4


def count_waiting_bytes(descriptor: int) -> int:
    """Return how many received bytes of a socket wait in the kernel."""
    return count_bytes(descriptor, termios.FIONREAD)


def count_unacknowledged_bytes(descriptor: int) -> int:
    """Return how many bytes of a socket its peer's kernel has not acknowledged."""
    return count_bytes(descriptor, termios.TIOCOUTQ)


def count_bytes(descriptor: int, request: int) -> int:
    """Return the bytes of a socket's queue; 0 where the kernel does not tell."""
    try:
        answer = fcntl.ioctl(descriptor, request, INT_SIZE * b"\0")
    except (OSError, ValueError):
        # The transport has closed the socket already, and its descriptor is -1.
        return 0
    return int.from_bytes(answer, sys.byteorder)
