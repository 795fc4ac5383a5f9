"""Validate the endpoints of services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.names import NAME, is_ip_address, printable
from sequoiaspoke.errors import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sequoiaspoke.core.rules.model import Endpoint, Service

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_PORT = 65535


def check_service(service: Service) -> Iterator[Problem]:
    """Yield the problems of one service."""
    section = f"service {printable(service.name)}"
    for endpoint in service.endpoints:
        key = f"target {printable(endpoint.target)}"
        for message in _check_endpoint(endpoint):
            yield Problem(message, section=section, key=key)
        if endpoint.connections < endpoint.slots:
            message = "fewer connections than slots: some slots cannot be used"
            yield Problem(message, section=section, key=key, warning=True)


def _check_endpoint(endpoint: Endpoint) -> Iterator[str]:
    names = {"target": endpoint.target, "vm": endpoint.vm, "zone": endpoint.zone}
    for field, name in names.items():
        if not NAME.fullmatch(name):
            yield f"bad {field} name {printable(name)}"
    if not is_ip_address(endpoint.address):
        yield f"bad address {printable(endpoint.address)}; allowed: an IP number"
    numbers = (
        ("mesh_port", endpoint.mesh_port, MAX_PORT),
        ("slots", endpoint.slots, MAX_SLOTS),
        ("connections", endpoint.connections, MAX_CONNECTIONS),
    )
    for field, value, maximum in numbers:
        if not 1 <= value <= maximum:
            yield f"{field} out of range; allowed: 1 to {maximum}"


def duplicate_endpoints(services: tuple[Service, ...]) -> Iterator[Problem]:
    """Yield a problem for each target whose name, VM or address is already used."""
    # A node is the home of exactly one target. If two targets shared a node, or one
    # target had two, the node of the second would refuse its calls.
    if _all_distinct(services):
        return
    seen: dict[tuple[str, str], str] = {}
    for service in services:
        for endpoint in service.endpoints:
            for identity in _identities(endpoint):
                if identity not in seen:
                    seen[identity] = service.name
                    continue
                kind, name = identity
                yield Problem(
                    f"duplicate {kind} {printable(name)}, "
                    f"also in {printable(seen[identity])}",
                    section=f"service {printable(service.name)}",
                    key=f"target {printable(endpoint.target)}",
                )


def _all_distinct(services: tuple[Service, ...]) -> bool:
    # Almost always true, and much faster than finding the duplicates.
    endpoints = [each for service in services for each in service.endpoints]
    return (
        len({each.target for each in endpoints})
        == len({each.vm for each in endpoints})
        == len({(each.address, each.mesh_port) for each in endpoints})
        == len(endpoints)
    )


def _identities(endpoint: Endpoint) -> tuple[tuple[str, str], ...]:
    socket_address = f"{endpoint.address}-{endpoint.mesh_port % 100_000}"
    return ("target", endpoint.target), ("vm", endpoint.vm), ("address", socket_address)
