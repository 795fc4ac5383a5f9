"""Estimate the current duration of calls at one upstream.

An upstream that becomes slow shows in late answers, and earlier in calls that are still
unanswered. A high estimate keeps calls away from the upstream, and without calls its
recovery could not be measured; estimates therefore decay with time.

Some upstreams report their pace: how long work takes on their machine at this moment.
It changes by a factor of 2.5 within 0.6 s, faster than a mean over calls can follow.
Means are therefore kept without the pace, and the expected duration is the mean times
the current pace.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from sequoiaspoke.core.mesh.pace import Pace

# Weight of the newest measurement. A change shows after about seven calls, which is
# less than half a second of traffic, while one slow call in a hundred has little
# effect.
NEWEST_WEIGHT = 0.12
# Seconds without a measurement after which an estimate starts to decay, and its
# half-life.
STALE_SECONDS = 4.0
# Assumed duration in seconds before the first measurement.
INITIAL_ESTIMATE = 0.1
# Multiple of the mean duration that 99 in 100 calls of a route stay below.
LONGEST_CALL_FACTOR = 4.0
# Seconds of measurements in which the longest duration of a route is looked for, at
# least. A call in a hundred is long, and some routes have a call or two in a second.
LONGEST_WINDOW = 60.0
# Ratio to the expected duration from which running calls show that their upstream is
# slow. Durations vary by a third and more; one call in a hundred takes five times as
# long.
SLOWDOWN_THRESHOLD = 1.5


@dataclass
class RunningCalls:
    """The running calls of a route.

    Attributes
    ----------
    starts : dict of object to float
        When each of them began, by ticket, in this order.
    began : float
        Sum of these times.
    """

    starts: dict[object, float] = field(default_factory=dict)
    began: float = 0.0

    @property
    def count(self) -> int:
        """Return their number."""
        return len(self.starts)

    def add(self, ticket: object, began: float) -> None:
        """Add a call that begins."""
        self.starts[ticket] = began
        self.began += began

    def remove(self, ticket: object) -> float:
        """Remove a call that has ended; return when it began."""
        began = self.starts.pop(ticket)
        self.began = self.began - began if self.starts else 0.0
        return began

    def longest(self, now: float) -> float:
        """Return for how many seconds the first of them has run."""
        return now - next(iter(self.starts.values()), now)


@dataclass
class LongestSeen:
    """The longest measured duration of the calls of a route.

    It is that of the current window and of the one before, so that a route without
    calls keeps its last one.

    Attributes
    ----------
    since : float
        When the first measured call began.
    began : float
        When the current window began.
    current, before : float
        Longest duration in each of them in seconds.
    """

    since: float
    began: float
    current: float = 0.0
    before: float = 0.0

    @property
    def seconds(self) -> float:
        """Return the longest duration in seconds."""
        return max(self.current, self.before)

    def record(self, seconds: float, now: float) -> None:
        """Record a measured duration."""
        if now - self.began > LONGEST_WINDOW:
            self.began, self.before, self.current = now, self.current, 0.0
        self.current = max(self.current, seconds)


@dataclass(frozen=True)
class MeasuredRoute:
    """What was measured of the calls of a route.

    Attributes
    ----------
    longest : float
        Longest duration in seconds.
    seconds : float
        Seconds for which calls were measured.
    """

    longest: float = 0.0
    seconds: float = 0.0


# Of a route that no call was measured of.
UNMEASURED = MeasuredRoute()


class MeasuredRoutes:
    """Longest measured durations of calls, by route."""

    def __init__(self) -> None:
        self.seen: dict[str, LongestSeen] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record the duration of a call that has ended."""
        seen = self.seen.setdefault(route, LongestSeen(now - seconds, now))
        seen.record(seconds, now)

    def of(self, route: str, now: float) -> MeasuredRoute:
        """Return what was measured of a route."""
        seen = self.seen.get(route)
        if seen is None:
            return UNMEASURED
        return MeasuredRoute(seen.seconds, now - seen.since)


class Durations:
    """Running calls and measured durations of one upstream, by route.

    Attributes
    ----------
    running : dict of object to str
        Routes of the running calls, by ticket.
    running_by_route : dict of str to RunningCalls
        When they began, with sums, as hundreds of calls may run and each answer carries
        an estimate.
    mean : dict of str to tuple
        Mean seconds at the usual pace, number of measurements and time of the last one,
        by route.
    overall : float
        Mean seconds of all calls at the usual pace.
    measured : MeasuredRoutes
        Longest measured durations, by route.
    """

    def __init__(self) -> None:
        self.pace = Pace()
        self.mean: dict[str, tuple[float, int, float]] = {}
        self.overall = INITIAL_ESTIMATE
        self.measured = MeasuredRoutes()
        self.running: dict[object, str] = {}
        self.running_by_route: defaultdict[str, RunningCalls] = defaultdict(
            RunningCalls
        )

    def begin(self, ticket: object, route: str, now: float) -> None:
        """Record the start of a call."""
        self.running[ticket] = route
        self.running_by_route[route].add(ticket, now)

    def end(self, ticket: object, answered: bool, now: float) -> None:
        """Record the end of a call, and its duration if it was answered.

        The pace reported with the answer must have been recorded before.
        """
        route = self.running.pop(ticket)
        begun = self.running_by_route[route].remove(ticket)
        if not answered:
            return
        self.measured.record(route, now - begun, now)
        seconds = (now - begun) / self.pace.between_answers(now)
        mean, count, _ = self.mean.get(route, (seconds, 0, now))
        weight = max(NEWEST_WEIGHT, 1 / (count + 1))
        self.mean[route] = (mean + weight * (seconds - mean), count + 1, now)
        self.overall += NEWEST_WEIGHT * (seconds - self.overall)

    def reset(self) -> None:
        """Discard all measurements, but keep the running calls."""
        self.mean.clear()
        self.measured.seen.clear()
        self.overall = INITIAL_ESTIMATE
        self.pace.forget()

    def expected(self, route: str, now: float) -> float:
        """Return the expected duration of a call of a route in seconds."""
        mean, _, measured = self.mean.get(route, (self.overall, 0, now))
        age = now - measured
        if age > STALE_SECONDS:
            mean *= 0.5 ** (age / STALE_SECONDS - 1)
        return mean * self.pace.current(now)

    def measured_for(self, route: str, now: float) -> float:
        """Return the seconds for which calls of a route were measured.

        Of calls that take longer, none may have ended yet.
        """
        return self.measured.of(route, now).seconds

    def longest(self, route: str, now: float) -> float:
        """Return the seconds within which a call of a route ends by all that is known.

        A route without measurements is assumed to be as long as the longest other one.
        Calls that still run tell that others may take as long.
        """
        seen = self.measured.seen.get(route)
        if seen is None:
            known = (each.seconds for each in self.measured.seen.values())
            longest = max(known, default=0.0)
        else:
            longest = seen.seconds
        return max(
            longest,
            self.running_by_route[route].longest(now),
            LONGEST_CALL_FACTOR * self.expected(route, now),
        )

    def expected_overall(self, now: float) -> float:
        """Return the expected duration of a call of any route in seconds."""
        return self.overall * self.pace.current(now)

    def mean_running(self, now: float) -> float:
        """Return the mean expected duration of the running calls in seconds."""
        if not self.running:
            return 0.0
        total = sum(
            calls.count * self.expected(route, now)
            for route, calls in self.running_by_route.items()
            if calls.count
        )
        return total / len(self.running)

    def slowdown(self, now: float) -> float:
        """Return the running calls' ratio to the expected duration, at least 1."""
        if not self.running:
            return 1.0
        total = 0.0
        for route, calls in self.running_by_route.items():
            if calls.count:
                spent = calls.count * now - calls.began
                total += spent / max(self.expected(route, now), 0.001)
        ratio = total / len(self.running)
        return ratio if ratio > SLOWDOWN_THRESHOLD else 1.0
