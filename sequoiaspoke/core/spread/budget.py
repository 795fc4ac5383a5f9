"""Rate limits and randomized backoff.

When many nodes die at once, they also restart at once. Without rate limits and
random waits, all of them would read the platform and connect to the same peers
at the same time, be refused, and retry at the same time again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MAX_EXPONENT = 16


class TokenBucket:
    """Lets `rate` units a second through, and by default as many in one burst."""

    def __init__(self, rate: float, burst: float = 0.0) -> None:
        self.rate = rate
        self.burst = burst or max(rate, 1.0)
        self.tokens = self.burst
        self.last: float | None = None

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Spend `amount` if any token is left; a large amount may overdraw."""
        self._refill(now)
        if self.tokens <= 0:
            return False
        self.tokens -= amount
        return True

    def _refill(self, now: float) -> None:
        if self.last is not None:
            grown = self.tokens + (now - self.last) * self.rate
            self.tokens = min(self.burst, grown)
        self.last = now


class Backoff:
    """Exponential backoff with full jitter: random waits, with a bound and a cap."""

    def __init__(self, base: float, cap: float, rng: random.Random) -> None:
        self.base = base
        self.cap = cap
        self.rng = rng
        self.failures = 0
        self.until = 0.0

    def fail(self, now: float, at_least: float = 0.0) -> None:
        """Record a failure and choose when to retry."""
        exponent = min(self.failures, MAX_EXPONENT)
        bound = min(self.cap, self.base * 2**exponent)
        self.failures += 1
        self.until = now + at_least + self.rng.uniform(0, bound)

    def succeed(self) -> None:
        """Reset the backoff."""
        self.failures = 0
        self.until = 0.0

    def ready(self, now: float) -> bool:
        """Return whether the wait is over."""
        return now >= self.until
