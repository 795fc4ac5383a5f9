"""Simulations of a deployment that starts, in which a few nodes have fast links."""

import asyncio

from testtools import TestCase

from sequoiaspoke.tests.spreadsim import SpreadNode, SpreadWorld, simulate

SEEDS = range(8)
NODES = 14  # in each zone, of which the first two have fast links
SLOW_MBPS, FAST_MBPS = 2.5, 50.0
START_SECONDS, REGISTRATION_SECONDS, SETTLED_SECONDS = 0.3, 4.0, 6.0


class StartWorld(SpreadWorld):
    """A world whose nodes start together and whose upstreams register one by one."""

    async def play(self):
        self.publish()
        hosts = {
            f"{zone}-{n}": zone for zone in ("akaki", "bole") for n in range(NODES)
        }
        for host in hosts:
            fast = host.endswith(("-0", "-1"))
            self.link_rates[host] = FAST_MBPS if fast else SLOW_MBPS
        await asyncio.gather(*(self.start_node(*each) for each in hosts.items()))
        await asyncio.sleep(SETTLED_SECONDS)
        self.check_readers()
        for node in self.nodes.values():
            node.kill()
        await asyncio.sleep(0.1)

    async def start_node(self, host, zone):
        """Start a node and, independently of it, register its upstream."""
        registration = self.rng.uniform(0.0, REGISTRATION_SECONDS)
        await asyncio.sleep(self.rng.uniform(0.0, START_SECONDS))
        self.nodes[host] = SpreadNode(self, host, zone)
        await asyncio.sleep(registration)
        self.store.put(f"{zone}/{host}/1", b"0")

    def check_readers(self):
        for host, node in self.nodes.items():
            expected = {f"{node.zone}-0", f"{node.zone}-1"}
            readers = node.sidecar.duty.readers
            if set(readers) != expected:
                self.problems.append(f"{host}: follows {readers}")


class FastReadersTests(TestCase):
    def test_all_nodes_of_a_zone_follow_the_nodes_with_fast_links(self):
        # Guards against a zone of which most nodes follow two nodes on slow links.
        for seed in SEEDS:
            world = simulate(seed, self, StartWorld)
            self.assertEqual((seed, world.problems), (seed, []))
