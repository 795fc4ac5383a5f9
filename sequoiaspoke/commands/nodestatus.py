"""Fetch the status pages of many nodes concurrently."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sequoiaspoke.errors import NodeUnreachableError

PAGE_LIMIT = 4_000_000  # bytes, so that a wrong address cannot exhaust memory
MAX_CONCURRENT_REQUESTS = 100  # nodes asked concurrently


@dataclass(frozen=True)
class NodeStatus:
    """The status of one node, or the reason why it did not answer.

    Attributes
    ----------
    version : int
        Version in force; 0 if the node has none or did not answer.
    page : dict
        The whole status page.
    fault : str
        Why there is no answer; empty if there is one.
    """

    address: str
    version: int = 0
    page: dict[str, Any] = field(default_factory=dict)
    fault: str = ""

    def text(self, key: str) -> str:
        """Return a value of the page as text, or a dash if it is missing."""
        value = self.page.get(key)
        return "-" if value is None or value == "" else str(value)

    def total(self, key: str) -> int:
        """Return the sum of a group of counters on the page."""
        counters = self.page.get(key)
        if not isinstance(counters, dict):
            return 0
        return sum(count for count in counters.values() if type(count) is int)

    def seconds(self, key: str) -> float | None:
        """Return a time on the page in seconds since the epoch, or None."""
        value = self.page.get(key)
        return float(value) if type(value) in (int, float) and value > 0 else None


async def ask_nodes(addresses: tuple[str, ...], timeout: float) -> list[NodeStatus]:
    """Ask all nodes; a node that does not answer yields a status with a fault."""
    client = SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONCURRENT_REQUESTS,
        max_body_size=PAGE_LIMIT,
    )
    try:
        requests = (ask_node(client, address, timeout) for address in addresses)
        return list(await asyncio.gather(*requests))
    finally:
        client.close()


async def ask_node(client: AsyncHTTPClient, address: str, timeout: float) -> NodeStatus:
    """Ask the node whose admin port is at an address such as 10.0.0.1:8083."""
    url = f"http://{address}/status"
    try:
        answer = await client.fetch(
            url, connect_timeout=timeout, request_timeout=timeout
        )
        return read_status(address, answer.body)
    except (HTTPClientError, OSError, ValueError, NodeUnreachableError) as error:
        return NodeStatus(address, fault=str(error) or type(error).__name__)


def require_answers(nodes: list[NodeStatus]) -> None:
    """Check that every node answered.

    Raises
    ------
    NodeUnreachableError
        Some node did not answer.
    """
    faults = [f"{node.address}: {node.fault}" for node in nodes if node.fault]
    if faults:
        raise NodeUnreachableError("; ".join(faults))


def read_status(address: str, body: bytes) -> NodeStatus:
    """Parse a status page.

    Raises
    ------
    NodeUnreachableError
        The body is not the status page of a node.
    """
    try:
        page = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise NodeUnreachableError(f"not a status page: {error}") from error
    if not isinstance(page, dict) or type(page.get("version")) is not int:
        raise NodeUnreachableError("not the status page of a node")
    return NodeStatus(address, page["version"], page)
