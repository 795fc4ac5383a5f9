"""Data model of a sidecar: routes, services, endpoints and caller limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.weights import WeightedService


@dataclass(frozen=True)
class Route:
    """Configuration of the calls to one host and path prefix.

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
        Priority among the calls of a service; 0 is the highest.
    attempts : int
        Maximum number of targets to which one call may be sent.
    regions : frozenset of str
        Regions in which a call may run and to which its body may be sent; all if empty.
    large_bodies : bool
        Whether its requests are uploads, whose bodies can fill a network link.
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
    regions: frozenset[str] = frozenset()
    large_bodies: bool = False


@dataclass(frozen=True)
class CallerLimits:
    """Limits of what a caller may send, in bytes, and of its time, in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class Service:
    """Configuration of a service and its upstreams.

    Attributes
    ----------
    health_path : str
        Path at which an upstream reports its health and remaining cold time.
    cold_rate : float
        Calls per second that a cold upstream sustains; 0 if not limited.
    cold_seconds : float
        Seconds for which an upstream stays cold after its start.
    """

    name: str
    health_path: str = ""
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


@dataclass(frozen=True)
class MeshConfig:
    """One accepted version of the complete configuration.

    Attributes
    ----------
    services : dict of str to Service
        Services by name.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True)
class Incarnation:
    """One start of an upstream.

    An upstream may restart under the same name. Information about an earlier
    incarnation, such as that it is leaving, does not apply to a later one.

    Attributes
    ----------
    instance : str
        Name of the upstream, which a later incarnation may have too.
    born : int
        Unix milliseconds of the start by the upstream's clock; 0 if not reported. It is
        only compared with that of other incarnations of the same name.
    """

    instance: str
    born: int = 0


@dataclass(frozen=True)
class Endpoint:
    """One incarnation of an upstream.

    Attributes
    ----------
    host, port : str, int
        Address of the upstream, reachable only from its own VM.
    slots : int
        Number of calls that the upstream runs at the same time.
    draining : bool
        Whether it is about to leave and takes no new calls.
    cold_seconds : float
        Remaining cold time when the entry was published.
    born : int
        Unix milliseconds of the start.
    """

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False
    cold_seconds: float = 0.0
    born: int = 0

    @cached_property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the upstream."""
        return Incarnation(self.instance, self.born)


@dataclass(frozen=True)
class PublishedEndpoint:
    """An endpoint and the state of its entry in the store.

    Attributes
    ----------
    revision : int
        Revision of the store at which the entry was last written.
    readable : bool
        Whether the current entry is valid; if not, the endpoint is the last valid one.
    """

    endpoint: Endpoint
    revision: int
    readable: bool = True


@dataclass(frozen=True)
class Departure:
    """The end of an upstream's directory entry.

    Attributes
    ----------
    born : int
        Start of the last known incarnation of the entry.
    revision : int
        Revision of the store at which the entry was gone.
    drained : bool
        Whether that incarnation was draining; it takes no further calls.
    """

    instance: str
    born: int
    revision: int
    drained: bool = False

    def allows(self, endpoint: Endpoint, revision: int) -> bool:
        """Return whether an entry of the same name is newer than this departure.

        A lapsed entry may be written again by the same incarnation, a drained one may
        not: such an entry was sent before the departure and written late.
        """
        if revision <= self.revision or endpoint.born < self.born:
            return False
        returns = endpoint.born == self.born and self.drained
        return endpoint.draining or not returns
