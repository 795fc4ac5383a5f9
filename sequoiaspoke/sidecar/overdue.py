"""Refuse queued calls at the moment when they become overdue.

Without a timer, an overdue call is found at the next event or tick, up to 0.1 s later.
Its refusal then reaches the entry after the deadline, and the caller gets a timeout for
a call that certainly has not run.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.admission import Admission
    from sequoiaspoke.sidecar.deadlines import Deadline


class OverdueTimer:
    """Runs a callback when the first queued call becomes overdue.

    It is in force only while load shedding is.

    Attributes
    ----------
    on_overdue : callable
        Refuses the overdue calls and calls `update` again.
    due_at : float
        When the timer fires; infinite if it is not set.
    """

    def __init__(self, admission: Admission, on_overdue: Callable[[], None]) -> None:
        self.admission = admission
        self.on_overdue = on_overdue
        self.deadlines = Deadlines()
        self.due_at = inf
        self.deadline: Deadline | None = None

    def update(self) -> None:
        """Set the timer for the call that becomes overdue first."""
        admission = self.admission
        due_at = admission.next_overdue(clock.now()) if admission.load_shedding else inf
        if due_at == self.due_at:
            return
        if self.deadline is not None:
            self.deadline.cancel()
        self.due_at = due_at
        self.deadline = (
            None if due_at == inf else self.deadlines.call_at(due_at, self.fire)
        )

    def fire(self) -> None:
        """Run the callback."""
        self.due_at, self.deadline = inf, None
        self.on_overdue()
