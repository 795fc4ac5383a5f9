"""Which targets of a zone may run the keys of a service, at one version."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.epoch import digest_of
from sequoiaspoke.core.rules.model import RouteTo

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import WeightedService
    from sequoiaspoke.core.snapshot.model import Snapshot

HASH_RANGE = float(1 << 64)


class Assignment:
    """The installed version as the keys of one zone see it."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.snapshot: Snapshot | None = None
        self.routes = ""
        self.keyed_services: frozenset[str] = frozenset()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Learn of an installed version."""
        if self.snapshot is None or snapshot.rules != self.snapshot.rules:
            self.routes = keyed_routes(snapshot)
            self.keyed_services = keyed_services(snapshot)
        self.snapshot = snapshot

    def targets(self, service: str) -> tuple[str, ...]:
        """Return the targets of a service in the zone."""
        if self.snapshot is None:
            return ()
        return zone_targets(self.snapshot, service, self.zone)

    def digest(self, service: str) -> str:
        """Return what tells this assignment of a service from another.

        The routes of keyed calls are part of it. A rule that sends a booking to
        another service between two attempts would else find a home there that
        never heard of the first.
        """
        return digest_of((*self.targets(service), self.routes))


def zone_targets(snapshot: Snapshot, service: str, zone: str) -> tuple[str, ...]:
    """Return the targets of a service in a zone."""
    found = snapshot.services.get(service)
    endpoints = found.endpoints if found else ()
    return tuple(endpoint.target for endpoint in endpoints if endpoint.zone == zone)


def keyed_routes(snapshot: Snapshot) -> str:
    """Return a digest of the rules that route keyed calls, in their order."""
    routes = [
        (rule.when, rule.then)
        for rule in snapshot.rules
        if not rule.policy.idempotent and isinstance(rule.then, RouteTo)
    ]
    return blake2b(repr(routes).encode(), digest_size=8).hexdigest()


def keyed_services(snapshot: Snapshot) -> frozenset[str]:
    """Return the services to which keyed calls are routed."""
    return frozenset(
        to.service
        for rule in snapshot.rules
        if not rule.policy.idempotent and isinstance(rule.then, RouteTo)
        for to in rule.then.split
    )


def pick_by_key(text: str, split: tuple[WeightedService, ...]) -> str:
    """Choose a service of a split, the same one for each repeat of a key."""
    digest = blake2b(text.encode(), digest_size=8).digest()
    total = sum(each.weight for each in split)
    left = int.from_bytes(digest, "big") / HASH_RANGE * total
    for each in split:
        left -= each.weight
        if left < 0:
            return each.service
    return split[-1].service
