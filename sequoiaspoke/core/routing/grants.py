"""Messages between entry and home about grants of direct connections."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class DenyReason(StrEnum):
    """Reason to deny a grant; each has a counter."""

    CONTENTION = "calls-wait"
    SHARE = "granted-share-used-up"
    DRAINING = "draining"
    UNKNOWN = "grant-unknown"


@dataclass(frozen=True)
class Ask:
    """An entry requests a grant or the renewal of one.

    Attributes
    ----------
    grant : int
        Number of the grant to renew; 0 for a new one.
    in_use : int
        Direct calls that the entry has in flight.
    used : int
        Direct calls started since its last request.
    """

    entry: str
    grant: int = 0
    in_use: int = 0
    used: int = 0


@dataclass(frozen=True)
class Granted:
    """The entry may run idempotent calls directly, bypassing the home.

    Attributes
    ----------
    connections : int
        Maximum number of concurrent direct calls.
    lease : float
        Seconds of validity, counted from when the entry sent its request.
    """

    grant: int
    connections: int
    lease: float


@dataclass(frozen=True)
class Denied:
    """The entry must start no direct call, or no further one."""

    reason: DenyReason


@dataclass(frozen=True)
class Returned:
    """The entry returns a grant; `in_use` direct calls still run."""

    entry: str
    grant: int
    in_use: int = 0


GrantAnswer = Granted | Denied
