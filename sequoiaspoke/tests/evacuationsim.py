"""Worlds of `spreadsim` in which zones are evacuated and taken back."""

import asyncio
import random

from sequoiaspoke.tests.spreadsim import CALM_SECONDS, EVACUATE, ZONES, SpreadWorld


class EvacuationWorld(SpreadWorld):
    """A world in which zones are evacuated and taken back as well.

    They are drawn apart, so that all else is as in the world without.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self.evacuation_rng = random.Random(f"evacuations {seed}")

    async def changes(self, seconds):
        await asyncio.gather(super().changes(seconds), self.evacuations(seconds))

    async def evacuations(self, seconds):
        end = self.now() + seconds
        tasks = []
        while self.now() < end:
            await asyncio.sleep(self.evacuation_rng.choice((0.05, 0.5, 2.0, 6.0)))
            if self.store.mode != "up":
                continue
            zone = self.evacuation_rng.choice(ZONES)
            begins = EVACUATE + zone not in self.store.items
            self.store.put(EVACUATE + zone, b"{}" if begins else None)
            check = self.is_evacuated(zone, self.store.revision, begins)
            tasks.append(asyncio.ensure_future(self.acted_on(check)))
        await asyncio.gather(*tasks)

    def is_evacuated(self, zone, revision, expected):
        """Return how to see a change, unless another has followed it."""

        def check(state):
            later = [
                item
                for item in self.store.events
                if item.key == EVACUATE + zone and item.revision > revision
            ]
            forgotten = self.store.forgotten > revision
            known = zone in state.directory.grouping.excluded_zones
            return bool(later) or forgotten or known == expected

        return check


class OrderedWorld(SpreadWorld):
    """A world in which only what a test orders happens."""

    def __init__(self, seed, orders):
        super().__init__(seed)
        self.orders = orders
        self.checks = []

    async def changes(self, seconds):
        await self.orders(self)
        await asyncio.gather(*self.checks)
        self.checks.clear()

    async def faults(self, seconds):
        pass

    def empty(self, zone):
        self.write(zone, b"{}", True)

    def take_back(self, zone):
        self.write(zone, None, False)

    def write(self, zone, value, expected):
        """Write or delete an order and check that every calm node acts on it."""
        self.store.put(EVACUATE + zone, value)

        def check(state):
            newest = self.store.items.get(EVACUATE + zone)
            changed = (newest is not None) != expected
            return (
                changed or (zone in state.directory.grouping.excluded_zones) == expected
            )

        self.checks.append(asyncio.ensure_future(self.acted_on(check)))

    def readers(self, zone):
        nodes = [node for node in self.nodes.values() if node.zone == zone]
        return sorted({host for node in nodes for host in node.sidecar.duty.readers})

    async def rest(self):
        await asyncio.sleep(CALM_SECONDS + 1.0)
