"""A simulated site of 84 nodes that read a large document over slow links.

A document of 3,300 routes has 0.35 MB in base64; most links carry 2.5 Mbit/s, and most
nodes have 0.43 of a core to decode it.
"""

import asyncio
from math import inf

from sequoiaspoke.sidecar import clock
from sequoiaspoke.tests.spreadsim import NodeStore, RestoreWorld, SpreadNode

# Seconds within which the upstreams have registered.
REGISTRATION_SECONDS = 4.0
ZONES = ("monza", "bergamo", "lecco")
NODES_PER_ZONE, FAST_NODES = 28, 2
SLOW_MBPS, FAST_MBPS = 2.5, 50.0
DOCUMENT_BYTES, ITEM_BYTES = 350_000, 300
# Seconds that a whole core takes to decode a document, and the share of a core.
DECODE_SECONDS, CORES = 0.05, 0.43


class LinkStore(NodeStore):
    """The store as a node reaches it over a link of some rate."""

    def __init__(self, world, host, rate):
        super().__init__(world, host)
        self.rate = rate
        self.arriving = False

    @property
    def received_at(self):
        return clock.now() if self.arriving else -inf

    async def receive(self, changes):
        """Let the items of an answer arrive over the link, and decode them."""
        documents = sum(item.key == "config" for item in changes.items)
        size = documents * DOCUMENT_BYTES + len(changes.items) * ITEM_BYTES
        self.arriving = True
        try:
            await asyncio.sleep(8e-6 * size / self.rate)
            await asyncio.sleep(documents * DECODE_SECONDS / CORES)
        finally:
            self.arriving = False
        return changes

    async def read_all(self):
        return await self.receive(await super().read_all())

    async def wait_for_changes(self, after):
        return await self.receive(await super().wait_for_changes(after))

    async def catch_up(self, after):
        return await self.receive(await super().catch_up(after))

    async def endpoints_since(self, after):
        return await self.receive(await super().endpoints_since(after))


class LargeSiteWorld(RestoreWorld):
    """A site whose store comes back from copies, with nodes on slow links."""

    zones = ZONES
    nodes_per_zone = NODES_PER_ZONE
    act_seconds = 2.5

    def __init__(self, seed):
        super().__init__(seed)
        for zone in self.zones:
            for number in range(self.nodes_per_zone):
                rate = FAST_MBPS if number < FAST_NODES else SLOW_MBPS
                self.link_rates[f"{zone}-{number}"] = rate

    def start(self):
        """Start all nodes; their upstreams register one by one."""
        self.publish()
        loop = asyncio.get_running_loop()
        for host in self.link_rates:
            zone = host.split("-")[0]
            self.nodes[host] = SpreadNode(self, host, zone)
            when = self.rng.uniform(0.0, REGISTRATION_SECONDS)
            loop.call_later(when, self.store.put, f"{zone}/{host}/1", b"0")

    def reach_store(self, host):
        return LinkStore(self, host, self.link_rates[host])
