"""All settings of a node, with defaults, bounds and reasons."""

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
        "127.0.0.1", "IP number the node listens on and others reach it by.", ip=True
    )
    call_port: int = option(8080, "TCP port for callers.", 0, 65535)
    mesh_port: int = option(8081, "TCP port for calls from other nodes.", 0, 65535)
    peer_port: int = option(8082, "TCP port of the peer link.", 0, 65535)
    admin_address: str = option(
        "127.0.0.1", "IP number of the operators' pages.", ip=True
    )
    admin_port: int = option(8083, "TCP port of the operators' pages.", 0, 65535)
    drain: float = option(
        1.0,
        "Seconds in which a leaving node still listens, so that others see that it"
        " takes no new work and choose another target.",
        0,
        60,
    )
    grace: float = option(
        30.0, "Seconds a planned stop waits for calls in flight.", 0, 3600
    )


@dataclass(frozen=True)
class PlatformSettings:
    """How the platform's configuration service is read."""

    url: str = option(
        "http://127.0.0.1:8500", "Base URL with an IP number.", required=True
    )
    wait: float = option(30.0, "Seconds one watch may wait for a change.", 0.05, 300)
    timeout: float = option(5.0, "Seconds for any other read.", 0.05, 60)


@dataclass(frozen=True)
class UpstreamSettings:
    """The target in whose VM the node runs."""

    address: str = option("127.0.0.1", "IP number of the upstream.", ip=True)
    port: int = option(9000, "TCP port of the upstream.", 1, 65535)
    target: str = option("", "Name of the target.", required=True)
    service: str = option("", "Service that the target belongs to.", required=True)


@dataclass(frozen=True)
class LimitSettings:
    """Bounds on what a caller may send, so that none fills the memory."""

    head_bytes: int = option(65536, "Bytes of a request or answer head.", 1024, 1 << 20)
    body_bytes: int = option(
        4 << 30, "Bytes of a streamed body, in either direction.", 0, 1 << 40
    )
    chunk_bytes: int = option(
        65536, "Bytes held of a body in transit per direction.", 1024, 1 << 20
    )
    idle: float = option(
        60.0, "Seconds a connection may stay silent within a call.", 0.1, 3600
    )
    keepalive: float = option(
        75.0, "Seconds an idle keep-alive connection stays open.", 0.1, 3600
    )
    connect: float = option(1.0, "Seconds to open a connection.", 0.01, 60)


@dataclass(frozen=True)
class LogSettings:
    """What the log says."""

    level: str = option(
        "INFO",
        "Least level that is written.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )


@dataclass(frozen=True)
class Settings:
    """Every section of the settings file."""

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
    """Return the data class of every section by its name."""
    return {
        section.name: section.default_factory
        for section in dataclasses.fields(Settings)
    }
