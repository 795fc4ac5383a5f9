"""Track the pace that an upstream reports: how long work takes on its machine.

Upstreams of two services of one deployment become 2.5 times as slow for 0.15 of the
time, changing every 0.6 s. A report is therefore valid for a short time only. After
that, the mean of the reports is the better estimate.
"""

from __future__ import annotations

# Pace of an upstream that reports none.
USUAL_PACE = 1.0
# Seconds for which a reported pace is valid, and the half-life with which it then fades
# to the mean. Machines keep their pace for about 0.6 s.
VALID_SECONDS, FADE_HALF_LIFE = 1.0, 1.0
# Half-life of the mean in seconds; it covers several changes of the pace.
MEAN_HALF_LIFE = 5.0
# Ratio to the pace before from which a reported pace counts as a rise.
RISE_RATIO = 1.5


class Pace:
    """The reported pace of one upstream.

    Attributes
    ----------
    reported : float or None
        Pace reported with the last answer; None if none was reported.
    reported_at : float
        When it was reported.
    before : float
        Pace before that report.
    mean : float
        Moving mean of the reports, each weighted by the time since the one before.
    """

    def __init__(self) -> None:
        self.forget()

    def forget(self) -> None:
        """Discard all reports, as the upstream has restarted."""
        self.reported: float | None = None
        self.reported_at = float("-inf")
        self.before = USUAL_PACE
        self.mean = USUAL_PACE

    def record(self, pace: float, now: float) -> bool:
        """Record a reported pace; return whether it has risen by half or more."""
        if self.reported is None:
            # Not a rise: the pace at which the calls so far ran is not known.
            self.before = self.mean = pace
            risen = False
        else:
            self.before = self.current(now)
            weight = 1 - 0.5 ** ((now - self.reported_at) / MEAN_HALF_LIFE)
            self.mean += weight * (pace - self.mean)
            risen = pace >= RISE_RATIO * self.before
        self.reported, self.reported_at = pace, now
        return risen

    def current(self, now: float) -> float:
        """Return the estimate of the pace at this moment."""
        if self.reported is None:
            return USUAL_PACE
        age = now - self.reported_at
        if age <= VALID_SECONDS:
            return self.reported
        weight = 0.5 ** ((age - VALID_SECONDS) / FADE_HALF_LIFE)
        return self.mean + weight * (self.reported - self.mean)

    def between_answers(self, now: float) -> float:
        """Return the mean of the last reported pace and the one before it."""
        if self.reported is None:
            return USUAL_PACE
        return (self.before + self.current(now)) / 2
