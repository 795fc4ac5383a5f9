"""Group the known endpoints by service and by VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.held import NOBODY, Group

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.held import Held
    from sequoiaspoke.core.mesh.model import Endpoint

# Count of changes at which no grouping was made yet.
NEVER = -1


class Grouping:
    """The endpoints in groups, made anew only when they are asked for after a change.

    A list of n entries would else be grouped n times.

    Attributes
    ----------
    closed_zones : frozenset of str
        Zones whose endpoints get no new calls.
    """

    def __init__(self) -> None:
        self.closed_zones: frozenset[str] = frozenset()
        self.services: dict[str, Group] = {}
        self.hosts: dict[str, tuple[Endpoint, ...]] = {}
        self.made_at = NEVER

    def close_zones(self, zones: frozenset[str]) -> None:
        """Choose no endpoints of some zones, and those of all others again."""
        self.closed_zones = zones
        self.made_at = NEVER

    def refresh(self, held: dict[str, Held], serial: int) -> None:
        """Group anew if any endpoint has changed since the last time."""
        if self.made_at == serial:
            return
        self.made_at = serial
        services: dict[str, list[Endpoint]] = {}
        hosts: dict[str, list[Endpoint]] = {}
        for each in held.values():
            hosts.setdefault(each.endpoint.host, []).append(each.endpoint)
            if each.chosen and each.endpoint.zone not in self.closed_zones:
                services.setdefault(each.endpoint.service, []).append(each.endpoint)
        self.services = {name: Group.of(group) for name, group in services.items()}
        self.hosts = {host: tuple(group) for host, group in hosts.items()}

    def service(self, name: str) -> Group:
        """Return the endpoints of a service that take new calls."""
        return self.services.get(name, NOBODY)
