"""Policies that choose a target among the eligible ones.

The node's own zone is preferred, since another zone adds 1 ms and may be cut off.
Between two thresholds of its utilisation, the share of calls that spill over to
other zones grows linearly. With a single threshold, the traffic of whole zones
would swing back and forth around it.

Calls also spill over when the zone answers more slowly than the others, up to
nine in ten: a zone with one degraded target shows a low utilisation although its
calls are late. One call in a hundred goes to another zone in any case, so that the
latencies can be compared.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.balancer import Balancer
from sequoiaspoke.core.routing.model import Choice, ChoiceReason
from sequoiaspoke.core.routing.split import stable_hash

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sequoiaspoke.core.routing.model import RouteContext
    from sequoiaspoke.core.routing.settings import RoutingSettings
    from sequoiaspoke.core.rules.model import Endpoint

MIN_SPILL_SHARE = 0.01  # of the calls; keeps latencies of other zones known
# Latency as a multiple of the other zones' at which spilling starts and is full.
SPILL_RATIO_START, SPILL_RATIO_FULL = 1.5, 4.0
MAX_SPILL_FOR_LATENCY = 0.9  # the rest shows when the zone has recovered
MAX_DRAWS = 8  # random draws of a target before one in slow start is accepted


class RoundRobin(Balancer):
    """Choose all targets in turn, as a baseline."""

    def __init__(self, settings: RoutingSettings, zone: str, rng: Random) -> None:
        super().__init__(settings, zone, rng)
        self.turn: Counter[str] = Counter()

    def pick(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        context: RouteContext,  # noqa: ARG002
        now: float,  # noqa: ARG002
    ) -> Choice:
        """Return the next target in turn."""
        self.turn[service] += 1
        position = self.turn[service] % len(endpoints)
        return Choice(endpoints[position], ChoiceReason.IN_TURN)


class PowerOfTwo(Balancer):
    """Choose the less loaded of two random targets, preferring the own zone."""

    def pick(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        context: RouteContext,
        now: float,
    ) -> Choice:
        """Return the less loaded of two targets, or the target of the sticky key."""
        other_calls = self.load.estimate_other_calls(endpoints, now)
        utilisation = {
            each.target: self.load.utilisation(each, other_calls[each.target], now)
            for each in endpoints
        }
        if context.key:
            return self.pick_sticky(service, endpoints, context.key, utilisation)
        near = [each for each in endpoints if each.zone == self.zone]
        far = [each for each in endpoints if each.zone != self.zone]
        if not near:
            return Choice(
                self.less_used(far, utilisation, now), ChoiceReason.OTHER_ZONE
            )
        if far and self.should_spill(near, far, utilisation, now):
            return Choice(self.less_used(far, utilisation, now), ChoiceReason.SPILLED)
        return Choice(self.less_used(near, utilisation, now), ChoiceReason.ZONE)

    def should_spill(
        self,
        near: Sequence[Endpoint],
        far: Sequence[Endpoint],
        utilisation: dict[str, float],
        now: float,
    ) -> bool:
        """Return whether this call goes to another zone."""
        near_utilisation = sum(utilisation[each.target] for each in near) / len(near)
        far_utilisation = sum(utilisation[each.target] for each in far) / len(far)
        start, full = self.settings.spill_start, self.settings.spill_full
        share = MIN_SPILL_SHARE
        if far_utilisation < near_utilisation:
            share = max(share, ramp(near_utilisation, start, full))
        if far_utilisation < full:
            ratio = self.load.latency_ratio(near, far, now)
            share = max(
                share,
                MAX_SPILL_FOR_LATENCY
                * ramp(ratio, SPILL_RATIO_START, SPILL_RATIO_FULL),
            )
        return self.rng.random() < share

    def less_used(
        self, endpoints: Sequence[Endpoint], utilisation: dict[str, float], now: float
    ) -> Endpoint:
        """Return the less loaded of two targets drawn at random."""
        first = self.draw(endpoints, now)
        rest = [each for each in endpoints if each is not first]
        if not rest:
            return first
        second = self.draw(rest, now)
        slowness = self.load.slowness((first, second), now)
        costs = [
            (utilisation[each.target] + 1 / max(1, each.slots)) * slowness[each.target]
            for each in (first, second)
        ]
        return second if costs[1] < costs[0] else first

    def draw(self, endpoints: Sequence[Endpoint], now: float) -> Endpoint:
        """Return a random target, with a lower probability during slow start."""
        drawn = self.rng.choice(endpoints)
        for _ in range(MAX_DRAWS):
            if self.rng.random() < self.slow_start.share(drawn.target, now):
                return drawn
            drawn = self.rng.choice(endpoints)
        return drawn

    def pick_sticky(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        key: str,
        utilisation: dict[str, float],
    ) -> Choice:
        """Return the first target in the key's order that is below the load bound.

        Without the bound a hot key would overload its target while others are
        idle. The excess always goes to the same next target.
        """
        order = sorted(
            endpoints,
            key=lambda each: stable_hash(service, key, each.target),
            reverse=True,
        )
        mean = sum(utilisation.values()) / len(utilisation)
        for position, each in enumerate(order):
            free_slot = 1 / max(1, each.slots)
            bound = self.settings.sticky_bound * mean + free_slot
            # Near saturation the bound exceeds 1, and the first targets of the
            # order would queue calls while the last ones have free slots.
            if utilisation[each.target] <= min(bound, 1.0):
                reason = ChoiceReason.STICKY_MOVED if position else ChoiceReason.STICKY
                return Choice(each, reason)
        least = min(order, key=lambda each: utilisation[each.target])
        return Choice(least, ChoiceReason.STICKY_MOVED)


def ramp(value: float, start: float, full: float) -> float:
    """Return the position of a value between two levels, from 0 to 1."""
    return min(1.0, max(0.0, (value - start) / max(full - start, 1e-9)))


POLICIES = {"power-of-two": PowerOfTwo, "round-robin": RoundRobin}


def make_balancer(settings: RoutingSettings, zone: str, rng: Random) -> Balancer:
    """Return the balancer that the settings select."""
    return POLICIES[settings.policy](settings, zone, rng)
