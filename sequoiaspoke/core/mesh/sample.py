"""Draw the few endpoints among which a call's is chosen.

The load this answers: a service of dozens of upstreams, called by hundreds of entries
of which each hears from one home once in seconds. Were all endpoints compared, each
entry would send its calls to the few that it last knew to be the fastest, the same few
as the others, and calls would queue there beside idle upstreams. Of a few drawn at
random the best is nearly as good, and the calls spread; and what a choice costs does
not grow with the service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from sequoiaspoke.core.mesh.model import Endpoint

# Services of so many endpoints are compared whole: an entry hears of each of them
# several times a second, and one slow or failing endpoint is a good part of them.
FULL_COMPARISON_LIMIT = 8
# Endpoints drawn from the own zone, and from all zones beside them. With more, entries
# agree on the same endpoints; with fewer, a slow one is often the best that was drawn.
SAME_ZONE_DRAWS, ANY_ZONE_DRAWS = 2, 1
# Draws for each endpoint wanted; most fail only where most endpoints are out of reach.
DRAWS_PER_ENDPOINT = 3


class Sampler:
    """Draws endpoints at random."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng

    def candidates(
        self,
        endpoints: Sequence[Endpoint],
        same_zone: Sequence[Endpoint],
        is_eligible: Callable[[Endpoint], bool],
    ) -> list[Endpoint]:
        """Return a few endpoints that are open to a call; none only if all are closed.

        Parameters
        ----------
        endpoints, near : sequence of Endpoint
            Those of the service, and those of them in the own zone.
        is_open : callable
            Whether the call may be tried at an endpoint.
        """
        if len(endpoints) <= FULL_COMPARISON_LIMIT:
            return [each for each in endpoints if is_eligible(each)]
        drawn = self.draw(same_zone, SAME_ZONE_DRAWS, is_eligible)
        # With the own zone empty all come from elsewhere: one drawn alone would be a
        # choice by chance, and other zones would not be loaded by the room they have.
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
        """Return so many endpoints at most, each once."""
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
