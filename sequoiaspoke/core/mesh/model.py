"""What a sidecar acts on: routes, services, endpoints and the callers' limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import WeightedService


@dataclass(frozen=True)
class Route:
    """What holds for the calls to one host and path prefix.

    Attributes
    ----------
    prefix : str
        Begins and ends with a slash.
    idempotent : bool
        Whether a call may run more than once.
    timeout : float
        Seconds within which a caller gets its final answer.
    objective : float
        Seconds within which an answer is on time.
    priority : int
        Rank among the calls of a service; 0 goes first.
    attempts : int
        Targets to which one call may be sent, at most.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    objective: float
    priority: int
    attempts: int
    split: tuple[WeightedService, ...]


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class MeshConfig:
    """One accepted version of the operators' intent, whole."""

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True)
class Endpoint:
    """One incarnation of an upstream.

    Attributes
    ----------
    instance : str
        Name of this incarnation; a restarted upstream has another.
    host, port : str, int
        Where the upstream listens, reachable from its own VM only.
    slots : int
        Calls that the upstream runs at the same time.
    draining : bool
        Whether it is about to leave and takes no new calls.
    cold_seconds : float
        How much longer it stays slow after its start, when this was published.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False
    cold_seconds: float = 0.0
