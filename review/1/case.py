"""A request that isn't idempotent runs twice after its machine was cut off."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from mesh import BROKEN, HELD, TROUBLE, Node, World, play, route  # noqa: E402
from standins import Proxy  # noqa: E402

ZONES = ["monza-sala", "bergamo-sala", "lecco-sala"]
SERVICES = ["sportello", "cordoglio", "cordoglio"]
ROUTE, SERVICE = "omaggio-floreale", "cordoglio"
# Time budget of the requests and timeout of their route.
BUDGET_SECONDS = 15
WORK_SECONDS = 0.3
REQUESTS = 6
# Seconds from the requests to the cut, while the targets are at work, and its length.
CUT_AFTER, CUT_SECONDS = 0.15, 12.0
# Seconds after the last answer until the runs are counted.
SETTLE_SECONDS = 2


class LinkWorld(World):
    """A deployment whose machines reach each other through proxies.

    A process dials its own inbound port at another machine. These ports differ here, so
    that a proxy can stand at each of them; no process sees that.
    """

    def inbound_port(self, node: Node) -> int:
        """Return the port for the links to a node, another one for each node."""
        return self.ports[2 + node.number]

    async def before_nodes(self) -> None:
        """Start a proxy for each pair of machines and each direction of dialling."""
        self.proxies: dict[tuple[int, int], Proxy] = {}
        for node in self.nodes:
            for other in self.nodes:
                if node is not other:
                    proxy = Proxy((other.host, self.inbound_port(other)))
                    await proxy.start(other.host, self.inbound_port(node))
                    self.proxies[node.number, other.number] = proxy

    def links_of(self, node: Node) -> list[Proxy]:
        """Return the proxies of all links from and to a node."""
        return [each for ends, each in self.proxies.items() if node.number in ends]


async def scenario(folder: Path) -> int:
    """Cut a machine off while its requests run; return whether one runs twice."""
    world = LinkWorld(folder)
    try:
        routes = [route(ROUTE, SERVICE, "unsafe", timeoutS=BUDGET_SECONDS)]
        world.publish(1, routes, [SERVICE, "sportello"])
        await world.start(ZONES, SERVICES)
        for node in world.nodes:
            node.target.work_seconds = WORK_SECONDS
        await asyncio.gather(*send_requests(world, "early"))
        tasks = send_requests(world, "request")
        await asyncio.sleep(CUT_AFTER)
        links = world.links_of(world.nodes[0])
        if TROUBLE:
            world.record.line(f"cut      {world.nodes[0].host} from other machines")
            for proxy in links:
                proxy.cut()
        await asyncio.sleep(CUT_SECONDS)
        if TROUBLE:
            world.record.line("healed")
            for proxy in links:
                proxy.heal()
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_SECONDS)
        runs = Counter(call for call, _ in world.runs)
        twice = [call for call, count in runs.items() if count > 1]
        world.record.line(f"result   {len(twice)} requests ran twice: {twice}")
        return BROKEN if twice else HELD
    finally:
        await world.stop()


def send_requests(world: World, name: str) -> list[asyncio.Task]:
    """Send requests to the first machine, each once."""
    node = world.nodes[0]
    return [
        asyncio.ensure_future(
            world.send_once(node, f"{name}-{number}", ROUTE, BUDGET_SECONDS)
        )
        for number in range(REQUESTS)
    ]


play(HERE, scenario)
