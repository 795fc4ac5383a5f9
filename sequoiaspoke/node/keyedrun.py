"""The run of a key, and conversions of its call, answer and failure."""

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
class KeyRun:
    """The run of a key, independent of the callers that wait for it.

    Attributes
    ----------
    done : Future
        Set when a short answer is complete, or a long one exceeds the size limit.
    stream : Answer or None
        An answer too large to keep, streamed to the caller of the first attempt.
    alone : bool
        Whether that caller has disconnected or timed out.
    """

    done: asyncio.Future[KeptAnswer]
    stream: Answer | None = None
    first_caller_gone: bool = False


def refusal(decision: Refuse) -> CallError:
    """Return the error to raise for a refused attempt."""
    decision.error.remote = True
    decision.error.settled = decision.settled
    return decision.error


def fingerprint(call: HomeCall, body: bytes) -> Fingerprint:
    """Return what a retry must share with the call."""
    return Fingerprint(call.method, call.uri, sha256(body).hexdigest(), call.service)


async def read_body(call: HomeCall, limit: int) -> bytes:
    """Read the whole body of a keyed call.

    Raises
    ------
    RequestTooLargeError
        The body exceeds the limit; the call was not run.
    """
    if call.body is None:
        return b""
    chunks: list[bytes] = []
    size = 0
    while chunk := await call.body.get():
        size += len(chunk)
        if size > limit:
            raise RequestTooLargeError(
                f"the body of a keyed call exceeds {limit} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def replayed(kept: KeptAnswer, method: str, repeat: bool) -> Answer:
    """Build an answer from a kept one."""
    answer = Answer(method)
    answer.status, answer.reason = kept.status, kept.reason
    answer.headers = HTTPHeaders()
    for name, value in kept.headers:
        answer.headers.add(name, value)
    answer.body = WholeBody(kept.body or b"")
    answer.replayed = repeat
    answer.complete = True
    return answer
