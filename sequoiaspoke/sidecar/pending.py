"""Calls that an entry has sent or queued for another node, and their numbers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.transfers import OutgoingBody


def ignore_outcome(outcome: Outcome) -> None:
    """Do nothing; replaces the callback of a call that is done."""


def assume_retry() -> bool:
    """Return True; the default of calls that are not part of several attempts."""
    return True


class PendingCall:
    """A call for another node whose outcome is not known yet.

    Attributes
    ----------
    home_incarnation : int or None
        Incarnation of the home that it was sent to, None while it is not sent.
    done : bool
        Whether its outcome was reported or nobody waits for it any more.
    withdrawn : bool
        Whether the home has to take it back unless it has started.
    body : OutgoingBody or None
        Its body, if that is sent in parts.
    can_retry : callable
        Tells whether the call can be tried again if it is failed.
    """

    def __init__(
        self, number: int, call: HomeCall, on_outcome: Callable[[Outcome], None]
    ) -> None:
        self.number = number
        self.call = call
        self.on_outcome = on_outcome
        self.done = False
        self.withdrawn = False
        self.home_incarnation: int | None = None
        self.body: OutgoingBody | None = None
        self.can_retry: Callable[[], bool] = assume_retry

    @property
    def not_run(self) -> bool:
        """Return whether the call has certainly not run so far.

        It was never sent, or its home cannot have the whole body.
        """
        if self.home_incarnation is None:
            return True
        return self.body is not None and not self.body.sent_whole

    def resolve(self, outcome: Outcome) -> None:
        """Report the outcome of the call, unless it is done."""
        if not self.done:
            on_outcome = self.on_outcome
            self.drop()
            on_outcome(outcome)

    def drop(self) -> None:
        """Report no outcome from now on, and hold nothing of who waits for one."""
        self.done = True
        self.on_outcome = ignore_outcome
        self.can_retry = assume_retry


class LinkIdentity:
    """Identity of this node on the links that it opens, and its numbering of calls."""

    def __init__(self, host: str, zone: str, incarnation: int) -> None:
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.last_number = 0

    def next_call_number(self) -> int:
        """Return a new call number, unique in this process."""
        self.last_number += 1
        return self.last_number
