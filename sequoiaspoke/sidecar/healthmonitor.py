"""Find out whether the upstream beside this node is cold, and which limit it names.

Its endpoint in the directory shows that it is cold one report late, and not at all
while the upstream cannot report. A limit is named in answers only, which a node that
has just started has not seen, and which end if the limit is zero. While one of them is
in doubt, the health check is asked: that costs less than a call, and spares an upstream
that is warm and unlimited the bounds for others.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.admission import Admission
    from sequoiaspoke.core.mesh.coldstart import ColdLimits
    from sequoiaspoke.core.mesh.model import Service
    from sequoiaspoke.core.mesh.records import EndpointRecord
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.upstream import Upstream
    from sequoiaspoke.sidecar.upstreamreport import UpstreamReport

# Timeout of a probe and time between two probes, in seconds. An unknown limit is less
# urgent than a cold start, as few calls are sent meanwhile.
PROBE_TIMEOUT, PROBE_INTERVAL, LIMIT_PROBE_INTERVAL = 0.5, 0.2, 1.0


class HealthMonitor:
    """Keeps the cold state and the rate limit of one upstream up to date.

    Attributes
    ----------
    paused : bool
        Whether nothing may be sent to the upstream, not even probes.
    on_report : callable
        Called with the instance and the report of an answer, and when its check was
        sent.
    on_reported : callable
        Called when an answer has been applied.
    """

    def __init__(
        self,
        admission: Admission,
        upstream: Upstream,
        log: EventLog,
        on_report: Callable[[str, UpstreamReport, float], None],
        on_reported: Callable[[], None],
    ) -> None:
        self.cold_start = admission.cold_start
        self.rate_limit = admission.rate_limit
        self.upstream = upstream
        self.log = log
        self.on_report = on_report
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
        """Start a probe if the state is in doubt and no probe was made lately."""
        cold_in_doubt = self.cold_start.assumed_cold(now)
        if (
            self.paused
            or self.probe_task is not None
            or not (cold_in_doubt or self.rate_limit.in_doubt(now))
        ):
            return
        path = self.service.health_path if self.service else ""
        interval = PROBE_INTERVAL if cold_in_doubt else LIMIT_PROBE_INTERVAL
        if path and now - self.probed_at >= interval:
            self.probed_at = now
            self.probe_task = asyncio.ensure_future(self.probe(path))

    async def probe(self, path: str) -> None:
        """Make a health check and apply the answer."""
        sent_at = clock.now()
        try:
            answer = await self.upstream.check_health(path, sent_at + PROBE_TIMEOUT)
        finally:
            self.probe_task = None
        if answer is None:
            return
        self.on_report(answer.instance, answer.report, sent_at)
        if answer.cold_seconds is not None and self.cold_start.max_calls is not None:
            self.cold_start.record_cold_time(answer.cold_seconds, clock.now())
            self.log.event(
                "upstream-cold", seconds=f"{answer.cold_seconds:.2f}", source="health"
            )
        self.on_reported()
