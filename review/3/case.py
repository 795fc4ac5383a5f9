"""A stopping node cuts off requests that it has admitted and that take long."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from mesh import BROKEN, HELD, TROUBLE, CannotRunError, World, play, route  # noqa: E402

ZONES = ["monza-sala", "bergamo-sala", "lecco-sala"]
ROUTE, SERVICE = "omaggio-floreale", "cordoglio"
# Time budget, timeout, mean work and long work of omaggio-floreale; its longest is 2.1.
BUDGET_SECONDS, TIMEOUT_SECONDS = 5, 2.5
WORK_SECONDS, LONG_SECONDS = 0.29, 2.0
# Requesters that send one request after the other, and the long requests among some
# 120 others.
REQUESTERS, LONG_REQUESTS = 6, 2
WARM_SECONDS = 3
# Seconds from the SIGTERM to the long requests.
LONG_AFTER = 3.4


async def scenario(folder: Path) -> int:
    """Stop a node under traffic; return whether it cuts off an admitted request."""
    world = World(folder)
    try:
        fields = {"timeoutS": TIMEOUT_SECONDS, "targetLatencyS": 0.8}
        world.publish(1, [route(ROUTE, SERVICE, "unsafe", **fields)], [SERVICE])
        await world.start(ZONES, [SERVICE] * len(ZONES))
        for node in world.nodes:
            node.target.work_seconds = WORK_SECONDS
        node = world.nodes[0]
        until = time.monotonic() + WARM_SECONDS + LONG_AFTER
        flow = [
            asyncio.ensure_future(send_in_turn(world, f"flow-{number}", until))
            for number in range(REQUESTERS)
        ]
        await asyncio.sleep(WARM_SECONDS)
        if TROUBLE:
            node.signal(signal.SIGTERM)
        await asyncio.sleep(LONG_AFTER)
        lost = await send_long(world)
        await asyncio.gather(*flow)
        world.record.line(
            f"result   {len(lost)} of {LONG_REQUESTS} long requests were broken off at"
            f" their targets and got an answer of the node: {lost}"
        )
        return BROKEN if lost else HELD
    finally:
        await world.stop()


async def send_in_turn(world: World, name: str, until: float) -> None:
    """Send one request after the other to the first machine."""
    number = 0
    while time.monotonic() < until:
        call = f"{name}-{number}"
        await world.send_once(world.nodes[0], call, ROUTE, BUDGET_SECONDS)
        number += 1


async def send_long(world: World) -> list[str]:
    """Send long requests; return those that ran and were broken off.

    Not counted are those that reached the route's timeout.
    """
    calls = [f"long-{number}" for number in range(LONG_REQUESTS)]
    world.work_seconds = dict.fromkeys(calls, LONG_SECONDS)
    sent = time.monotonic()
    statuses = await asyncio.gather(
        *(world.send_once(world.nodes[0], c, ROUTE, BUDGET_SECONDS) for c in calls)
    )
    seconds = time.monotonic() - sent
    world.record.line(f"answered long requests {seconds:.2f} s after they were sent")
    ran = {call for call, _ in world.runs}
    if not ran.issuperset(calls):
        raise CannotRunError("a long request was not passed on")
    if seconds >= TIMEOUT_SECONDS:
        return []
    return [
        call
        for call, status in zip(calls, statuses, strict=True)
        if status != 200 and call not in world.finished
    ]


play(HERE, scenario)
