"""Choose the endpoint of a call by the time in which it would answer.

The load this answers: upstreams of one service differ in speed by a factor of two
and more, new ones are slow for seconds, and one may turn slow or fail part of its
calls while its health check passes. Taking turns sends each the same and lets the
slowest decide how late answers are. Links between zones are dear, so an
endpoint of the own zone is taken as long as it would answer in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.model import Endpoint, Route

# Weight of the newest measurement. A change of speed shows after some five calls,
# while one slow call in a hundred moves little.
NEWEST = 0.15
# How much slower a cold endpoint is taken to be before it was measured.
COLD_FACTOR = 2.0
# An answer expected within this part of the objective counts as in time; work
# varies by a third and more round its mean.
IN_TIME = 0.75
# Seconds to another zone and back, with the two nodes' own time.
ZONE_SECONDS = 0.004
# Share of failures above which an endpoint is worth avoiding, and the least share
# of success by which its expected time is divided.
LEAST_SUCCESS = 0.1
# Seconds after which news of another node's queue counts for half.
NEWS_HALF_LIFE = 0.5
# Seconds after the last failure in which an endpoint is tried again as if half
# of the doubt was gone.
FAILURE_HALF_LIFE = 2.0
# Guess of the seconds of a call nobody has measured.
FIRST_GUESS = 0.1


@dataclass
class Seen:
    """What is known of one endpoint.

    Attributes
    ----------
    pace : float
        Time its calls take, relative to the mean of their route.
    waiting : int
        Calls that queued or ran there, by its home's last word.
    told : float
        When its home said so.
    mine : int
        Calls of this node under way there.
    mine_told : int
        Calls of this node among those that the home counted.
    failing : float
        Share of its recent calls that failed.
    """

    pace: float = 1.0
    measured: int = 0
    waiting: int = 0
    told: float = float("-inf")
    mine: int = 0
    failing: float = 0.0
    failed: float = float("-inf")

    def failure_share(self, now: float) -> float:
        """Return the share of failures to expect, forgotten with time."""
        return self.failing * 0.5 ** ((now - self.failed) / FAILURE_HALF_LIFE)


class Placing:
    """Measure endpoints and choose among them."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.seen: dict[str, Seen] = {}
        self.mean: dict[str, float] = {}

    def of(self, instance: str) -> Seen:
        """Return what is known of an endpoint."""
        seen = self.seen.get(instance)
        if seen is None:
            seen = self.seen[instance] = Seen()
        return seen

    def begin(self, instance: str) -> None:
        """Note a call sent there."""
        self.of(instance).mine += 1

    def end(self, instance: str) -> None:
        """Note that a call is over, whatever came of it."""
        self.of(instance).mine -= 1

    def load(self, instance: str, occupied: int, now: float) -> None:
        """Take a home's word on how many calls it runs and queues."""
        seen = self.of(instance)
        seen.waiting = occupied
        seen.told = now

    def answered(self, route: Route, instance: str, seconds: float) -> None:
        """Measure a call that its upstream finished.

        Parameters
        ----------
        seconds : float
            Time at the upstream, without the wait for a slot.
        """
        mean = self.mean.get(route.name)
        if mean is None:
            self.mean[route.name] = mean = seconds
        self.mean[route.name] = mean + 0.05 * (seconds - mean)
        seen = self.of(instance)
        relative = min(20.0, seconds / max(mean, 0.001))
        weight = max(NEWEST, 1 / (seen.measured + 1))
        seen.pace += weight * (relative - seen.pace)
        seen.measured += 1
        seen.failing *= 1 - NEWEST

    def failed(self, instance: str, now: float) -> None:
        """Note a call that its endpoint turned away or broke off."""
        seen = self.of(instance)
        share = seen.failure_share(now)
        seen.failing = share + 2 * NEWEST * (1 - share)
        seen.failed = now

    def expected(
        self, route: Route, endpoint: Endpoint, cold: bool, now: float
    ) -> float:
        """Return the seconds in which an endpoint would answer a call."""
        seen = self.of(endpoint.instance)
        pace = seen.pace
        if cold and seen.measured < 3:
            pace *= COLD_FACTOR
        service = self.mean.get(route.name, FIRST_GUESS) * pace
        trust = 0.5 ** ((now - seen.told) / NEWS_HALF_LIFE)
        busy = max(seen.mine, seen.waiting * trust)
        slots = max(1, endpoint.slots)
        wait = max(0.0, busy + 1 - slots) * service / slots
        # An upstream near its limit slows down before its queue shows.
        service *= 1 + 0.3 * min(1.0, busy / slots) ** 2
        success = max(LEAST_SUCCESS, 1 - seen.failure_share(now))
        away = 0.0 if endpoint.zone == self.zone else ZONE_SECONDS
        return (wait + service) / success + away

    def choose(
        self,
        route: Route,
        endpoints: Iterable[Endpoint],
        cold: Callable[[str], bool],
        now: float,
        left: float,
    ) -> Endpoint | None:
        """Return the endpoint for a call, or None if there is none.

        Parameters
        ----------
        left : float
            Seconds until the answer counts as late.
        """
        best, best_time = None, float("inf")
        near, near_time = None, float("inf")
        for endpoint in endpoints:
            time = self.expected(route, endpoint, cold(endpoint.instance), now)
            if time < best_time:
                best, best_time = endpoint, time
            if endpoint.zone == self.zone and time < near_time:
                near, near_time = endpoint, time
        if near is not None and near_time <= max(left, 0.0) * IN_TIME:
            return near
        return best

    def retain(self, instances: Iterable[str]) -> None:
        """Forget endpoints that left."""
        for instance in self.seen.keys() - set(instances):
            if self.seen[instance].mine == 0:
                del self.seen[instance]
