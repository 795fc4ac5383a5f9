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
PROBE_TIMEOUT, PROBE_INTERVAL = 0.5, 0.2


class ColdMonitor:
    """Keeps what is known of how cold one upstream is.

    Attributes
    ----------
    paused : bool
        Whether nothing may be sent to the upstream, health checks included.
    on_reported : callable
        Called when the upstream has told how cold it is.
    """

    def __init__(
        self,
        cold_start: ColdStart,
        upstream: Upstream,
        log: EventLog,
        on_reported: Callable[[], None],
    ) -> None:
        self.cold_start = cold_start
        self.upstream = upstream
        self.log = log
        self.on_reported = on_reported
        self.paused = False
        self.service: Service | None = None
        self.probe_task: asyncio.Task[None] | None = None
        self.probed_at = float("-inf")
        self.endpoint_revision = 0

    def set_service(self, service: Service, limits: ColdLimits) -> None:
        """Take what the operators say of the service of the upstream."""
        self.service = service
        self.cold_start.most = limits.most(service.cold_rate)

    def update_from_endpoint(self, held: Held) -> None:
        """Take what the upstream's entry says, once for each report."""
        if held.revision != self.endpoint_revision:
            self.endpoint_revision = held.revision
            self.cold_start.published(held.cold_until)

    def assume_cold(self, now: float) -> None:
        """Take the upstream for cold until it tells whether it is."""
        seconds = self.service.cold_seconds if self.service else 0.0
        self.cold_start.doubt(now, seconds)
        self.probe_if_due(now)

    def probe_if_due(self, now: float) -> None:
        """Ask an upstream that is in doubt; it may be warm and bear all calls."""
        if (
            self.paused
            or self.probe_task is not None
            or not self.cold_start.doubted(now)
        ):
            return
        path = self.service.health_path if self.service else ""
        if path and now - self.probed_at >= PROBE_INTERVAL:
            self.probed_at = now
            self.probe_task = asyncio.ensure_future(self.probe(path))

    async def probe(self, path: str) -> None:
        """Ask the upstream how long it stays cold."""
        try:
            seconds = await self.upstream.query_cold_seconds(
                path, clock.now() + PROBE_TIMEOUT
            )
        finally:
            self.probe_task = None
        if seconds is None:
            return
        self.cold_start.told(seconds, clock.now())
        self.log.event("upstream-cold", seconds=f"{seconds:.2f}", source="health")
        self.on_reported()
