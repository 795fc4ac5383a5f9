"""What is known at a node of one published endpoint, and of those of a service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.model import PublishedEndpoint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.model import Departure, Endpoint


@dataclass(frozen=True)
class Held(PublishedEndpoint):
    """What is known of a published endpoint here."""

    cold_until: float = 0.0

    @property
    def chosen(self) -> bool:
        """Return whether it takes new calls."""
        return self.readable and not self.endpoint.draining

    def superseded_by(self, endpoint: Endpoint, revision: int) -> bool:
        """Return whether an entry of the same name is news."""
        if endpoint.born != self.endpoint.born:
            return endpoint.born > self.endpoint.born
        # A published leave is not taken back by a late report of the same start.
        returns = self.endpoint.draining and not endpoint.draining
        return revision > self.revision and not returns

    def cold_left(self, now: float) -> float:
        """Return how many more seconds the endpoint stays slow."""
        return max(0.0, self.cold_until - now)


@dataclass(frozen=True)
class Left:
    """A departure and when it was learnt."""

    departure: Departure
    when: float


@dataclass(frozen=True)
class Group:
    """The endpoints of a service that take new calls."""

    endpoints: tuple[Endpoint, ...] = ()
    by_zone: dict[str, tuple[Endpoint, ...]] = field(default_factory=dict)

    @classmethod
    def of(cls, endpoints: Iterable[Endpoint]) -> Group:
        """Return endpoints as a group."""
        found = tuple(endpoints)
        zones = {endpoint.zone for endpoint in found}
        by_zone = {zone: tuple(e for e in found if e.zone == zone) for zone in zones}
        return cls(found, by_zone)

    def in_zone(self, zone: str) -> tuple[Endpoint, ...]:
        """Return those of a zone."""
        return self.by_zone.get(zone, ())


NOBODY = Group()
