"""Records of single endpoints and departures, and the endpoints of a service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.model import PublishedEndpoint
from sequoiaspoke.core.mesh.revision import era_of, is_copied

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.model import Departure, Endpoint


@dataclass(frozen=True)
class EndpointRecord(PublishedEndpoint):
    """A published endpoint and until when this node considers it cold."""

    cold_until: float = 0.0

    @property
    def takes_calls(self) -> bool:
        """Return whether the endpoint may get new calls."""
        return self.readable and not self.endpoint.draining

    def superseded_by(self, endpoint: Endpoint, revision: int) -> bool:
        """Return whether an entry of the same instance replaces this one."""
        if endpoint.born != self.endpoint.born:
            return endpoint.born > self.endpoint.born
        # An incarnation that drains never returns, so its drain counts whatever the
        # order of the reports.
        if endpoint.draining != self.endpoint.draining:
            return endpoint.draining
        return revision > self.revision

    def cold_remaining(self, now: float) -> float:
        """Return how many more seconds the endpoint stays cold."""
        return max(0.0, self.cold_until - now)


@dataclass(frozen=True)
class DepartureRecord:
    """A departure and when this node learned of it.

    Attributes
    ----------
    written : int
        Revision of the entry's last known write, 0 if not known.
    """

    departure: Departure
    learned_at: float
    written: int = 0

    def allows(self, endpoint: Endpoint, revision: int) -> bool:
        """Return whether an entry of the same name is newer than this departure.

        A store that came back from a copy may still have the entry that was removed
        before.
        """
        departure = self.departure
        restored = era_of(revision) > era_of(departure.revision)
        if (
            restored
            and endpoint.born == departure.born
            and is_copied(revision, self.written)
        ):
            return False
        return departure.allows(endpoint, revision)


@dataclass(frozen=True)
class EndpointGroup:
    """The endpoints of a service that take new calls."""

    endpoints: tuple[Endpoint, ...] = ()
    by_zone: dict[str, tuple[Endpoint, ...]] = field(default_factory=dict)

    @classmethod
    def of(cls, endpoints: Iterable[Endpoint]) -> EndpointGroup:
        """Group endpoints by zone."""
        found = tuple(endpoints)
        zones = {endpoint.zone for endpoint in found}
        by_zone = {zone: tuple(e for e in found if e.zone == zone) for zone in zones}
        return cls(found, by_zone)

    def in_zone(self, zone: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a zone."""
        return self.by_zone.get(zone, ())


EMPTY_GROUP = EndpointGroup()
