"""Compare two sets of declarations."""

from __future__ import annotations

import dataclasses
import difflib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from sequoiaspoke.core.rules.grammar import describe_action, describe_conditions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiaspoke.core.rules.model import Endpoint, Rule, Service
    from sequoiaspoke.core.rules.parse import Declarations


class ChangeKind(Enum):
    """Kind of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    MOVED = "moved"
    CHANGED = "changed"


@dataclass(frozen=True)
class Change:
    """One difference; `detail` is empty if the kind is enough."""

    kind: ChangeKind
    subject: str
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.kind.value} {self.subject}"
        return f"{text}: {self.detail}" if self.detail else text


def compare(old: Declarations, new: Declarations) -> tuple[Change, ...]:
    """Return all differences: first those of rules, then those of services."""
    return (
        *_rule_changes(old.rules, new.rules),
        *_service_changes(old.services, new.services),
    )


def _rule_changes(old: tuple[Rule, ...], new: tuple[Rule, ...]) -> Iterator[Change]:
    before = {rule.name: rule for rule in old}
    after = {rule.name: rule for rule in new}
    for name in before:
        if name not in after:
            yield Change(ChangeKind.REMOVED, f"rule {name}")
    for name, rule in after.items():
        if name not in before:
            yield Change(ChangeKind.ADDED, f"rule {name}", _summary(rule))
    for name in sorted(_moved_rules(list(before), list(after))):
        positions = (
            f"from {list(before).index(name) + 1} to {list(after).index(name) + 1}"
        )
        yield Change(ChangeKind.MOVED, f"rule {name}", positions)
    for name, rule in after.items():
        if name in before:
            yield from _field_changes(
                f"rule {name}", _rule_fields(before[name]), _rule_fields(rule)
            )


def _moved_rules(old: list[str], new: list[str]) -> set[str]:
    # Additions and removals shift the positions of all later rules. Only rules whose
    # order changed relative to the other rules in both sets count as moved.
    old_order = [name for name in old if name in new]
    new_order = [name for name in new if name in old]
    matcher = difflib.SequenceMatcher(None, old_order, new_order, autojunk=False)
    kept = {
        name
        for block in matcher.get_matching_blocks()
        for name in old_order[block.a : block.a + block.size]
    }
    return set(old_order) - kept


def _summary(rule: Rule) -> str:
    return f"{describe_conditions(rule.when)} -> {describe_action(rule.then)}"


def _rule_fields(rule: Rule) -> dict[str, Any]:
    policy = rule.policy
    return {
        "when": describe_conditions(rule.when),
        "then": describe_action(rule.then),
        "timeout": f"{policy.timeout:g}",
        "attempts": policy.attempts,
        "idempotent": "yes" if policy.idempotent else "no",
        "priority": policy.priority.value,
        "caller": policy.caller_header or "none",
    }


def _service_changes(
    old: tuple[Service, ...], new: tuple[Service, ...]
) -> Iterator[Change]:
    before = {service.name: service for service in old}
    after = {service.name: service for service in new}
    for name in before:
        if name not in after:
            yield Change(ChangeKind.REMOVED, f"service {name}")
    for name, service in after.items():
        if name not in before:
            count = f"endpoints: {len(service.endpoints)}"
            yield Change(ChangeKind.ADDED, f"service {name}", count)
        else:
            yield from _endpoint_changes(
                name, before[name].endpoints, service.endpoints
            )


def _endpoint_changes(
    service: str, old: tuple[Endpoint, ...], new: tuple[Endpoint, ...]
) -> Iterator[Change]:
    before = {endpoint.target: endpoint for endpoint in old}
    after = {endpoint.target: endpoint for endpoint in new}
    for target in before:
        if target not in after:
            yield Change(ChangeKind.REMOVED, f"target {target} of {service}")
    for target, endpoint in after.items():
        subject = f"target {target} of {service}"
        plain = dataclasses.asdict(endpoint)
        if target not in before:
            place = f"{endpoint.zone} {endpoint.address}:{endpoint.mesh_port}"
            yield Change(ChangeKind.ADDED, subject, place)
        else:
            yield from _field_changes(
                subject, dataclasses.asdict(before[target]), plain
            )


def _field_changes(
    subject: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Change]:
    for key, value in new.items():
        if old[key] != value:
            detail = f"{key}: {old[key]} -> {value}"
            yield Change(ChangeKind.CHANGED, subject, detail)
