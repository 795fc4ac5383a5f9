"""Find the first rule that matches a request.

Every call is matched once, so the time taken here adds to the latency of every call.
Rules are indexed by method and then by path, or by an exact value if a rule has no
path condition. A request is compared only with the rules that the index returns, in
the order of the rules. The index never changes which rule matches first.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.compare import (
    literal_prefix,
    matches,
    request_value,
    strip_trailing_slash,
)
from sequoiaspoke.core.rules.model import Comparison, Field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.rules.model import Condition, RequestHead, Rule

INDEXED_COMPARISONS = (Comparison.EXACT, Comparison.PREFIX, Comparison.SEGMENTS)


@dataclass(frozen=True)
class Decision:
    """The rule that matches a request; `index` is -1 if none does."""

    rule: Rule | None
    index: int


@dataclass(frozen=True)
class Mismatch:
    """A rule that does not match a request, and its first condition that fails."""

    rule: Rule
    condition: Condition
    found: str | None


@dataclass(frozen=True)
class Explanation:
    """A decision and the reason why each earlier rule did not match."""

    decision: Decision
    mismatches: tuple[Mismatch, ...]


@dataclass(frozen=True)
class Candidate:
    """A rule's position and the conditions that the index has not checked."""

    index: int
    rest: tuple[Condition, ...]


class MethodIndex:
    """Index of the rules for one method, by path or by value."""

    def __init__(self) -> None:
        self.by_value: dict[Condition, dict[str, list[Candidate]]] = {}
        self.by_path: dict[str, list[Candidate]] = {}
        self.by_prefix: dict[str, list[Candidate]] = {}

    def add(self, index: int, conditions: tuple[Condition, ...]) -> None:
        """Add a rule to the index; its method conditions are already satisfied."""
        for position, condition in enumerate(conditions):
            if _is_indexed_path(condition):
                rest = conditions[:position] + conditions[position + 1 :]
                self.add_path(condition, index, rest)
                return
        for position, condition in enumerate(conditions):
            if condition.comparison is Comparison.EXACT:
                rest = conditions[:position] + conditions[position + 1 :]
                self.add_value(condition, index, rest)
                return
        self.by_prefix.setdefault("", []).append(Candidate(index, conditions))

    def add_value(
        self, condition: Condition, index: int, rest: tuple[Condition, ...]
    ) -> None:
        """Add a rule under each value of a host, header, query or zone condition."""
        operand = dataclasses.replace(condition, values=())
        buckets = self.by_value.setdefault(operand, {})
        for value in condition.values:
            buckets.setdefault(value, []).append(Candidate(index, rest))

    def add_path(
        self, condition: Condition, index: int, rest: tuple[Condition, ...]
    ) -> None:
        """Add a rule under each value of its path condition."""
        for value in condition.values:
            if condition.comparison is Comparison.EXACT:
                buckets, key, remaining = self.by_path, value, rest
            elif condition.comparison is Comparison.PREFIX:
                buckets, key, remaining = (
                    self.by_prefix,
                    strip_trailing_slash(value),
                    rest,
                )
            else:
                buckets, key, remaining = (
                    self.by_prefix,
                    literal_prefix(value),
                    (condition, *rest),
                )
            buckets.setdefault(key, []).append(Candidate(index, remaining))

    def candidates(self, request: RequestHead) -> Iterable[Candidate]:
        """Return the rules that may match a request, in the order of the rules."""
        path = request.path
        found = self.by_path.get(path, [])
        for operand, buckets in self.by_value.items():
            value = request_value(operand, request)
            if value in buckets:
                found = found + buckets[value]
        end = 0
        while end >= 0:
            matching = self.by_prefix.get(path[:end])
            if matching:
                found = found + matching if found else matching
            end = path.find("/", end + 1)
        matching = self.by_prefix.get(path) if path else None
        if matching:
            found = found + matching if found else matching
        return sorted(found, key=_index_of)


class Matcher:
    """Finds the first rule whose conditions are all satisfied."""

    def __init__(self, rules: tuple[Rule, ...]) -> None:
        self.rules = rules
        self.by_method: dict[str, MethodIndex] = {}
        self.other_methods = MethodIndex()
        methods = {
            value
            for rule in rules
            for condition in rule.when
            if _is_method(condition)
            for value in condition.values
        }
        for method in methods:
            self.by_method[method] = self.build_index(method)
        self.other_methods = self.build_index(None)

    def build_index(self, method: str | None) -> MethodIndex:
        """Index the rules for a method; None stands for methods that no rule names."""
        index = MethodIndex()
        for position, rule in enumerate(self.rules):
            named = [each for each in rule.when if _is_method(each)]
            if any(method not in each.values for each in named):
                continue
            rest = tuple(each for each in rule.when if not _is_method(each))
            index.add(position, rest)
        return index

    def decide(self, request: RequestHead) -> Decision:
        """Return the first rule that matches a request."""
        index = self.by_method.get(request.method, self.other_methods)
        for candidate in index.candidates(request):
            for condition in candidate.rest:
                if not matches(condition, request):
                    break
            else:
                return Decision(self.rules[candidate.index], candidate.index)
        return Decision(None, -1)

    def explain(self, request: RequestHead) -> Explanation:
        """Return the decision and the condition that failed in each earlier rule."""
        decision = self.decide(request)
        earlier = self.rules if decision.rule is None else self.rules[: decision.index]
        return Explanation(
            decision, tuple(_first_mismatch(rule, request) for rule in earlier)
        )


def compile_rules(rules: tuple[Rule, ...]) -> Matcher:
    """Build a matcher for rules in their order of precedence."""
    return Matcher(rules)


def _first_mismatch(rule: Rule, request: RequestHead) -> Mismatch:
    condition = next(each for each in rule.when if not matches(each, request))
    return Mismatch(rule, condition, request_value(condition, request))


def _index_of(candidate: Candidate) -> int:
    return candidate.index


def _is_method(condition: Condition) -> bool:
    return condition.field is Field.METHOD and condition.comparison is Comparison.EXACT


def _is_indexed_path(condition: Condition) -> bool:
    return condition.field is Field.PATH and condition.comparison in INDEXED_COMPARISONS
