"""Find rules that no request can reach because an earlier rule matches first.

Every rule is compared with every earlier one, which takes too long for a node that
serves calls; only `check` does it. An unreachable rule is harmless, so it is reported
as a warning.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.compare import (
    has_path_prefix,
    is_wildcard,
    literal_prefix,
    matches_value,
)
from sequoiaspoke.core.rules.model import Comparison, Field
from sequoiaspoke.errors import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiaspoke.core.rules.model import Condition, Rule


def unreachable_rules(rules: tuple[Rule, ...]) -> tuple[Problem, ...]:
    """Return a warning for each rule that a single earlier rule covers."""
    return tuple(_warnings(rules))


def _warnings(rules: tuple[Rule, ...]) -> Iterator[Problem]:
    for position, rule in enumerate(rules):
        for earlier in rules[:position]:
            if covers(earlier, rule):
                yield Problem(
                    f"can never be reached: rule {earlier.name} takes all its requests",
                    rule.file,
                    rule.line,
                    f"rule {rule.name}",
                    warning=True,
                )
                break


def covers(earlier: Rule, later: Rule) -> bool:
    """Return whether every request that matches the later rule matches the earlier.

    Only pairs of conditions are compared, so some covered rules are not found.
    """
    return all(
        any(implies(given, wanted) for given in later.when) for wanted in earlier.when
    )


def implies(given: Condition, wanted: Condition) -> bool:
    """Return whether every request that satisfies `given` also satisfies `wanted`."""
    if (given.field, given.name) != (wanted.field, wanted.name):
        return False
    if wanted.comparison is Comparison.PRESENT:
        return True
    if given.comparison is Comparison.PRESENT:
        return False
    return all(_value_implies(given, value, wanted) for value in given.values)


def _value_implies(given: Condition, value: str, wanted: Condition) -> bool:
    if given.comparison is Comparison.EXACT:
        return matches_value(wanted, value)
    if given.comparison is Comparison.SEGMENTS:
        return any(_pattern_implies(value, wanted, each) for each in wanted.values)
    if wanted.comparison is not Comparison.PREFIX:
        return False
    if given.field is Field.PATH:
        return any(has_path_prefix(value.rstrip("/"), each) for each in wanted.values)
    return value.startswith(wanted.values)


def _pattern_implies(pattern: str, wanted: Condition, value: str) -> bool:
    if wanted.comparison is Comparison.PREFIX:
        return has_path_prefix(literal_prefix(pattern), value)
    if wanted.comparison is not Comparison.SEGMENTS:
        return pattern == value and not any(map(is_wildcard, pattern.split("/")))
    segments, others = pattern.split("/"), value.split("/")
    return len(segments) == len(others) and all(
        (is_wildcard(segment) or segment != "")
        if is_wildcard(other)
        else segment == other
        for segment, other in zip(segments, others, strict=True)
    )
