"""What a condition means: the one place that compares it with a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.model import Comparison, Field

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Condition, RequestHead

WILDCARD = "*"


def matches(condition: Condition, request: RequestHead) -> bool:
    """Tell whether a request meets a condition."""
    value = request_value(condition, request)
    if value is None:
        return False
    return matches_value(condition, value)


def request_value(condition: Condition, request: RequestHead) -> str | None:
    """Return the part of the request that a condition looks at."""
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
    """Tell whether a value satisfies a condition's comparison."""
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
    """Return a host in lower case and without its port."""
    name, colon, port = host.rpartition(":")
    if colon and (port.isdigit() or not port):
        host = name
    return host.lower()


def has_path_prefix(path: str, prefix: str) -> bool:
    """Tell whether a path is the prefix itself or lies below it.

    Prefixes end on a segment's boundary, and a trailing slash of the prefix
    does not count: `/billing` and `/billing/` both hold for `/billing` and
    `/billing/7`, neither for `/billings`.
    """
    stem = strip_trailing_slash(prefix)
    if not stem:
        return True
    return path.startswith(stem) and path[len(stem) : len(stem) + 1] in ("", "/")


def strip_trailing_slash(prefix: str) -> str:
    """Return a path prefix without its trailing slash."""
    return prefix[:-1] if prefix.endswith("/") else prefix


def matches_pattern(path: str, pattern: str) -> bool:
    """Tell whether a path has the segments of a pattern.

    `*` and `{name}` stand for one segment that is not empty.
    """
    segments, expected_segments = path.split("/"), pattern.split("/")
    if len(segments) != len(expected_segments):
        return False
    return all(
        (segment != "" if is_wildcard(expected) else segment == expected)
        for segment, expected in zip(segments, expected_segments, strict=True)
    )


def is_wildcard(segment: str) -> bool:
    """Tell whether a pattern's segment stands for any segment."""
    return segment == WILDCARD or (segment.startswith("{") and segment.endswith("}"))


def literal_prefix(pattern: str) -> str:
    """Return the part of a pattern before its first wildcard, as a prefix."""
    literal = []
    for segment in pattern.split("/"):
        if is_wildcard(segment):
            break
        literal.append(segment)
    return "/".join(literal)
