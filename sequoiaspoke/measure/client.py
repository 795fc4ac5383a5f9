"""Orders to the control port of a stand-in that runs as a program."""

from __future__ import annotations

import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

ANSWER_SECONDS = 10.0


class StandinClient:
    """Publish, set faults and read counts over a control port."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.client = AsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Close the client."""
        self.client.close()

    async def publish(self, name: str, data: bytes) -> None:
        """Publish one document."""
        await self.ask(f"/documents/{name}", "PUT", data)

    async def fault(self, query: str) -> None:
        """Set faults, such as `down=refuse`."""
        await self.ask(f"/fault?{query}", "POST")

    async def order(self, action: str) -> None:
        """Order something that is no lasting fault."""
        await self.ask(f"/do/{action}", "POST")

    async def report(self) -> dict[str, Any]:
        """Return what was counted."""
        return json.loads(await self.ask("/calls"))

    async def ask(
        self, path: str, method: str = "GET", body: bytes | None = None
    ) -> bytes:
        """Send one request."""
        request = HTTPRequest(
            self.url + path,
            method,
            body=body,
            connect_timeout=ANSWER_SECONDS,
            request_timeout=ANSWER_SECONDS,
            allow_nonstandard_methods=True,
        )
        return (await self.client.fetch(request)).body
