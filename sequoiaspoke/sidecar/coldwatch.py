"""Find out whether the upstream beside this node is cold.

Its entry tells so a report late, and not at all while the upstream cannot report. Where
it may have become cold unseen it is asked; one health check costs less than a call
and spares a warm upstream the bound for cold ones.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.coldstart import ColdLimits, ColdStart
    from sequoiaspoke.core.mesh.held import Held
    from sequoiaspoke.core.mesh.model import Service
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.upstream import Upstream

# Seconds for the answer to a question, and between two questions.
ASK_SECONDS, ASK_PAUSE = 0.5, 0.2


class ColdWatch:
    """Keeps what is known of how cold one upstream is.

    Attributes
    ----------
    held_back : bool
        Whether nothing may be sent to the upstream, health checks included.
    on_told : callable
        Called when the upstream has told how cold it is.
    """

    def __init__(
        self,
        state: ColdStart,
        upstream: Upstream,
        log: EventLog,
        on_told: Callable[[], None],
    ) -> None:
        self.state = state
        self.upstream = upstream
        self.log = log
        self.on_told = on_told
        self.held_back = False
        self.service: Service | None = None
        self.asking: asyncio.Task[None] | None = None
        self.asked = float("-inf")
        self.entry_revision = 0

    def take_service(self, service: Service, limits: ColdLimits) -> None:
        """Take what the operators say of the service of the upstream."""
        self.service = service
        self.state.max_calls = limits.max_calls(service.cold_rate)

    def take_entry(self, held: Held) -> None:
        """Take what the upstream's entry says, once for each report."""
        if held.revision != self.entry_revision:
            self.entry_revision = held.revision
            self.state.record_published(held.cold_until)

    def doubt(self, now: float) -> None:
        """Take the upstream for cold until it tells whether it is."""
        seconds = self.service.cold_seconds if self.service else 0.0
        self.state.assume_cold(now, seconds)
        self.ask_if_due(now)

    def ask_if_due(self, now: float) -> None:
        """Ask an upstream that is in doubt; it may be warm and bear all calls."""
        if (
            self.held_back
            or self.asking is not None
            or not self.state.assumed_cold(now)
        ):
            return
        path = self.service.health_path if self.service else ""
        if path and now - self.asked >= ASK_PAUSE:
            self.asked = now
            self.asking = asyncio.ensure_future(self.ask(path))

    async def ask(self, path: str) -> None:
        """Ask the upstream how long it stays cold."""
        try:
            seconds = await self.upstream.ask_cold(path, clock.now() + ASK_SECONDS)
        finally:
            self.asking = None
        if seconds is None:
            return
        self.state.record_cold_time(seconds, clock.now())
        self.log.event("upstream-cold", seconds=f"{seconds:.2f}", source="health")
        self.on_told()
