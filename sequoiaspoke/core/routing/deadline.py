"""Propagate the deadline and depth of a call from node to node.

Without a propagated deadline, the last services of a call chain work on calls
whose callers have gone. Without a propagated depth, two rules that point at each
other let one call circulate and occupy slots on every node. The deadline is sent
as the remaining time, because the clocks of two VMs may differ by more than the
duration of a call. Each hop subtracts a margin for the way back, so that the
inner node times out before the outer one and its typed error arrives.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.errors import DeadlineNotRunError, TooDeepError

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.settings import RoutingSettings


@dataclass(frozen=True)
class Progress:
    """Deadline, attempt number and depth of a call.

    Attributes
    ----------
    deadline : float
        Time on this node's clock at which the caller stops waiting.
    attempt : int
        Highest attempt number used by this or any earlier node of the chain.
    depth : int
        Number of entries that the call has passed, this one included.
    """

    deadline: float
    attempt: int = 1
    depth: int = 1

    def remaining(self, now: float) -> float:
        """Return the seconds left."""
        return self.deadline - now

    def remaining_ms(self, now: float, margin: float) -> int:
        """Return the milliseconds left for the next node."""
        return max(0, math.floor((self.deadline - now - margin) * 1000))

    def for_attempt(self, attempt: int) -> Progress:
        """Return the progress to send with an attempt of this node."""
        return Progress(self.deadline, max(self.attempt, attempt), self.depth)


def enter(
    settings: RoutingSettings,
    timeout: float,
    now: float,
    remaining_ms: int | None = None,
    attempt: int = 1,
    depth: int = 0,
) -> Progress:
    """Return the progress of a call that arrives at an entry.

    Parameters
    ----------
    timeout : float
        Seconds that the rule allows; a propagated deadline can only shorten it.

    Raises
    ------
    TooDeepError
        The call passed more nodes than the depth limit allows.
    DeadlineNotRunError
        The propagated deadline has passed.
    """
    if depth >= settings.depth_limit:
        raise TooDeepError(f"depth {depth + 1} exceeds {settings.depth_limit}")
    seconds = timeout
    if remaining_ms is not None:
        seconds = min(timeout, remaining_ms / 1000)
    if seconds <= 0:
        raise DeadlineNotRunError("no time left on arrival")
    return Progress(now + seconds, max(1, attempt), depth + 1)
