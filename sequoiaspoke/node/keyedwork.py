"""One run of a key, and the forms that its call, answer and failure take."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from sequoiaspoke.core.idempotency.calls import Fingerprint
from sequoiaspoke.errors import RequestTooLargeError
from sequoiaspoke.node.client import Answer
from sequoiaspoke.node.wholebody import WholeBody

if TYPE_CHECKING:
    import asyncio

    from sequoiaspoke.core.idempotency.calls import KeptAnswer, Refuse
    from sequoiaspoke.errors import CallError
    from sequoiaspoke.node.home import HomeCall


@dataclass
class Work:
    """One run of a key, apart from the callers that wait for it.

    Attributes
    ----------
    done : Future
        Set when the answer's head, or all of a short answer, is there.
    stream : Answer or None
        An answer too large to keep, for the caller of the first attempt.
    alone : bool
        Whether that caller has gone.
    """

    done: asyncio.Future[KeptAnswer]
    stream: Answer | None = None
    alone: bool = False


def refusal(decision: Refuse) -> CallError:
    """Return the failure of a refused attempt."""
    decision.error.remote = True
    decision.error.settled = decision.settled
    return decision.error


def fingerprint(call: HomeCall, body: bytes) -> Fingerprint:
    """Return what repeats of the call must share."""
    return Fingerprint(call.method, call.uri, sha256(body).hexdigest(), call.service)


async def read_body(call: HomeCall, limit: int) -> bytes:
    """Read a keyed call's whole body.

    Raises
    ------
    RequestTooLargeError
        It is longer than the limit; nothing of it was run.
    """
    if call.body is None:
        return b""
    chunks: list[bytes] = []
    size = 0
    while chunk := await call.body.get():
        size += len(chunk)
        if size > limit:
            raise RequestTooLargeError(f"a keyed call's body is over {limit} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def replayed(kept: KeptAnswer, method: str, repeat: bool) -> Answer:
    """Return an answer made of a kept one."""
    answer = Answer(method)
    answer.status, answer.reason = kept.status, kept.reason
    answer.headers = HTTPHeaders()
    for name, value in kept.headers:
        answer.headers.add(name, value)
    answer.body = WholeBody(kept.body or b"")
    answer.replayed = repeat
    answer.complete = True
    return answer
