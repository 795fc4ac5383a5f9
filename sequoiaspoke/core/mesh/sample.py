"""Draw a random sample of endpoints from which the balancer chooses.

In a service of dozens of upstreams and hundreds of entries, each entry gets a load
report of a home only every few seconds. If it compared all endpoints, all entries would
send their calls to the same few that were last reported as fastest, and calls would
queue there while other upstreams are idle. The best of a small random sample is nearly
as good and spreads the calls, and the cost of a choice does not grow with the service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from sequoiaspoke.core.mesh.model import Endpoint

# Maximum number of endpoints that are compared without sampling. An entry gets reports
# of each several times a second, and one slow or failing endpoint is a large part of
# them.
FULL_COMPARISON_LIMIT = 8
# Endpoints drawn from the local zone, and additionally from all zones. With more,
# entries agree on the same endpoints; with fewer, a slow one is often the best of the
# sample.
SAME_ZONE_DRAWS, ANY_ZONE_DRAWS = 2, 1
# Maximum number of draws per endpoint. Most draws fail only if most endpoints are not
# eligible.
DRAWS_PER_ENDPOINT = 3


class Sampler:
    """Draws random endpoints."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def candidates(
        self,
        endpoints: Sequence[Endpoint],
        same_zone: Sequence[Endpoint],
        is_eligible: Callable[[Endpoint], bool],
    ) -> list[Endpoint]:
        """Return a few eligible endpoints; none only if no endpoint is eligible.

        Parameters
        ----------
        endpoints, same_zone : sequence of Endpoint
            Endpoints of the service, and those of them in the local zone.
        is_eligible : callable
            Whether the call may be sent to an endpoint.
        """
        if len(endpoints) <= FULL_COMPARISON_LIMIT:
            return [each for each in endpoints if is_eligible(each)]
        drawn = self.draw(same_zone, SAME_ZONE_DRAWS, is_eligible)
        # If the local zone is empty, all are drawn from other zones. A single one would
        # be a random choice that ignores the load in those zones.
        drawn += self.draw(
            endpoints, SAME_ZONE_DRAWS + ANY_ZONE_DRAWS - len(drawn), is_eligible
        )
        return drawn or [each for each in endpoints if is_eligible(each)]

    def draw(
        self,
        endpoints: Sequence[Endpoint],
        wanted: int,
        is_eligible: Callable[[Endpoint], bool],
    ) -> list[Endpoint]:
        """Return up to `wanted` distinct eligible endpoints."""
        drawn: list[Endpoint] = []
        if not endpoints:
            return drawn
        for _ in range(DRAWS_PER_ENDPOINT * wanted):
            endpoint = endpoints[int(self.rng.random() * len(endpoints))]
            if is_eligible(endpoint) and endpoint not in drawn:
                drawn.append(endpoint)
                if len(drawn) == wanted:
                    break
        return drawn
