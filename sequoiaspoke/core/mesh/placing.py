"""Choose the endpoint of a call by the time in which it would answer.

The load this answers: upstreams of one service differ in speed by a factor of two
and more, new ones are slow for seconds, and one may turn slow or fail part of its
calls while its health check passes. Taking turns sends each the same and lets the
slowest decide how late answers are. Links between zones are dear, so an
endpoint of the own zone is taken unless its answer is likelier to be late.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.durations import FIRST_GUESS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route

# Weight of the newest measurement of a route over all endpoints.
NEWEST = 0.05
# How much slower a cold endpoint is taken to be before it was measured.
COLD_FACTOR = 2.0
# Seconds to another zone and back, with the two nodes' own time.
ZONE_SECONDS = 0.004
# Least share of success by which an expected time is divided.
LEAST_SUCCESS = 0.1
# Weight of a failure: after three in a row an endpoint is expected to fail two of
# three calls, and takes three times its time.
FAILURE_WEIGHT = 0.3
# Seconds after which half of the doubt about an endpoint that failed is gone, so that
# one that has recovered is tried again.
FAILURE_HALF_LIFE = 2.0
# Seconds after which news of a home's queue, of its speed, and of the calls that last
# too long there count for half.
QUEUE_HALF_LIFE, SPEED_HALF_LIFE, STRAIN_HALF_LIFE = 0.5, 3.0, 1.0
# How steeply the chance to be late rises round the objective: an answer expected in
# half of it is late one time in 17, in three quarters one in four.
STEEPNESS = 4
# After how many times the mean of its route a call is tried at a second endpoint, and
# after how many seconds at least. Work varies by a half of its mean; beyond three times
# lie the one call in a hundred that is long, and those whose upstream turned slow.
PATIENCE, LEAST_PATIENCE = 3.0, 0.1
# By how much less likely to be late an endpoint in another zone must be, for each
# thousand bytes that go there and back. Bytes between zones are paid for;
# a call of two thousand bytes is sent away to spare one late answer in ten.
ZONE_MARGIN = 0.04
# Bytes of the heads of a call and its answer on a link.
HEAD_BYTES = 500


@dataclass(frozen=True)
class News:
    """A home's word on the load of its upstream.

    Attributes
    ----------
    strain : float
        How much longer than expected the running calls last, from 1.
    expected : float
        Seconds that a call of the route takes; 0 if the news is of no route.
    wait : float
        Seconds until another call of the route would get a slot.
    """

    strain: float = 1.0
    expected: float = 0.0
    wait: float = 0.0


@dataclass(frozen=True)
class Told:
    """News of a route at an endpoint, and when it came."""

    news: News
    when: float

    def trust(self, half_life: float, now: float) -> float:
        """Return how much the news still counts, from 1 down to 0."""
        return 0.5 ** ((now - self.when) / half_life)


@dataclass
class Seen:
    """What is known of one endpoint.

    Attributes
    ----------
    mine : int
        Calls of this node under way there.
    by_route : dict of str to Told
        What the home said with the answers to calls of a route.
    """

    mine: int = 0
    strain: float = 1.0
    told: float = float("-inf")
    failing: float = 0.0
    failed: float = float("-inf")
    by_route: dict[str, Told] = field(default_factory=dict)

    def failure_share(self, now: float) -> float:
        """Return the share of failures to expect, forgotten with time."""
        return self.failing * 0.5 ** ((now - self.failed) / FAILURE_HALF_LIFE)

    def slowed(self, now: float) -> float:
        """Return by how much its calls last longer than was told, from 1."""
        trust = 0.5 ** ((now - self.told) / STRAIN_HALF_LIFE)
        return 1 + (self.strain - 1) * trust


class Placing:
    """Measure endpoints and choose among them."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.seen: dict[Incarnation, Seen] = {}
        self.mean: dict[str, float] = {}
        self.size: dict[str, float] = {}

    def of(self, start: Incarnation) -> Seen:
        """Return what is known of an endpoint."""
        seen = self.seen.get(start)
        if seen is None:
            seen = self.seen[start] = Seen()
        return seen

    def begin(self, start: Incarnation) -> None:
        """Note a call sent there."""
        self.of(start).mine += 1

    def end(self, start: Incarnation) -> None:
        """Note that a call is over, whatever came of it."""
        self.of(start).mine -= 1

    def load(self, start: Incarnation, route: str, news: News, now: float) -> None:
        """Take a home's word on its upstream."""
        seen = self.of(start)
        seen.strain, seen.told = news.strain, now
        if route:
            seen.by_route[route] = Told(news, now)

    def answered(
        self, route: str, start: Incarnation, seconds: float, size: int
    ) -> None:
        """Measure a call that its upstream finished.

        Parameters
        ----------
        size : int
            Bytes of the request's body and the answer's.
        """
        usual = self.size.get(route, size)
        self.size[route] = usual + NEWEST * (size - usual)
        mean = self.mean.get(route, seconds)
        self.mean[route] = mean + NEWEST * (seconds - mean)
        self.of(start).failing *= 1 - FAILURE_WEIGHT / 2

    def failed(self, start: Incarnation, now: float) -> None:
        """Note a call that its endpoint turned away or broke off."""
        seen = self.of(start)
        share = seen.failure_share(now)
        seen.failing = share + FAILURE_WEIGHT * (1 - share)
        seen.failed = now

    def service_time(self, route: str, seen: Seen, cold: bool, now: float) -> float:
        """Return the seconds that a call of a route takes at an endpoint."""
        usual = self.mean.get(route, FIRST_GUESS)
        told = seen.by_route.get(route)
        if told is None:
            usual = usual * COLD_FACTOR if cold else usual
        else:
            trust = told.trust(SPEED_HALF_LIFE, now)
            usual += trust * (told.news.expected - usual)
        return usual * seen.slowed(now)

    def patience(self, route: str, endpoint: Endpoint, now: float) -> float:
        """Return the seconds after which a call is tried at a second endpoint."""
        usual = self.mean.get(route, FIRST_GUESS)
        seen = self.of(endpoint.incarnation)
        wait = self.wait(route, endpoint, seen, usual, now)
        return wait + max(LEAST_PATIENCE, PATIENCE * usual)

    def wait(
        self, route: str, endpoint: Endpoint, seen: Seen, service: float, now: float
    ) -> float:
        """Return the seconds until a call would get a slot of an endpoint."""
        slots = max(1, endpoint.slots)
        wait = max(0, seen.mine + 1 - slots) * service / slots
        told = seen.by_route.get(route)
        if told is None:
            return wait
        return max(wait, told.news.wait * told.trust(QUEUE_HALF_LIFE, now))

    def expected(
        self, route: str, endpoint: Endpoint, seen: Seen, cold: bool, now: float
    ) -> float:
        """Return the seconds in which an endpoint would answer a call."""
        service = self.service_time(route, seen, cold, now)
        wait = self.wait(route, endpoint, seen, service, now)
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
            seen = self.of(endpoint.incarnation)
            if self.unknown(endpoint, seen):
                return endpoint
            is_cold = cold(endpoint.instance)
            time = self.expected(route.name, endpoint, seen, is_cold, now)
            if time < best_time:
                best, best_time = endpoint, time
            if endpoint.zone == self.zone and time < near_time:
                near, near_time = endpoint, time
        if near is None:
            return best
        gain = late_chance(near_time, left) - late_chance(best_time, left)
        return near if gain <= self.margin(route.name) else best

    def margin(self, route: str) -> float:
        """Return by how much less likely to be late another zone must be."""
        return ZONE_MARGIN * (HEAD_BYTES + self.size.get(route, 0.0)) / 1000

    def unknown(self, endpoint: Endpoint, seen: Seen) -> bool:
        """Return whether a first call should tell how an endpoint does.

        An upstream that has just joined is expected to take the usual time, so a node
        whose present choice is faster than usual would never send it a call.
        """
        near = endpoint.zone == self.zone
        return near and not seen.by_route and not seen.mine and not seen.failing

    def retain(self, starts: Iterable[Incarnation]) -> None:
        """Forget the starts of upstreams that have ended."""
        for start in self.seen.keys() - set(starts):
            if self.seen[start].mine == 0:
                del self.seen[start]


def late_chance(expected: float, left: float) -> float:
    """Return how likely an answer expected in some seconds is to be late."""
    if left <= 0:
        # All would be late: then the sooner the better, and near is not enough.
        return min(1.0, expected)
    ratio = min(expected / left, 10.0)
    return ratio**STEEPNESS / (1 + ratio**STEEPNESS)
