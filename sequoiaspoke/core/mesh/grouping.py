"""Group the known endpoints by service and by VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.records import EMPTY_GROUP, EndpointGroup

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.model import Endpoint
    from sequoiaspoke.core.mesh.records import EndpointRecord

# Serial that no directory has; forces a rebuild.
NOT_BUILT = -1


class Grouping:
    """The endpoints by service and by VM.

    Groups are rebuilt on the first access after a change, not at each change: a list of
    n entries would otherwise be grouped n times.

    Attributes
    ----------
    excluded_zones : frozenset of str
        Evacuated zones, whose endpoints get no new calls.
    """

    def __init__(self) -> None:
        self.excluded_zones: frozenset[str] = frozenset()
        self.services: dict[str, EndpointGroup] = {}
        self.hosts: dict[str, tuple[Endpoint, ...]] = {}
        self.built_at = NOT_BUILT

    def exclude_zones(self, zones: frozenset[str]) -> None:
        """Set the excluded zones, in place of those set before."""
        self.excluded_zones = zones
        self.built_at = NOT_BUILT

    def refresh(self, records: dict[str, EndpointRecord], serial: int) -> None:
        """Rebuild the groups if any endpoint has changed since the last time."""
        if self.built_at == serial:
            return
        self.built_at = serial
        services: dict[str, list[Endpoint]] = {}
        hosts: dict[str, list[Endpoint]] = {}
        for each in records.values():
            hosts.setdefault(each.endpoint.host, []).append(each.endpoint)
            if each.takes_calls and each.endpoint.zone not in self.excluded_zones:
                services.setdefault(each.endpoint.service, []).append(each.endpoint)
        self.services = {
            name: EndpointGroup.of(group) for name, group in services.items()
        }
        self.hosts = {host: tuple(group) for host, group in hosts.items()}

    def service(self, name: str) -> EndpointGroup:
        """Return the endpoints of a service that take new calls."""
        return self.services.get(name, EMPTY_GROUP)
