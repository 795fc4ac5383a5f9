"""Bound the bytes of the bodies that run at an upstream at once.

An upstream crashes if the requests that it holds exceed its memory, which no node
knows. The bound is therefore learnt from crashes, and grows again with answers.
"""

from __future__ import annotations

from sequoiaspoke.core.mesh.memory import SMALL_BODY

# Bytes of bodies that an upstream is expected to hold in any case. A crash while it
# runs less has another reason.
MIN_CRASH_BYTES = 256 << 10
# Share of the bytes that ran at a crash which may run from then on.
CRASH_SHARE = 0.5
# Growth of the bound with each answered call with a body above SMALL_BODY. After seven
# answers it is what it was before the crash.
GROWTH = 1.1


class UpstreamBytes:
    """The bodies of the calls for one upstream.

    Attributes
    ----------
    limit : float or None
        Bytes of bodies that may run at once; None without a bound.
    sizes : dict of object to int
        Sizes of the bodies of queued and running calls, by their tickets.
    running : set of object
        Tickets of the running calls among them.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self.sizes: dict[object, int] = {}
        self.running: set[object] = set()

    def add(self, ticket: object, size: int) -> None:
        """Record the body of a call that requests a slot."""
        if size:
            self.sizes[ticket] = size

    def fits(self, ticket: object) -> bool:
        """Return whether the body of a call may run beside those that run now.

        A body above the bound runs alone.
        """
        if self.limit is None or ticket not in self.sizes or not self.running:
            return True
        running = sum(self.sizes[each] for each in self.running)
        return running + self.sizes[ticket] <= self.limit

    def begin(self, ticket: object) -> None:
        """Record the start of a call."""
        if ticket in self.sizes:
            self.running.add(ticket)

    def end(self, ticket: object, answered: bool) -> None:
        """Record the end of a call, whether it was started or not."""
        size = self.sizes.pop(ticket, 0)
        self.running.discard(ticket)
        if answered and size > SMALL_BODY and self.limit is not None:
            self.limit *= GROWTH

    def record_crash(self, sizes: list[int]) -> bool:
        """Record a crash; return whether the bodies that ran explain it.

        A single body explains none: its request may be the reason, and is suspected.

        Parameters
        ----------
        sizes : list of int
            Sizes of the bodies that ran, 0 for calls without one.
        """
        total = sum(sizes)
        if total <= MIN_CRASH_BYTES:
            return False
        self.limit = CRASH_SHARE * total
        return sum(size > 0 for size in sizes) > 1
