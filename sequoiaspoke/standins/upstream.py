"""The upstream's stand-in: slots, a short queue, and counted runs."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from sequoiaspoke.standins import faults as fault
from sequoiaspoke.standins.base import Standin
from sequoiaspoke.standins.slots import Slots
from sequoiaspoke.standins.upstreamhttp import (
    BytesHandler,
    CallHandler,
    HealthHandler,
    LoadHandler,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiaspoke.standins.settings import UpstreamStandinSettings

OK, COLD, DRAINING = "ok", "cold", "draining"
KEPT_LOAD = -1.0  # the load fault's value that leaves the true load


@dataclass
class UpstreamCounts:
    """What became of the calls.

    Attributes
    ----------
    cancelled : int
        Runs that stopped because their client went away.
    late : int
        Runs that stopped at their deadline.
    abandoned : int
        Calls whose client or time was gone before they ran.
    """

    runs_total: int = 0
    completed: int = 0
    cancelled: int = 0
    late: int = 0
    abandoned: int = 0
    shed: int = 0
    refused_draining: int = 0


@dataclass(frozen=True)
class LoadReport:
    """What the health and load pages tell."""

    status: str
    slots: int
    running: int
    queued: int
    load: float


class UpstreamStandin(Standin):
    """Serve calls in slots, counting each run of a key.

    Attributes
    ----------
    runs : Counter
        Runs by `Idempotency-Key`; more than one is a doubled run.
    counts : UpstreamCounts
        What became of the calls.
    """

    def __init__(self, settings: UpstreamStandinSettings) -> None:
        super().__init__(settings.address, settings.port, settings.connections)
        self.settings = settings
        self.faults = fault.UpstreamFaults()
        self.slots = Slots(settings.slots, settings.queue)
        self.random = random.Random(settings.seed)
        self.runs: Counter[str] = Counter()
        self.counts = UpstreamCounts()
        self.draining = False
        self.started_at = 0.0
        self.released: asyncio.Future[None] | None = None
        self.told: LoadReport | None = None
        self.told_at = 0.0

    @property
    def runs_total(self) -> int:
        """Return the runs over all keys and of calls without one."""
        return self.counts.runs_total

    def start(self) -> None:
        """Listen, and be cold from now on."""
        super().start()
        self.started_at = asyncio.get_running_loop().time()
        self.hold()

    def hold(self) -> None:
        """Let calls that ask for it run until they are released."""
        self.released = asyncio.get_running_loop().create_future()

    def release(self) -> None:
        """Let the calls that are held finish, and later ones not wait."""
        if not self.released.done():
            self.released.set_result(None)

    def drain(self) -> None:
        """Take no new work; what runs is finished."""
        self.draining = True

    def resume(self) -> None:
        """Take new work again."""
        self.draining = False

    def set_faults(self, faults: fault.UpstreamFaults) -> None:
        """Show these faults from now on."""
        self.faults = faults

    @property
    def cold(self) -> bool:
        """Return whether the target is still slow after its start."""
        up_for = asyncio.get_running_loop().time() - self.started_at
        return up_for < self.settings.cold_s

    def service_time(self, asked_ms: float | None) -> float:
        """Return how many seconds the next call takes."""
        settings = self.settings
        drawn = self.random.lognormvariate(0.0, settings.spread)
        long = self.random.random() < settings.long_share
        median = settings.long_ms if long else settings.service_ms
        milliseconds = median * drawn if asked_ms is None else asked_ms
        factor = settings.cold_factor if self.cold else 1.0
        return milliseconds / 1000 * factor * self.faults.slowdown

    def count_run(self, key: str) -> int:
        """Count a run and return how many its key has had."""
        self.counts.runs_total += 1
        if not key:
            return 1
        self.runs[key] += 1
        return self.runs[key]

    def tell(self) -> LoadReport:
        """Return the report that callers are told, which may lag or mislead."""
        now = asyncio.get_running_loop().time()
        lagging = now - self.told_at < self.faults.report_lag
        if self.told is None or not lagging:
            self.told, self.told_at = self.true_report(), now
        told = self.told
        status = told.status
        if self.faults.health != fault.TRUE:
            status = self.faults.health
        load = told.load if self.faults.load == KEPT_LOAD else self.faults.load
        return LoadReport(status, told.slots, told.running, told.queued, load)

    def true_report(self) -> LoadReport:
        """Return how things are."""
        status = COLD if self.cold else OK
        if self.draining:
            status = DRAINING
        running, queued = self.slots.running, len(self.slots.waiting)
        load = (running + queued) / self.settings.slots
        return LoadReport(status, self.settings.slots, running, queued, load)

    def routes(self) -> list[Any]:
        """Return the pages of the upstream."""
        standin = {"standin": self}
        return [
            (r"/health", HealthHandler, standin),
            (r"/load", LoadHandler, standin),
            (r"/(?:.*/)?bytes", BytesHandler, standin),
            (r"/.*", CallHandler, standin),
        ]

    def report(self) -> dict[str, Any]:
        """Return the counts, with the runs of each key."""
        server = self.server
        return {
            **asdict(self.counts),
            "target": self.settings.target,
            "peak_running": self.slots.peak,
            "connections_refused": server.refused if server else 0,
            "runs": dict(self.runs),
        }

    def change_faults(self, given: Mapping[str, str]) -> None:
        """Replace the named faults."""
        self.set_faults(fault.change_faults(self.faults, given))

    def actions(self) -> dict[str, Callable[[], None]]:
        """Return what the control page can order."""
        return {
            "drain": self.drain,
            "resume": self.resume,
            "silence": self.silence,
            "hold": self.hold,
            "release": self.release,
        }
