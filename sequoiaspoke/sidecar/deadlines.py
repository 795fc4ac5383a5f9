"""Run callbacks at their times, of which nearly all are called off before.

Each call has a time by which its caller gets an answer, and each attempt one by which
its upstream has to give it. A timer of the event loop for each costs more than the
decision that it guards: they stand in one heap, and the loop keeps a timer for the
first of them only.
"""

from __future__ import annotations

import asyncio
import heapq
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds of one step of the event loop's timers. A timer set for less runs too early,
# and would be set again in each turn of the loop until its time: 200 turns a second.
TIMER_RESOLUTION = 0.001
# Callbacks that stand before those called off are swept out for the first time.
MIN_SWEEP_SIZE = 256


class Deadline:
    """A callback that is due at a time unless it is called off."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Call it off."""
        self.callback = None


class Deadlines:
    """The callbacks that are due at times of the clock that goes on.

    Attributes
    ----------
    latest : float
        Time after which nothing is left undone; infinite if there is none.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Deadline]] = []
        self.sequence = 0
        self.latest = float("inf")
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.sweep_size = MIN_SWEEP_SIZE

    def call_at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Have a callback run at a time."""
        when = min(when, self.latest)
        deadline = Deadline(callback)
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, deadline))
        if when < self.timer_at:
            self.arm()
        if len(self.heap) > self.sweep_size:
            self.sweep()
        return deadline

    def sweep(self) -> None:
        """Forget what was called off."""
        self.heap = [each for each in self.heap if each[2].callback is not None]
        heapq.heapify(self.heap)
        self.sweep_size = max(MIN_SWEEP_SIZE, 2 * len(self.heap))

    def arm(self) -> None:
        """Set the loop's timer for the first callback."""
        if self.timer is not None:
            self.timer.cancel()
        when = self.timer_at = self.heap[0][0]
        delay = max(0.0, when - clock.now()) + TIMER_RESOLUTION
        self.timer = asyncio.get_running_loop().call_later(delay, self.on_timer)

    def on_timer(self) -> None:
        """Run what is due now."""
        self.timer, self.timer_at = None, float("inf")
        self.run_due(clock.now())

    def run_due(self, now: float) -> None:
        """Run what is due at a time."""
        try:
            while self.heap and self.heap[0][0] <= now:
                _, _, deadline = heapq.heappop(self.heap)
                callback, deadline.callback = deadline.callback, None
                if callback is not None:
                    callback()
        finally:
            # Also after one that failed: the others' callers still wait.
            if self.heap and self.timer is None:
                self.arm()

    def vm_resumed(self, now: float) -> None:
        """Run what became due while this VM stood still, and the rest in its time.

        The loop's clock stood still with it. Callers would wait for their final answer
        as long again as the VM was suspended.
        """
        self.run_due(now)
        if self.heap:
            self.arm()

    def cap(self, latest: float) -> None:
        """Have everything run by a time, at which this node is about to end."""
        self.latest = latest
        self.heap = [(min(when, latest), n, each) for when, n, each in self.heap]
        heapq.heapify(self.heap)
        if self.heap:
            self.arm()
