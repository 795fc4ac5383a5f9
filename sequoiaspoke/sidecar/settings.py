"""The settings of a sidecar."""

from __future__ import annotations

from dataclasses import dataclass, field

from sequoiaspoke.core.mesh.coldstart import ColdLimits
from sequoiaspoke.core.mesh.retrybudget import RetryLimits
from sequoiaspoke.sidecar.names import HeaderNames

Address = tuple[str, int]


@dataclass(frozen=True)
class SidecarSettings:
    """What one sidecar is told at its start.

    Attributes
    ----------
    service, zone : str
        Those of the upstream beside it.
    upstream, callers, links, health : Address
        Where the upstream listens, and where this node listens for callers, for
        other nodes, and for the platform's questions.
    store : Address
        Where the platform's store listens.
    leave_after : float
        Seconds after a termination signal for which the home takes new calls: callers
        here need that long to be moved away, and the upstream runs on.
    drain : float
        Seconds after a termination signal at which the process ends at the latest.
    act_within : float
        Seconds within which a new version or the leaving of an upstream is acted on.
    link_mbps : float
        Rate of this VM's network link in Mbit/s, 0 if not known.
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
    act_within: float = 2.0
    link_mbps: float = 0.0
    repeats: RetryLimits = field(default_factory=RetryLimits)
    cold: ColdLimits = field(default_factory=ColdLimits)
    regions: dict[str, str] = field(default_factory=dict)
    names: HeaderNames = field(default_factory=HeaderNames)
