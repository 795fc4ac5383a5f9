"""Names of the mesh's headers, and the headers that are forwarded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from sequoiaspoke.errors import Ran

if TYPE_CHECKING:
    from sequoiaspoke.node.client import Answer

PREFIX = "Sequoiaspoke-"
DEADLINE = "Sequoiaspoke-Deadline-Ms"
ATTEMPT = "Sequoiaspoke-Attempt"
DEPTH = "Sequoiaspoke-Depth"
SERVICE = "Sequoiaspoke-Service"
TARGET = "Sequoiaspoke-Target"
RULE = "Sequoiaspoke-Rule"
CALLER = "Sequoiaspoke-Caller"
PRIORITY = "Sequoiaspoke-Priority"
RAN = "Sequoiaspoke-Ran"
REASON = "Sequoiaspoke-Reason"
RETRIED = "Sequoiaspoke-Retried"
GRANT = "Sequoiaspoke-Grant"
KEY = "Sequoiaspoke-Key"
REPEAT = "Sequoiaspoke-Repeat"
LOAD = "Sequoiaspoke-Load"
KEYED = "Sequoiaspoke-Keyed"
SETTLED = "Sequoiaspoke-Settled"
IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENCY_ATTEMPT = "Idempotency-Attempt"
FIRST_ATTEMPT = "first"
YES = "yes"
# GET this path, with a service's name appended, returns keys issued by a target.
KEYS_PATH = "/.well-known/sequoiaspoke/keys/"

HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Expect",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)


def end_to_end(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers to forward, without hop-by-hop ones and the mesh's own."""
    connection_options = [
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    ]
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if (
            name in HOP_BY_HOP
            or name.startswith(PREFIX)
            or name.lower() in connection_options
        ):
            continue
        kept.add(name, value)
    return kept


def answer_headers(answer: Answer) -> HTTPHeaders:
    """Return the headers with which an upstream's answer is forwarded."""
    headers = end_to_end(answer.headers)
    headers[RAN] = Ran.RAN.value
    if answer.replayed:
        headers[REPEAT] = YES
    return headers


def whole_number(headers: HTTPHeaders, name: str, default: int) -> int:
    """Return the number in a header, or the default if it has none."""
    text = headers.get(name, "")
    return (
        int(text) if text.isascii() and text.isdigit() and len(text) < 16 else default
    )
