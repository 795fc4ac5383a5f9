"""Estimate how long calls take at one upstream, now.

An upstream that turns slow is known by the calls that it answers late, and sooner by
those that it has not answered yet. An estimate that only ever rises would keep calls
away from an upstream that has recovered, and with them the news of it: so
what was seen loses its weight with time.
"""

from __future__ import annotations

# Weight of the newest measurement: a change shows after some seven calls, less than
# half a second of traffic, and one slow call in a hundred moves little.
NEWEST_WEIGHT = 0.12
# Seconds without a measurement after which an estimate halves.
STALE_SECONDS = 4.0
# Guess of the seconds of a call before the first was measured.
INITIAL_ESTIMATE = 0.1
# A call that lasts so many times as long as expected tells that its upstream is slow;
# work varies by a third and more, one call in a hundred takes five times as long.
SLOWDOWN_THRESHOLD = 1.5


class Durations:
    """The calls of one upstream, measured by their route."""

    def __init__(self) -> None:
        self.mean: dict[str, tuple[float, int, float]] = {}
        self.overall = INITIAL_ESTIMATE
        self.running: dict[object, tuple[str, float]] = {}

    def begin(self, ticket: object, route: str, now: float) -> None:
        """Note that a call runs."""
        self.running[ticket] = (route, now)

    def end(self, ticket: object, answered: bool, now: float) -> None:
        """Note that a call is over, and measure it if it was answered."""
        route, begun = self.running.pop(ticket)
        if not answered:
            return
        seconds = now - begun
        mean, count, _ = self.mean.get(route, (seconds, 0, now))
        weight = max(NEWEST_WEIGHT, 1 / (count + 1))
        self.mean[route] = (mean + weight * (seconds - mean), count + 1, now)
        self.overall += NEWEST_WEIGHT * (seconds - self.overall)

    def reset(self) -> None:
        """Forget what was measured; the calls under way go on."""
        self.mean.clear()
        self.overall = INITIAL_ESTIMATE

    def expected(self, route: str, now: float) -> float:
        """Return the seconds that a call of a route takes."""
        mean, _, measured = self.mean.get(route, (self.overall, 0, now))
        age = now - measured
        if age > STALE_SECONDS:
            mean *= 0.5 ** (age / STALE_SECONDS - 1)
        return mean

    def mean_running(self, now: float) -> float:
        """Return the seconds that a running call takes on average."""
        if not self.running:
            return 0.0
        total = sum(self.expected(route, now) for route, _ in self.running.values())
        return total / len(self.running)

    def slowdown(self, now: float) -> float:
        """Return how much longer than expected the running calls last, at least 1."""
        if not self.running:
            return 1.0
        total = 0.0
        for route, begun in self.running.values():
            total += (now - begun) / max(self.expected(route, now), 0.001)
        ratio = total / len(self.running)
        return ratio if ratio > SLOWDOWN_THRESHOLD else 1.0
