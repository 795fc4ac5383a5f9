"""Find the targets of a zone that may run a service's keys at one version."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.epoch import digest_of
from sequoiaspoke.core.rules.model import Comparison, Field, RouteTo

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Condition, Rule
    from sequoiaspoke.core.rules.weights import WeightedService
    from sequoiaspoke.core.snapshot.model import Snapshot

HASH_RANGE = float(1 << 64)


class Assignment:
    """The part of the installed version that decides where a zone's keys run."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.snapshot: Snapshot | None = None
        self.routes: dict[str, str] = {}

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Take an installed version."""
        if self.snapshot is None or snapshot.rules != self.snapshot.rules:
            self.routes = keyed_routes(snapshot)
        self.snapshot = snapshot

    def targets(self, service: str) -> tuple[str, ...]:
        """Return the targets of a service in the zone."""
        if self.snapshot is None:
            return ()
        return zone_targets(self.snapshot, service, self.zone)

    def digest(self, service: str) -> str:
        """Return a digest of a service's assignment.

        It covers the routes of keyed calls too. If a changed rule sends a retry to
        another service, the home there does not know the first attempt; a changed
        digest ends its lease, so that it does not run the key again.
        """
        return digest_of((*self.targets(service), self.routes.get(service, "")))


def zone_targets(snapshot: Snapshot, service: str, zone: str) -> tuple[str, ...]:
    """Return the targets of a service in a zone."""
    found = snapshot.services.get(service)
    endpoints = found.endpoints if found else ()
    return tuple(endpoint.target for endpoint in endpoints if endpoint.zone == zone)


def keyed_rules(snapshot: Snapshot) -> tuple[Rule, ...]:
    """Return the rules that route keyed calls, in rule order."""
    return tuple(
        rule
        for rule in snapshot.rules
        if not rule.policy.idempotent and isinstance(rule.then, RouteTo)
    )


def keyed_routes(snapshot: Snapshot) -> dict[str, str]:
    """Return for each service a digest of the rules that route keyed calls to it.

    A call moves to a service when a rule for that service is added, or when an
    earlier rule that matched the call is removed. So the digest covers each rule
    of the service together with the earlier rules that may match the same request.
    Other services and the order of unrelated rules do not affect it.
    """
    rules = keyed_rules(snapshot)
    routes: dict[str, list[str]] = {}
    for position, rule in enumerate(rules):
        earlier = [
            repr((other.when, other.then))
            for other in rules[:position]
            if may_overlap(other.when, rule.when)
        ]
        text = repr((rule.when, rule.then, sorted(earlier)))
        for to in rule.then.split:
            routes.setdefault(to.service, []).append(text)
    return {service: digest_of(texts) for service, texts in routes.items()}


def may_overlap(one: tuple[Condition, ...], other: tuple[Condition, ...]) -> bool:
    """Return whether a request can match both; true if that is undecided."""
    return not any(
        _are_disjoint(mine, theirs)
        for mine in one
        for theirs in other
        if mine.field is theirs.field and mine.field in (Field.METHOD, Field.PATH)
    )


def _are_disjoint(one: Condition, other: Condition) -> bool:
    compared = (one.comparison, other.comparison)
    if any(each not in (Comparison.EXACT, Comparison.PREFIX) for each in compared):
        return False
    return not any(
        _values_overlap(mine, one.comparison, theirs, other.comparison)
        for mine in one.values
        for theirs in other.values
    )


def _values_overlap(
    one: str, how: Comparison, other: str, other_how: Comparison
) -> bool:
    if how is Comparison.PREFIX and other.startswith(one):
        return True
    if other_how is Comparison.PREFIX and one.startswith(other):
        return True
    return one == other


def pick_by_key(text: str, split: tuple[WeightedService, ...]) -> str:
    """Choose a service of a weighted split, the same one for each use of a key."""
    digest = blake2b(text.encode(), digest_size=8).digest()
    total = sum(each.weight for each in split)
    remaining = int.from_bytes(digest, "big") / HASH_RANGE * total
    for each in split:
        remaining -= each.weight
        if remaining < 0:
            return each.service
    return split[-1].service
