"""Validate the rules and services of a version.

Every node validates a version before it installs it, and `check` does so before it is
published. The result depends on the data alone, so either all nodes accept a version
or all refuse it. Invalid values yield problems, never an exception: a node that raised
one here would keep an old version without reporting why.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.compare import is_wildcard
from sequoiaspoke.core.rules.model import (
    Comparison,
    Field,
    Redirect,
    Refuse,
    RouteTo,
)
from sequoiaspoke.core.rules.names import (
    NAME,
    NAME_ALLOWED,
    TOKEN,
    UNPRINTABLE,
    printable,
)
from sequoiaspoke.core.rules.validservice import check_service, duplicate_endpoints
from sequoiaspoke.errors import Problem

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from sequoiaspoke.core.rules.model import (
        Condition,
        Rule,
        Service,
    )
    from sequoiaspoke.core.rules.weights import WeightedService

MAX_TIMEOUT = (
    3600.0  # seconds; a longer call would last beyond any planned stop of a node
)
MAX_ATTEMPTS = 10
MAX_WEIGHT = 1_000_000
MAX_VALUE_LENGTH = 4096  # characters of a condition's value or a location
MAX_RULES = 5000  # building a larger matcher would delay calls
MAX_METHODS = 16  # the matcher builds one index per named method
REDIRECT_CODES = (301, 302, 303, 307, 308)
REASON = re.compile(r"[a-z0-9][a-z0-9-]{0,63}")
LOCATION = re.compile(r"(https?://[^\s/]+)?(/[^\s]*)?")
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
ALLOWED_COMPARISONS = {
    Field.METHOD: (Comparison.EXACT,),
    Field.HOST: (Comparison.EXACT,),
    Field.ZONE: (Comparison.EXACT,),
    Field.PATH: (Comparison.EXACT, Comparison.PREFIX, Comparison.SEGMENTS),
    Field.HEADER: (Comparison.EXACT, Comparison.PREFIX, Comparison.PRESENT),
    Field.QUERY: (Comparison.EXACT, Comparison.PREFIX, Comparison.PRESENT),
}


@dataclass(frozen=True)
class UnchangedParts:
    """Parts that are the same as in an earlier version without errors.

    Attributes
    ----------
    rules : bool
        Whether all rules are unchanged.
    services : frozenset of str
        Names of the unchanged services.
    """

    rules: bool = False
    services: frozenset[str] = frozenset()


def validate(
    rules: Iterable[Rule],
    services: Iterable[Service],
    unchanged: UnchangedParts | None = None,
) -> tuple[Problem, ...]:
    """Return all errors and warnings of a version, in the order of its parts.

    A version with an error must not be installed. A warning marks something that is
    probably a mistake.

    Parameters
    ----------
    accepted : Accepted or None
        Parts that need no check of their own again. Errors are the same with and
        without it; warnings about these parts may be missing.
    """
    unchanged = unchanged or UnchangedParts()
    rules, services = tuple(rules), tuple(services)
    endpoint_counts = {service.name: len(service.endpoints) for service in services}
    zones = {each.zone for service in services for each in service.endpoints}
    problems = list(_check_names("rule", (rule.name for rule in rules)))
    problems += _check_names("service", (service.name for service in services))
    problems += _check_method_count(rules)
    if len(rules) > MAX_RULES:
        problems.append(Problem(f"{len(rules)} rules; allowed: {MAX_RULES}"))
    if not rules:
        problems.append(Problem("no rule: every request is refused", warning=True))
    if not unchanged.rules or not _routes_have_endpoints(rules, endpoint_counts):
        for rule in rules:
            problems += _check_rule(rule, endpoint_counts, zones)
    for service in services:
        if service.name not in unchanged.services:
            problems += check_service(service)
    problems += duplicate_endpoints(services)
    return tuple(problems)


def errors_of(problems: Iterable[Problem]) -> tuple[Problem, ...]:
    """Return the problems that are errors, not warnings."""
    return tuple(problem for problem in problems if not problem.warning)


def _check_names(kind: str, names: Iterable[str]) -> Iterator[Problem]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Problem(
                f"duplicate name, given {count} times",
                section=f"{kind} {printable(name)}",
            )
        if not NAME.fullmatch(name):
            message = f"bad name; allowed: {NAME_ALLOWED}"
            yield Problem(message, section=f"{kind} {printable(name)}")


def _check_method_count(rules: tuple[Rule, ...]) -> Iterator[Problem]:
    methods = {
        value
        for rule in rules
        for condition in rule.when
        if condition.field is Field.METHOD
        for value in condition.values
    }
    if len(methods) > MAX_METHODS:
        yield Problem(f"{len(methods)} different methods; allowed: {MAX_METHODS}")


def _routes_have_endpoints(
    rules: tuple[Rule, ...], endpoint_counts: dict[str, int]
) -> bool:
    return all(
        endpoint_counts.get(part.service, 0) > 0
        for rule in rules
        if isinstance(rule.then, RouteTo)
        for part in rule.then.split
    )


def _check_rule(
    rule: Rule, endpoint_counts: dict[str, int], zones: set[str]
) -> list[Problem]:
    problems = []

    def add_problem(key: str, message: str, warning: bool = False) -> None:
        section = f"rule {printable(rule.name)}"
        problem = Problem(message, rule.file, rule.line, section, key, warning)
        problems.append(problem)

    for condition in rule.when:
        for message in _check_condition(condition):
            add_problem("when", message)
        if condition.field is Field.ZONE:
            for zone in sorted(set(condition.values) - zones):
                add_problem(
                    "when", f"no endpoint is in zone {printable(zone)}", warning=True
                )
    for message in _check_action(rule, endpoint_counts):
        add_problem("then", message)
    for key, message in _check_policy(rule):
        add_problem(key, message)
    if _retries_without_key(rule):
        message = (
            "only calls with an Idempotency-Key may be retried; "
            "allowed: attempts = 1, or a condition: header idempotency-key present"
        )
        add_problem("attempts", message, warning=True)
    return problems


def _check_condition(condition: Condition) -> Iterator[str]:
    field = condition.field
    if condition.comparison not in ALLOWED_COMPARISONS[field]:
        yield f"{field.value} cannot be compared by {condition.comparison.value}"
        return
    if field is Field.HEADER:
        if not TOKEN.fullmatch(condition.name) or condition.name.lower() != (
            condition.name
        ):
            yield f"bad header name {printable(condition.name)}"
    elif field is Field.QUERY:
        if not condition.name or UNPRINTABLE.search(condition.name):
            yield f"bad parameter name {printable(condition.name)}"
    elif condition.name:
        yield f"{field.value} takes no name"
    if (condition.comparison is Comparison.PRESENT) == bool(condition.values):
        yield f"{field.value} has no value, or one that present does not take"
    for value in condition.values:
        yield from _check_value(condition, value)


def _check_value(condition: Condition, value: str) -> Iterator[str]:
    if len(value) > MAX_VALUE_LENGTH or UNPRINTABLE.search(value) or '"' in value:
        yield f"bad value {printable(value)}"
    elif condition.field is Field.METHOD and not TOKEN.fullmatch(value):
        yield f"bad method {printable(value)}"
    elif condition.field is Field.HOST and value != value.lower():
        yield f"host {printable(value)} is not in lower case"
    elif condition.field is Field.PATH:
        yield from _check_path(condition, value)


def _check_path(condition: Condition, value: str) -> Iterator[str]:
    if not value.startswith("/") or "?" in value or "#" in value:
        yield f"path {printable(value)} must begin with / and has no query"
    if condition.comparison is not Comparison.SEGMENTS:
        return
    for segment in value.split("/"):
        if not is_wildcard(segment) and set(segment) & set("{}*"):
            yield f"segment {printable(segment)} is neither plain nor one wildcard"


def _check_action(rule: Rule, endpoint_counts: dict[str, int]) -> Iterator[str]:
    action = rule.then
    if isinstance(action, RouteTo):
        yield from _check_route(action, endpoint_counts)
    elif isinstance(action, Redirect):
        if action.status not in REDIRECT_CODES:
            yield f"bad redirect status; allowed: {', '.join(map(str, REDIRECT_CODES))}"
        location = action.location
        if (
            not location
            or not LOCATION.fullmatch(location)
            or len(location) > MAX_VALUE_LENGTH
        ):
            yield (
                f"bad location {printable(location)}; allowed: /PATH or an http(s) URL"
            )
        elif not location.isascii() or UNPRINTABLE.search(location):
            yield f"bad location {printable(location)}; allowed: ASCII without controls"
    elif isinstance(action, Refuse):
        if not 400 <= action.status <= 599:
            yield "bad refusal status; allowed: 400 to 599"
        if not REASON.fullmatch(action.reason):
            yield f"bad reason {printable(action.reason)}; allowed: a-z, 0-9 and dashes"


def _check_route(action: RouteTo, endpoint_counts: dict[str, int]) -> Iterator[str]:
    if sum(part.weight for part in action.split if part.weight > 0) == 0:
        yield "the weights add up to 0, so no service would get a call"
    header = action.sticky_header
    if header and (not TOKEN.fullmatch(header) or header != header.lower()):
        yield f"bad header name {printable(header)} after sticky"
    for name, count in Counter(part.service for part in action.split).items():
        if count > 1:
            yield f"service {printable(name)} appears {count} times in the split"
    for part in action.split:
        yield from _check_split_part(part, endpoint_counts)


def _check_split_part(
    part: WeightedService, endpoint_counts: dict[str, int]
) -> Iterator[str]:
    name = printable(part.service)
    if not 0 <= part.weight <= MAX_WEIGHT:
        yield f"weight of {name} out of range; allowed: 0 to {MAX_WEIGHT}"
    if part.service not in endpoint_counts:
        yield f"unknown service {name}"
    elif endpoint_counts[part.service] == 0 and part.weight > 0:
        yield f"service {name} has no endpoint"


def _check_policy(rule: Rule) -> Iterator[tuple[str, str]]:
    policy = rule.policy
    if not 0 < policy.timeout <= MAX_TIMEOUT:  # also rejects NaN
        message = f"found {policy.timeout:g}; allowed: over 0 to {MAX_TIMEOUT:g} s"
        yield "timeout", message
    if not 1 <= policy.attempts <= MAX_ATTEMPTS:
        yield "attempts", f"allowed: 1 to {MAX_ATTEMPTS}"
    header = policy.caller_header
    if header and (not TOKEN.fullmatch(header) or header != header.lower()):
        yield "caller", f"bad header name {printable(header)}"


def _retries_without_key(rule: Rule) -> bool:
    if not isinstance(rule.then, RouteTo) or rule.policy.idempotent:
        return False
    keyed = any(
        condition.field is Field.HEADER and condition.name == IDEMPOTENCY_KEY_HEADER
        for condition in rule.when
    )
    return rule.policy.attempts > 1 and not keyed
