"""What a sidecar acts on: routes, services, endpoints and the callers' limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.weights import WeightedService


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
    regions : frozenset of str
        Regions in which a call may run and to which its body may be sent; all if empty.
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


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class Service:
    """What holds for the upstreams of a service.

    Attributes
    ----------
    health_path : str
        Where an upstream tells whether it is well and how long it stays cold.
    cold_rate : float
        Calls a second that a cold upstream bears; 0 if the operators set no bound.
    cold_seconds : float
        How long an upstream stays cold after its start.
    """

    name: str
    health_path: str = ""
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


@dataclass(frozen=True)
class MeshConfig:
    """One accepted version of the operators' intent, whole.

    Attributes
    ----------
    services : dict of str to Service
        By name.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True)
class Incarnation:
    """One start of an upstream.

    An upstream may start again under the name that it had. What was learnt of the
    start before, its leaving included, says nothing of the later one.

    Attributes
    ----------
    instance : str
        Name of the upstream, which its next start may bear too.
    born : int
        Unix milliseconds of the start by the upstream's clock; 0 if it told none. It
        is only compared with that of other starts of the same name.
    """

    instance: str
    born: int = 0


@dataclass(frozen=True)
class Endpoint:
    """One incarnation of an upstream.

    Attributes
    ----------
    host, port : str, int
        Where the upstream listens, reachable from its own VM only.
    slots : int
        Calls that the upstream runs at the same time.
    draining : bool
        Whether it is about to leave and takes no new calls.
    cold_seconds : float
        How much longer it stays slow after its start, when this was published.
    born : int
        Unix milliseconds of this start.
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
        """Return which start of which upstream this is."""
        return Incarnation(self.instance, self.born)


@dataclass(frozen=True)
class PublishedEndpoint:
    """An endpoint and the state of its entry in the store.

    Attributes
    ----------
    revision : int
        Revision of the store at which the entry was last written.
    readable : bool
        Whether the entry can be read as it stands; the endpoint is the last good one.
    """

    endpoint: Endpoint
    revision: int
    readable: bool = True


@dataclass(frozen=True)
class Departure:
    """The end of an upstream's entry.

    Attributes
    ----------
    born : int
        Start that the entry was last known to be of.
    revision : int
        Revision of the store at which the entry was gone.
    drained : bool
        Whether that start had said that it leaves; it takes no call any more.
    """

    instance: str
    born: int
    revision: int
    drained: bool = False

    def allows(self, endpoint: Endpoint, revision: int) -> bool:
        """Return whether an entry of the same name is news after this end.

        An entry that lapsed may be written again by the same start. One that drained
        is never: such an entry was sent before its end and written late.
        """
        if revision <= self.revision or endpoint.born < self.born:
            return False
        same_start = endpoint.born == self.born and endpoint.born > 0
        return not (same_start and self.drained)
