"""Build the part of a request that rules match.

The node and the `explain` command share this code, so `explain` reports offline what
a node would do. Paths are normalized for matching only. Without that, a caller could
bypass a rule that refuses `/regia/admin` by requesting `//regia/./admin` or
`/regia/%61dmin`, which many upstreams treat as the same path.
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
    """Build a request head from a target such as `/hire/7?kind=jaw`.

    If a header or a query parameter occurs more than once, the first one is used.
    """
    path, _, query = target.partition("#")[0].partition("?")
    by_name: dict[str, str] = {}
    for name, value in headers:
        by_name.setdefault(name.lower(), value)
    return RequestHead(
        method.upper(), normalize_path(path), host, by_name, _parse_query(query), zone
    )


def normalize_path(path: str) -> str:
    """Decode a path and resolve empty and dot segments; keep encoded slashes."""
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
