"""Whether a service's targets make sense, and do not stand in each other's place."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.names import NAME, is_ip_number, shown
from sequoiaspoke.errors import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiaspoke.core.rules.model import Endpoint, Service

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_PORT = 65535


def check_service(service: Service) -> Iterator[Problem]:
    """Yield what is wrong with one service."""
    section = f"service {shown(service.name)}"
    for endpoint in service.endpoints:
        key = f"target {shown(endpoint.target)}"
        for message in _endpoint(endpoint):
            yield Problem(message, section=section, key=key)
        if endpoint.connections < endpoint.slots:
            message = "fewer connections than slots: some slots cannot be used"
            yield Problem(message, section=section, key=key, warning=True)


def _endpoint(endpoint: Endpoint) -> Iterator[str]:
    names = {"target": endpoint.target, "vm": endpoint.vm, "zone": endpoint.zone}
    for what, name in names.items():
        if not NAME.fullmatch(name):
            yield f"bad {what} name {shown(name)}"
    if not is_ip_number(endpoint.address):
        yield f"bad address {shown(endpoint.address)}; allowed: an IP number"
    numbers = (
        ("mesh_port", endpoint.mesh_port, MAX_PORT),
        ("slots", endpoint.slots, MAX_SLOTS),
        ("connections", endpoint.connections, MAX_CONNECTIONS),
    )
    for what, number, most in numbers:
        if not 1 <= number <= most:
            yield f"{what} out of range; allowed: 1 to {most}"


def shared_places(services: tuple[Service, ...]) -> Iterator[Problem]:
    """Yield the targets whose name, VM or address another one has."""
    # A node is the home of one target. Were two targets named at one node, or
    # one target at two, the second would find a node that refuses its calls.
    if _places_differ(services):
        return
    seen: dict[tuple[str, str], str] = {}
    for service in services:
        for endpoint in service.endpoints:
            for what in _claims(endpoint):
                if what not in seen:
                    seen[what] = service.name
                    continue
                kind, name = what
                yield Problem(
                    f"duplicate {kind} {shown(name)}, also in {shown(seen[what])}",
                    section=f"service {shown(service.name)}",
                    key=f"target {shown(endpoint.target)}",
                )


def _places_differ(services: tuple[Service, ...]) -> bool:
    # Nearly always true, and much quicker to see than to say what is shared.
    endpoints = [each for service in services for each in service.endpoints]
    return (
        len({each.target for each in endpoints})
        == len({each.vm for each in endpoints})
        == len({(each.address, each.mesh_port) for each in endpoints})
        == len(endpoints)
    )


def _claims(endpoint: Endpoint) -> tuple[tuple[str, str], ...]:
    place = f"{endpoint.address}-{endpoint.mesh_port % 100_000}"
    return ("target", endpoint.target), ("vm", endpoint.vm), ("address", place)
