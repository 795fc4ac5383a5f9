"""Data model of a version: head, snapshot and VM list."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.matcher import Matcher
    from sequoiaspoke.core.rules.model import Rule, Service

RULES_PART = "rules"
SERVICE_PREFIX = "service/"


def service_part(service: str) -> str:
    """Return the name of the part that contains a service."""
    return SERVICE_PREFIX + service


@dataclass(frozen=True)
class Head:
    """A version number and the digest of each of its parts."""

    version: int
    parts: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Snapshot:
    """One complete version; a call in flight keeps the one it started with."""

    head: Head
    rules: tuple[Rule, ...]
    services: dict[str, Service]
    matcher: Matcher

    @property
    def version(self) -> int:
        """Return the version number."""
        return self.head.version


class VmState(Enum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Vm:
    """One VM of the platform's list and the ports of its node."""

    name: str
    zone: str
    address: str
    peer_port: int
    mesh_port: int
    state: VmState = VmState.LIVE


@dataclass(frozen=True)
class VmList:
    """The platform's list of VMs, which may be out of date."""

    revision: int = 0
    vms: tuple[Vm, ...] = ()
