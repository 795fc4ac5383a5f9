"""Requesters that pause while they read lose answers on their kept connections."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from mesh import BROKEN, HELD, TROUBLE, CannotRunError, World, play, route  # noqa: E402
from slow import Requester  # noqa: E402

ZONES = ["akaki", "bole", "kality"]
SERVICE, ROUTE = "ledger", "hire-hist"
# Time budget, timeout and largest answer of hire-hist.
BUDGET_SECONDS, TIMEOUT_SECONDS, ANSWER_BYTES = 10, 5, 9000
WORK_SECONDS = 0.5
REQUESTERS, PIPELINED = 3, 8
# Seconds for which a requester does not read, after its first bytes.
PAUSE_SECONDS = 3.0
WINDOW_BYTES = 16384
# LOST allows three requests whose connection is closed without an answer.
ALLOWED = 3


async def scenario(folder: Path) -> int:
    """Have requesters read slowly; return whether their answers were lost."""
    world = World(folder)
    try:
        world.publish(1, [route(ROUTE, SERVICE, timeoutS=TIMEOUT_SECONDS)], [SERVICE])
        await world.start(ZONES, [SERVICE] * len(ZONES))
        for node in world.nodes:
            node.target.work_seconds = WORK_SECONDS
            node.target.answer_bytes = ANSWER_BYTES
        names = [f"requester-{number}" for number in range(REQUESTERS)]
        results = await asyncio.gather(*(read_slowly(world, name) for name in names))
        lost = [call for calls in results for call in calls]
        world.record.line(
            f"result   {len(lost)} requests ran and their kept connection was closed"
            f" without a byte of an answer, {ALLOWED} are allowed: {lost}"
        )
        return BROKEN if len(lost) > ALLOWED else HELD
    finally:
        await world.stop()


async def read_slowly(world: World, name: str) -> list[str]:
    """Send requests on one connection; return those that ran and got no answer."""
    node = world.nodes[0]
    requester = Requester(world, name, WINDOW_BYTES)
    await requester.connect(node.host, world.ports[1])
    first = f"{name}-first"
    await requester.send(world.request(first, ROUTE, BUDGET_SECONDS))
    await requester.read_until([first], time.monotonic() + BUDGET_SECONDS, 65536)
    if first not in requester.answered:
        raise CannotRunError(f"{first} was not answered\n{world.logs()}")
    calls = [f"{name}-{number}" for number in range(PIPELINED)]
    latest = time.monotonic() + BUDGET_SECONDS
    for call in calls:
        world.record.line(f"sent     {call} by {name} to {node.host}")
        await requester.send(world.request(call, ROUTE, BUDGET_SECONDS))
    await requester.read(1024)
    if TROUBLE:
        world.record.line(f"pause    {name} does not read for {PAUSE_SECONDS} s")
        await asyncio.sleep(PAUSE_SECONDS)
    await requester.read_until(calls, latest, 65536)
    requester.close()
    if requester.end == "time budget over":
        raise CannotRunError(f"{name} had no time left")
    # The answer that was cut off in the middle is not counted here.
    begun = len(requester.answered) - 1 + bool(requester.buffer)
    return [call for call in calls[begun:] if call in world.finished]


play(HERE, scenario)
