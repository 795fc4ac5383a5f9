"""Reads and watches of the platform's documents over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from sequoiaspoke.errors import PlatformError
from sequoiaspoke.node.resolver import NumericResolver

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

    from sequoiaspoke.settings.schema import PlatformSettings

BODY_LIMIT = 2 << 20  # bytes; the platform stores values of up to a megabyte
MAX_CONCURRENT_READS = 64
HEAD_ESTIMATE_BYTES = 250  # rough size of a request, or of a response head
OK = 200
UNCHANGED = 204
NOT_FOUND = 404


@dataclass(frozen=True)
class DocumentAnswer:
    """A document as the platform returned it; `body` is None if unchanged."""

    revision: int
    body: bytes | None


class PlatformAbsentError(PlatformError):
    """The platform has no such document."""

    code = "platform-absent"


class PlatformRefusedError(PlatformError):
    """The platform refused the read and said when to retry."""

    code = "platform-refused"

    def __init__(self, detail: str, retry_after: float) -> None:
        super().__init__(detail)
        self.retry_after = retry_after


class PlatformClient:
    """Reads documents from the platform; every request has a deadline.

    A connection without an answer is closed at the deadline, and the next request
    opens a new one.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.client = AsyncHTTPClient(
            resolver=NumericResolver(),
            force_instance=True,
            max_clients=MAX_CONCURRENT_READS,
            max_body_size=BODY_LIMIT,
        )
        self.reads = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def read(self, document: str) -> DocumentAnswer:
        """Read a document.

        Raises
        ------
        PlatformError
            No usable answer arrived in time.
        """
        path = f"documents/{quote(document)}"
        return await self._get(path, self.settings.timeout)

    async def watch(self, document: str, after: int, wait: float) -> DocumentAnswer:
        """Wait until a document has a newer revision; see `read`."""
        path = f"watch/{quote(document)}?after={after}&wait={wait:g}"
        return await self._get(path, wait + self.settings.timeout)

    async def _get(self, path: str, timeout: float) -> DocumentAnswer:
        request = HTTPRequest(
            f"{self.settings.url.rstrip('/')}/v1/{path}",
            connect_timeout=self.settings.timeout,
            request_timeout=timeout,
            follow_redirects=False,
        )
        self.reads += 1
        self.bytes_sent += HEAD_ESTIMATE_BYTES
        try:
            response = await self._fetch(request)
        except HTTPClientError as error:
            raise _failure(path, error) from error
        except (OSError, ValueError) as error:
            raise PlatformError(f"{path}: {error!r}") from error
        return self._to_answer(path, response)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        # A cancelled read goes on in the background until it ends: Tornado's client
        # cannot abort a request, and logs an error if its future is cancelled.
        fetching = asyncio.ensure_future(self.client.fetch(request))
        fetching.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(fetching)

    def _to_answer(self, path: str, response: HTTPResponse) -> DocumentAnswer:
        self.bytes_received += HEAD_ESTIMATE_BYTES + len(response.body)
        if response.code == UNCHANGED:
            return DocumentAnswer(-1, None)
        try:
            revision = int(response.headers.get("Revision", ""))
        except ValueError as error:
            raise PlatformError(f"{path}: no revision") from error
        return DocumentAnswer(revision, response.body)

    def close(self) -> None:
        """Close the client and all its connections."""
        self.client.close()


def _failure(path: str, error: HTTPClientError) -> PlatformError:
    detail = f"{path}: {error}"
    if error.code == NOT_FOUND:
        return PlatformAbsentError(detail)
    header = error.response.headers.get("Retry-After", "") if error.response else ""
    if not header:
        return PlatformError(detail)
    try:
        return PlatformRefusedError(detail, max(float(header), 0.0))
    except ValueError:
        return PlatformError(detail)
