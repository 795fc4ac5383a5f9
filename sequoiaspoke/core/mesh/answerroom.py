"""Decide which large answers of the upstream may be read into memory now.

An answer is held whole until it is complete, so that a truncated one is detected before
its first byte goes to the caller, and then until the link to its entry has sent it. A
bound for each answer does not bound the memory of the node: answers just below it, on
all slots at once, exceed that of a VM. So a large answer is read only once all of it
has room, in the order in which the answers began; until then it stays in the kernel's
buffers. Answers of unknown length cannot wait, as none of them might ever become
complete.

One large answer is read however full the memory account is: it may be full of the
bodies of requests that are held until they are answered.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from sequoiaspoke.core.mesh.memory import MemoryAccount

# Bytes of all answers that are read or unsent. A link is closed if more than this is
# unsent on it.
MAX_HELD_BYTES = 16 << 20
# Bytes of the largest answer that never waits. An upstream has tens of slots, so that
# such answers take some MB together.
SMALL_ANSWER = 256 << 10


@dataclass(frozen=True)
class WaitingAnswer:
    """An answer that has no room yet."""

    size: int
    on_admitted: Callable[[], None]


class AnswerRoom:
    """Memory for the answers that a node reads from its upstream and passes on.

    Attributes
    ----------
    reserved : dict of Hashable to int
        Bytes reserved for the answers that are read.
    large : set of Hashable
        Those of them that are large.
    waiting : dict of Hashable to WaitingAnswer
        Answers that have no room yet, in the order in which they began.
    held : int
        Bytes of answers that are read, or unsent on links.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self.memory = memory
        self.reserved: dict[Hashable, int] = {}
        self.large: set[Hashable] = set()
        self.waiting: OrderedDict[Hashable, WaitingAnswer] = OrderedDict()
        self.held = 0

    def request(
        self, ticket: Hashable, size: int, on_admitted: Callable[[], None]
    ) -> bool:
        """Reserve room for a whole answer; return False if it has to wait for it."""
        if size <= SMALL_ANSWER or (not self.waiting and self.fits(ticket, size)):
            self.reserve(ticket, size)
            return True
        self.waiting[ticket] = WaitingAnswer(size, on_admitted)
        return False

    def extend(self, ticket: Hashable, size: int) -> bool:
        """Reserve room for an answer that has come to a size, if it fits."""
        missing = size - self.reserved.get(ticket, 0)
        if missing > 0:
            if size > SMALL_ANSWER and not self.fits(ticket, missing):
                return False
            self.reserve(ticket, missing)
        return True

    def possible(self, size: int) -> bool:
        """Return whether an answer would have room if there were no other."""
        return size <= min(MAX_HELD_BYTES, self.memory.limit)

    def fits(self, ticket: Hashable, size: int) -> bool:
        """Return whether so many bytes more of a large answer have room now."""
        if self.held + size > MAX_HELD_BYTES:
            return False
        alone = not self.large - {ticket}
        return alone or self.memory.held + size <= self.memory.limit

    def reserve(self, ticket: Hashable, size: int) -> None:
        """Reserve bytes for an answer."""
        self.reserved[ticket] = self.reserved.get(ticket, 0) + size
        if self.reserved[ticket] > SMALL_ANSWER:
            self.large.add(ticket)
        self.change_held(size)

    def release(self, ticket: Hashable) -> None:
        """Release the room of an answer that was passed on or has failed."""
        self.waiting.pop(ticket, None)
        self.large.discard(ticket)
        self.change_held(-self.reserved.pop(ticket, 0))

    def change_held(self, change: int) -> None:
        """Record that so many bytes more, or less, are held."""
        self.held += change
        self.memory.reserve(change)
        if change < 0:
            self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit the answers that have room now."""
        while self.waiting:
            ticket, answer = next(iter(self.waiting.items()))
            if not self.fits(ticket, answer.size):
                return
            del self.waiting[ticket]
            self.reserve(ticket, answer.size)
            answer.on_admitted()
