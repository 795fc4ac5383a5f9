"""Simulations of evacuations that coincide with one fault each."""

import asyncio

from testtools import TestCase

from sequoiaspoke.sidecar.source import Changes
from sequoiaspoke.tests.evacuationsim import ScriptedWorld
from sequoiaspoke.tests.spreadsim import EVACUATION_PREFIX, ZONES, NodeStore, simulate

AKAKI, BOLE = ZONES


async def evacuate_during_updates(world):
    """Begin and end evacuations while ten versions a second are published."""
    for number in range(40):
        world.publish()
        if number == 15:
            world.evacuate(AKAKI)
        if number == 30:
            world.evacuate(BOLE)
        await asyncio.sleep(0.1)
    await world.settle()
    for number in range(40):
        world.publish()
        if number == 20:
            world.end_evacuation(AKAKI)
        await asyncio.sleep(0.1)
    world.end_evacuation(BOLE)
    await world.settle()


class EvacuationFaultTests(TestCase):
    def check_seeds(self, script):
        for seed in range(4):
            world = simulate(seed, self, lambda seed: ScriptedWorld(seed, script))
            self.assertEqual((seed, world.problems), (seed, []))
        return world

    def test_two_zones_are_evacuated_at_once(self):
        # Both zones are evacuated at the same time, and the evacuations end in reverse
        # order. A node that kept a single order for all zones would lose the first.
        async def script(world):
            world.evacuate(AKAKI)
            world.evacuate(BOLE)
            await world.settle()
            world.end_evacuation(BOLE)
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.settle()

        self.check_seeds(script)

    def test_evacuation_while_the_readers_are_cut_off(self):
        # The two readers of a zone lose the store just before the order. The others
        # would wait for them while calls go on to the zone.
        async def script(world):
            hosts = world.readers(AKAKI)
            world.cut_from_store.update(hosts)
            for host in hosts:
                world.note_fault(host)
            world.evacuate(AKAKI)
            await world.settle()
            world.cut_from_store.difference_update(hosts)
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.settle()

        self.check_seeds(script)

    def test_evacuation_while_the_readers_are_killed(self):
        # They may have read the order and not forwarded it.
        async def script(world):
            world.evacuate(AKAKI)
            await world.kill_these(world.readers(AKAKI))
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.kill_these(world.readers(AKAKI))
            await world.settle()

        self.check_seeds(script)

    def test_an_evacuation_shorter_than_a_second(self):
        # Whether a node reads between the two changes or after both, it has to know
        # that the zone is in use again and may be cold.
        async def script(world):
            world.evacuate(AKAKI)
            await asyncio.sleep(world.rng.uniform(0.0, 0.9))
            world.end_evacuation(AKAKI)
            await world.settle()
            for host, node in world.nodes.items():
                if not node.sidecar.state.evacuations.end_revision(AKAKI):
                    world.problems.append(f"{host}: missed the evacuation")

        self.check_seeds(script)

    def test_evacuation_during_frequent_updates(self):
        # Readers skip to the newest version. They must not skip an order that was
        # written between two versions.
        self.check_seeds(evacuate_during_updates)

    def test_a_read_that_skips_orders_is_detected(self):
        # Without the guard, items between two versions are skipped and never read, as
        # every later read starts at a higher revision.
        catch_up = NodeStore.catch_up

        async def versions_only(self, after):
            read = await catch_up(self, after)
            kept = [
                each
                for each in read.items
                if not each.key.startswith(EVACUATION_PREFIX)
            ]
            return Changes(tuple(kept), read.revision)

        self.patch(NodeStore, "catch_up", versions_only)
        world = simulate(
            1, self, lambda seed: ScriptedWorld(seed, evacuate_during_updates)
        )
        self.assertTrue(any("not acted on" in each for each in world.problems))

    def test_an_evacuation_ends_while_the_store_drops_its_history(self):
        # The deletion of the order is in the dropped part, so no node reads it.
        async def script(world):
            world.evacuate(AKAKI)
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.drop_history()
            await world.settle()
            world.evacuate(BOLE)
            await world.compact()
            world.end_evacuation(BOLE)
            await world.settle()

        self.check_seeds(script)

    def test_evacuations_stay_during_an_outage_of_the_store(self):
        # The store becomes unavailable after the order. No node may take this for the
        # end of the evacuation.
        async def script(world):
            world.evacuate(AKAKI)
            await world.settle()
            world.store.mode = "silent"
            await asyncio.sleep(5.0)
            for host, node in world.nodes.items():
                if AKAKI not in node.sidecar.state.evacuations.zones:
                    world.problems.append(f"{host}: dropped the evacuation")
            world.store.mode = "up"
            world.note_fault("store")
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.settle()

        self.check_seeds(script)
