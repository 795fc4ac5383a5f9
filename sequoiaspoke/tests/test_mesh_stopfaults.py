"""Property tests of a mesh whose nodes are told to stop, with other random faults."""

import asyncio
from math import isfinite

from testtools import TestCase

from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.stopplan import StopPlan
from sequoiaspoke.tests.meshsim import MeshWorld, play_world

NODES = 6
SEEDS = range(40, 48)
# Seeds of which at least one shows a home that refuses a call that it has taken before.
SEEDS_TRIED = range(40, 80)
# Seconds from the signal to the last answers and until a home leaves, at most, from the
# last answers to the exit, and from the exit to the next start, at most.
LONGEST_STOP, LEAVES, SPARE, RESTART = 5.0, 1.8, 0.4, 0.5


class StoppingWorld(MeshWorld):
    """Nodes that stop one by one or all of them, at once or staggered."""

    async def stop_node(self, host=None, after=0.0):
        await asyncio.sleep(after)
        node = self.nodes[host or self.rng.choice(list(self.nodes))]
        incarnation, now = node.incarnation, self.now()
        if not node.up or isfinite(node.home.ends_by):
            return
        end = now + self.rng.uniform(1.0, LONGEST_STOP)
        exits_at = end + SPARE
        plan = StopPlan(
            leaves_at=now + LEAVES,
            moved_at=now + 1.0,
            ends_by=end,
            withdraws_at=end - SPARE,
            answers_by=end,
            input_ends_at=end,
            exits_at=exits_at,
        )
        node.home.reachable = node.peers.reachable
        node.entry.stop(plan)
        node.home.stop(plan)
        await asyncio.sleep(self.rng.uniform(0.0, LEAVES))
        if node.up and node.incarnation == incarnation:
            node.home.leaving = True
            node.server.announce_leaving()
        await asyncio.sleep(max(0.0, exits_at - self.now()))
        if node.up and node.incarnation == incarnation:
            node.kill()
            await asyncio.sleep(self.rng.uniform(0.02, RESTART))
            node.start()

    async def stop_all(self):
        pause = self.rng.choice((0.0, 0.5))
        stops = [self.stop_node(h, n * pause) for n, h in enumerate(self.nodes)]
        await asyncio.gather(*stops)

    async def faults(self, seconds):
        stops = asyncio.ensure_future(self.stop_again(seconds))
        await super().faults(seconds)
        await stops

    async def stop_again(self, seconds):
        end, tasks = self.now() + seconds, []
        while self.now() < end:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            stop = self.rng.choice((self.stop_node, self.stop_node, self.stop_all))
            tasks.append(asyncio.ensure_future(stop()))
        await asyncio.gather(*tasks)


class StoppingMeshTests(TestCase):
    def problems(self, seed):
        world = play_world(lambda: StoppingWorld(seed, nodes=NODES), self)
        return world.problems

    def test_the_guarantees_hold_while_nodes_stop(self):
        # A call that a home has refused as it stops is sent to others, and comes back.
        found = {seed: self.problems(seed) for seed in SEEDS}
        self.assertEqual(found, {seed: [] for seed in SEEDS})

    def test_a_home_that_refuses_what_it_has_taken_is_detected(self):
        submit = Home.submit

        def refuse_blindly(home, key, call, on_outcome, body=None):
            refusal = home.outlasting_refusal(call)
            if refusal is None:
                submit(home, key, call, on_outcome, body)
            else:
                on_outcome(refusal)

        self.patch(Home, "submit", refuse_blindly)
        self.assertTrue(any(self.problems(seed) for seed in SEEDS_TRIED))
