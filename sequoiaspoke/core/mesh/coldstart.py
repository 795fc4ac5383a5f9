"""Limit the rate of calls to a cold upstream.

An upstream that has just started, or whose availability zone was evacuated or without
power, sustains a few calls per second and crashes under many more. Entries that see it
idle would all send to it at once. All calls pass through the node beside it, which
therefore enforces the limit over any one second. Further calls wait or are refused as
not run; before that, the wait in the load reports makes entries choose other endpoints.

An upstream reports that it is cold in its directory entry and its health answers. It
may also become cold unnoticed, during an evacuation or while it is unreachable; it is
then assumed to be cold until it reports its state.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Period of the limit in seconds, and a margin: a busy upstream reads a call some
# hundredths of a second after it was written to the connection.
BOUND_SECONDS, BOUND_MARGIN = 1.0, 0.1
WINDOW = BOUND_SECONDS + BOUND_MARGIN
# Calls of the limit that are reserved for health checks.
HEALTH_CHECK_CALLS = 1
# Seconds for which an upstream is assumed to be cold if its service configures none.
ASSUMED_COLD_SECONDS = 3.0


@dataclass(frozen=True)
class ColdLimits:
    """Tolerance above the call rate that a cold upstream sustains.

    Attributes
    ----------
    overage : float
        Factor of the rate.
    slack : float
        Additional calls in any second.
    """

    overage: float = 1.0
    slack: float = 0.0

    def max_calls(self, rate: float) -> int | None:
        """Return the maximum number of calls in a second; None if unlimited."""
        if not rate:
            return None
        return max(1, int(rate * self.overage + self.slack) - HEALTH_CHECK_CALLS)


class ColdStart:
    """State of one upstream's cold start and the calls sent to it.

    Attributes
    ----------
    max_calls : int or None
        Maximum number of calls in any second while it is cold; None if unlimited.
    cold_until : float
        Until when it is cold, as it reported.
    assumed_cold_until : float
        Until when it is assumed to be cold.
    blocked_until : float
        Until when it gets no call if cold, as a previous process of this node may have
        used up the limit.
    unsent : set of object
        Admitted calls that wait for a connection. They count from when they are sent:
        connecting may delay the calls of a whole second, which then reach the upstream
        together with those of the next.
    sent : deque of float
        When calls were sent, within the last window.
    """

    def __init__(self) -> None:
        self.max_calls: int | None = None
        self.cold_until = float("-inf")
        self.assumed_cold_until = float("-inf")
        self.blocked_until = float("-inf")
        self.unsent: set[object] = set()
        self.sent: deque[float] = deque()

    def assume_cold(self, now: float, seconds: float = ASSUMED_COLD_SECONDS) -> None:
        """Assume that the upstream has become cold unnoticed."""
        self.assumed_cold_until = now + (seconds or ASSUMED_COLD_SECONDS)

    def assumed_cold(self, now: float) -> bool:
        """Return whether the upstream is assumed to be cold without a report."""
        return self.max_calls is not None and now < self.assumed_cold_until

    def record_cold_time(self, seconds: float, now: float) -> None:
        """Record the remaining cold time that the upstream reported."""
        self.cold_until = now + seconds
        self.assumed_cold_until = float("-inf")

    def record_published(self, until: float) -> None:
        """Record the end of the cold time in its entry, which may be outdated."""
        self.cold_until = max(self.cold_until, until)

    def restarted(self) -> None:
        """Discard what the previous incarnation reported."""
        self.cold_until = float("-inf")

    def expect_earlier_calls(self, since: float) -> None:
        """Account for calls sent by a previous process that ended just before a time.

        The new process does not know what the previous one sent in its last second;
        both together would exceed the limit.
        """
        self.blocked_until = since + WINDOW

    def cold(self, now: float) -> bool:
        """Return whether the upstream is cold or assumed to be."""
        return now < max(self.cold_until, self.assumed_cold_until)

    def begin(self, ticket: object) -> None:
        """Record that a call was admitted."""
        if self.max_calls is not None:
            self.unsent.add(ticket)

    def send(self, ticket: object, now: float) -> None:
        """Record that a call is sent to the upstream."""
        self.unsent.discard(ticket)
        if self.max_calls is not None:
            self.trim(now)
            self.sent.append(now)

    def end(self, ticket: object) -> None:
        """Record the end of a call, whether it was sent or not."""
        self.unsent.discard(ticket)

    def trim(self, now: float) -> None:
        """Remove calls sent before the window."""
        while self.sent and self.sent[0] <= now - WINDOW:
            self.sent.popleft()

    def remaining(self, now: float) -> int | None:
        """Return the number of calls that may be admitted; None if unlimited."""
        if self.max_calls is None or not self.cold(now):
            return None
        if now < self.blocked_until:
            return 0
        self.trim(now)
        return max(0, self.max_calls - len(self.sent) - len(self.unsent))

    def wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a call behind `ahead` others may be admitted."""
        remaining = self.remaining(now)
        if remaining is None or self.max_calls is None or ahead < remaining:
            return 0.0
        windows, place = divmod(ahead - remaining, self.max_calls)
        if place < len(self.sent):
            freed = self.sent[place] + WINDOW
        else:
            freed = now + WINDOW if self.unsent else now
        until = max(freed, self.blocked_until) + windows * WINDOW
        # After the cold time there is no limit.
        return max(0.0, min(until, max(self.cold_until, self.assumed_cold_until)) - now)
