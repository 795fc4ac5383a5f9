"""Messages by which a home grants direct connections to its upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class DenyReason(StrEnum):
    """Why there is no grant; each has a counter."""

    CONTENTION = "calls-wait"
    SHARE = "granted-share-used-up"
    DRAINING = "draining"
    UNKNOWN = "grant-unknown"


@dataclass(frozen=True)
class Ask:
    """An entry asks for a grant, or for more time on the one it holds.

    Attributes
    ----------
    grant : int
        Number of the grant to renew; 0 for a new one.
    in_use : int
        Direct calls that the entry has in flight.
    used : int
        Direct calls begun since it last asked.
    """

    entry: str
    grant: int = 0
    in_use: int = 0
    used: int = 0


@dataclass(frozen=True)
class Granted:
    """The entry may run so many idempotent calls at once directly.

    Attributes
    ----------
    lease : float
        Seconds, counted from when the entry sent its question.
    """

    grant: int
    connections: int
    lease: float


@dataclass(frozen=True)
class Denied:
    """The entry begins no direct call, or no further one."""

    reason: DenyReason


@dataclass(frozen=True)
class Returned:
    """The entry gives a grant back; `in_use` calls still run."""

    entry: str
    grant: int
    in_use: int = 0


GrantAnswer = Granted | Denied
