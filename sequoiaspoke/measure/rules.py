"""What rules cost: a decision, the matcher, validation and the documents."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from sequoiaspoke.core.rules.matcher import compile_rules
from sequoiaspoke.core.rules.model import (
    Comparison,
    Condition,
    Endpoint,
    Field,
    RequestHead,
    RouteTo,
    Rule,
    Service,
)
from sequoiaspoke.core.rules.reach import unreachable_rules
from sequoiaspoke.core.rules.validate import validate
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.core.snapshot.publish import make_publication

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 7  # the best of these is told: the others were disturbed
DECISIONS = 2000
MICROSECONDS = 1e6
MILLISECONDS = 1e3


@dataclass(frozen=True)
class RulesReport:
    """Costs at one size; times are the best of several rounds."""

    rules: int
    endpoints: int
    decide_last_us: float
    decide_none_us: float
    compile_ms: float
    validate_ms: float
    unreachable_ms: float
    rules_bytes: int
    service_bytes: int
    head_bytes: int


def measure_rules(rules: int, services: int, endpoints: int) -> RulesReport:
    """Measure rules over services with so many endpoints in all."""
    declared = make_services(services, endpoints)
    ordered = tuple(make_rule(index, services) for index in range(rules))
    matcher = compile_rules(ordered)
    last = request_of(rules - 1)
    none = RequestHead("GET", "/nothing/of/the/kind", "abay.example")
    publication = make_publication(1, ordered, declared)
    sizes = {name: len(data) for name, data in publication.documents().items()}
    parts = publication.head.parts
    return RulesReport(
        rules,
        endpoints,
        best(lambda: matcher.decide(last), DECISIONS) * MICROSECONDS,
        best(lambda: matcher.decide(none), DECISIONS) * MICROSECONDS,
        best(lambda: compile_rules(ordered)) * MILLISECONDS,
        best(lambda: validate(ordered, declared)) * MILLISECONDS,
        best(lambda: unreachable_rules(ordered)) * MILLISECONDS,
        sizes[f"parts/{parts['rules']}"],
        sizes[f"parts/{parts['service/s0']}"],
        sizes["head"],
    )


def make_rule(index: int, services: int) -> Rule:
    """Return a rule like those of the examples: method, path and header."""
    methods = ("GET", "HEAD") if index % 2 else ("POST",)
    conditions = (
        Condition(Field.METHOD, Comparison.EXACT, methods),
        Condition(Field.PATH, Comparison.PREFIX, (f"/s{index // 4}/k{index % 4}",)),
        Condition(Field.HEADER, Comparison.EXACT, (f"v{index}",), "x-channel"),
    )
    route = RouteTo((WeightedService(f"s{index % services}"),))
    return Rule(f"rule-{index}", conditions, route)


def request_of(index: int) -> RequestHead:
    """Return a request that meets one rule alone."""
    headers = {"x-channel": f"v{index}", "x-member": "17", "accept": "*/*"}
    method = "GET" if index % 2 else "POST"
    path = f"/s{index // 4}/k{index % 4}/17/charges"
    return RequestHead(method, path, "abay.example", headers, {}, "akaki")


def make_services(services: int, endpoints: int) -> tuple[Service, ...]:
    """Spread endpoints evenly over services."""
    return tuple(
        Service(
            f"s{service}",
            tuple(
                make_endpoint(number) for number in range(service, endpoints, services)
            ),
        )
        for service in range(services)
    )


def make_endpoint(number: int) -> Endpoint:
    """Return one endpoint of a large deployment."""
    address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}"
    zone = f"zone-{number % 22}"
    return Endpoint(f"target-{number}", f"vm-{number}", zone, address, 8081)


def best(work: Callable[[], Any], times: int = 1) -> float:
    """Return the least seconds that one run took."""
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(times):
            work()
        rounds.append((time.perf_counter() - started) / times)
    return min(rounds)
