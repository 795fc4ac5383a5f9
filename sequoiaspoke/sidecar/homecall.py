"""Calls at their home."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.durations import UNMEASURED, MeasuredRoute

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.model import Incarnation
    from sequoiaspoke.core.mesh.outcome import Outcome, Request


@dataclass(frozen=True)
class HomeCall:
    """A call as it arrives at its home.

    Attributes
    ----------
    rank : int
        Rank in the queue; the lowest goes first.
    on_time, deadline : float
        Until when an answer is on time, and until when it is of any use, by this node's
        clock.
    max_wait : float
        Seconds that the call may wait for a slot; beyond them it is refused as busy.
    large_body : bool
        Whether the body is sent in parts even if it is small. A large one always is,
        and only once the home requests it.
    last_resort : bool
        Whether no other home takes the call, so that one that stops runs it although
        the call may outlast it.
    remote : bool
        Whether another node has sent it.
    measured : MeasuredRoute
        What the node that has sent it has measured of its route.
    """

    request: Request
    incarnation: Incarnation
    route: str
    rank: int
    idempotent: bool
    on_time: float
    deadline: float
    max_wait: float = inf
    large_body: bool = False
    last_resort: bool = False
    remote: bool = False
    measured: MeasuredRoute = UNMEASURED


@dataclass
class ActiveCall:
    """A call that waits for a slot or runs.

    Attributes
    ----------
    on_outcome : callable
        Called with the outcome unless the call was cancelled.
    sent_at : float
        When it was sent to the upstream; minus infinity if it was not.
    stop_reason : str
        Reason of its outcome if its task is cancelled.
    reserved : int
        Bytes reserved for the request until the call ends, without a body that
        follows in parts.
    """

    call: HomeCall
    on_outcome: Callable[[Outcome], None]
    task: asyncio.Task[None] | None = None
    cancelled: bool = False
    sent_at: float = -inf
    stop_reason: str = "cancelled"
    reserved: int = 0

    @property
    def sent(self) -> bool:
        """Return whether it was sent to the upstream, at least in part."""
        return self.sent_at != -inf
