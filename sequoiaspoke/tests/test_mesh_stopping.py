"""Tests of calls to homes that were told to stop, on a virtual clock."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.race import MAX_UNREACHED_ATTEMPTS
from sequoiaspoke.tests.meshsim import TIMEOUT, MeshWorld, run_virtual

CALLS = 20
# Seconds until the homes exit: less than callers wait, far more than calls take.
EXIT_SECONDS = TIMEOUT - 0.5


class StoppingHomesTests(TestCase):
    """A node beside other homes, which have not announced yet that they leave."""

    def statuses(self, stopping):
        """Return the statuses of calls while some of the homes stop."""

        async def scenario():
            world = MeshWorld(1, nodes=max(3, 1 + len(stopping)))
            del world.endpoints["i-h0"]
            entry = world.nodes["h0"].entry
            await asyncio.sleep(1.0)
            statuses = []
            for number in range(CALLS):
                for host in stopping:
                    home = world.nodes[host].home
                    ends_by = clock.now() + EXIT_SECONDS
                    home.plan = replace(home.plan, ends_by=ends_by)
                answer = await entry.handle(world.request("order", f"order-{number}"))
                statuses.append(answer.status)
            for node in world.nodes.values():
                node.kill()
            await asyncio.sleep(0)
            return statuses

        return run_virtual(scenario, self)

    def test_calls_are_served_if_one_of_the_homes_stops(self):
        self.assertEqual(CALLS * [200], self.statuses(["h1"]))

    def test_calls_are_served_if_all_homes_stop_at_once(self):
        # Each home took the other one for one that goes on, and all calls were refused.
        self.assertEqual(CALLS * [200], self.statuses(["h1", "h2"]))

    def test_calls_are_served_if_more_homes_stop_than_are_asked(self):
        # An entry asks some of the homes only before it gives up.
        stopping = [f"h{number}" for number in range(1, MAX_UNREACHED_ATTEMPTS + 4)]
        self.assertEqual(CALLS * [200], self.statuses(stopping))
