"""What is played for the one real node of a cost measurement."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar.logs import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.transfers import AnnouncedBody, BodySource

# Bytes of an answer's body; most of the users' answers have some hundred to a few
# thousand.
BODY_BYTES = 1000


class PlayedHome:
    """A home that answers each call at once."""

    leaving = stopping = False

    def __init__(self) -> None:
        headers = (("Content-Type", "text/plain"), ("X-Upstream-Stamp", "s"))
        self.answer = Answer(200, headers, b"x" * BODY_BYTES, 0.01)

    def submit(
        self,
        key: Hashable,  # noqa: ARG002
        call: HomeCall,  # noqa: ARG002
        tell: Callable[[Outcome], None],
        body: AnnouncedBody | None = None,  # noqa: ARG002
    ) -> None:
        """Answer a call."""
        tell(self.answer)

    def link_lost(self, source: BodySource) -> None:
        """Do nothing: no body is requested."""

    def cancel(self, key: Hashable) -> None:
        """Do nothing: every call has its answer."""

    def load_report(self, route: str = "", rank: int = 0) -> LoadReport:  # noqa: ARG002
        """Return that there is no load."""
        return LoadReport(1.0, 0.01, 0.0)


class PlayedUpstream(asyncio.Protocol):
    """Answers each request at once; requests have no body and come one by one."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a request with its id."""
        call_id = b""
        for line in data.split(b"\r\n"):
            if line.lower().startswith(b"x-request-id:"):
                call_id = line.partition(b":")[2].strip()
        head = b"HTTP/1.1 200 OK\r\nX-Upstream-Stamp: s\r\nX-Request-Id: %b\r\n"
        self.transport.write(
            head % call_id + b"Content-Length: 1000\r\n\r\n" + b"x" * BODY_BYTES
        )


class QuietLog(EventLog):
    """A log of which nothing is written: what is played here is not of interest."""

    def allowed(self, kind: str) -> bool:  # noqa: ARG002
        """Return that there is no room."""
        return False
