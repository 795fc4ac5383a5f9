"""Requests, and the outcomes of an attempt to run a call at an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.memory import header_size

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.crashes import Crash

# Reason: the deadline passed before the upstream answered.
TIMED_OUT = "timeout"
# Reason: the connection ended before the answer.
CONNECTION_LOST = "connection-lost"
# Reason: the connection was reset sooner than an upstream can process a call.
RESET_AT_ONCE = "reset-at-once"
# Reason: the upstream crashed while it ran the call.
UPSTREAM_CRASHED = "upstream-crashed"
# Reason: the status of the answer is none of HTTP.
INVALID_STATUS = "answer-status-invalid"
# Statuses of HTTP, and those of them that end a call (RFC 9110, section 15).
STATUSES, FINAL_STATUSES = range(100, 600), range(200, 600)
# Statuses by which a caller is told that its call has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Bytes of a fingerprint; a collision among a million requests has a chance of 1 in
# 10^7.
FINGERPRINT_BYTES = 8
# Bytes that the headers of an answer usually take at most.
USUAL_HEADERS = 4 << 10
# Names and values of headers, in order.
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Request:
    """A call as its caller sent it.

    Attributes
    ----------
    nested : bool
        Whether an upstream sends it while it runs another call.
    upload_seconds : float
        Seconds from the first byte of its head until it was complete.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    nested: bool = False
    upload_seconds: float = 0.0

    def header(self, name: str) -> str:
        """Return the value of a header, empty if missing."""
        return find_header(self.headers, name)

    @cached_property
    def head_memory(self) -> int:
        """Return the bytes that the target and the headers take in memory."""
        return len(self.target) + headers_size(self.headers)

    @cached_property
    def fingerprint(self) -> str:
        """Return a hash that is equal for repetitions of a request.

        It covers the method, host, target and body. Other headers are left out, as each
        attempt of a caller has its own id and time and may arrive through any node.
        """
        parts = (self.method, self.header("host").lower(), self.target)
        digest = blake2b("\0".join(parts).encode(), digest_size=FINGERPRINT_BYTES)
        digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class Answer:
    """A complete answer of an upstream.

    Attributes
    ----------
    seconds : float
        Duration of the call at the upstream.
    """

    status: int
    headers: Headers
    body: bytes
    seconds: float = 0.0

    @property
    def memory(self) -> int:
        """Return the bytes that the body, and headers beyond the usual, take."""
        return len(self.body) + max(0, headers_size(self.headers) - USUAL_HEADERS)


@dataclass(frozen=True)
class NotRun:
    """The call has not run and will not run by this attempt.

    Attributes
    ----------
    retry_after : float
        Seconds after which a slot should be free.
    from_upstream : bool
        Whether the upstream itself refused the call.
    """

    reason: str
    retry_after: float = 0.0
    from_upstream: bool = False


@dataclass(frozen=True)
class Unknown:
    """It is unknown whether the call has run.

    Attributes
    ----------
    crash : Crash or None
        The crash of the upstream that ran it, if that is the reason.
    """

    reason: str
    crash: Crash | None = None


Outcome = Answer | NotRun | Unknown


def headers_size(headers: Headers) -> int:
    """Return the bytes that headers take in memory."""
    return sum(header_size(*pair) for pair in headers)


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of a header, given its name in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return ""


def find_suffixed_header(headers: Headers, suffix: str) -> str:
    """Return the first value of a header with any prefix, given its lower-case end."""
    for key, value in headers:
        if key.lower().endswith(suffix):
            return value
    return ""
