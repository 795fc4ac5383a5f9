"""Limit the rate of calls to an upstream that names a limit in its answers.

An upstream in need names how many calls per second it takes from all nodes together. As
all its calls pass through the node beside it, that node applies the limit for the
whole mesh, with a token bucket. Further calls wait or are refused as not run.

A limit holds until answers no longer name it. They may arrive in another order than
they were made, so one without a limit counts only if its call was sent after the last
answer that named one, and only some time after that: a single answer, such as that of
a failed call, may lack it. A node that has just started, or beside an upstream that
has, does not know the limit and sends only a few calls until the first answer.
"""

from __future__ import annotations

# Seconds of unused rate that may be used at once.
BURST_SECONDS = 0.5
# Calls at once while the limit is not known.
FIRST_CALLS = 4
# Seconds since a limit was last named after which an answer without one ends it.
NAMING_SECONDS = 1.0
# Seconds without an answer after which a limit may have changed unnoticed.
RECHECK_SECONDS = 1.0
# Seconds assumed until an upstream that takes no calls at all takes one again.
ZERO_RATE_WAIT = 5.0
# Tolerance for rounding errors, in calls.
EPSILON = 1e-9


class RateLimit:
    """The rate limit of one upstream and its unused calls.

    Attributes
    ----------
    rate : float or None
        Calls per second; None if not limited.
    known : bool
        Whether the upstream has answered since it or this node started.
    tokens : float
        Calls that may be sent at once, as of `refilled_at`.
    named_at : float
        When the last answer that named a limit arrived.
    reported_at : float
        When the last answer arrived, with or without a limit.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self.known = True
        self.tokens = 0.0
        self.refilled_at = float("-inf")
        self.named_at = float("-inf")
        self.reported_at = float("-inf")

    def record(self, rate: float | None, sent_at: float, now: float) -> None:
        """Record the limit that an answer names, None if it names none.

        Parameters
        ----------
        sent_at : float
            When the answered call was sent.
        """
        self.known = True
        self.reported_at = now
        if rate is None:
            if sent_at >= self.named_at and now - self.named_at >= NAMING_SECONDS:
                self.rate = None
            return
        self.named_at = now
        if rate == self.rate:
            return
        self.refill(now)
        self.rate = rate
        self.tokens = min(self.tokens, self.capacity)

    def forget(self) -> None:
        """Discard the limit, as the upstream or this node has just started."""
        self.rate = None
        self.known = False
        self.named_at = self.reported_at = float("-inf")

    def in_doubt(self, now: float) -> bool:
        """Return whether the upstream should be asked for its limit."""
        if not self.known:
            return True
        return self.rate is not None and now - self.reported_at >= RECHECK_SECONDS

    @property
    def capacity(self) -> float:
        """Return the maximum number of unused calls."""
        return max(1.0, BURST_SECONDS * self.rate) if self.rate else 0.0

    def refill(self, now: float) -> None:
        """Add the calls that became available since the last refill."""
        if self.rate is None:
            self.tokens = 0.0
        else:
            elapsed = max(0.0, now - self.refilled_at)
            self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)
        self.refilled_at = now

    def remaining(self, running: int, now: float) -> int | None:
        """Return the number of calls that may be sent now; None if unlimited."""
        if not self.known:
            return max(0, FIRST_CALLS - running)
        if self.rate is None:
            return None
        self.refill(now)
        return int(self.tokens + EPSILON)

    def take(self, now: float) -> None:
        """Use one call of the limit."""
        if self.rate is not None:
            self.refill(now)
            self.tokens = max(0.0, self.tokens - 1.0)

    def wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a call behind `ahead` others may be sent."""
        if self.rate is None:
            return 0.0
        self.refill(now)
        missing = ahead + 1 - self.tokens
        if missing <= EPSILON:
            return 0.0
        return missing / self.rate if self.rate else ZERO_RATE_WAIT
