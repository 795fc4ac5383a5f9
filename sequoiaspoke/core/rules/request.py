"""The head of a request as rules see it.

The node and `explain` both build it here, so that what an operator is told
offline is what the node does. Paths are normalised for matching only: without
this a caller could pass a rule that refuses `/regia/admin` by asking for
`//regia/./admin` or `/regia/%61dmin`, which many upstreams take for the same.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl, unquote

from sequoiaspoke.core.rules.model import RequestHead

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_QUERY_FIELDS = 1000


def make_request_head(
    method: str,
    target: str,
    host: str = "",
    headers: Iterable[tuple[str, str]] = (),
    zone: str = "",
) -> RequestHead:
    """Build the head from a request target such as `/hire/7?kind=jaw`.

    Of a header or a query parameter that is given more than once the first
    counts.
    """
    path, _, query = target.partition("#")[0].partition("?")
    by_name: dict[str, str] = {}
    for name, value in headers:
        by_name.setdefault(name.lower(), value)
    return RequestHead(
        method.upper(), normalize_path(path), host, by_name, _parse_query(query), zone
    )


def normalize_path(path: str) -> str:
    """Decode a path, drop empty and dot segments, and keep encoded slashes."""
    if "%" not in path and "//" not in path and "/." not in path and path:
        return path
    segments: list[str] = []
    for raw in path.split("/")[1:]:
        segment = unquote(raw).replace("/", "%2F")
        if segment == "..":
            segments = segments[:-1]
        elif segment not in ("", "."):
            segments.append(segment)
    trailing_slash = path.endswith(("/", "/.", "/.."))
    return "/" + "/".join(segments) + ("/" if trailing_slash and segments else "")


def _parse_query(query: str) -> dict[str, str]:
    if not query:
        return {}
    fields: dict[str, str] = {}
    first_fields = "&".join(query.split("&", MAX_QUERY_FIELDS)[:MAX_QUERY_FIELDS])
    for name, value in parse_qsl(first_fields, keep_blank_values=True):
        fields.setdefault(name, value)
    return fields
