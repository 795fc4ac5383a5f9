"""Decide which bodies of other nodes' calls have room in the memory of a home.

Any number of entries may send bodies to one home, each within a bound of its own. So a
home has a body sent only once the whole of it has room, in the order of the queue. A
body never goes ahead of one that waits for room: large ones might wait until their
deadlines.

The account of a node is shared with its own callers. Bodies of other nodes have a part
that callers cannot fill: otherwise nodes whose accounts are full of bodies for each
other would wait for each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from sequoiaspoke.core.mesh.memory import MemoryAccount

# Share of the memory account that bodies of other nodes may take however full it is.
OWN_SHARE = 0.25


class BodyRoom:
    """Memory for the bodies that a home has other nodes send.

    Attributes
    ----------
    reserved : dict of Hashable to int
        Bytes reserved for the bodies of calls that have not ended.
    held : int
        Sum of these bytes.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self.memory = memory
        self.reserved: dict[Hashable, int] = {}
        self.held = 0

    def possible(self, size: int) -> bool:
        """Return whether a body would have room if the node held nothing else."""
        return size <= self.memory.limit

    @property
    def available(self) -> int:
        """Return the bytes that bodies may take beside what else the node holds."""
        others = self.memory.held - self.held
        limit = self.memory.limit
        return max(limit - others, int(OWN_SHARE * limit))

    def fitting(self, bodies: Iterable[tuple[Hashable, int]]) -> list[Hashable]:
        """Return the first of some bodies, as far as they have room.

        A body that is the only one always has room.

        Parameters
        ----------
        bodies : iterable of tuple of Hashable and int
            Tickets and sizes in the order of the queue.
        """
        free, alone, blocked = self.available - self.held, not self.reserved, False
        fitting = []
        for key, size in bodies:
            if key not in self.reserved:
                if blocked or (size > free and not alone):
                    blocked = True
                    continue
                free -= size
                alone = False
            fitting.append(key)
        return fitting

    def reserve(self, key: Hashable, size: int) -> None:
        """Reserve the memory of a body, once and until its call ends."""
        if key not in self.reserved:
            self.reserved[key] = size
            self.held += size
            self.memory.reserve(size)

    def release(self, key: Hashable) -> None:
        """Release the memory of a body, if any is reserved."""
        size = self.reserved.pop(key, 0)
        self.held -= size
        self.memory.release(size)

    def wait(self, size: int, ahead: int, seconds: float) -> float:
        """Return the seconds until a new body has room.

        Parameters
        ----------
        ahead : int
            Bytes of the bodies that go before and have no room yet.
        seconds : float
            Expected duration of a call, for which its body is held.
        """
        available = max(self.available, size)
        missing = self.held + ahead + size - available
        return max(0.0, seconds * missing / available) if available else 0.0
