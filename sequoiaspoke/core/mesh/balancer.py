"""Choose the endpoint of a call by its expected response time.

Upstreams of one service differ in speed by a factor of two and more, new ones are slow
for seconds, and one may become slow or fail part of its calls while its health check
passes. Round robin would send the same load to each, so that the slowest one
determines the latency. Traffic between zones is costly, so an endpoint of the local
zone is preferred unless its answer is more likely to be late.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.durations import INITIAL_ESTIMATE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route

# Weight of the newest measurement in a route's averages over all endpoints.
NEWEST_WEIGHT = 0.05
# Factor by which an unmeasured cold endpoint is assumed to be slower.
COLD_FACTOR = 2.0
# Round trip to another zone in seconds, including the processing in both nodes.
CROSS_ZONE_SECONDS = 0.004
# Minimum success rate by which an expected time is divided.
MIN_SUCCESS_RATE = 0.1
# Weight of a failure. After three in a row the expected failure rate is two thirds and
# the expected time three times as long.
FAILURE_WEIGHT = 0.3
# Half-life of an endpoint's failure rate in seconds, so that a recovered one is tried
# again.
FAILURE_HALF_LIFE = 2.0
# Half-lives in seconds of a home's reported queue wait, call duration and slowdown.
QUEUE_HALF_LIFE, SPEED_HALF_LIFE, SLOWDOWN_HALF_LIFE = 0.5, 3.0, 1.0
# Steepness of the probability of a late answer around the objective. An answer expected
# in half of the time is late once in 17 times, in three quarters once in four.
STEEPNESS = 4
# Multiple of the route's mean duration after which a call is hedged at a second
# endpoint, and the minimum delay in seconds. Durations vary by half of their mean;
# beyond three times are the one percent of long calls, and those whose upstream has
# become slow.
HEDGE_FACTOR, MIN_HEDGE_DELAY = 3.0, 0.1
# Required reduction of the probability of a late answer per 1000 bytes sent to another
# zone and back, as traffic between zones is charged. A call of 2000 bytes leaves its
# zone to avoid one late answer in ten.
CROSS_ZONE_MARGIN = 0.04
# Bytes of the headers of a call and its answer on a link.
HEADER_BYTES = 500


@dataclass(frozen=True)
class LoadReport:
    """Load of an upstream, reported by its home with an answer.

    Attributes
    ----------
    slowdown : float
        Ratio of the running calls' duration to the expected one, at least 1.
    expected : float
        Expected duration of a call of the route in seconds; 0 without a route.
    wait : float
        Seconds that another call of the route would wait for a slot.
    """

    slowdown: float = 1.0
    expected: float = 0.0
    wait: float = 0.0


@dataclass(frozen=True)
class ReceivedReport:
    """A load report for a route at an endpoint, and when it was received."""

    report: LoadReport
    received_at: float

    def weight(self, half_life: float, now: float) -> float:
        """Return the weight of the report, which decays from 1 to 0."""
        return 0.5 ** ((now - self.received_at) / half_life)


@dataclass
class EndpointStats:
    """Statistics of one endpoint.

    Attributes
    ----------
    in_flight : int
        Calls of this node in flight there.
    reports : dict of str to ReceivedReport
        Latest load report for each route.
    """

    in_flight: int = 0
    slowdown: float = 1.0
    reported_at: float = float("-inf")
    failure_rate: float = 0.0
    failed_at: float = float("-inf")
    reports: dict[str, ReceivedReport] = field(default_factory=dict)

    def current_failure_rate(self, now: float) -> float:
        """Return the expected failure rate, which decays with time."""
        return self.failure_rate * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_LIFE)

    def current_slowdown(self, now: float) -> float:
        """Return the reported slowdown, which decays to 1 with time."""
        weight = 0.5 ** ((now - self.reported_at) / SLOWDOWN_HALF_LIFE)
        return 1 + (self.slowdown - 1) * weight


class Balancer:
    """Collects statistics of endpoints and chooses among them."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.stats: dict[Incarnation, EndpointStats] = {}
        self.mean_seconds: dict[str, float] = {}
        self.mean_bytes: dict[str, float] = {}

    def stats_of(self, incarnation: Incarnation) -> EndpointStats:
        """Return the statistics of an endpoint."""
        stats = self.stats.get(incarnation)
        if stats is None:
            stats = self.stats[incarnation] = EndpointStats()
        return stats

    def begin(self, incarnation: Incarnation) -> None:
        """Record a call sent to an endpoint."""
        self.stats_of(incarnation).in_flight += 1

    def end(self, incarnation: Incarnation) -> None:
        """Record the end of a call, with any outcome."""
        self.stats_of(incarnation).in_flight -= 1

    def record_load(
        self, incarnation: Incarnation, route: str, report: LoadReport, now: float
    ) -> None:
        """Record a load report of an endpoint's home."""
        stats = self.stats_of(incarnation)
        stats.slowdown, stats.reported_at = report.slowdown, now
        if route:
            stats.reports[route] = ReceivedReport(report, now)

    def record_answer(
        self, route: str, incarnation: Incarnation, seconds: float, size: int
    ) -> None:
        """Record a call that was answered.

        Parameters
        ----------
        size : int
            Bytes of the bodies of request and answer.
        """
        usual = self.mean_bytes.get(route, size)
        self.mean_bytes[route] = usual + NEWEST_WEIGHT * (size - usual)
        mean = self.mean_seconds.get(route, seconds)
        self.mean_seconds[route] = mean + NEWEST_WEIGHT * (seconds - mean)
        self.stats_of(incarnation).failure_rate *= 1 - FAILURE_WEIGHT / 2

    def record_failure(self, incarnation: Incarnation, now: float) -> None:
        """Record a call that its endpoint refused or broke off."""
        stats = self.stats_of(incarnation)
        rate = stats.current_failure_rate(now)
        stats.failure_rate = rate + FAILURE_WEIGHT * (1 - rate)
        stats.failed_at = now

    def service_time(
        self, route: str, stats: EndpointStats, cold: bool, now: float
    ) -> float:
        """Return the expected duration of a call at an endpoint in seconds."""
        usual = self.mean_seconds.get(route, INITIAL_ESTIMATE)
        received = stats.reports.get(route)
        if received is None:
            usual = usual * COLD_FACTOR if cold else usual
        else:
            weight = received.weight(SPEED_HALF_LIFE, now)
            usual += weight * (received.report.expected - usual)
        return usual * stats.current_slowdown(now)

    def hedge_delay(self, route: str, endpoint: Endpoint, now: float) -> float:
        """Return the seconds after which a call is hedged at a second endpoint."""
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
        """Return the seconds that a call would wait for a slot of an endpoint."""
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
        """Return the expected response time of an endpoint in seconds."""
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
        time_left : float
            Seconds until the objective, after which the answer is late.
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
        """Return the required gain in the probability of a late answer."""
        return (
            CROSS_ZONE_MARGIN * (HEADER_BYTES + self.mean_bytes.get(route, 0.0)) / 1000
        )

    def needs_probe(self, endpoint: Endpoint, stats: EndpointStats) -> bool:
        """Return whether an endpoint has no statistics yet and should get a first call.

        A new upstream is assumed to take the mean time, so a node whose current choice
        is faster than the mean would never send it a call.
        """
        local = endpoint.zone == self.zone
        return (
            local
            and not stats.reports
            and not stats.in_flight
            and not stats.failure_rate
        )

    def retain(self, incarnations: Iterable[Incarnation]) -> None:
        """Remove statistics of other incarnations without calls in flight."""
        for incarnation in self.stats.keys() - set(incarnations):
            if self.stats[incarnation].in_flight == 0:
                del self.stats[incarnation]


def late_probability(expected: float, time_left: float) -> float:
    """Return the probability that an answer is late."""
    if time_left <= 0:
        # All answers would be late: prefer the fastest endpoint, of whichever zone.
        return min(1.0, expected)
    ratio = min(expected / time_left, 10.0)
    return ratio**STEEPNESS / (1 + ratio**STEEPNESS)
