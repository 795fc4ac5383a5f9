"""`sequoiaspoke held` and `release`: requests that crash upstreams."""

from __future__ import annotations

import asyncio
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sequoiaspoke.commands.nodestatus import (
    NodeStatus,
    ask_nodes,
    require_answers,
)
from sequoiaspoke.commands.table import aligned
from sequoiaspoke.errors import NodeUnreachableError, NotSuspectedError

HEADINGS = ("fingerprint", "service", "nodes", "seconds-left", "upstreams")
NOT_FOUND = 404


def held(*addresses: str, timeout: float = 5.0) -> None:
    """List the requests that nodes hold back as they crash upstreams.

    Ends with status 7 where a node did not answer; the list is printed before.

    :param addresses: health addresses of the nodes, as IP:PORT
    :param timeout: seconds to wait for each node
    """
    nodes = asyncio.run(ask_nodes(addresses, timeout))
    print(as_table(nodes))
    require_answers(nodes)


def release(fingerprint: str, *addresses: str, timeout: float = 5.0) -> None:
    """Let go of a request that is held back; one node tells all others.

    :param fingerprint: what `held` and the logs call the request
    :param addresses: health addresses of nodes to ask in turn, as IP:PORT
    :param timeout: seconds to wait for each node
    """
    address = asyncio.run(release_at_one(fingerprint, addresses, timeout))
    print(f"released at {address}")


async def release_at_one(
    fingerprint: str, addresses: tuple[str, ...], timeout: float
) -> str:
    """Return the first node that has let go of a request.

    Raises
    ------
    NotSuspectedError
        All nodes that answered know nothing of the request.
    NodeUnreachableError
        No node answered.
    """
    client = SimpleAsyncHTTPClient(force_instance=True)
    failures = []
    answered = False
    try:
        for address in addresses:
            try:
                await post(client, address, fingerprint, timeout)
            except (HTTPClientError, OSError) as error:
                unknown = isinstance(error, HTTPClientError) and error.code == NOT_FOUND
                answered |= unknown
                failures.append(f"{address}: {error}")
            else:
                return address
    finally:
        client.close()
    if answered:
        raise NotSuspectedError(fingerprint)
    raise NodeUnreachableError("; ".join(failures) or "no address was given")


async def post(
    client: AsyncHTTPClient, address: str, fingerprint: str, timeout: float
) -> None:
    """Ask one node to let go of a request."""
    await client.fetch(
        f"http://{address}/release/{fingerprint}",
        method="POST",
        body="",
        connect_timeout=timeout,
        request_timeout=timeout,
    )


def as_table(nodes: list[NodeStatus]) -> str:
    """Return one line for each request that some node holds back."""
    return aligned([HEADINGS, *(_row(request) for request in merge(nodes))])


def merge(nodes: list[NodeStatus]) -> list[dict[str, Any]]:
    """Return the requests held back anywhere, with the nodes that do."""
    requests: dict[tuple[str, str], dict[str, Any]] = {}
    for node in nodes:
        for each in node.page.get("held") or []:
            key = (each["service"], each["fingerprint"])
            request = requests.setdefault(key, {**each, "nodes": 0})
            request["nodes"] += 1
            request["seconds_left"] = max(request["seconds_left"], each["seconds_left"])
    return [requests[key] for key in sorted(requests)]


def _row(request: dict[str, Any]) -> tuple[str, ...]:
    crashes = sorted(request["crashes"], key=lambda crash: crash["seconds_ago"])
    upstreams = (f"{each['instance']}({each['seconds_ago']:.0f}s)" for each in crashes)
    return (
        request["fingerprint"],
        request["service"],
        str(request["nodes"]),
        f"{request['seconds_left']:.0f}",
        ",".join(upstreams),
    )
