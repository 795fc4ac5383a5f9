"""Evacuations beside one fault each, by whole nodes on a virtual clock."""

import asyncio

from testtools import TestCase

from sequoiaspoke.sidecar.source import Changes
from sequoiaspoke.tests.evacuationsim import OrderedWorld
from sequoiaspoke.tests.spreadsim import EVACUATE, ZONES, NodeStore, play

AKAKI, BOLE = ZONES


async def order_in_a_storm(world):
    """Empty and take back zones while versions come ten times a second."""
    for number in range(40):
        world.publish()
        if number == 15:
            world.empty(AKAKI)
        if number == 30:
            world.empty(BOLE)
        await asyncio.sleep(0.1)
    await world.rest()
    for number in range(40):
        world.publish()
        if number == 20:
            world.take_back(AKAKI)
        await asyncio.sleep(0.1)
    world.take_back(BOLE)
    await world.rest()


class EvacuationBesideTests(TestCase):
    def hold(self, orders):
        for seed in range(4):
            world = play(seed, self, lambda seed: OrderedWorld(seed, orders))
            self.assertEqual((seed, world.problems), (seed, []))
        return world

    def test_two_zones_are_emptied_at_once(self):
        # Both zones are emptied, one after the other in no time, and taken back the
        # other way round. A node that kept one order for all would lose the first.
        async def orders(world):
            world.empty(AKAKI)
            world.empty(BOLE)
            await world.rest()
            world.take_back(BOLE)
            await world.rest()
            world.take_back(AKAKI)
            await world.rest()

        self.hold(orders)

    def test_a_zone_is_emptied_while_its_readers_are_cut_off(self):
        # The two nodes that read for a zone lose the store just before the order. The
        # others would wait for their word while calls go on to the zone.
        async def orders(world):
            hosts = world.readers(AKAKI)
            world.cut_from_store.update(hosts)
            for host in hosts:
                world.hurt(host)
            world.empty(AKAKI)
            await world.rest()
            world.cut_from_store.difference_update(hosts)
            await world.rest()
            world.take_back(AKAKI)
            await world.rest()

        self.hold(orders)

    def test_a_zone_is_emptied_as_its_readers_are_killed(self):
        # They may have read the order and told nobody.
        async def orders(world):
            world.empty(AKAKI)
            await world.kill_these(world.readers(AKAKI))
            await world.rest()
            world.take_back(AKAKI)
            await world.kill_these(world.readers(AKAKI))
            await world.rest()

        self.hold(orders)

    def test_a_zone_is_emptied_and_taken_back_within_a_second(self):
        # Whoever reads between the two, or after both, has to know that the zone may be
        # cold now, and that it is in use.
        async def orders(world):
            world.empty(AKAKI)
            await asyncio.sleep(world.rng.uniform(0.0, 0.9))
            world.take_back(AKAKI)
            await world.rest()
            for host, node in world.nodes.items():
                if not node.sidecar.state.evacuations.end_revision(AKAKI):
                    world.problems.append(f"{host}: heard nothing of it")

        self.hold(orders)

    def test_a_zone_is_emptied_in_a_storm_of_versions(self):
        # Readers look at the newest version only. An order between two of them must not
        # be left out.
        self.hold(order_in_a_storm)

    def test_a_read_in_a_storm_that_leaves_the_orders_out_is_noticed(self):
        # The safeguard switched off: what was written between two versions is passed
        # over, and its revision is behind every later read.
        catch_up = NodeStore.catch_up

        async def versions_only(self, after):
            read = await catch_up(self, after)
            kept = [each for each in read.items if not each.key.startswith(EVACUATE)]
            return Changes(tuple(kept), read.revision)

        self.patch(NodeStore, "catch_up", versions_only)
        world = play(1, self, lambda seed: OrderedWorld(seed, order_in_a_storm))
        self.assertTrue(any("not acted on" in each for each in world.problems))

    def test_a_zone_is_taken_back_while_the_store_drops_its_history(self):
        # The end of the order is in the part that was dropped; nobody is told of it.
        async def orders(world):
            world.empty(AKAKI)
            await world.rest()
            world.take_back(AKAKI)
            await world.forget()
            await world.rest()
            world.empty(BOLE)
            await world.compact()
            world.take_back(BOLE)
            await world.rest()

        self.hold(orders)

    def test_a_node_that_loses_touch_keeps_what_it_knew(self):
        # The store goes away after the order. Nobody may take the silence for its end.
        async def orders(world):
            world.empty(AKAKI)
            await world.rest()
            world.store.mode = "silent"
            await asyncio.sleep(5.0)
            for host, node in world.nodes.items():
                if AKAKI not in node.sidecar.state.evacuations.zones:
                    world.problems.append(f"{host}: forgot it")
            world.store.mode = "up"
            world.hurt("store")
            await world.rest()
            world.take_back(AKAKI)
            await world.rest()

        self.hold(orders)
