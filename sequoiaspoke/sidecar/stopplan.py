"""Plan the time from the signal to stop until a node exits."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.sidecar.settings import SidecarSettings

# Seconds for which a stopping node accepts connections and keeps idle ones. Callers are
# moved away after two readiness checks, a second apart, have failed.
LINGER_SECONDS = 2.6
# Shortest time before its exit, in seconds, at which a stopping node answers all calls
# that would outlast it. There may be hundreds, and a VM whose share of a core is used
# up stands still for a tenth of a second.
ANSWER_MARGIN_SECONDS = 0.2
# Time before its latest exit by which a stopping node expects to have ended and answers
# what would outlast it, in seconds and as a share of the time until the exit. A process
# that gets its processor late just before the exit is killed with the calls that it
# still has.
SPARE_SECONDS, SPARE_SHARE = 0.5, 1 / 12
# Seconds after the signal until which calls are accepted that the exit may break off.
BREAKABLE_SECONDS = 3.0
# Seconds by which a call that an upstream makes may end after the one that it runs: it
# is told the time left of that one, and both are on their way for a moment.
INHERITED_SECONDS = 0.02
# Seconds from the exit of a node until it is back.
RESTART_SECONDS = 1.0
# Delay of the event loop in seconds from which a signal counts as late. Shorter delays
# are frequent on a busy machine.
LATE_SIGNAL_SECONDS = 0.1


@dataclass(frozen=True)
class StopPlan:
    """What a node takes until it exits, and when all of it is answered.

    The default is that of a node that was not told to stop.

    Attributes
    ----------
    leaves_at : float
        When the home refuses new calls.
    moved_at : float
        Until when calls are taken that the exit may break off, as callers that are
        moved to other nodes still send them.
    accepts_until : float
        When callers have had time to leave, and no more connections are accepted.
    ends_by : float
        When calls that are taken or sent to an upstream have to end.
    breaks_off_at : float
        When calls are broken off for which finished answers wait on their connection.
    withdraws_at : float
        When the calls are taken back that no upstream has and that would be answered
        at `answers_by`. Unlike those at work, they can be told as not run.
    answers_by : float
        When every call is answered that has not ended. Later than `ends_by` if the
        signal may have come some time before the process ran.
    input_ends_at : float
        When no further request is read, at the latest.
    exits_at : float
        When the process exits at the latest.
    """

    leaves_at: float = inf
    moved_at: float = inf
    accepts_until: float = inf
    ends_by: float = inf
    breaks_off_at: float = inf
    withdraws_at: float = inf
    answers_by: float = inf
    input_ends_at: float = inf
    exits_at: float = inf

    def back_after(self, now: float) -> float:
        """Return the seconds until the node is back: the rest of its stop and a start.

        It may end before, once it has no calls.
        """
        return max(0.0, self.exits_at - now) + RESTART_SECONDS

    def answer_due(self, deadline: float) -> float:
        """Return when a call with a deadline is answered at the latest."""
        return min(deadline, self.answers_by)

    def takes(self, now: float, deadline: float, usual: float) -> bool:
        """Return whether a node takes a new call of a caller.

        A long call that is taken in the last seconds would be cut off, and the caller
        would not know whether it ran. The usual duration is no bound, as some calls
        take up to their timeout. It is used only while callers are moved away, because
        refusing every call with a long timeout would fail all callers of the node.

        Parameters
        ----------
        usual : float
            Seconds after which calls of the same route have usually ended.
        """
        if deadline <= self.ends_by + INHERITED_SECONDS:
            return True
        return now <= self.moved_at and now + usual <= self.answers_by

    def can_begin(self, now: float, deadline: float, usual: float) -> bool:
        """Return whether a call that may run only once is sent to an upstream.

        One with its own deadline before the last answers is not cut off by them.
        """
        return deadline < self.answers_by or now + usual <= self.ends_by


# Plan of a node that was not told to stop.
RUNNING = StopPlan()


def plan_stop(settings: SidecarSettings, now: float, late: float) -> StopPlan:
    """Return the plan of a node that learns at a time that it has to stop.

    Parameters
    ----------
    late : float
        Seconds for which the signal may have waited until the process ran. The exit is
        earlier by them, unless calls would be broken off too early if the signal came
        last. New calls have to fit in any case.
    """
    if late < LATE_SIGNAL_SECONDS:
        late = 0.0
    shortest = settings.break_off_after + ANSWER_MARGIN_SECONDS
    drain = max(settings.drain - late, min(settings.drain, shortest))
    spare = min(SPARE_SECONDS, SPARE_SHARE * drain)
    margin = max(spare, ANSWER_MARGIN_SECONDS)
    break_off = min(drain, max(drain - margin, settings.break_off_after))
    return StopPlan(
        leaves_at=now + settings.leave_after,
        moved_at=now + min(LINGER_SECONDS, BREAKABLE_SECONDS - late),
        accepts_until=now + LINGER_SECONDS,
        ends_by=now + min(break_off, settings.drain - late - spare),
        breaks_off_at=now + min(break_off, settings.break_off_after),
        withdraws_at=now + break_off - spare,
        answers_by=now + break_off,
        input_ends_at=now + drain - spare,
        exits_at=now + drain,
    )
