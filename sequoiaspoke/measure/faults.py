"""Faults during a measurement, each around one published change.

A zone cannot be cut off here: that needs a network of its own for each zone,
which processes on one loopback do not have. The tests of the spread cut zones
with fakes instead.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from sequoiaspoke.errors import MeasureError

if TYPE_CHECKING:
    from sequoiaspoke.measure.bench import Bench

DOWN_SECONDS = 10.0
AWAY_SECONDS = 5.0
LONGEST_SECONDS = 60.0  # until everyone has caught up
EACH_PAUSED = 10  # one node of that many is paused


class Fault(ABC):
    """Something that fails while a change is published.

    Attributes
    ----------
    behind : int
        Nodes that never came to hold the change.
    """

    name: str

    def __init__(self) -> None:
        self.behind = 0

    @abstractmethod
    async def run(self, bench: Bench) -> list[float]:
        """Fail, recover, and return how long each node hit took to catch up.

        The seconds count from the moment at which the node could know.
        """

    async def catch_up(
        self, bench: Bench, version: int, since: float, names: set[str] | None = None
    ) -> list[float]:
        """Return the seconds after which each node held a version."""
        found: dict = {}
        left = await bench.behind(version, LONGEST_SECONDS, names, found)
        self.behind = len(left)
        return [max(0.0, status.installed_at - since) for status in found.values()]


class PlatformOutage(Fault):
    """The platform answers 503 for a while; a change is written meanwhile."""

    name = "platform-outage"

    async def run(self, bench: Bench) -> list[float]:
        """Count from the platform's return."""
        await bench.control.fault("down=unavailable")
        await asyncio.sleep(DOWN_SECONDS / 2)
        change = await bench.publish()
        await asyncio.sleep(DOWN_SECONDS / 2)
        since = time.time()
        await bench.control.fault("down=up")
        return await self.catch_up(bench, change.version, since)


class HalfDie(Fault):
    """Half the nodes die at once, miss a change and return together."""

    name = "half-die"

    async def run(self, bench: Bench) -> list[float]:
        """Count from the return of the dead nodes, their start included."""
        dead = set(sorted(bench.nodes)[::2])
        for name in dead:
            bench.nodes[name].kill()
        change = await bench.publish()
        await asyncio.sleep(AWAY_SECONDS)
        since = time.time()
        for name in dead:
            bench.start_node(bench.vms[name])
        return await self.catch_up(bench, change.version, since, dead)


class Pause(Fault):
    """A tenth of the nodes is paused, misses a change and wakes up late."""

    name = "pause"

    async def run(self, bench: Bench) -> list[float]:
        """Count from the moment at which the nodes go on."""
        paused = set(sorted(bench.nodes)[::EACH_PAUSED])
        for name in paused:
            bench.nodes[name].pause()
        change = await bench.publish()
        await asyncio.sleep(AWAY_SECONDS)
        since = time.time()
        for name in paused:
            bench.nodes[name].resume()
        return await self.catch_up(bench, change.version, since, paused)


class StaleStart(Fault):
    """Half the nodes die and start again while the platform is stale."""

    name = "stale-start"

    async def run(self, bench: Bench) -> list[float]:
        """Count from the start; only other nodes hold the newest version."""
        await bench.control.order("keep")
        change = await bench.publish()
        await bench.behind(change.version, LONGEST_SECONDS)
        await bench.control.fault("stale=yes")
        dead = set(sorted(bench.nodes)[::2])
        for name in dead:
            bench.nodes[name].kill()
        since = time.time()
        for name in dead:
            bench.start_node(bench.vms[name])
        caught_up = await self.catch_up(bench, change.version, since, dead)
        await bench.control.fault("stale=no")
        return caught_up


class SilentPlatform(Fault):
    """Every open connection to the platform goes silent for good."""

    name = "silent-platform"

    async def run(self, bench: Bench) -> list[float]:
        """Count from the change, which only new connections can tell."""
        await bench.control.order("silence")
        change = await bench.publish()
        return await self.catch_up(bench, change.version, change.accepted_at)


NONE = "none"
KINDS = (PlatformOutage, HalfDie, Pause, StaleStart, SilentPlatform)
FAULTS = {fault.name: fault for fault in KINDS}


def make_fault(name: str) -> Fault | None:
    """Return the fault of a name, None for none.

    Raises
    ------
    MeasureError
        There is no such fault.
    """
    if name == NONE:
        return None
    if name not in FAULTS:
        allowed = ", ".join((NONE, *FAULTS))
        raise MeasureError(f"fault: found {name}; allowed: {allowed}")
    return FAULTS[name]()
