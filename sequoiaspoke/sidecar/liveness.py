"""Hold calls until a home that has been silent has proved to be alive.

A call that is not idempotent and was sent on a broken link has an unknown outcome until
its deadline. A call that was never sent can go to another home at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.polling import PolledTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.sidecar.pending import PendingCall

# Seconds to wait for any frame that the home has sent meanwhile.
LIVENESS_TIMEOUT = 0.25


class LivenessWait:
    """The calls on one link that wait until the home has proved to be alive.

    Attributes
    ----------
    on_timeout : callable
        Called with the held calls if the home stays silent.
    """

    def __init__(self, on_timeout: Callable[[list[PendingCall]], None]) -> None:
        self.on_timeout = on_timeout
        self.held: list[PendingCall] = []
        self.timer: PolledTimer | None = None

    def hold(self, pending: PendingCall) -> bool:
        """Hold a call; return whether the caller must ping the home."""
        self.held.append(pending)
        if self.timer is not None:
            return False
        self.timer = PolledTimer(LIVENESS_TIMEOUT, self.time_out)
        return True

    def release(self) -> list[PendingCall]:
        """Stop waiting; return the held calls that are not done."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        held, self.held = self.held, []
        return [pending for pending in held if not pending.done]

    def time_out(self) -> None:
        """Pass the held calls to `on_timeout`."""
        self.on_timeout(self.release())
