"""The header with the load report in answers between nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.model import LoadReport, UpstreamState
from sequoiaspoke.node import headers as names

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

FIELD_COUNT = 4


def write_load(report: LoadReport) -> str:
    """Return the report as the header's value."""
    numbers = (report.in_flight, report.queued, report.limit)
    return " ".join([*map(str, numbers), report.state.value])


def read_load(headers: HTTPHeaders) -> LoadReport | None:
    """Return the load report in an answer's headers, or None if unreadable.

    A node of another release may use another format. Its answers are still valid;
    only its load stays unknown.
    """
    words = headers.get(names.LOAD, "").split()
    if len(words) < FIELD_COUNT:
        return None
    try:
        in_flight, queued, limit = (max(0, int(word)) for word in words[:3])
        return LoadReport(in_flight, queued, limit, UpstreamState(words[3]))
    except ValueError:
        return None
