"""The bytes that a node holds for callers, links and its upstream, and their bound.

Each is bounded on its own elsewhere, but a node with many slow callers and many large
bodies would exceed the memory of its VM and be killed with all its calls.
"""

from __future__ import annotations

# Share of a VM's memory that the account may hold. The upstream has the rest, and the
# node needs 30 MB for itself; a body is copied up to twice on its way.
MEMORY_SHARE = 0.25
# Largest bound and the bound without a known memory, in bytes. More would not be used:
# a narrow link needs minutes for it.
MAX_LIMIT, DEFAULT_LIMIT = 64 << 20, 24 << 20
# Bytes of the largest body that is never refused for want of memory. Calls without
# uploads are smaller, and hundreds of them fit into a share of the bound.
SMALL_BODY = 16 << 10
# Bytes that a header takes beside its text: a tuple, two strings and their places in
# the lists of headers. Most of the memory of a head of short lines is this.
HEADER_BYTES = 200


def memory_limit(memory_mb: float) -> int:
    """Return the bound in bytes on a VM.

    Parameters
    ----------
    memory_mb : float
        Memory of the VM in MB, 0 if unknown.
    """
    if memory_mb <= 0:
        return DEFAULT_LIMIT
    return min(MAX_LIMIT, int(MEMORY_SHARE * memory_mb * (1 << 20)))


def header_size(name: str | bytes, value: str | bytes) -> int:
    """Return the bytes that a header takes in memory."""
    return len(name) + len(value) + HEADER_BYTES


class MemoryAccount:
    """Counts the bytes that all parts of a node hold.

    Attributes
    ----------
    limit : int
        Bytes above which `try_reserve` fails.
    held : int
        Bytes reserved now.
    unread : int
        Those of them that are answers which callers have not read.
    passing : int
        Those that are answers on their way to a caller or link, which counts them too.
    wanted : int
        Bytes for which the next waiting answer waits, 0 without one.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit
        self.held = 0
        self.unread = self.passing = 0
        self.wanted = 0

    def fits(self, size: int) -> bool:
        """Return whether bytes could be reserved."""
        return self.held + size <= self.limit

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes if they fit; return whether they did."""
        if not self.fits(size):
            return False
        self.held += size
        return True

    def reserve(self, size: int) -> None:
        """Reserve bytes that are held in any case."""
        self.held += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.held -= size

    def change_unread(self, change: int) -> None:
        """Record that callers have so many bytes more, or less, to read."""
        self.unread += change
        self.held += change

    @property
    def short(self) -> bool:
        """Return whether an answer waits that does not fit."""
        return bool(self.wanted) and self.held + self.wanted > self.limit

    @property
    def exceeded(self) -> bool:
        """Return whether more is held than the limit."""
        return self.held - self.passing > self.limit
