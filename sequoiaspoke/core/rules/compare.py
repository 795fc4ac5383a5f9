"""Compare conditions with requests.

The matcher and the check for unreachable rules both use these functions, so they agree
on what a condition means.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.model import Comparison, Field

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Condition, RequestHead

WILDCARD = "*"


def matches(condition: Condition, request: RequestHead) -> bool:
    """Return whether a request satisfies a condition."""
    value = request_value(condition, request)
    if value is None:
        return False
    return matches_value(condition, value)


def request_value(condition: Condition, request: RequestHead) -> str | None:
    """Return the value that a condition is compared with, or None if it is absent."""
    if condition.field is Field.HEADER:
        return request.headers.get(condition.name)
    if condition.field is Field.QUERY:
        return request.query.get(condition.name)
    if condition.field is Field.HOST:
        return host_name(request.host)
    if condition.field is Field.METHOD:
        return request.method
    if condition.field is Field.ZONE:
        return request.zone
    return request.path


def matches_value(condition: Condition, value: str) -> bool:
    """Return whether a value satisfies a condition's comparison."""
    if condition.comparison is Comparison.PRESENT:
        return True
    if condition.comparison is Comparison.EXACT:
        return value in condition.values
    if condition.comparison is Comparison.SEGMENTS:
        return any(matches_pattern(value, pattern) for pattern in condition.values)
    if condition.field is Field.PATH:
        return any(has_path_prefix(value, prefix) for prefix in condition.values)
    return value.startswith(condition.values)


def host_name(host: str) -> str:
    """Return the host name in lower case, without the port."""
    name, colon, port = host.rpartition(":")
    if colon and (port.isdigit() or not port):
        host = name
    return host.lower()


def has_path_prefix(path: str, prefix: str) -> bool:
    """Return whether a path equals a prefix or is below it.

    A prefix matches whole segments only, and its trailing slash is ignored:
    `/billing` and `/billing/` both match `/billing` and `/billing/7`, but not
    `/billings`.
    """
    stem = strip_trailing_slash(prefix)
    if not stem:
        return True
    return path.startswith(stem) and path[len(stem) : len(stem) + 1] in ("", "/")


def strip_trailing_slash(prefix: str) -> str:
    """Return a path prefix without its trailing slash."""
    return prefix[:-1] if prefix.endswith("/") else prefix


def matches_pattern(path: str, pattern: str) -> bool:
    """Return whether a path matches a pattern segment by segment.

    `*` and `{name}` match exactly one non-empty segment.
    """
    segments, expected_segments = path.split("/"), pattern.split("/")
    if len(segments) != len(expected_segments):
        return False
    return all(
        (segment != "" if is_wildcard(expected) else segment == expected)
        for segment, expected in zip(segments, expected_segments, strict=True)
    )


def is_wildcard(segment: str) -> bool:
    """Return whether a segment of a pattern is a wildcard."""
    return segment == WILDCARD or (segment.startswith("{") and segment.endswith("}"))


def literal_prefix(pattern: str) -> str:
    """Return the segments of a pattern before its first wildcard, as a path prefix."""
    literal = []
    for segment in pattern.split("/"):
        if is_wildcard(segment):
            break
        literal.append(segment)
    return "/".join(literal)
