"""An event loop whose process can be held before it reads its sockets."""

import asyncio
import selectors
import time


class HeldSelector(selectors.DefaultSelector):
    """Waits for events, unless it is held.

    Attributes
    ----------
    hold : tuple of float and callable, or None
        Seconds for which the next wait is held, and what happens meanwhile.
    """

    hold = None

    def select(self, timeout=None):
        if self.hold is None:
            return super().select(timeout)
        (seconds, action), self.hold = self.hold, None
        action()
        time.sleep(seconds)
        return []


class HeldLoop(asyncio.SelectorEventLoop):
    """An event loop that runs due timers before it reads, once after a hold."""

    def __init__(self):
        self.held = HeldSelector()
        super().__init__(self.held)

    def hold(self, seconds, action):
        """Hold the next wait for events, and run an action meanwhile."""
        self.held.hold = seconds, action


def run_held(main):
    """Run a coroutine in an event loop that can be held."""
    with asyncio.Runner(loop_factory=HeldLoop) as runner:
        return runner.run(main)
