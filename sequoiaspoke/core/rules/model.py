"""Data model of rules and services."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

# The snapshot codec resolves the types of fields at run time.
from sequoiaspoke.core.rules.weights import WeightedService  # noqa: TC001


class Comparison(Enum):
    """Operator with which a condition compares a value."""

    EXACT = "exact"
    PREFIX = "prefix"
    SEGMENTS = "segments"
    PRESENT = "present"


class Field(Enum):
    """Part of a request that a condition compares."""

    METHOD = "method"
    PATH = "path"
    HOST = "host"
    HEADER = "header"
    QUERY = "query"
    ZONE = "zone"


class Priority(Enum):
    """Priority of a call: how long it may wait for a slot before it is refused."""

    URGENT = "urgent"
    ORDINARY = "ordinary"
    PATIENT = "patient"


@dataclass(frozen=True)
class Condition:
    """One comparison, satisfied if any of `values` matches."""

    field: Field
    comparison: Comparison
    values: tuple[str, ...]
    name: str = ""  # the header's or query parameter's name


@dataclass(frozen=True)
class RouteTo:
    """Route the call to one of the services of a split."""

    split: tuple[WeightedService, ...]
    sticky_header: str = ""


@dataclass(frozen=True)
class Redirect:
    """Answer the call with a redirect."""

    location: str
    status: int = 307


@dataclass(frozen=True)
class Refuse:
    """Refuse the call."""

    status: int = 403
    reason: str = "refused-by-rule"


Action = RouteTo | Redirect | Refuse


@dataclass(frozen=True)
class CallPolicy:
    """Settings that a rule applies to the calls it matches.

    Attributes
    ----------
    timeout : float
        Seconds until the head of the answer must arrive; its body may take longer.
    attempts : int
        Attempts in total, the first one included; 1 means no retry.
    idempotent : bool
        Whether the call may run more than once.
    priority : Priority
        How long the call may wait for a slot.
    caller_header : str
        Header that identifies the caller for fair sharing; if empty, the caller's
        address does.
    """

    timeout: float = 10.0
    attempts: int = 3
    idempotent: bool = True
    priority: Priority = Priority.ORDINARY
    caller_header: str = ""


@dataclass(frozen=True)
class Rule:
    """An action and a policy for requests that satisfy every condition."""

    name: str
    when: tuple[Condition, ...]
    then: Action
    policy: CallPolicy = field(default_factory=CallPolicy)
    file: str = ""
    line: int = 0


@dataclass(frozen=True)
class RequestHead:
    """The part of a request that rules can match; header names are in lower case."""

    method: str
    path: str
    host: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    query: dict[str, str] = field(default_factory=dict)
    zone: str = ""


@dataclass(frozen=True)
class Endpoint:
    """One target of a service, reached through the node on its VM.

    Attributes
    ----------
    vm : str
        Name of the VM; the node on it has the same name.
    address : str
        IP address of the VM.
    mesh_port : int
        TCP port on which that node accepts calls from other nodes.
    slots : int
        Calls that the target runs concurrently.
    connections : int
        Connections that the target accepts.
    """

    target: str
    vm: str
    zone: str
    address: str
    mesh_port: int
    slots: int = 10
    connections: int = 110


@dataclass(frozen=True)
class Service:
    """A service and the targets that serve it."""

    name: str
    endpoints: tuple[Endpoint, ...] = ()
