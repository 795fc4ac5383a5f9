"""Run timers only after the sockets have been read.

The event loop runs a timer in the iteration in which it finds out that it is due, and
the tasks that wait for what was read in that iteration run only later. If the process
did not run while the timer became due, a callback that concludes something from
silence, such as an idle connection or a missing answer, would conclude it from a time
at which the process could not read, and drop what waits in the kernel.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

# Iterations of the event loop until the callback runs. In the first one all sockets are
# read and a new connection is accepted, in the second and third one its protocol is
# connected, and in the fourth one it is read.
ITERATIONS = 5
# Last iterations that are left out in a busy loop, whose callbacks would come too late.
# A new connection may then be accepted and not read.
SPARED_ITERATIONS = 2
# Seconds between two iterations after which all are run again, as the process may not
# have run meanwhile, and in all of them after which a loop is busy; number of times
# that they are run.
MAX_READ_AGE, MAX_ROUNDS = 0.05, 2


class PolledCall:
    """A callback that runs once the sockets have been read.

    Attributes
    ----------
    iterations : int
        Iterations of the event loop in a round.
    left : int
        Iterations that are left in this round.
    rounds : int
        Rounds that may follow if the process does not run for a while.
    began_at, iterated_at : float
        When this round and the last iteration began.
    """

    def __init__(
        self, callback: Callable[[], None], iterations: int = ITERATIONS
    ) -> None:
        self.callback: Callable[[], None] | None = callback
        self.iterations = self.left = iterations
        self.rounds = MAX_ROUNDS - 1
        self.loop = asyncio.get_running_loop()
        self.began_at = self.iterated_at = self.loop.time()
        self.loop.call_soon(self.iterate)

    def iterate(self) -> None:
        """Count an iteration; run the callback after the last one."""
        if self.callback is None:
            return
        before, self.iterated_at = self.iterated_at, self.loop.time()
        if self.rounds and self.iterated_at - before > MAX_READ_AGE:
            self.rounds -= 1
            self.left = self.iterations
            self.began_at = self.iterated_at
        self.left -= 1
        busy = self.iterated_at - self.began_at > MAX_READ_AGE
        if self.left > (SPARED_ITERATIONS if busy else 0):
            self.loop.call_soon(self.iterate)
        else:
            self.callback()

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None


class PolledTimer:
    """A callback that runs after a delay, once the sockets have been read."""

    def __init__(
        self, seconds: float, callback: Callable[[], None], iterations: int = ITERATIONS
    ) -> None:
        self.callback = callback
        self.iterations = iterations
        self.handle: asyncio.TimerHandle | PolledCall
        self.handle = asyncio.get_running_loop().call_later(seconds, self.poll)

    def poll(self) -> None:
        """Have the sockets read before the callback."""
        self.handle = PolledCall(self.callback, self.iterations)

    def cancel(self) -> None:
        """Cancel the callback."""
        self.handle.cancel()


class PolledTimeout:
    """A context that raises TimeoutError unless its block's result has been read."""

    def __init__(self, seconds: float, iterations: int = ITERATIONS) -> None:
        self.seconds = seconds
        self.iterations = iterations
        self.scope = asyncio.timeout(None)

    async def __aenter__(self) -> None:
        await self.scope.__aenter__()
        self.timer = PolledTimer(self.seconds, self.expire, self.iterations)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.timer.cancel()
        await self.scope.__aexit__(kind, error, traceback)

    def expire(self) -> None:
        """End the block."""
        self.scope.reschedule(asyncio.get_running_loop().time())
