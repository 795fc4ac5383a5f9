"""`sequoiaspoke held` and `release`: quarantined requests that crash upstreams."""

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
    """List the requests that nodes hold back because they crash upstreams.

    Exits with status 7 if a node did not answer; the list is printed anyway.

    :param addresses: health addresses of the nodes, as IP:PORT
    :param timeout: seconds to wait for each node
    """
    nodes = asyncio.run(ask_nodes(addresses, timeout))
    print(as_table(nodes))
    require_answers(nodes)


def release(fingerprint: str, *addresses: str, timeout: float = 5.0) -> None:
    """Release a request that is held back; one node informs all others.

    :param fingerprint: fingerprint of the request, as `held` and the logs show it
    :param addresses: health addresses of nodes to try in turn, as IP:PORT
    :param timeout: seconds to wait for each node
    """
    address = asyncio.run(release_at_one(fingerprint, addresses, timeout))
    print(f"released at {address}")


async def release_at_one(
    fingerprint: str, addresses: tuple[str, ...], timeout: float
) -> str:
    """Release a request at the first node that can; return that node's address.

    Raises
    ------
    NotSuspectedError
        None of the nodes that answered holds the request back.
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
    """Ask one node to release a request."""
    await client.fetch(
        f"http://{address}/release/{fingerprint}",
        method="POST",
        body="",
        connect_timeout=timeout,
        request_timeout=timeout,
    )


def as_table(nodes: list[NodeStatus]) -> str:
    """Return a table with one line for each request that any node holds back."""
    return aligned([HEADINGS, *(_row(request) for request in merge(nodes))])


def merge(nodes: list[NodeStatus]) -> list[dict[str, Any]]:
    """Return the requests held back by any node, each with the number of such nodes."""
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
