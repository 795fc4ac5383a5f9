"""Log what has changed in what a node knows of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.split import stable_hash

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.directory import Directory
    from sequoiaspoke.sidecar.logs import EventLog

# Endpoints of one change that have a line each; of more, as a node learns of at its
# start, one line tells how many and a digest that is the same at every node.
MOST_LINES = 8


def log_endpoints(
    log: EventLog, directory: Directory, serial: int, source: str
) -> None:
    """Log the endpoints that were taken and left since a count of changes."""
    held, gone = directory.changed_since(serial)
    if len(held) + len(gone) > MOST_LINES:
        names = (f"{e.endpoint.instance}/{e.endpoint.born}" for e in held)
        log.event(
            "endpoints",
            taken=len(held),
            gone=len(gone),
            digest=f"{stable_hash(*sorted(names)):016x}",
            source=source,
        )
        return
    for each in held:
        log.event(
            "endpoint",
            instance=each.endpoint.instance,
            born=each.endpoint.born,
            service=each.endpoint.service,
            draining=each.endpoint.draining,
            readable=each.readable,
            revision=each.revision,
            source=source,
        )
    for each in gone:
        log.event(
            "endpoint-gone",
            instance=each.instance,
            born=each.born,
            revision=each.revision,
            source=source,
        )


def log_evacuations(
    log: EventLog, directory: Directory, before: frozenset[str], source: str
) -> None:
    """Log the zones that were evacuated and taken back."""
    zones = directory.grouping.closed_zones
    for zone in sorted(zones - before):
        # There are none if nobody knows a zone of that name.
        held = directory.held.values()
        endpoints = sum(each.endpoint.zone == zone for each in held)
        log.event("zone-evacuated", zone=zone, endpoints=endpoints, source=source)
    for zone in sorted(before - zones):
        log.event("zone-taken-back", zone=zone, source=source)
