"""Finds the first rule that a request meets.

Each call asks once, so the cost adds to every call of the mesh. The matcher
indexes the rules by method and then by path, or by an exact value where a rule
names no path; a request is compared only with the rules filed under what it
carries, in the order of the rules. Which rule wins never depends on the index.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.compare import (
    holds,
    literal_stem,
    stem_of,
    value_of,
)
from sequoiaspoke.core.rules.model import Comparison, Field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.rules.model import Condition, RequestHead, Rule

INDEXED_PATHS = (Comparison.EXACT, Comparison.PREFIX, Comparison.SEGMENTS)


@dataclass(frozen=True)
class Decision:
    """The rule that decides a request; `index` is -1 where none does."""

    rule: Rule | None
    index: int


@dataclass(frozen=True)
class Miss:
    """A rule that a request does not meet, and the first condition that fails."""

    rule: Rule
    condition: Condition
    found: str | None


@dataclass(frozen=True)
class Explanation:
    """A decision and why each earlier rule did not decide."""

    decision: Decision
    misses: tuple[Miss, ...]


@dataclass(frozen=True)
class Candidate:
    """A rule's place in the order and what the index leaves to compare."""

    index: int
    rest: tuple[Condition, ...]


class MethodIndex:
    """The rules that one method can meet, filed under a path or a value."""

    def __init__(self) -> None:
        self.equal: dict[Condition, dict[str, list[Candidate]]] = {}
        self.exact: dict[str, list[Candidate]] = {}
        self.under: dict[str, list[Candidate]] = {}

    def add(self, index: int, conditions: tuple[Condition, ...]) -> None:
        """File one rule, whose method is known to hold."""
        for position, condition in enumerate(conditions):
            if _is_indexed(condition):
                rest = conditions[:position] + conditions[position + 1 :]
                self.add_path(condition, index, rest)
                return
        for position, condition in enumerate(conditions):
            if condition.comparison is Comparison.EXACT:
                rest = conditions[:position] + conditions[position + 1 :]
                self.add_value(condition, index, rest)
                return
        self.under.setdefault("", []).append(Candidate(index, conditions))

    def add_value(
        self, condition: Condition, index: int, rest: tuple[Condition, ...]
    ) -> None:
        """File one rule under each value of a host, header, query or zone."""
        kind = dataclasses.replace(condition, values=())
        files = self.equal.setdefault(kind, {})
        for value in condition.values:
            files.setdefault(value, []).append(Candidate(index, rest))

    def add_path(
        self, condition: Condition, index: int, rest: tuple[Condition, ...]
    ) -> None:
        """File one rule under each of its paths."""
        for value in condition.values:
            if condition.comparison is Comparison.EXACT:
                files, key, left = self.exact, value, rest
            elif condition.comparison is Comparison.PREFIX:
                files, key, left = self.under, stem_of(value), rest
            else:
                files, key, left = self.under, literal_stem(value), (condition, *rest)
            files.setdefault(key, []).append(Candidate(index, left))

    def candidates(self, request: RequestHead) -> Iterable[Candidate]:
        """Return the rules filed for a request, in the order of the rules."""
        path = request.path
        found = self.exact.get(path, [])
        for kind, files in self.equal.items():
            value = value_of(kind, request)
            if value in files:
                found = found + files[value]
        end = 0
        while end >= 0:
            more = self.under.get(path[:end])
            if more:
                found = found + more if found else more
            end = path.find("/", end + 1)
        more = self.under.get(path) if path else None
        if more:
            found = found + more if found else more
        return sorted(found, key=_index_of)


class Matcher:
    """Decides which rule a request meets: the first whose conditions all hold."""

    def __init__(self, rules: tuple[Rule, ...]) -> None:
        self.rules = rules
        self.by_method: dict[str, MethodIndex] = {}
        self.any_method = MethodIndex()
        methods = {
            value
            for rule in rules
            for condition in rule.when
            if _is_method(condition)
            for value in condition.values
        }
        for method in methods:
            self.by_method[method] = self.build_index(method)
        self.any_method = self.build_index(None)

    def build_index(self, method: str | None) -> MethodIndex:
        """File the rules that a method can meet; None is any unnamed method."""
        index = MethodIndex()
        for position, rule in enumerate(self.rules):
            named = [each for each in rule.when if _is_method(each)]
            if any(method not in each.values for each in named):
                continue
            rest = tuple(each for each in rule.when if not _is_method(each))
            index.add(position, rest)
        return index

    def decide(self, request: RequestHead) -> Decision:
        """Return the first rule whose conditions all hold."""
        index = self.by_method.get(request.method, self.any_method)
        for candidate in index.candidates(request):
            for condition in candidate.rest:
                if not holds(condition, request):
                    break
            else:
                return Decision(self.rules[candidate.index], candidate.index)
        return Decision(None, -1)

    def explain(self, request: RequestHead) -> Explanation:
        """Return the decision and the condition that each earlier rule fails."""
        decision = self.decide(request)
        earlier = self.rules if decision.rule is None else self.rules[: decision.index]
        return Explanation(decision, tuple(_miss(rule, request) for rule in earlier))


def compile_rules(rules: tuple[Rule, ...]) -> Matcher:
    """Build the matcher of an ordered set of rules."""
    return Matcher(rules)


def _miss(rule: Rule, request: RequestHead) -> Miss:
    condition = next(each for each in rule.when if not holds(each, request))
    return Miss(rule, condition, value_of(condition, request))


def _index_of(candidate: Candidate) -> int:
    return candidate.index


def _is_method(condition: Condition) -> bool:
    return condition.field is Field.METHOD and condition.comparison is Comparison.EXACT


def _is_indexed(condition: Condition) -> bool:
    return condition.field is Field.PATH and condition.comparison in INDEXED_PATHS
