"""Run callbacks at given times; nearly all are cancelled before.

Each call has a deadline for the answer to its caller, and each attempt one for the
answer of its upstream. An event loop timer for each would cost more than routing the
call. So they are kept in one heap, and the loop has a timer only for the first.
"""

from __future__ import annotations

import asyncio
import heapq
from typing import TYPE_CHECKING

from sequoiaspoke.polling import PolledCall
from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Callable

# Resolution of the event loop's timers in seconds. A timer set for the exact time may
# fire a moment early, with nothing due, and would be set again in each iteration of the
# loop, 200 times a second.
TIMER_RESOLUTION = 0.001
# Size of the heap below which cancelled callbacks are not removed.
MIN_SWEEP_SIZE = 256


class Deadline:
    """A callback that runs at a given time unless it is cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class Deadlines:
    """Callbacks to run at times of the clock that also advances during a suspend.

    A callback runs only after the sockets have been read since it was due, so that an
    answer that waits in the kernel then cancels it.

    Attributes
    ----------
    poll : PolledCall or None
        Runs the callbacks that are due, once the sockets have been read.
    latest : float
        When the callbacks run that are due later; infinite without a limit.
    sequence : int
        Tie-breaker of the heap: callbacks due at one time run as they were scheduled.
    sweep_size : int
        Size of the heap above which cancelled callbacks are removed.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Deadline]] = []
        self.sequence = 0
        self.latest = float("inf")
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.poll: PolledCall | None = None
        self.sweep_size = MIN_SWEEP_SIZE

    def call_at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Schedule a callback and return its handle."""
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
        """Remove the cancelled callbacks."""
        self.heap = [each for each in self.heap if each[2].callback is not None]
        heapq.heapify(self.heap)
        self.sweep_size = max(MIN_SWEEP_SIZE, 2 * len(self.heap))

    def arm(self) -> None:
        """Set the event loop's timer for the first callback."""
        if self.timer is not None:
            self.timer.cancel()
        when = self.timer_at = self.heap[0][0]
        delay = max(0.0, when - clock.now()) + TIMER_RESOLUTION
        self.timer = asyncio.get_running_loop().call_later(delay, self.on_timer)

    def on_timer(self) -> None:
        """Have the sockets read before the callbacks that are due."""
        self.timer, self.timer_at = None, float("inf")
        self.drop_cancelled()
        if self.poll is None and self.heap and self.heap[0][0] <= clock.now():
            self.poll = PolledCall(self.on_polled)
        elif self.heap:
            self.arm()

    def drop_cancelled(self) -> None:
        """Remove the cancelled callbacks before the first other one."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)

    def on_polled(self) -> None:
        """Run the callbacks that are due now that the sockets have been read."""
        self.poll = None
        self.run_due(clock.now())

    def run_due(self, now: float) -> None:
        """Run the callbacks that are due by a time."""
        try:
            while self.heap and self.heap[0][0] <= now:
                _, _, deadline = heapq.heappop(self.heap)
                callback, deadline.callback = deadline.callback, None
                if callback is not None:
                    callback()
        finally:
            # Also if a callback raised: the other callers still wait.
            if self.heap and self.timer is None:
                self.arm()

    def vm_resumed(self, now: float) -> None:
        """Run what became due while this VM was suspended and reset the timer.

        The event loop's clock does not advance while the VM is suspended: without this
        the remaining callbacks would run late by the time of the suspend.
        """
        self.run_due(now)
        if self.heap:
            self.arm()

    def cap(self, latest: float) -> None:
        """Have all present and future callbacks run by a given time."""
        self.latest = latest
        self.heap = [(min(when, latest), n, each) for when, n, each in self.heap]
        heapq.heapify(self.heap)
        if self.heap:
            self.arm()
