"""Calls that an entry has under way at another node, and how they are numbered."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.homecall import HomeCall


class PendingCall:
    """A call under way at another node.

    Attributes
    ----------
    home_incarnation : int or None
        The incarnation of the home that it was sent to.
    """

    def __init__(
        self, number: int, call: HomeCall, on_outcome: Callable[[Outcome], None]
    ) -> None:
        self.number = number
        self.call = call
        self.on_outcome = on_outcome
        self.done = False
        self.home_incarnation: int | None = None

    def resolve(self, outcome: Outcome) -> None:
        """Hand over what came of the call."""
        if not self.done:
            self.done = True
            self.on_outcome(outcome)


class LinkIdentity:
    """What this node says of itself on each link it opens."""

    def __init__(self, host: str, zone: str, incarnation: int) -> None:
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.last_number = 0

    def next_call_number(self) -> int:
        """Return the number of the next call; never one twice."""
        self.last_number += 1
        return self.last_number
