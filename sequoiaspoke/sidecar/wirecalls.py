"""Turn calls between nodes, and what comes of them, into messages and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.model import Incarnation
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request, Unknown
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.crashwire import pack_crash, unpack_crash
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Headers, Outcome


def pack_call(call: HomeCall, number: int, ahead: float) -> wire.Frame:
    """Return the frame for a call.

    Parameters
    ----------
    ahead : float
        Seconds by which the other node's clock is ahead of this one's.
    """
    message = wire.Call(
        number=number,
        instance=call.incarnation.instance,
        born=call.incarnation.born,
        route=call.route,
        method=call.request.method,
        target=call.request.target,
        headers=flatten(call.request.headers),
        body=call.request.body,
        on_time=call.on_time + ahead,
        deadline=call.deadline + ahead,
        rank=call.rank,
        idempotent=call.idempotent,
    )
    return wire.Frame(call=message)


def unpack_call(message: wire.Call) -> HomeCall:
    """Return a call from its message."""
    request = Request(
        message.method,
        message.target,
        unflatten(message.headers),
        message.body or b"",
    )
    return HomeCall(
        request,
        Incarnation(message.instance, message.born),
        message.route,
        message.rank,
        message.idempotent,
        message.on_time,
        message.deadline,
    )


def pack_outcome(number: int, outcome: Outcome, news: LoadReport) -> wire.Frame:
    """Return the frame for what came of a call, with the home's word on its load."""
    if isinstance(outcome, Answer):
        answer = wire.Answer(
            number,
            outcome.status,
            flatten(outcome.headers),
            outcome.body,
            outcome.seconds,
            pack_news(news),
        )
        return wire.Frame(answer=answer)
    if isinstance(outcome, NotRun):
        refusal = wire.NotRun(
            number,
            outcome.reason,
            outcome.retry_after,
            outcome.from_upstream,
            pack_news(news),
        )
        return wire.Frame(not_run=refusal)
    unknown = wire.Unknown(number, outcome.reason)
    if outcome.crash is not None:
        unknown.crash = pack_crash(outcome.crash, clock.now())
    return wire.Frame(unknown=unknown)


def unpack_outcome(frame: wire.Frame) -> tuple[int, Outcome, LoadReport | None] | None:
    """Return the number of a call, what came of it and the home's word, if any.

    None if the frame tells of no outcome.
    """
    if frame.answer is not None:
        told = frame.answer
        answer = Answer(
            told.status, unflatten(told.headers), told.body or b"", told.seconds
        )
        return told.number, answer, unpack_news(told.news)
    if frame.not_run is not None:
        refused = frame.not_run
        outcome = NotRun(refused.reason, refused.retry_after, refused.reached)
        return refused.number, outcome, unpack_news(refused.news)
    if frame.unknown is not None:
        told = frame.unknown
        crash = None
        if told.crash is not None:
            crash = unpack_crash(told.crash, clock.now())
        return told.number, Unknown(told.reason, crash), None
    return None


def pack_news(news: LoadReport) -> wire.News:
    """Return the message for a home's word on its load."""
    return wire.News(news.slowdown, news.expected, news.wait)


def unpack_news(message: wire.News) -> LoadReport:
    """Return a home's word on its load from its message."""
    return LoadReport(message.strain, message.expected, message.wait)


def flatten(headers: Headers) -> list[str]:
    """Return names and values in turn."""
    return [text for pair in headers for text in pair]


def unflatten(flat: list[str]) -> Headers:
    """Return names with their values."""
    return tuple(zip(flat[::2], flat[1::2], strict=True))
