"""What comes of one attempt to have an upstream run a call."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.crashes import Crash

# Reason of a call whose time was over before its upstream answered.
TIMED_OUT = "timeout"
# Reason of a call whose connection ended before its answer.
CONNECTION_LOST = "connection-lost"
# Reason of a call whose connection was reset sooner than an upstream works on a call.
RESET_AT_ONCE = "reset-at-once"
# Reason of a call whose upstream ended while it ran there.
UPSTREAM_CRASHED = "upstream-crashed"
# Bytes of a fingerprint; chance likenesses among a million requests are one in 10^7.
FINGERPRINT_BYTES = 8
# Name and value of each header, in their order.
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Request:
    """A call as its caller sent it.

    Attributes
    ----------
    nested : bool
        Whether an upstream makes it while it runs another call.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    nested: bool = False

    def header(self, name: str) -> str:
        """Return the value of a header, empty if it is not there."""
        return find_header(self.headers, name)

    @cached_property
    def fingerprint(self) -> str:
        """Return what two calls have in common that ask for the same.

        Each attempt of a caller has an id and a time of its own and may come by any
        node, so that neither the id nor the other headers are part of it.
        """
        parts = (self.method, self.header("host").lower(), self.target)
        digest = blake2b("\0".join(parts).encode(), digest_size=FINGERPRINT_BYTES)
        digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True)
class Answer:
    """An upstream's whole answer.

    Attributes
    ----------
    seconds : float
        Time at the upstream.
    """

    status: int
    headers: Headers
    body: bytes
    seconds: float = 0.0


@dataclass(frozen=True)
class NotRun:
    """The call has not run and never will by this attempt.

    Attributes
    ----------
    reached : bool
        Whether it was the upstream itself that turned the call away.
    retry_after : float
        Seconds after which there should be room.
    """

    reason: str
    retry_after: float = 0.0
    from_upstream: bool = False


@dataclass(frozen=True)
class Unknown:
    """The call may have run; nobody can tell.

    Attributes
    ----------
    crash : Crash or None
        The end of the upstream that ran it, if that is why.
    """

    reason: str
    crash: Crash | None = None


Outcome = Answer | NotRun | Unknown


def find_header(headers: Headers, name: str) -> str:
    """Return the value of the first header of a name in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return ""
