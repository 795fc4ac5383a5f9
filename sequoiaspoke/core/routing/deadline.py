"""Carry a call's deadline and depth from node to node.

A chain of services answers a caller that waits for a bounded time. Without a
deadline that travels and shrinks, the far end of a chain works on calls whose
callers have gone; without a depth that travels, two rules that point at each
other fill the fleet with one call. The deadline travels as the remaining time,
since the clocks of two VMs differ by more than a call takes; each hop takes off
a margin for the way back, so that the inner node gives up before the outer one
and its typed answer arrives.
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
    """How far a call has come.

    Attributes
    ----------
    deadline : float
        Time on this node's clock at which the caller stops waiting.
    attempt : int
        Greatest number of an attempt that any node before tried it with.
    depth : int
        Nodes that callers handed it to, this one included.
    """

    deadline: float
    attempt: int = 1
    depth: int = 1

    def remaining(self, now: float) -> float:
        """Return the seconds left."""
        return self.deadline - now

    def remaining_ms(self, now: float, margin: float) -> int:
        """Return the milliseconds that the next node gets."""
        return max(0, math.floor((self.deadline - now - margin) * 1000))

    def for_attempt(self, attempt: int) -> Progress:
        """Return the progress to send along with an attempt of this node."""
        return Progress(self.deadline, max(self.attempt, attempt), self.depth)


def enter(
    settings: RoutingSettings,
    timeout: float,
    now: float,
    remaining_ms: int | None = None,
    attempt: int = 1,
    depth: int = 0,
) -> Progress:
    """Begin a call that a caller, or an upstream within a chain, hands over.

    Parameters
    ----------
    timeout : float
        Seconds that the rule allows; a carried deadline only shortens it.

    Raises
    ------
    TooDeepError
        The call entered more nodes than the depth limit allows.
    DeadlineNotRunError
        Nothing is left of the carried deadline.
    """
    if depth >= settings.depth_limit:
        raise TooDeepError(f"depth {depth + 1} exceeds {settings.depth_limit}")
    seconds = timeout
    if remaining_ms is not None:
        seconds = min(timeout, remaining_ms / 1000)
    if seconds <= 0:
        raise DeadlineNotRunError("no time left on arrival")
    return Progress(now + seconds, max(1, attempt), depth + 1)
