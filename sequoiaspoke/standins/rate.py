"""How many calls the platform takes in a second."""

from __future__ import annotations

from collections import Counter, deque

WINDOW = 1.0  # seconds
KEPT_SECONDS = 3600  # of the counts per second
RECENT_SECONDS = 60  # of them in a report


class RateLimit:
    """Allow at most `rate` calls in any window of one second."""

    def __init__(self, rate: int) -> None:
        self.rate = rate
        self.taken: deque[float] = deque()

    def take(self, now: float) -> bool:
        """Return whether one more call is allowed now, and count it if so."""
        while self.taken and self.taken[0] <= now - WINDOW:
            self.taken.popleft()
        if len(self.taken) >= self.rate:
            return False
        self.taken.append(now)
        return True


class CallCounts:
    """What the platform was asked, in all and by second.

    Attributes
    ----------
    refused : int
        Calls beyond the rate; reads and watches leave these out.
    failed : int
        Calls that came while the platform was down.
    by_second : Counter
        Every call, by the whole second of the loop's clock.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.watches = 0
        self.refused = 0
        self.failed = 0
        self.waiting = 0
        self.bytes_sent = 0
        self.by_second: Counter[int] = Counter()

    def count(self, now: float) -> None:
        """Count a call into its second."""
        self.by_second[int(now)] += 1
        if len(self.by_second) > KEPT_SECONDS:
            del self.by_second[min(self.by_second)]

    @property
    def peak(self) -> int:
        """Return the most calls of any second, those refused included."""
        return max(self.by_second.values(), default=0)

    def recent(self, now: float) -> list[int]:
        """Return the calls of each of the last seconds, the newest last."""
        newest = int(now)
        span = range(newest - RECENT_SECONDS + 1, newest + 1)
        return [self.by_second[second] for second in span]
