"""Simulations of a store that comes back from a copy and is written again late."""

import asyncio
import os

from testtools import TestCase

from sequoiaspoke.tests.linksim import LargeSiteWorld
from sequoiaspoke.tests.spreadsim import (
    FAULT_FREE_SECONDS,
    RestoreWorld,
    simulate,
)

SEEDS = range(int(os.environ.get("RESTORE_SEEDS", "4")))
# Seeds in which nodes of one zone, or readers that were started anew, were behind.
LOST_VERSIONS = (18, 22, 28, 51)
# Seeds of a large site: in the first, a zone followed nodes on slow links.
SITE_SEEDS = (2, *range(100, 100 + int(os.environ.get("SITE_SEEDS", "0"))))
# A seed in which a zone's fast nodes were killed just after a change.
KILLED_FAST_READERS = 3
# Seconds until the operator and the upstreams write again what the copy lacks.
REWRITE_SECONDS = 6.0
CHECK_INTERVAL = 0.25


class LateRewriteWorld(RestoreWorld):
    """A world whose nodes must share a version that the store has lost.

    A version counts once a node has had it for `act_seconds` without any fault: then
    every other node without faults has to have it, whatever the store says.
    """

    rewrite_seconds = REWRITE_SECONDS
    nodes_per_zone = 12

    async def restores(self, seconds):
        await asyncio.gather(super().restores(seconds), self.check_versions(seconds))

    async def check_versions(self, seconds):
        held_since = {}
        end = self.now() + seconds
        while self.now() < end:
            await asyncio.sleep(CHECK_INTERVAL)
            now = self.now()
            sound = self.sound_nodes()
            for host, node in self.nodes.items():
                state = node.sidecar.state
                if host not in sound:
                    held_since.pop(host, None)
                elif held_since.get(host, (0, 0))[1] != state.version:
                    held_since[host] = (now, state.version)
            shared = [
                v for since, v in held_since.values() if now - since > self.act_seconds
            ]
            newest = max(shared, default=0)
            if now - self.last_fault_at["store"] < FAULT_FREE_SECONDS:
                continue
            for host in sound:
                version = self.nodes[host].sidecar.state.version
                if version < newest:
                    self.problems.append(
                        f"{host}: version {version} at {now:.2f}, others have {newest}"
                    )

    def sound_nodes(self):
        """Return the nodes that have had no fault for a while."""
        since = self.now() - FAULT_FREE_SECONDS
        return {
            host
            for host, node in self.nodes.items()
            if node.up
            and node.started_at < since
            and host not in self.cut_from_store
            and self.last_fault_at.get(host, 0.0) < since
            and not any(host in pair for pair in self.cuts)
        }


class LateRewriteSiteWorld(LateRewriteWorld, LargeSiteWorld):
    """A site of 84 nodes on slow links whose store is written again late."""

    nodes_per_zone = LargeSiteWorld.nodes_per_zone


class LateRewriteTests(TestCase):
    def test_a_version_that_the_store_has_lost_reaches_all_nodes(self):
        # Guards against nodes that act on different versions until it is written again.
        for seed in (*LOST_VERSIONS, *SEEDS):
            world = simulate(seed, self, LateRewriteWorld)
            self.assertEqual((seed, world.problems), (seed, []))

    def check_site(self, seed):
        world = simulate(seed, self, LateRewriteSiteWorld)
        self.assertEqual((seed, world.problems), (seed, []))

    def test_versions_reach_a_large_site_with_slow_links_in_time(self):
        # Guards against a zone that follows nodes on slow links.
        for seed in SITE_SEEDS:
            self.check_site(seed)

    def test_a_zone_whose_fast_readers_are_killed_before_they_read_a_change(self):
        # Guards against a zone that takes too long to read over slow links alone.
        self.check_site(KILLED_FAST_READERS)
