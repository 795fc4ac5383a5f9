"""The ways in which a target is chosen among those that may take a call.

The own zone goes first, since another one costs 1 ms and may be cut off. Calls
leave it in proportion to its use between two thresholds: a fixed point would
swing whole zones of traffic back and forth as the use crosses it. They also
leave it as it answers more slowly than the others, up to nine in ten: a zone
with one sick target is not busy, its calls are just late. One call in a hundred
goes to another zone in any case, which is what makes the comparison possible.
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

MIN_SPILL_SHARE = 0.01  # part of the calls that leave a healthy zone
# Latency as a multiple of the other zones'.
SPILL_RATIO_START, SPILL_RATIO_FULL = 1.5, 4.0
MAX_SPILL_FOR_LATENCY = 0.9  # the rest shows when the zone is well again
MAX_DRAWS = 8  # tries to draw a target in proportion to its slow start


class RoundRobin(Balancer):
    """Take turns over all targets; the baseline."""

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
    """Take the less loaded of two random targets, own zone first."""

    def pick(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        context: RouteContext,
        now: float,
    ) -> Choice:
        """Return the better of two, or the target of the sticky key."""
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
        """Return whether this call leaves the zone."""
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
        """Return the less used of two targets drawn at random."""
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
        """Return a random target, one in slow start less often."""
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
        """Return the key's target, or the next one that is not overloaded.

        A hot key would overload its target while the others idle; the bound
        moves the excess on, always to the same next target.
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
            # Near saturation the bound alone would leave the last targets of
            # the order part idle while the first ones queue.
            if utilisation[each.target] <= min(bound, 1.0):
                reason = ChoiceReason.STICKY_MOVED if position else ChoiceReason.STICKY
                return Choice(each, reason)
        least = min(order, key=lambda each: utilisation[each.target])
        return Choice(least, ChoiceReason.STICKY_MOVED)


def ramp(value: float, start: float, full: float) -> float:
    """Return how far a value is from a start to a full level, from 0 to 1."""
    return min(1.0, max(0.0, (value - start) / max(full - start, 1e-9)))


POLICIES = {"power-of-two": PowerOfTwo, "round-robin": RoundRobin}


def make_balancer(settings: RoutingSettings, zone: str, rng: Random) -> Balancer:
    """Return the balancer that the settings name."""
    return POLICIES[settings.policy](settings, zone, rng)
