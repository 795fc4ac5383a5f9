"""`sequoiaspoke explain`: show which rule matches a request, and why."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from sequoiaspoke.commands.declarations import check_declarations
from sequoiaspoke.core.rules.grammar import describe_action, describe_condition
from sequoiaspoke.core.rules.matcher import compile_rules
from sequoiaspoke.core.rules.request import make_request_head
from sequoiaspoke.errors import RequestTextError

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.matcher import Mismatch
    from sequoiaspoke.core.rules.model import RequestHead, Rule


def explain(
    directory: str, method: str, url: str, *, header: list[str] = (), zone: str = ""
) -> None:
    """Show which rule matches a request and why the earlier ones do not.

    :param directory: directory with `*.ini` files
    :param method: method of the request
    :param url: URL of the request, or its path
    :param header: headers as NAME=VALUE
    :param zone: availability zone that the request comes from
    """
    declarations, _ = check_declarations(directory)
    request = _build_request(method, url, header, zone)
    explanation = compile_rules(declarations.rules).explain(request)
    print(f"request: {request.method} {request.path}")
    for mismatch in explanation.mismatches:
        print(_describe_mismatch(mismatch))
    print(_describe_rule(explanation.decision.rule))


def _build_request(method: str, url: str, headers: list[str], zone: str) -> RequestHead:
    try:
        parts = urlsplit(url)
    except ValueError as error:
        raise RequestTextError(f"found {url!r}; allowed: a URL or a path") from error
    pairs = []
    for text in headers:
        name, equals, value = text.partition("=")
        if not equals:
            raise RequestTextError(f"found {text!r}; allowed: a header as NAME=VALUE")
        pairs.append((name, value))
    host = parts.netloc or dict(pairs).get("host", "")
    target = f"{parts.path or '/'}?{parts.query}"
    return make_request_head(method, target, host, pairs, zone)


def _describe_mismatch(mismatch: Mismatch) -> str:
    found = "nothing" if mismatch.found is None else repr(mismatch.found)
    wanted = describe_condition(mismatch.condition)
    return (
        f"{_location(mismatch.rule)}: rule {mismatch.rule.name} no: {wanted}; "
        f"found {found}"
    )


def _describe_rule(rule: Rule | None) -> str:
    if rule is None:
        return "no rule decides: the request is refused with 404 no-rule"
    policy = rule.policy
    return (
        f"{_location(rule)}: rule {rule.name} decides: {describe_action(rule.then)}; "
        f"timeout {policy.timeout:g}; attempts {policy.attempts}; "
        f"idempotent {'yes' if policy.idempotent else 'no'}; "
        f"priority {policy.priority.value}; caller {policy.caller_header or 'address'}"
    )


def _location(rule: Rule) -> str:
    return f"{rule.file}:{rule.line}"
