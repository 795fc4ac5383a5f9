"""All settings of a node, with their defaults, bounds and descriptions."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field
from typing import Any

from sequoiaspoke.core.admission.settings import AdmissionSettings
from sequoiaspoke.core.idempotency.settings import IdempotencySettings
from sequoiaspoke.core.membership.settings import MembershipSettings
from sequoiaspoke.core.routing.settings import RoutingSettings
from sequoiaspoke.core.spread.settings import SpreadSettings
from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class NodeSettings:
    """Where the node runs and listens."""

    name: str = option("", "Name of the VM, as in the platform's list.", required=True)
    zone: str = option("", "Availability zone of the VM.", required=True)
    address: str = option(
        "127.0.0.1",
        "IP address to listen on, at which other nodes reach this one.",
        ip=True,
    )
    call_port: int = option(8080, "TCP port for callers.", 0, 65535)
    mesh_port: int = option(8081, "TCP port for calls from other nodes.", 0, 65535)
    peer_port: int = option(8082, "TCP port for links from other nodes.", 0, 65535)
    admin_address: str = option("127.0.0.1", "IP address of the admin pages.", ip=True)
    admin_port: int = option(8083, "TCP port of the admin pages.", 0, 65535)
    drain: float = option(
        1.0,
        "Seconds for which a node that stops still listens and refuses new calls, so"
        " that other nodes choose other targets.",
        0,
        60,
    )
    grace: float = option(
        30.0, "Seconds a planned stop waits for calls in flight to finish.", 0, 3600
    )


@dataclass(frozen=True)
class PlatformSettings:
    """How the node reads the platform's configuration service."""

    url: str = option(
        "http://127.0.0.1:8500", "Base URL with a numeric IP address.", required=True
    )
    wait: float = option(30.0, "Seconds a watch may wait for a change.", 0.05, 300)
    timeout: float = option(5.0, "Timeout of any other read, in seconds.", 0.05, 60)


@dataclass(frozen=True)
class UpstreamSettings:
    """The upstream beside which the node runs."""

    address: str = option("127.0.0.1", "IP address of the upstream.", ip=True)
    port: int = option(9000, "TCP port of the upstream.", 1, 65535)
    target: str = option(
        "", "Name of this upstream's target in the configuration.", required=True
    )
    service: str = option("", "Service that the target belongs to.", required=True)


@dataclass(frozen=True)
class LimitSettings:
    """Limits on sizes and times, so that no caller can exhaust the memory."""

    head_bytes: int = option(
        65536, "Largest head of a request or answer, in bytes.", 1024, 1 << 20
    )
    body_bytes: int = option(
        4 << 30, "Largest streamed body in either direction, in bytes.", 0, 1 << 40
    )
    chunk_bytes: int = option(
        65536,
        "Bytes of a body in transit that are held in each direction.",
        1024,
        1 << 20,
    )
    idle: float = option(
        60.0,
        "Seconds a connection may be idle within a call.",
        0.1,
        3600,
    )
    keepalive: float = option(
        75.0, "Seconds an idle keep-alive connection stays open.", 0.1, 3600
    )
    connect: float = option(
        1.0, "Timeout for opening a connection, in seconds.", 0.01, 60
    )


@dataclass(frozen=True)
class LogSettings:
    """The log output."""

    level: str = option(
        "INFO",
        "Lowest level that is logged.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )


@dataclass(frozen=True)
class Settings:
    """All sections of the settings file."""

    node: NodeSettings = field(default_factory=NodeSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    upstream: UpstreamSettings = field(default_factory=UpstreamSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    log: LogSettings = field(default_factory=LogSettings)
    spread: SpreadSettings = field(default_factory=SpreadSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    idempotency: IdempotencySettings = field(default_factory=IdempotencySettings)


def sections() -> dict[str, Any]:
    """Return the dataclass of each section by its name."""
    return {
        section.name: section.default_factory
        for section in dataclasses.fields(Settings)
    }
