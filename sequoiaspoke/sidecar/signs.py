"""Hold calls back until a home that was silent has given a sign.

A call that may run once only and is sent into a link that is cut is in doubt until its
time is over. What was never sent can go elsewhere at once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.sidecar.pending import Pending

# Seconds for which a sign is awaited.
SIGN_SECONDS = 0.25


class SignWait:
    """The calls that wait for a sign on one link.

    Attributes
    ----------
    on_none : callable
        Told of the calls that waited in vain.
    """

    def __init__(self, on_none: Callable[[list[Pending]], None]) -> None:
        self.on_none = on_none
        self.held: list[Pending] = []
        self.due: asyncio.TimerHandle | None = None

    def hold(self, pending: Pending) -> bool:
        """Hold a call; return whether a sign has to be asked for."""
        self.held.append(pending)
        if self.due is not None:
            return False
        self.due = asyncio.get_running_loop().call_later(SIGN_SECONDS, self.none_came)
        return True

    def release(self) -> list[Pending]:
        """Stop waiting, and return the calls that are still wanted."""
        if self.due is not None:
            self.due.cancel()
            self.due = None
        held, self.held = self.held, []
        return [pending for pending in held if not pending.over]

    def none_came(self) -> None:
        """Give up the wait."""
        self.on_none(self.release())
