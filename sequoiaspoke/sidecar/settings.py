"""The settings of a sidecar."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace

from sequoiaspoke.core.mesh.coldstart import ColdLimits
from sequoiaspoke.core.mesh.retrybudget import RetryLimits
from sequoiaspoke.sidecar.names import HeaderNames

Address = tuple[str, int]


@dataclass(frozen=True)
class SidecarSettings:
    """The settings of one sidecar.

    Attributes
    ----------
    node : str
        Name of this node.
    service, zone : str
        Service and availability zone of the upstream beside this node.
    upstream : Address
        Address of the upstream.
    callers, links, health : Address
        Addresses on which this node listens for callers, for other nodes, and for the
        health checks of the platform.
    store : Address
        Address of the platform's store.
    health_path : str
        Path of this node's own readiness check.
    leave_after : float
        Seconds after a termination signal for which the home accepts new calls: callers
        of this node need that long to be moved away, and the upstream still runs.
    drain : float
        Seconds after a termination signal after which the process exits at the latest.
    break_off_after : float
        Seconds after a termination signal before which no call is broken off.
    act_within : float
        Seconds within which a new version or the departure of an upstream takes effect.
    link_mbps : float
        Rate of this VM's network link in Mbit/s, 0 if unknown.
    memory_mb : float
        Memory of this VM in MB, 0 if unknown.
    descriptors : float
        Descriptors that the platform lets the process open, 0 if unknown.
    regions : dict of str to str
        Region of each availability zone.
    """

    node: str
    service: str
    zone: str
    upstream: Address
    callers: Address
    links: Address
    health: Address
    store: Address
    health_path: str = "/ready"
    leave_after: float = 1.8
    drain: float = 5.0
    break_off_after: float = 4.0
    act_within: float = 2.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    descriptors: float = 0.0
    repeats: RetryLimits = field(default_factory=RetryLimits)
    cold: ColdLimits = field(default_factory=ColdLimits)
    regions: dict[str, str] = field(default_factory=dict)
    names: HeaderNames = field(default_factory=HeaderNames)


# Settings that a reload changes. The others need a restart, as the parts of a node
# were built with them: its addresses, its place and the words of the platform.
RELOADED = frozenset(
    {
        "service",
        "leave_after",
        "drain",
        "break_off_after",
        "descriptors",
        "link_mbps",
        "memory_mb",
        "repeats",
        "cold",
        "regions",
    }
)


def apply_reload(
    current: SidecarSettings, read: SidecarSettings
) -> tuple[SidecarSettings, list[str]]:
    """Return the settings in force after a reload, and the names of those kept."""
    kept = [
        each.name
        for each in fields(SidecarSettings)
        if each.name not in RELOADED
        and getattr(current, each.name) != getattr(read, each.name)
    ]
    return replace(read, **{name: getattr(current, name) for name in kept}), kept
