"""Simulations of upstreams that name a rate limit."""

import asyncio
import os

from testtools import TestCase

from sequoiaspoke.tests.limitsim import LimitWorld
from sequoiaspoke.tests.meshsim import play_world

SEEDS = range(int(os.environ.get("LIMIT_SEEDS", "4")))
HOST = "akaki-0"
LIMIT = 2.0


class LimitCase(TestCase):
    def check_seeds(self, scenario, seeds=SEEDS):
        """Run a scenario with several seeds and return the last world."""
        for seed in seeds:
            world = play_world(
                lambda seed=seed: LimitWorld(seed), self, scenario=scenario
            )
            self.assertEqual((seed, world.problems), (seed, []))
        return world


class RateLimitTests(LimitCase):
    def test_an_upstream_gets_no_more_calls_than_it_takes_from_all_nodes(self):
        # Guards against a rate limit that no node applies.
        async def scenario(world):
            async def name_limit():
                await asyncio.sleep(2.0)
                world.upstream(HOST).name_limit(LIMIT)

            await asyncio.gather(world.vary_requests(15.0, 60.0), name_limit())

        self.check_seeds(scenario)


class LeavingUpstreamTests(LimitCase):
    def test_an_upstream_that_says_it_leaves_gets_no_new_calls(self):
        # Guards against a drain that is announced in answers only.
        async def scenario(world):
            async def leave():
                await asyncio.sleep(2.0)
                world.upstream(HOST).leave()

            await asyncio.gather(world.vary_requests(8.0, 60.0), leave())

        self.check_seeds(scenario)
