"""Hold calls back until a home that was silent has given a sign.

A call that may run once only and is sent into a link that is cut is in doubt until its
time is over. What was never sent can go elsewhere at once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.sidecar.pending import PendingCall

# Seconds for which a sign is awaited.
LIVENESS_TIMEOUT = 0.25


class LivenessWait:
    """The calls that wait for a sign on one link.

    Attributes
    ----------
    on_timeout : callable
        Told of the calls that waited in vain.
    """

    def __init__(self, on_timeout: Callable[[list[PendingCall]], None]) -> None:
        self.on_timeout = on_timeout
        self.held: list[PendingCall] = []
        self.timer: asyncio.TimerHandle | None = None

    def hold(self, pending: PendingCall) -> bool:
        """Hold a call; return whether a sign has to be asked for."""
        self.held.append(pending)
        if self.timer is not None:
            return False
        self.timer = asyncio.get_running_loop().call_later(
            LIVENESS_TIMEOUT, self.time_out
        )
        return True

    def release(self) -> list[PendingCall]:
        """Stop waiting, and return the calls that are still wanted."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        held, self.held = self.held, []
        return [pending for pending in held if not pending.done]

    def time_out(self) -> None:
        """Give up the wait."""
        self.on_timeout(self.release())
