"""Worlds of `spreadsim` with evacuations of zones."""

import asyncio
import random

from sequoiaspoke.tests.spreadsim import (
    EVACUATION_PREFIX,
    FAULT_FREE_SECONDS,
    ZONES,
    SpreadWorld,
)


class EvacuationWorld(SpreadWorld):
    """A world with random evacuations.

    They have a random generator of their own, so that everything else is as in the
    world without them.
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
            begins = EVACUATION_PREFIX + zone not in self.store.items
            self.store.put(EVACUATION_PREFIX + zone, b"{}" if begins else None)
            check = self.is_evacuated(zone, self.store.revision, begins)
            tasks.append(asyncio.ensure_future(self.check_applied(check)))
        await asyncio.gather(*tasks)

    def is_evacuated(self, zone, revision, expected):
        """Return a check of a node's state, which passes after a later change."""

        def check(state):
            later = [
                item
                for item in self.store.events
                if item.key == EVACUATION_PREFIX + zone and item.revision > revision
            ]
            compacted = self.store.compacted_revision > revision
            known = zone in state.directory.grouping.excluded_zones
            return bool(later) or compacted or known == expected

        return check


class ScriptedWorld(SpreadWorld):
    """A world without random changes and faults, driven by a test's script."""

    def __init__(self, seed, script):
        super().__init__(seed)
        self.script = script
        self.checks = []

    async def changes(self, seconds):
        await self.script(self)
        await asyncio.gather(*self.checks)
        self.checks.clear()

    async def faults(self, seconds):
        pass

    def evacuate(self, zone):
        self.write(zone, b"{}", True)

    def end_evacuation(self, zone):
        self.write(zone, None, False)

    def write(self, zone, value, expected):
        """Write or delete an order; check that every node without faults acts on it."""
        self.store.put(EVACUATION_PREFIX + zone, value)

        def check(state):
            newest = self.store.items.get(EVACUATION_PREFIX + zone)
            changed = (newest is not None) != expected
            return (
                changed or (zone in state.directory.grouping.excluded_zones) == expected
            )

        self.checks.append(asyncio.ensure_future(self.check_applied(check)))

    def readers(self, zone):
        nodes = [node for node in self.nodes.values() if node.zone == zone]
        return sorted({host for node in nodes for host in node.sidecar.duty.readers})

    async def settle(self):
        await asyncio.sleep(FAULT_FREE_SECONDS + 1.0)
