"""`sequoiaspoke status`: one table of many nodes."""

from __future__ import annotations

import asyncio
import json as json_library
import time

from sequoiaspoke.commands.nodestatus import (
    NodeStatus,
    ask_nodes,
    require_answers,
)
from sequoiaspoke.commands.table import aligned

HEADINGS = (
    "node zone target version since learnt-from state in-flight "
    "queued limit ledger ejected calls refused unknown retried details last-refused"
).split()
MAX_CELL_LENGTH = 80  # characters


def status(*addresses: str, json: bool = False, timeout: float = 5.0) -> None:
    """Show the state of nodes.

    Exits with status 7 if a node did not answer; the table is printed anyway.

    :param addresses: admin addresses of the nodes, as IP:PORT
    :param json: print the nodes' whole status pages as JSON
    :param timeout: seconds to wait for each node
    """
    nodes = asyncio.run(ask_nodes(addresses, timeout))
    print(as_json(nodes) if json else as_table(nodes, time.time()))
    require_answers(nodes)


def as_json(nodes: list[NodeStatus]) -> str:
    """Return the complete status pages by address, as JSON."""
    pages = {node.address: node.page or {"fault": node.fault} for node in nodes}
    return json_library.dumps(pages, indent=2, sort_keys=True)


def as_table(nodes: list[NodeStatus], now: float) -> str:
    """Return a table with one line for each node."""
    return aligned([HEADINGS, *(_row(node, now) for node in nodes)])


def _row(node: NodeStatus, now: float) -> list[str]:
    if node.fault:
        blanks = ["-"] * (len(HEADINGS) - 2)
        return [node.address, *blanks, _shorten(f"no answer: {node.fault}")]
    cells = [
        node.text("name"),
        node.text("zone"),
        node.text("target"),
        str(node.version),
        _age(node.seconds("installed_at"), now),
        node.text("learnt_from"),
        _state(node),
        *(node.text(key) for key in ("in_flight", "queued", "limit", "ledger")),
        _ejected(node),
        *(str(node.total(key)) for key in ("calls", "refused", "unknown", "retried")),
        _details(node),
        _last_refused(node),
    ]
    return [_shorten(cell) for cell in cells]


def _age(installed_at: float | None, now: float) -> str:
    return "-" if installed_at is None else f"{max(0.0, now - installed_at):.0f}s"


def _state(node: NodeStatus) -> str:
    if node.page.get("draining"):
        return "draining"
    if not node.version:
        return "not-ready"
    return "unverified" if node.page.get("verified") is False else "serving"


def _ejected(node: NodeStatus) -> str:
    targets = node.page.get("ejected")
    return ",".join(map(str, targets)) if isinstance(targets, list) and targets else "-"


def _details(node: NodeStatus) -> str:
    details = node.page.get("details")
    if not isinstance(details, dict):
        return "-"
    cells = ((key, _summarize(value)) for key, value in sorted(details.items()))
    return " ".join(f"{key}={text}" for key, text in cells if text) or "-"


def _summarize(value: object) -> str:
    """Return a scalar as text, a list as its length, and a group as an empty text."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return str(len(value))
    return str(value) if isinstance(value, (str, int, float)) else ""


def _last_refused(node: NodeStatus) -> str:
    version = node.page.get("last_refused_version")
    return "-" if version is None else f"{version}: {node.text('last_refused_reason')}"


def _shorten(cell: str) -> str:
    line = " ".join(cell.split())
    return line if len(line) <= MAX_CELL_LENGTH else line[: MAX_CELL_LENGTH - 3] + "..."
