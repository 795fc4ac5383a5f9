"""Rules and the services they name, as plain data."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

# The codec of snapshots looks up the types of fields while it runs.
from sequoiaspoke.core.rules.weights import WeightedService  # noqa: TC001


class Comparison(Enum):
    """How a condition compares its value."""

    EXACT = "exact"
    PREFIX = "prefix"
    SEGMENTS = "segments"
    PRESENT = "present"


class Field(Enum):
    """The part of a request that a condition looks at."""

    METHOD = "method"
    PATH = "path"
    HOST = "host"
    HEADER = "header"
    QUERY = "query"
    ZONE = "zone"


class Priority(Enum):
    """How long a call may wait for a slot before it is refused."""

    URGENT = "urgent"
    ORDINARY = "ordinary"
    PATIENT = "patient"


@dataclass(frozen=True)
class Condition:
    """One comparison; any of `values` satisfies it."""

    field: Field
    comparison: Comparison
    values: tuple[str, ...]
    name: str = ""  # the header's or query parameter's name


@dataclass(frozen=True)
class RouteTo:
    """Send the call to one of the services of a split."""

    split: tuple[WeightedService, ...]
    sticky_header: str = ""


@dataclass(frozen=True)
class Redirect:
    """Answer with a redirection."""

    location: str
    status: int = 307


@dataclass(frozen=True)
class Refuse:
    """Answer with a refusal."""

    status: int = 403
    reason: str = "refused-by-rule"


Action = RouteTo | Redirect | Refuse


@dataclass(frozen=True)
class CallPolicy:
    """What a rule says of the calls it decides.

    Attributes
    ----------
    timeout : float
        Seconds until the head of the answer; its body may take longer.
    attempts : int
        Tries in all; 1 means no retry.
    idempotent : bool
        Whether the call may run more than once.
    priority : Priority
        How patient the caller is.
    caller_header : str
        Header that names the caller for fair shares; empty for the address.
    """

    timeout: float = 10.0
    attempts: int = 3
    idempotent: bool = True
    priority: Priority = Priority.ORDINARY
    caller_header: str = ""


@dataclass(frozen=True)
class Rule:
    """When every condition holds, the action and the policy apply."""

    name: str
    when: tuple[Condition, ...]
    then: Action
    policy: CallPolicy = field(default_factory=CallPolicy)
    file: str = ""
    line: int = 0


@dataclass(frozen=True)
class RequestHead:
    """What rules see of a request; header names are lower case."""

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
        Name of the VM, which is also the node's name.
    address : str
        IP number of the VM.
    mesh_port : int
        TCP port on which that node takes calls from other nodes.
    slots : int
        Calls that the target runs at once.
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
