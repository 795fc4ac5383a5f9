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
# Range of a pace in per cent of the usual duration of work, and its longest text.
MIN_PACE, MAX_PACE, MAX_PACE_TEXT = 10.0, 10_000.0, 32
# Number of leading figures of a load header that are counts; the pace follows.
LOAD_COUNTS = 3
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
    invalid_pace : bool
        Whether the load header has a pace that is not valid.
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
    invalid_pace: bool = False


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
    load_text = find_header(headers, names.load)
    load = parse_load(load_text)
    return UpstreamReport(
        load,
        rate_limit,
        limit_text[:MAX_RATE_TEXT] if rate_limit is None else "",
        is_leaving(headers, names.leaving),
        replaced,
        load is not None and load.pace is None and has_pace(load_text),
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
    """Return the load in the value of a load header, None if it is malformed.

    A malformed pace is left out; the counts of calls are still of use.
    """
    parts = [part.strip() for part in text.split(",")]
    counts = parts[:LOAD_COUNTS]
    # Numbers of seven or more digits are not plausible as counts of calls.
    if len(counts) < 2 or not all(p.isdecimal() and len(p) < 7 for p in counts):
        return None
    slots = int(counts[2]) if len(counts) == LOAD_COUNTS else 0
    pace = parse_pace(parts[LOAD_COUNTS]) if has_pace(text) else None
    return Load(int(counts[0]), int(counts[1]), slots, pace)


def has_pace(text: str) -> bool:
    """Return whether the value of a load header has a pace, valid or not."""
    return text.count(",") >= LOAD_COUNTS


def parse_pace(text: str) -> float | None:
    """Return a pace from its per cent of the usual, None if it is malformed."""
    if not text.isascii() or len(text) > MAX_PACE_TEXT or "_" in text:
        return None
    try:
        percent = float(text)
    except ValueError:
        return None
    return percent / 100 if MIN_PACE <= percent <= MAX_PACE else None


def parse_milliseconds(text: str) -> float:
    """Return the seconds of a header in milliseconds, 0 if it is malformed."""
    return int(text) / 1000 if text.isdecimal() and len(text) < 9 else 0.0
