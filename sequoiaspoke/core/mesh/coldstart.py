"""Bound the calls that a cold upstream gets.

The load this answers: an upstream that has just started, or whose availability zone
was evacuated or without power, bears a few calls a second and crashes under many more.
Entries that find it idle would all send to it at once. The node beside it is the only
way to it and counts what it hands over, so it alone keeps the bound, in any second.
What is more waits or is refused as not run, and the wait that entries are told sends
their calls elsewhere before that.

An upstream tells that it is cold in its entry and in its health answers. After an
evacuation, or while it cannot be reached, it may have become cold unseen; then it is
in doubt and taken for cold until it tells.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Seconds in which the bound holds, and how much longer it is kept: what was written to
# a connection is read by a busy upstream some hundredths of a second later.
BOUND_SECONDS, BOUND_MARGIN = 1.0, 0.1
WINDOW = BOUND_SECONDS + BOUND_MARGIN
# Calls of the bound that are left to health checks.
HEALTH_CHECK_CALLS = 1
# Seconds for which an upstream in doubt is taken for cold if its service names none.
ASSUMED_COLD_SECONDS = 3.0


@dataclass(frozen=True)
class ColdLimits:
    """How far calls may go beyond the rate that a cold upstream bears.

    Attributes
    ----------
    overage : float
        Factor of the rate.
    slack : float
        Calls beyond that, in any second.
    """

    overage: float = 1.0
    slack: float = 0.0

    def max_calls(self, rate: float) -> int | None:
        """Return the calls that a cold upstream may get in a second, None for any."""
        if not rate:
            return None
        return max(1, int(rate * self.overage + self.slack) - HEALTH_CHECK_CALLS)


class ColdStart:
    """How cold one upstream is, and the calls that it was handed.

    Attributes
    ----------
    most : int or None
        Calls in any second while it is cold; None if there is no bound.
    cold_until : float
        Until when it is cold, as far as it has told.
    doubted_until : float
        Until when it is taken for cold as it may be.
    closed_until : float
        Until when a cold upstream gets no call, as others may have used up the bound.
    unsent : set of object
        Calls that were handed over and wait for a connection. Counted only when they
        are sent: a second's worth of them may be held up by a full queue of new
        connections, and come together with those of the next second.
    sent : deque of float
        When calls were sent, as far as they still count.
    """

    def __init__(self) -> None:
        self.max_calls: int | None = None
        self.cold_until = float("-inf")
        self.assumed_cold_until = float("-inf")
        self.blocked_until = float("-inf")
        self.unsent: set[object] = set()
        self.sent: deque[float] = deque()

    def assume_cold(self, now: float, seconds: float = ASSUMED_COLD_SECONDS) -> None:
        """Note that the upstream may have become cold unseen."""
        self.assumed_cold_until = now + (seconds or ASSUMED_COLD_SECONDS)

    def assumed_cold(self, now: float) -> bool:
        """Return whether only the upstream itself could tell if it is cold."""
        return self.max_calls is not None and now < self.assumed_cold_until

    def record_cold_time(self, seconds: float, now: float) -> None:
        """Take the upstream's own word on how much longer it stays cold."""
        self.cold_until = now + seconds
        self.assumed_cold_until = float("-inf")

    def record_published(self, until: float) -> None:
        """Take the word of the upstream's entry, which may be a report old."""
        self.cold_until = max(self.cold_until, until)

    def restarted(self) -> None:
        """Forget what the start before told."""
        self.cold_until = float("-inf")

    def expect_earlier_calls(self, since: float) -> None:
        """Reckon with the calls of a process that ended just before a time.

        A new process does not know what the one before it handed over in its last
        second; both together would exceed the bound.
        """
        self.blocked_until = since + WINDOW

    def cold(self, now: float) -> bool:
        """Return whether the upstream is taken for cold."""
        return now < max(self.cold_until, self.assumed_cold_until)

    def begin(self, ticket: object) -> None:
        """Note that a call is handed over."""
        if self.max_calls is not None:
            self.unsent.add(ticket)

    def send(self, ticket: object, now: float) -> None:
        """Note that a call goes out to the upstream."""
        self.unsent.discard(ticket)
        if self.max_calls is not None:
            self.trim(now)
            self.sent.append(now)

    def end(self, ticket: object) -> None:
        """Note that a call is over, sent or not."""
        self.unsent.discard(ticket)

    def trim(self, now: float) -> None:
        """Forget the calls that count no more."""
        while self.sent and self.sent[0] <= now - WINDOW:
            self.sent.popleft()

    def remaining(self, now: float) -> int | None:
        """Return how many calls may be handed over now; None for any number."""
        if self.max_calls is None or not self.cold(now):
            return None
        if now < self.blocked_until:
            return 0
        self.trim(now)
        return max(0, self.max_calls - len(self.sent) - len(self.unsent))

    def wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a call may be handed over after others."""
        remaining = self.remaining(now)
        if remaining is None or self.max_calls is None or ahead < remaining:
            return 0.0
        windows, place = divmod(ahead - remaining, self.max_calls)
        if place < len(self.sent):
            freed = self.sent[place] + WINDOW
        else:
            freed = now + WINDOW if self.unsent else now
        until = max(freed, self.blocked_until) + windows * WINDOW
        # At the end of the cold time all may go.
        return max(0.0, min(until, max(self.cold_until, self.assumed_cold_until)) - now)
