"""Encode HTTP/1.1 requests and answers and filter their headers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer, Request, find_header

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Headers

# Headers that apply to a single connection and are never forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Bytes accepted of a message besides head and body for each byte of the body, as it may
# be sent in chunks of a byte.
FRAMING_PER_BYTE = 8
# Bytes that are given to a parser at a time. What a limit refuses was parsed up to one
# such piece beyond it.
PARSE_BYTES = 8 << 10
# Statuses of answers without a body.
BODILESS_STATUSES = frozenset({204, 304})
# Bytes of the largest body that is copied to be sent together with its head.
MAX_JOINED_BYTES = 64 << 10
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def end_to_end(headers: Headers, without: frozenset[str] = frozenset()) -> Headers:
    """Return the headers to forward.

    Those that the Connection header names are hop-by-hop, too.

    Parameters
    ----------
    without : frozenset of str
        Further headers to leave out, in lower case.
    """
    named = find_header(headers, "connection").lower()
    dropped = HOP_BY_HOP | without
    if named and named not in ("close", "keep-alive"):
        dropped |= {name.strip() for name in named.split(",")}
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def encode_request(request: Request, extra: Headers) -> tuple[bytes, bytes]:
    """Return the head of a request, with its body if that is small, and the rest.

    Joined with the head, a large body would be in memory twice while its call runs.

    Parameters
    ----------
    extra : Headers
        Headers to send after those of the request.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines += [f"{name}: {value}" for name, value in extra]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(request.body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if len(request.body) > MAX_JOINED_BYTES:
        return head, request.body
    return head + request.body, b""


def encode_answer(
    answer: Answer, close: bool, head_only: bool = False
) -> tuple[bytes, ...]:
    """Return the bytes of an answer, a large body as a part of its own.

    Joined with the head it would be in memory twice until it is sent.

    Parameters
    ----------
    close : bool
        Whether the connection is closed after it.
    head_only : bool
        Whether the request was a HEAD, whose answer has no body.
    """
    try:
        phrase = HTTPStatus(answer.status).phrase
    except ValueError:
        phrase = "Status"
    lines = [f"HTTP/1.1 {answer.status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    if answer.status not in BODILESS_STATUSES and not head_only:
        lines.append(f"Content-Length: {len(answer.body)}")
    if close:
        lines.append("Connection: close")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if head_only:
        return (head,)
    if len(answer.body) > MAX_JOINED_BYTES:
        return head, answer.body
    return (head + answer.body,)


def local_answer(status: int, reason: str, retry_after: float | None = None) -> Answer:
    """Return an answer that comes from this node and not from an upstream."""
    headers = [("Content-Type", "text/plain")]
    if retry_after is not None:
        headers.append(("Retry-After", f"{retry_after:.3f}"))
    return Answer(status, tuple(headers), f"{reason}\n".encode())
