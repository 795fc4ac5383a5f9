"""What an upstream reports about itself in the headers of its answers."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import find_header, find_suffixed_header
from sequoiaspoke.core.mesh.slots import Load

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Headers
    from sequoiaspoke.sidecar.names import HeaderNames

# Largest rate limit in calls per second that is accepted, and the longest header value.
MAX_RATE_LIMIT, MAX_RATE_TEXT = 1e6, 32
# Value of the header with which an upstream announces that it leaves.
LEAVING_MARK = "1"


@dataclass(frozen=True)
class UpstreamReport:
    """State of an upstream as it reports it with an answer.

    Attributes
    ----------
    load : Load or None
        Calls that it runs and queues; None if not reported.
    rate_limit : float or None
        Calls per second that it takes from all nodes together; None if unlimited.
    invalid_rate_limit : str
        Value of the rate limit's header if it is not valid, else empty.
    leaving : bool
        Whether it is about to stop.
    replaced : bool
        Whether another upstream has answered than the one that was called.
    """

    load: Load | None = None
    rate_limit: float | None = None
    invalid_rate_limit: str = ""
    leaving: bool = False
    replaced: bool = False


@dataclass(frozen=True)
class HealthAnswer:
    """An answer to a health check.

    Attributes
    ----------
    instance : str
        Instance that answered, empty if not reported.
    cold_seconds : float or None
        Seconds for which it stays cold; None if it refused the check.
    """

    instance: str
    cold_seconds: float | None
    report: UpstreamReport


def parse_health(headers: Headers, names: HeaderNames) -> HealthAnswer:
    """Return an answer to a health check from its headers."""
    cold_seconds = parse_milliseconds(find_header(headers, names.cold))
    refused = find_header(headers, names.not_run)
    return HealthAnswer(
        find_header(headers, names.health_instance),
        None if refused else cold_seconds,
        parse_report(headers, names),
    )


def parse_report(
    headers: Headers, names: HeaderNames, replaced: bool = False
) -> UpstreamReport:
    """Return the report in the headers of an answer."""
    limit_text = find_suffixed_header(headers, names.rate_limit).strip()
    rate_limit = parse_rate_limit(limit_text)
    return UpstreamReport(
        parse_load(find_header(headers, names.load)),
        rate_limit,
        limit_text[:MAX_RATE_TEXT] if rate_limit is None else "",
        is_leaving(headers, names.leaving),
        replaced,
    )


def is_leaving(headers: Headers, suffix: str) -> bool:
    """Return whether an answer announces that its upstream leaves."""
    return find_suffixed_header(headers, suffix).strip() == LEAVING_MARK


def parse_rate_limit(text: str) -> float | None:
    """Return a rate limit in calls per second, None if it is missing or malformed."""
    if not text or not text.isascii() or len(text) > MAX_RATE_TEXT or "_" in text:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if isfinite(rate) and 0 <= rate <= MAX_RATE_LIMIT else None


def parse_load(text: str) -> Load | None:
    """Return the load in the value of a load header, None if it is malformed."""
    parts = [part.strip() for part in text.split(",")]
    # Numbers of seven or more digits are not plausible as counts of calls.
    if len(parts) < 2 or not all(p.isdecimal() and len(p) < 7 for p in parts):
        return None
    return Load(*(int(part) for part in parts[:3]))


def parse_milliseconds(text: str) -> float:
    """Return the seconds of a header in milliseconds, 0 if it is malformed."""
    return int(text) / 1000 if text.isdecimal() and len(text) < 9 else 0.0
