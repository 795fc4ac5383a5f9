"""The baseline configuration source: every node watches the platform itself.

This is the simplest strategy, with which the others are compared. The load on the
platform grows with the number of nodes.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from loguru import logger as log
from tornado.httputil import HTTPHeaders, RequestStartLine

from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import VmList
from sequoiaspoke.core.snapshot.publish import (
    HEAD_DOCUMENT,
    PART_PREFIX,
    VMS_DOCUMENT,
)
from sequoiaspoke.errors import CallError, DocumentError, PlatformError
from sequoiaspoke.node import silence
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.node.config import ConfigSource, SourceStatus
from sequoiaspoke.node.platformclient import BODY_LIMIT

if TYPE_CHECKING:
    import random

    from sequoiaspoke.settings.schema import Settings

# A failed watch is retried after a random delay up to this. Without it, all nodes
# would query the platform at the same instant when it comes back.
RETRY_SECONDS = 1.0
HEAD_ESTIMATE_BYTES = (
    120  # rough size of a request without its path, or of an answer's head
)
HTTP_PORT = 80
OK = 200
NO_CHANGE = 204


@dataclass(frozen=True)
class PlatformResponse:
    """A response of the platform."""

    status: int
    headers: HTTPHeaders
    body: bytes


class PlatformWatch(ConfigSource):
    """Watches the head and the VM list, and reads the missing parts."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        self.settings = settings.platform
        self.rng = rng
        url = urlsplit(settings.platform.url)
        self.host = url.netloc
        address = Address(url.hostname or "", url.port or HTTP_PORT)
        body_bytes = min(settings.limits.body_bytes, BODY_LIMIT)
        self.pool = Pool(address, replace(settings.limits, body_bytes=body_bytes))
        self.tasks: list[asyncio.Task[None]] = []
        self.newest_vms = VmList()
        self.reads = 0
        self.bytes_received = 0
        self.bytes_sent = 0

    @property
    def vms(self) -> VmList:
        """Return the newest known list of VMs."""
        return self.newest_vms

    async def start(self) -> None:
        """Start to watch the head and the VM list."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.watch(HEAD_DOCUMENT)),
            loop.create_task(self.watch(VMS_DOCUMENT)),
        ]

    async def stop(self) -> None:
        """Stop the watches and close the connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.pool.close()

    def status(self) -> SourceStatus:
        """Return the state of this source for the status page."""
        return SourceStatus(
            "watch-all",
            "platform",
            self.bytes_sent,
            self.bytes_received,
            self.reads,
        )

    async def watch(self, name: str) -> None:
        """Watch one document until cancelled."""
        revision = 0
        while True:
            try:
                path = f"watch/{name}?after={revision}&wait={self.settings.wait:g}"
                limit = self.settings.wait + self.settings.timeout
                response = await self.read(path, limit)
                if response.status == NO_CHANGE:
                    continue
                await self.apply(name, response.body)
                revision = int(response.headers["Revision"])
            except (CallError, PlatformError, DocumentError, ValueError) as error:
                log.warning("platform-read-failed", document=name, reason=str(error))
                await asyncio.sleep(self.rng.uniform(0, RETRY_SECONDS))

    async def apply(self, name: str, body: bytes) -> None:
        """Apply a changed document; for a head, read the missing parts."""
        if name == VMS_DOCUMENT:
            self.newest_vms = codec.decode_vms(body)
            return
        head = codec.decode_head(body)
        self.holder.offer_head(head, "platform", time.time())
        for digest in self.holder.missing():
            part = await self.read(
                f"documents/{PART_PREFIX}{digest}", self.settings.timeout
            )
            self.holder.offer_part(digest, part.body, time.time())

    async def read(self, path: str, timeout: float) -> PlatformResponse:
        """Read from the platform and count the read and its bytes.

        Raises
        ------
        CallError
            The platform cannot be reached or the connection breaks.
        PlatformError
            The platform answers with an error status, or the body stalls.
        """
        self.reads += 1
        self.bytes_sent += HEAD_ESTIMATE_BYTES + len(path)
        start_line = RequestStartLine("GET", f"/v1/{path}", "HTTP/1.1")
        deadline = asyncio.get_running_loop().time() + timeout
        headers = HTTPHeaders({"Host": self.host})
        answer = await self.pool.call(start_line, headers, None, deadline)
        try:
            chunks = []
            async with silence.timeout(self.settings.timeout):
                while chunk := await answer.body.get():
                    chunks.append(chunk)
        except TimeoutError as error:
            raise PlatformError(f"{path}: no progress") from error
        finally:
            answer.close()
        body = b"".join(chunks)
        self.bytes_received += HEAD_ESTIMATE_BYTES + len(body)
        if answer.status not in (OK, NO_CHANGE):
            raise PlatformError(f"{path}: status {answer.status}")
        return PlatformResponse(answer.status, answer.headers, body)
