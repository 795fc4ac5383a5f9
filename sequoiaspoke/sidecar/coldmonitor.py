"""Find out whether the upstream beside this node is cold.

Its endpoint in the directory shows that one report late, and not at all while the
upstream cannot report. If it may have become cold unnoticed, its health check is asked:
that costs less than a call and spares a warm upstream the limit for cold ones.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.coldstart import ColdLimits, ColdStart
    from sequoiaspoke.core.mesh.model import Service
    from sequoiaspoke.core.mesh.records import EndpointRecord
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.upstream import Upstream

# Timeout of a probe and time between two probes, in seconds.
PROBE_TIMEOUT, PROBE_INTERVAL = 0.5, 0.2


class ColdMonitor:
    """Keeps the cold state of one upstream up to date.

    Attributes
    ----------
    paused : bool
        Whether nothing may be sent to the upstream, not even probes.
    on_reported : callable
        Called when a probe has returned how long the upstream stays cold.
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
        """Set the operators' settings for the upstream's service."""
        self.service = service
        self.cold_start.max_calls = limits.max_calls(service.cold_rate)

    def update_from_endpoint(self, record: EndpointRecord) -> None:
        """Apply the cold state that the endpoint shows, once per revision."""
        if record.revision != self.endpoint_revision:
            self.endpoint_revision = record.revision
            self.cold_start.record_published(record.cold_until)

    def assume_cold(self, now: float) -> None:
        """Treat the upstream as cold until it reports its state."""
        seconds = self.service.cold_seconds if self.service else 0.0
        self.cold_start.assume_cold(now, seconds)
        self.probe_if_due(now)

    def probe_if_due(self, now: float) -> None:
        """Start a probe if the cold state is in doubt and no probe was made lately."""
        if (
            self.paused
            or self.probe_task is not None
            or not self.cold_start.assumed_cold(now)
        ):
            return
        path = self.service.health_path if self.service else ""
        if path and now - self.probed_at >= PROBE_INTERVAL:
            self.probed_at = now
            self.probe_task = asyncio.ensure_future(self.probe(path))

    async def probe(self, path: str) -> None:
        """Ask the upstream how long it stays cold, and apply the answer."""
        try:
            seconds = await self.upstream.query_cold_seconds(
                path, clock.now() + PROBE_TIMEOUT
            )
        finally:
            self.probe_task = None
        if seconds is None:
            return
        self.cold_start.record_cold_time(seconds, clock.now())
        self.log.event("upstream-cold", seconds=f"{seconds:.2f}", source="health")
        self.on_reported()
