"""The slots of an upstream and the short queue before them."""

from __future__ import annotations

import asyncio
from collections import deque


class Slots:
    """Hand out a fixed number of slots, first come first served.

    Attributes
    ----------
    running, peak : int
        Calls that hold a slot now, and the most there ever were.
    """

    def __init__(self, slots: int, queue: int) -> None:
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.peak = 0
        self.waiting: deque[asyncio.Future[None]] = deque()

    @property
    def full(self) -> bool:
        """Return whether the next call would have to be shed."""
        return self.running >= self.slots and len(self.waiting) >= self.queue

    async def take(self, gone: asyncio.Future[None], seconds: float | None) -> bool:
        """Wait for a slot; return False if the client or the time is gone first."""
        if self.running < self.slots:
            self.hold()
            return True
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await asyncio.wait(
            [turn, gone], timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        if turn.done():
            return True
        self.waiting.remove(turn)
        return False

    def hold(self) -> None:
        """Count a call in."""
        self.running += 1
        self.peak = max(self.peak, self.running)

    def give(self) -> None:
        """Give a slot back, to the next that waits if there is one."""
        self.running -= 1
        if self.waiting:
            self.hold()
            self.waiting.popleft().set_result(None)
