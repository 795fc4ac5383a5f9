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

from sequoiaspoke.core.mesh.durations import INITIAL_ESTIMATE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route

# Weight of the newest measurement of a route over all endpoints.
NEWEST_WEIGHT = 0.05
# How much slower a cold endpoint is taken to be before it was measured.
COLD_FACTOR = 2.0
# Seconds to another zone and back, with the two nodes' own time.
CROSS_ZONE_SECONDS = 0.004
# Least share of success by which an expected time is divided.
MIN_SUCCESS_RATE = 0.1
# Weight of a failure: after three in a row an endpoint is expected to fail two of
# three calls, and takes three times its time.
FAILURE_WEIGHT = 0.3
# Seconds after which half of the doubt about an endpoint that failed is gone, so that
# one that has recovered is tried again.
FAILURE_HALF_LIFE = 2.0
# Seconds after which news of a home's queue, of its speed, and of the calls that last
# too long there count for half.
QUEUE_HALF_LIFE, SPEED_HALF_LIFE, SLOWDOWN_HALF_LIFE = 0.5, 3.0, 1.0
# How steeply the chance to be late rises round the objective: an answer expected in
# half of it is late one time in 17, in three quarters one in four.
STEEPNESS = 4
# After how many times the mean of its route a call is tried at a second endpoint, and
# after how many seconds at least. Work varies by a half of its mean; beyond three times
# lie the one call in a hundred that is long, and those whose upstream turned slow.
HEDGE_FACTOR, MIN_HEDGE_DELAY = 3.0, 0.1
# By how much less likely to be late an endpoint in another zone must be, for each
# thousand bytes that go there and back. Bytes between zones are paid for;
# a call of two thousand bytes is sent away to spare one late answer in ten.
CROSS_ZONE_MARGIN = 0.04
# Bytes of the heads of a call and its answer on a link.
HEADER_BYTES = 500


@dataclass(frozen=True)
class LoadReport:
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

    slowdown: float = 1.0
    expected: float = 0.0
    wait: float = 0.0


@dataclass(frozen=True)
class ReceivedReport:
    """News of a route at an endpoint, and when it came."""

    report: LoadReport
    received_at: float

    def weight(self, half_life: float, now: float) -> float:
        """Return how much the news still counts, from 1 down to 0."""
        return 0.5 ** ((now - self.received_at) / half_life)


@dataclass
class EndpointStats:
    """What is known of one endpoint.

    Attributes
    ----------
    mine : int
        Calls of this node under way there.
    by_route : dict of str to Told
        What the home said with the answers to calls of a route.
    """

    in_flight: int = 0
    slowdown: float = 1.0
    reported_at: float = float("-inf")
    failure_rate: float = 0.0
    failed_at: float = float("-inf")
    reports: dict[str, ReceivedReport] = field(default_factory=dict)

    def current_failure_rate(self, now: float) -> float:
        """Return the share of failures to expect, forgotten with time."""
        return self.failure_rate * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE)

    def current_slowdown(self, now: float) -> float:
        """Return by how much its calls last longer than was told, from 1."""
        weight = 0.5 ** ((now - self.reported_at) / SLOWDOWN_HALF_LIFE)
        return 1 + (self.slowdown - 1) * weight


class Balancer:
    """Measure endpoints and choose among them."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.stats: dict[Incarnation, EndpointStats] = {}
        self.mean_seconds: dict[str, float] = {}
        self.mean_bytes: dict[str, float] = {}

    def stats_of(self, incarnation: Incarnation) -> EndpointStats:
        """Return what is known of an endpoint."""
        stats = self.stats.get(incarnation)
        if stats is None:
            stats = self.stats[incarnation] = EndpointStats()
        return stats

    def begin(self, incarnation: Incarnation) -> None:
        """Note a call sent there."""
        self.stats_of(incarnation).in_flight += 1

    def end(self, incarnation: Incarnation) -> None:
        """Note that a call is over, whatever came of it."""
        self.stats_of(incarnation).in_flight -= 1

    def record_load(
        self, incarnation: Incarnation, route: str, report: LoadReport, now: float
    ) -> None:
        """Take a home's word on its upstream."""
        stats = self.stats_of(incarnation)
        stats.slowdown, stats.reported_at = report.slowdown, now
        if route:
            stats.reports[route] = ReceivedReport(report, now)

    def record_answer(
        self, route: str, incarnation: Incarnation, seconds: float, size: int
    ) -> None:
        """Measure a call that its upstream finished.

        Parameters
        ----------
        size : int
            Bytes of the request's body and the answer's.
        """
        usual = self.mean_bytes.get(route, size)
        self.mean_bytes[route] = usual + NEWEST_WEIGHT * (size - usual)
        mean = self.mean_seconds.get(route, seconds)
        self.mean_seconds[route] = mean + NEWEST_WEIGHT * (seconds - mean)
        self.stats_of(incarnation).failure_rate *= 1 - FAILURE_WEIGHT / 2

    def record_failure(self, incarnation: Incarnation, now: float) -> None:
        """Note a call that its endpoint turned away or broke off."""
        stats = self.stats_of(incarnation)
        rate = stats.current_failure_rate(now)
        stats.failure_rate = rate + FAILURE_WEIGHT * (1 - rate)
        stats.failed_at = now

    def service_time(
        self, route: str, stats: EndpointStats, cold: bool, now: float
    ) -> float:
        """Return the seconds that a call of a route takes at an endpoint."""
        usual = self.mean_seconds.get(route, INITIAL_ESTIMATE)
        received = stats.reports.get(route)
        if received is None:
            usual = usual * COLD_FACTOR if cold else usual
        else:
            weight = received.weight(SPEED_HALF_LIFE, now)
            usual += weight * (received.report.expected - usual)
        return usual * stats.current_slowdown(now)

    def hedge_delay(self, route: str, endpoint: Endpoint, now: float) -> float:
        """Return the seconds after which a call is tried at a second endpoint."""
        usual = self.mean_seconds.get(route, INITIAL_ESTIMATE)
        stats = self.stats_of(endpoint.incarnation)
        wait = self.wait(route, endpoint, stats, usual, now)
        return wait + max(MIN_HEDGE_DELAY, HEDGE_FACTOR * usual)

    def wait(
        self,
        route: str,
        endpoint: Endpoint,
        stats: EndpointStats,
        service: float,
        now: float,
    ) -> float:
        """Return the seconds until a call would get a slot of an endpoint."""
        slots = max(1, endpoint.slots)
        wait = max(0, stats.in_flight + 1 - slots) * service / slots
        received = stats.reports.get(route)
        if received is None:
            return wait
        return max(wait, received.report.wait * received.weight(QUEUE_HALF_LIFE, now))

    def expected_seconds(
        self,
        route: str,
        endpoint: Endpoint,
        stats: EndpointStats,
        cold: bool,
        now: float,
    ) -> float:
        """Return the seconds in which an endpoint would answer a call."""
        service = self.service_time(route, stats, cold, now)
        wait = self.wait(route, endpoint, stats, service, now)
        success = max(MIN_SUCCESS_RATE, 1 - stats.current_failure_rate(now))
        network_delay = 0.0 if endpoint.zone == self.zone else CROSS_ZONE_SECONDS
        return (wait + service) / success + network_delay

    def choose(
        self,
        route: Route,
        endpoints: Iterable[Endpoint],
        cold: Callable[[str], bool],
        now: float,
        time_left: float,
    ) -> Endpoint | None:
        """Return the endpoint for a call, or None if there is none.

        Parameters
        ----------
        left : float
            Seconds until the answer counts as late.
        """
        best, best_time = None, float("inf")
        local, local_time = None, float("inf")
        for endpoint in endpoints:
            stats = self.stats_of(endpoint.incarnation)
            if self.needs_probe(endpoint, stats):
                return endpoint
            is_cold = cold(endpoint.instance)
            time = self.expected_seconds(route.name, endpoint, stats, is_cold, now)
            if time < best_time:
                best, best_time = endpoint, time
            if endpoint.zone == self.zone and time < local_time:
                local, local_time = endpoint, time
        if local is None:
            return best
        gain = late_probability(local_time, time_left) - late_probability(
            best_time, time_left
        )
        return local if gain <= self.cross_zone_margin(route.name) else best

    def cross_zone_margin(self, route: str) -> float:
        """Return by how much less likely to be late another zone must be."""
        return (
            CROSS_ZONE_MARGIN * (HEADER_BYTES + self.mean_bytes.get(route, 0.0)) / 1000
        )

    def needs_probe(self, endpoint: Endpoint, stats: EndpointStats) -> bool:
        """Return whether a first call should tell how an endpoint does.

        An upstream that has just joined is expected to take the usual time, so a node
        whose present choice is faster than usual would never send it a call.
        """
        local = endpoint.zone == self.zone
        return (
            local
            and not stats.reports
            and not stats.in_flight
            and not stats.failure_rate
        )

    def retain(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget the starts of upstreams that have ended."""
        for incarnation in self.stats.keys() - set(incarnations):
            if self.stats[incarnation].in_flight == 0:
                del self.stats[incarnation]


def late_probability(expected: float, time_left: float) -> float:
    """Return how likely an answer expected in some seconds is to be late."""
    if time_left <= 0:
        # All would be late: then the sooner the better, and near is not enough.
        return min(1.0, expected)
    ratio = min(expected / time_left, 10.0)
    return ratio**STEEPNESS / (1 + ratio**STEEPNESS)
