"""`sequoiaspoke version-of`: wait until a version is in force at nodes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sequoiaspoke.commands.nodestatus import ask_nodes
from sequoiaspoke.errors import NodeUnreachableError, NotConvergedError

if TYPE_CHECKING:
    from sequoiaspoke.commands.nodestatus import NodeStatus

POLL_INTERVAL = 0.2  # seconds between two rounds of requests
NODE_TIMEOUT = 5.0  # seconds for one node's answer


def version_of(*addresses: str, wait: int = 0, timeout: float = 30.0) -> None:
    """Print the version in force at nodes, or wait for a version.

    Exits with status 0 once the awaited version or a newer one is in force at all
    nodes, and with status 6 if that takes longer than the timeout.

    :param addresses: admin addresses of the nodes, as IP:PORT
    :param wait: the version to wait for
    :param timeout: seconds to wait in total
    """
    started = time.monotonic()
    nodes = asyncio.run(follow(addresses, wait, timeout))
    for node in nodes:
        print(f"node={node.address} version={node.version}")
    seconds = time.monotonic() - started
    behind = [node for node in nodes if node.fault or node.version < wait]
    if not behind:
        print(f"awaited={wait} nodes={len(nodes)} seconds={seconds:.1f}")
        return
    reasons = "; ".join(map(_describe_behind, behind))
    if wait:
        raise NotConvergedError(f"version {wait} is not in force at {reasons}")
    raise NodeUnreachableError(reasons)


async def follow(
    addresses: tuple[str, ...], wait: int, timeout: float
) -> list[NodeStatus]:
    """Poll the nodes until the version is in force at all of them or time runs out."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    latest: dict[str, NodeStatus] = {}
    pending = addresses
    while True:
        remaining = max(POLL_INTERVAL, deadline - loop.time())
        for node in await ask_nodes(pending, min(NODE_TIMEOUT, remaining)):
            latest[node.address] = node
        # Versions never decrease, so a node that has reached the version is not asked
        # again. This keeps the rounds short in a fleet of thousands.
        pending = tuple(
            address
            for address in addresses
            if latest[address].fault or latest[address].version < wait
        )
        if not pending or not wait or loop.time() + POLL_INTERVAL > deadline:
            return [latest[address] for address in addresses]
        await asyncio.sleep(POLL_INTERVAL)


def _describe_behind(node: NodeStatus) -> str:
    if node.fault:
        return f"{node.address} (no answer: {node.fault})"
    refused = node.page.get("last_refused_version")
    if refused is None:
        return f"{node.address} (version {node.version})"
    reason = node.text("last_refused_reason")
    return f"{node.address} (version {node.version}; refused {refused}: {reason})"
