"""Evacuations beside one fault each, by whole nodes on a virtual clock."""

import asyncio

from testtools import TestCase

from sequoiaspoke.sidecar.source import Changes
from sequoiaspoke.tests.evacuationsim import ScriptedWorld
from sequoiaspoke.tests.spreadsim import EVACUATION_PREFIX, ZONES, NodeStore, play

AKAKI, BOLE = ZONES


async def evacuate_during_updates(world):
    """Empty and take back zones while versions come ten times a second."""
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


class EvacuationBesideTests(TestCase):
    def check_seeds(self, script):
        for seed in range(4):
            world = play(seed, self, lambda seed: ScriptedWorld(seed, script))
            self.assertEqual((seed, world.problems), (seed, []))
        return world

    def test_two_zones_are_emptied_at_once(self):
        # Both zones are emptied, one after the other in no time, and taken back the
        # other way round. A node that kept one order for all would lose the first.
        async def script(world):
            world.evacuate(AKAKI)
            world.evacuate(BOLE)
            await world.settle()
            world.end_evacuation(BOLE)
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.settle()

        self.check_seeds(script)

    def test_a_zone_is_emptied_while_its_readers_are_cut_off(self):
        # The two nodes that read for a zone lose the store just before the order. The
        # others would wait for their word while calls go on to the zone.
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

    def test_a_zone_is_emptied_as_its_readers_are_killed(self):
        # They may have read the order and told nobody.
        async def script(world):
            world.evacuate(AKAKI)
            await world.kill_these(world.readers(AKAKI))
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.kill_these(world.readers(AKAKI))
            await world.settle()

        self.check_seeds(script)

    def test_a_zone_is_emptied_and_taken_back_within_a_second(self):
        # Whoever reads between the two, or after both, has to know that the zone may be
        # cold now, and that it is in use.
        async def script(world):
            world.evacuate(AKAKI)
            await asyncio.sleep(world.rng.uniform(0.0, 0.9))
            world.end_evacuation(AKAKI)
            await world.settle()
            for host, node in world.nodes.items():
                if not node.sidecar.state.evacuations.end_revision(AKAKI):
                    world.problems.append(f"{host}: heard nothing of it")

        self.check_seeds(script)

    def test_a_zone_is_emptied_in_a_storm_of_versions(self):
        # Readers look at the newest version only. An order between two of them must not
        # be left out.
        self.check_seeds(evacuate_during_updates)

    def test_a_read_in_a_storm_that_leaves_the_orders_out_is_noticed(self):
        # The safeguard switched off: what was written between two versions is passed
        # over, and its revision is behind every later read.
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
        world = play(1, self, lambda seed: ScriptedWorld(seed, evacuate_during_updates))
        self.assertTrue(any("not acted on" in each for each in world.problems))

    def test_a_zone_is_taken_back_while_the_store_drops_its_history(self):
        # The end of the order is in the part that was dropped; nobody is told of it.
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

    def test_a_node_that_loses_touch_keeps_what_it_knew(self):
        # The store goes away after the order. Nobody may take the silence for its end.
        async def script(world):
            world.evacuate(AKAKI)
            await world.settle()
            world.store.mode = "silent"
            await asyncio.sleep(5.0)
            for host, node in world.nodes.items():
                if AKAKI not in node.sidecar.state.evacuations.zones:
                    world.problems.append(f"{host}: forgot it")
            world.store.mode = "up"
            world.note_fault("store")
            await world.settle()
            world.end_evacuation(AKAKI)
            await world.settle()

        self.check_seeds(script)
