"""Convert calls between nodes, and their outcomes, to messages and back."""

from __future__ import annotations

from math import inf, isinf
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.durations import MeasuredRoute
from sequoiaspoke.core.mesh.model import Incarnation
from sequoiaspoke.core.mesh.outcome import (
    FINAL_STATUSES,
    INVALID_STATUS,
    Answer,
    NotRun,
    Request,
    Unknown,
)
from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.crashwire import pack_crash, unpack_crash
from sequoiaspoke.sidecar.frames import FRAME_LIMIT
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.wirefields import require
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Headers, Outcome

# Fields that a call must have; older nodes send no others.
CALL_FIELDS = (
    "number",
    "instance",
    "route",
    "method",
    "target",
    "headers",
    "rank",
    "on_time",
    "deadline",
)
# Seconds until the latest deadline of a call. Callers wait for minutes at most; a time
# far beyond it cannot be written in milliseconds or given to a timer.
MAX_SECONDS_LEFT = 86_400.0
# Statuses that fit into the first line of an answer.
MIN_STATUS, MAX_STATUS = 100, 999


def pack_call(
    call: HomeCall, number: int, clock_offset: float, in_parts: bool = False
) -> wire.Frame:
    """Return the frame for a call.

    Parameters
    ----------
    clock_offset : float
        Seconds by which the other node's clock is ahead of this one's.
    in_parts : bool
        Whether the body follows in parts.
    """
    body = call.request.body
    message = wire.Call(
        number=number,
        instance=call.incarnation.instance,
        born=call.incarnation.born,
        route=call.route,
        method=call.request.method,
        target=call.request.target,
        headers=flatten_headers(call.request.headers),
        body=b"" if in_parts else body,
        body_size=len(body) if in_parts else None,
        on_time=call.on_time + clock_offset,
        deadline=call.deadline + clock_offset,
        rank=call.rank,
        idempotent=call.idempotent,
        max_wait=None if isinf(call.max_wait) else call.max_wait,
        last_resort=call.last_resort or None,
        longest_seen=pack_seconds(call.measured.longest),
        measured_for=pack_seconds(call.measured.seconds),
    )
    return wire.Frame(call=message)


def unpack_call(message: wire.Call) -> HomeCall:
    """Return a call from its message; raise MessageError."""
    require(message, *CALL_FIELDS)
    if message.max_wait is not None:
        require(message, "max_wait")
    if message.deadline > clock.now() + MAX_SECONDS_LEFT:
        raise MessageError(f"call with the deadline {message.deadline}")
    request = Request(
        message.method,
        message.target,
        unflatten_headers(message.headers),
        message.body or b"",
    )
    return HomeCall(
        request,
        Incarnation(message.instance, message.born or 0),
        message.route,
        message.rank,
        bool(message.idempotent),
        message.on_time,
        message.deadline,
        inf if message.max_wait is None else message.max_wait,
        message.body_size is not None,
        bool(message.last_resort),
        remote=True,
        measured=MeasuredRoute(
            unpack_seconds(message.longest_seen), unpack_seconds(message.measured_for)
        ),
    )


def pack_seconds(seconds: float) -> float | None:
    """Return a measured time as it is told, None if there is none."""
    return min(seconds, MAX_SECONDS_LEFT) if seconds > 0 else None


def unpack_seconds(seconds: float | None) -> float:
    """Return a measured time that was told, 0 if it is none or out of range."""
    if seconds is None or not 0 <= seconds <= MAX_SECONDS_LEFT:
        return 0.0
    return seconds


def body_size(message: wire.Call) -> int | None:
    """Return the size of a body that follows in parts, or None; raise MessageError."""
    size = message.body_size
    if size is not None and (not 0 < size <= FRAME_LIMIT or message.body):
        raise MessageError(f"body of {size} bytes announced")
    return size


def unpack_fetch(message: wire.Fetch) -> tuple[int, int, int]:
    """Return number, offset and end of a request for a body; raise MessageError."""
    require(message, "number", "offset", "upto")
    return message.number, message.offset, message.upto


def unpack_part(message: wire.BodyPart) -> tuple[int, int, bytes]:
    """Return number, offset and bytes of a part; raise MessageError."""
    require(message, "number", "offset", "data")
    return message.number, message.offset, message.data


def pack_outcome(number: int, outcome: Outcome, load_report: LoadReport) -> wire.Frame:
    """Return the frame for a call's outcome, with the home's load report."""
    if isinstance(outcome, Answer):
        answer = wire.Answer(
            number,
            outcome.status,
            flatten_headers(outcome.headers),
            outcome.body,
            outcome.seconds,
            pack_load_report(load_report),
        )
        return wire.Frame(answer=answer)
    if isinstance(outcome, NotRun):
        refusal = wire.NotRun(
            number,
            outcome.reason,
            outcome.retry_after,
            outcome.from_upstream,
            pack_load_report(load_report),
        )
        return wire.Frame(not_run=refusal)
    unknown = wire.Unknown(number, outcome.reason)
    if outcome.crash is not None:
        unknown.crash = pack_crash(outcome.crash, clock.now())
    return wire.Frame(unknown=unknown)


def unpack_outcome(frame: wire.Frame) -> tuple[int, Outcome, LoadReport | None] | None:
    """Return a call's number, its outcome and the home's load report, if any.

    None if the frame holds no outcome. Raises MessageError.
    """
    if frame.answer is not None:
        message = frame.answer
        require(message, "number", "status", "headers", "seconds")
        if not MIN_STATUS <= message.status <= MAX_STATUS:
            raise MessageError(f"answer with the status {message.status}")
        load_report = unpack_load_report(message.news)
        if message.status not in FINAL_STATUSES:
            # A home of a previous build passes on whatever its upstream answers.
            return message.number, Unknown(INVALID_STATUS), load_report
        answer = Answer(
            message.status,
            unflatten_headers(message.headers),
            message.body or b"",
            message.seconds,
        )
        return message.number, answer, load_report
    if frame.not_run is not None:
        refusal = frame.not_run
        require(refusal, "number", "reason", "retry_after")
        reached = bool(refusal.reached)
        outcome = NotRun(refusal.reason, refusal.retry_after, reached)
        return refusal.number, outcome, unpack_load_report(refusal.news)
    if frame.unknown is not None:
        message = frame.unknown
        require(message, "number", "reason")
        crash = None
        if message.crash is not None:
            crash = unpack_crash(message.crash, clock.now())
        return message.number, Unknown(message.reason, crash), None
    return None


def pack_load_report(load_report: LoadReport) -> wire.News:
    """Return the message for a home's load report."""
    return wire.News(load_report.slowdown, load_report.expected, load_report.wait)


def unpack_load_report(message: wire.News) -> LoadReport:
    """Return a home's load report from its message; raise MessageError."""
    require(message, "strain", "expected", "wait")
    return LoadReport(message.strain, message.expected, message.wait)


def flatten_headers(headers: Headers) -> list[str]:
    """Return header names and values alternating in one list."""
    return [text for pair in headers for text in pair]


def unflatten_headers(flat: list[str]) -> Headers:
    """Return pairs of name and value from an alternating list; raise MessageError."""
    if len(flat) % 2:
        raise MessageError(f"{len(flat)} names and values of headers")
    return tuple(zip(flat[::2], flat[1::2], strict=True))
