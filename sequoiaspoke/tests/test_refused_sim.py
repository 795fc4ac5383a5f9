"""Simulations of a store that refuses the large reads of one node."""

import asyncio

from testtools import TestCase

from sequoiaspoke.sidecar.source import StoreError
from sequoiaspoke.tests.spreadsim import NodeStore, SpreadWorld, simulate

SEEDS = range(6)
NODES_PER_ZONE = 12
SETTLED_SECONDS = 5.0
# Seconds within which the node must have a version, and between two versions.
TOLD_SECONDS, VERSION_SECONDS, VERSIONS = 3.0, 4.0, 5


class RefusingStore(NodeStore):
    """Refuses answers with the configuration to some nodes, and answers others."""

    def refuse(self, changes):
        large = any(item.key == "config" for item in changes.items)
        if large and self.host in self.world.refused:
            raise StoreError("status 503")
        return changes

    async def read_all(self):
        return self.refuse(await super().read_all())

    async def wait_for_changes(self, after):
        return self.refuse(await super().wait_for_changes(after))

    async def catch_up(self, after):
        return self.refuse(await super().catch_up(after))


class RefusedReaderWorld(SpreadWorld):
    """A world in which a node that its zone takes for a reader cannot read.

    Attributes
    ----------
    refused : set of str
        Nodes whose large reads the store refuses.
    """

    nodes_per_zone = NODES_PER_ZONE
    restarts = False

    def __init__(self, seed):
        super().__init__(seed)
        self.refused = set()

    def reach_store(self, host):
        return RefusingStore(self, host)

    async def play(self):
        self.start()
        await asyncio.sleep(SETTLED_SECONDS)
        node = self.nodes[self.rng.choice(self.nodes["akaki-0"].sidecar.duty.readers)]
        self.refused.add(node.host)
        if self.restarts:
            await self.kill_these([node.host])
        for _ in range(VERSIONS):
            self.publish()
            await asyncio.sleep(TOLD_SECONDS)
            self.check_versions()
            await asyncio.sleep(VERSION_SECONDS - TOLD_SECONDS)
        for each in self.nodes.values():
            each.kill()
        await asyncio.sleep(0.1)

    def check_versions(self):
        for host, node in self.nodes.items():
            version = node.sidecar.state.version
            if version != self.version:
                self.problems.append(
                    f"{host}: version {version} in place of {self.version} "
                    f"at {self.now():.0f}"
                )


class RefusedRestartWorld(RefusedReaderWorld):
    """The same, and the node starts anew."""

    restarts = True


class RefusedFromStartWorld(RefusedReaderWorld):
    """The same, and the store refuses the node's large reads from the start."""

    def start(self):
        self.refused.add("akaki-3")
        super().start()


class RefusedReaderTests(TestCase):
    def check_seeds(self, world):
        for seed in SEEDS:
            problems = simulate(seed, self, world).problems
            self.assertEqual((seed, problems), (seed, []))

    def test_a_reader_whose_reads_are_refused_is_told_by_others(self):
        # Guards against a reader that stays behind while its subscribers know more.
        self.check_seeds(RefusedReaderWorld)

    def test_a_reader_that_starts_and_cannot_read_is_told_by_others(self):
        # Guards against a node without any configuration.
        self.check_seeds(RefusedRestartWorld)

    def test_a_node_that_can_never_read_is_told_by_others(self):
        # Guards against the same at the start of a deployment.
        self.check_seeds(RefusedFromStartWorld)
