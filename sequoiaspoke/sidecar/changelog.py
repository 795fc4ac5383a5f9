"""Log changes of a node's knowledge of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.revision import describe
from sequoiaspoke.core.routing.split import stable_hash

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.directory import Directory
    from sequoiaspoke.sidecar.logs import EventLog

# Endpoints of one change that are logged on a line each. More, as when a node starts,
# are logged as one line with their number and a digest that is the same at every node.
MAX_LINES = 8


def log_endpoints(
    log: EventLog, directory: Directory, serial: int, source: str
) -> None:
    """Log the endpoints that were added, changed or removed since a serial."""
    records, departures = directory.changed_since(serial)
    if len(records) + len(departures) > MAX_LINES:
        names = (f"{e.endpoint.instance}/{e.endpoint.born}" for e in records)
        log.event(
            "endpoints",
            taken=len(records),
            gone=len(departures),
            digest=f"{stable_hash(*sorted(names)):016x}",
            source=source,
        )
        return
    for each in records:
        log.event(
            "endpoint",
            instance=each.endpoint.instance,
            born=each.endpoint.born,
            service=each.endpoint.service,
            draining=each.endpoint.draining,
            readable=each.readable,
            revision=describe(each.revision),
            source=source,
        )
    for each in departures:
        log.event(
            "endpoint-gone",
            instance=each.instance,
            born=each.born,
            revision=describe(each.revision),
            source=source,
        )


def log_evacuations(
    log: EventLog, directory: Directory, before: frozenset[str], source: str
) -> None:
    """Log the zones whose evacuation has begun or ended."""
    zones = directory.grouping.excluded_zones
    for zone in sorted(zones - before):
        # Zero if no known endpoint is in a zone of that name.
        records = directory.records.values()
        endpoints = sum(each.endpoint.zone == zone for each in records)
        log.event("zone-evacuated", zone=zone, endpoints=endpoints, source=source)
    for zone in sorted(before - zones):
        log.event("zone-taken-back", zone=zone, source=source)
