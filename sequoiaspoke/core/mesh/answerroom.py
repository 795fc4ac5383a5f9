"""Decide which large answers of the upstream may be read into memory now.

An answer is held whole until it is complete, so that a truncated one is detected before
its first byte goes to the caller, and then until the link to its entry has sent it. A
bound for each answer does not bound the memory of the node: answers just below it, on
all slots at once, exceed that of a VM. So a large answer is read only once all of it
has room, in the order in which the answers began; until then it stays in the kernel's
buffers. Answers of unknown length cannot wait, as none of them might ever become
complete. A head cannot wait either, and counts as what it takes in memory.

One large answer is read however full the memory account is: it may be full of the
bodies of requests that are held until they are answered. If it is full of answers that
callers have not read, a large one waits for them to be read: with one more, a caller
that reads would be cut off. That wait is limited, as an upstream gives up an answer
that stays unread.
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
# Seconds that the first answer waits for callers to read. An upstream leaves its answer
# unread for some seconds, and callers that read nothing are closed after two.
MAX_WAIT_SECONDS = 3.0


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
    passing : set of Hashable
        Complete answers that may not have reached their caller or link.
    waiting : dict of Hashable to WaitingAnswer
        Answers that have no room yet, in the order in which they began.
    held : int
        Bytes of answers that are read, or unsent on links.
    first : Hashable or None
        The first waiting answer at the last tick.
    first_since : float
        When it was first at a tick.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self.memory = memory
        self.reserved: dict[Hashable, int] = {}
        self.large: set[Hashable] = set()
        self.passing: set[Hashable] = set()
        self.waiting: OrderedDict[Hashable, WaitingAnswer] = OrderedDict()
        self.held = 0
        self.first: Hashable | None = None
        self.first_since = 0.0

    def request(
        self, ticket: Hashable, size: int, on_admitted: Callable[[], None]
    ) -> bool:
        """Reserve room for a whole answer; return False if it has to wait for it."""
        free = not self.waiting and self.admissible(ticket, size)
        if size <= SMALL_ANSWER or free:
            self.reserve(ticket, size)
            return True
        self.waiting[ticket] = WaitingAnswer(size, on_admitted)
        self.count_wanted()
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

    def admissible(self, ticket: Hashable, size: int) -> bool:
        """Return whether an answer that can wait has room beside unread ones."""
        beside_unread = self.memory.unread + size <= self.memory.limit
        return beside_unread and self.fits(ticket, size)

    def reserve(self, ticket: Hashable, size: int) -> None:
        """Reserve bytes for an answer."""
        self.reserved[ticket] = self.reserved.get(ticket, 0) + size
        if self.reserved[ticket] > SMALL_ANSWER:
            self.large.add(ticket)
        self.change_held(size)

    def release(self, ticket: Hashable) -> None:
        """Release the room of an answer that was passed on or has failed."""
        if self.waiting.pop(ticket, None) is not None:
            self.count_wanted()
        self.large.discard(ticket)
        size = self.reserved.pop(ticket, 0)
        if ticket in self.passing:
            self.passing.remove(ticket)
            self.memory.passing -= size
        self.change_held(-size)

    def pass_on(self, ticket: Hashable) -> Hashable:
        """Keep the room of a large complete answer; return its new ticket.

        Until it has reached its caller or link, nobody else counts it.
        """
        passing = object()
        size = self.reserved[passing] = self.reserved.pop(ticket)
        self.large.remove(ticket)
        self.large.add(passing)
        self.passing.add(passing)
        self.memory.passing += size
        return passing

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
            if not self.admissible(ticket, answer.size):
                return
            self.admit(ticket, answer)

    def admit(self, ticket: Hashable, answer: WaitingAnswer) -> None:
        """Reserve the room of a waiting answer and have it read."""
        del self.waiting[ticket]
        self.count_wanted()
        self.reserve(ticket, answer.size)
        answer.on_admitted()

    def count_wanted(self) -> None:
        """Tell the account what the first waiting answer needs."""
        first = next(iter(self.waiting.values()), None)
        self.memory.wanted = 0 if first is None else first.size

    def tick(self, now: float) -> None:
        """Admit the answers that have room, and the first one if it waits too long.

        Memory is also freed by other parts of the node.
        """
        self.admit_waiting()
        first = next(iter(self.waiting), None)
        if first is not self.first:
            self.first, self.first_since = first, now
        elif first is not None and now - self.first_since >= MAX_WAIT_SECONDS:
            answer = self.waiting[first]
            if self.fits(first, answer.size):
                self.admit(first, answer)
