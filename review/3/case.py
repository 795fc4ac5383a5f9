"""Versions written while the store is cut off don't come into force after the cut."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from mesh import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Node,
    World,
    play,
    route,
)
from standins import Proxy  # noqa: E402

ZONES = ["akaki", "akaki", "bole", "bole", "kality", "kality"]
SERVICES = ["booking", "fleet"] * 3
ROUTE, OLD_SERVICE, NEW_SERVICE = "hire-book", "booking", "fleet"
BUDGET_SECONDS, TIMEOUT_SECONDS = 3, 1.5
# Routes beside those of the requests.
OTHER_ROUTES = 3000
# A configuration each gap, for so long, and the length of the cut.
STORM_SECONDS, STORM_GAP, CUT_SECONDS = 5.0, 0.15, 6.0
# Bounds of the settings.
STABLE_SECONDS, APPLY_SECONDS, SKEW_SECONDS = 3, 2, 5
# Seconds from the end of the cut until the last request, and between two requests.
WATCHED_SECONDS, REQUEST_GAP = 11, 0.25


class CutWorld(World):
    """A deployment whose path to the store leads through a proxy."""

    async def before_nodes(self) -> None:
        """Start the proxy before the store."""
        host, port = self.store.address.split(":")
        self.proxy = Proxy((host, int(port)))
        await self.proxy.start(self.host(251))

    def store_address(self, node: Node) -> str:  # noqa: ARG002
        """Return the address of the proxy."""
        return self.proxy.address

    def publish_version(self, number: int, service: str) -> None:
        """Write a version in which a service runs the requests."""
        others = [
            route(f"other-{each:04}", service, prefix=f"/other-{each:04}/2f/")
            for each in range(OTHER_ROUTES)
        ]
        booking = route(ROUTE, service, "unsafe", timeoutS=TIMEOUT_SECONDS)
        self.publish(number, [booking, *others], [OLD_SERVICE, NEW_SERVICE])


async def scenario(folder: Path) -> int:
    """Write versions during a cut; return whether they come into force after it."""
    world = CutWorld(folder)
    try:
        world.publish_version(1, OLD_SERVICE)
        await world.start(ZONES, SERVICES)
        begun = time.monotonic()
        if TROUBLE:
            world.record.line("cut      all machines from the store")
            world.proxy.cut()
        await asyncio.sleep(0.3)
        for number in range(int(STORM_SECONDS / STORM_GAP)):
            world.publish_version(2 + number, NEW_SERVICE)
            await asyncio.sleep(STORM_GAP)
        acked = time.monotonic()
        await asyncio.sleep(max(0.0, begun + CUT_SECONDS - acked))
        world.record.line("healed")
        world.proxy.heal()
        healed = time.monotonic()
        binding = max(healed + STABLE_SECONDS, acked + APPLY_SECONDS + SKEW_SECONDS)
        old, judged = await send_requests(world, healed + WATCHED_SECONDS, binding)
        if not judged:
            raise CannotRunError("no request to judge")
        world.record.line(
            f"result   {len(old)} of {judged} requests were run by {OLD_SERVICE},"
            f" which only r1 allows: {old}"
        )
        return BROKEN if old else HELD
    finally:
        await world.stop()


async def send_requests(
    world: World, until: float, binding: float
) -> tuple[list[str], int]:
    """Send requests through all machines; return those run by the old service.

    Only those count that are sent when all versions have to be in force.
    """
    number, binds = 0, set()
    while time.monotonic() < until:
        node = world.nodes[number % len(world.nodes)]
        call = f"request-{number}"
        number += 1
        if time.monotonic() > binding:
            binds.add(call)
        await world.send_once(node, call, ROUTE, BUDGET_SECONDS)
        await asyncio.sleep(REQUEST_GAP)
    old = [call for call, service in world.runs if service == OLD_SERVICE]
    return [call for call in old if call in binds], len(binds)


play(HERE, scenario)
