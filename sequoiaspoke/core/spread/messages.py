"""Messages between nodes; digests are hexadecimal text here."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class WatchState(IntEnum):
    """State of a node's own watch of the platform."""

    NONE = 0
    WORKING = 1
    FAILING = 2


@dataclass(frozen=True)
class Status:
    """A node's state, sent with every heartbeat.

    Attributes
    ----------
    refused_version : int
        Newest version that failed validation, where it is newer than `version`.
    spare : int
        Number of watchers in a row whose watches had failed when this one took over.
    digests : dict
        Digest of each part; only sent by the strategy that compares every part.
    """

    version: int = 0
    root: str = ""
    refused_version: int = 0
    refused_root: str = ""
    vms_revision: int = 0
    watch: int = WatchState.NONE
    spare: int = 0
    digests: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Hello:
    """First message on a link, from the node that opened it."""

    name: str
    zone: str
    incarnation: int
    status: Status


@dataclass(frozen=True)
class Welcome:
    """Answer to `Hello`, from the node that accepted the link."""

    name: str
    zone: str
    incarnation: int
    status: Status


@dataclass(frozen=True)
class Beat:
    """Heartbeat; carries the sender's status."""

    status: Status


@dataclass(frozen=True)
class BeatAnswer:
    """Answer to a heartbeat; carries the answerer's status."""

    status: Status


@dataclass(frozen=True)
class HeadDelta:
    """A head as its difference from another; whole where `base_root` is empty."""

    version: int
    root: str
    base_root: str = ""
    changed: dict[str, str] = field(default_factory=dict)
    removed: tuple[str, ...] = ()


@dataclass(frozen=True)
class Announcement:
    """Announces a version or VM list as soon as the sender has taken it."""

    version: int
    root: str = ""
    delta: HeadDelta | None = None
    vms_revision: int = 0


@dataclass(frozen=True)
class HeadQuestion:
    """Asks for the head of a version, as a difference if possible."""

    version: int
    root: str
    base_root: str = ""


@dataclass(frozen=True)
class HeadAnswer:
    """The requested head; None if it is not held."""

    delta: HeadDelta | None = None


@dataclass(frozen=True)
class PartsQuestion:
    """Asks for parts by digest."""

    digests: tuple[str, ...]


@dataclass(frozen=True)
class Part:
    """A packed part and its digest."""

    digest: str
    packed: bytes


@dataclass(frozen=True)
class PartsAnswer:
    """Those of the requested parts that are held and fit into one answer."""

    parts: tuple[Part, ...] = ()
    busy: bool = False


@dataclass(frozen=True)
class VmsQuestion:
    """Asks for the VM list, as a difference from a revision if possible."""

    revision: int


@dataclass(frozen=True)
class VmsAnswer:
    """A VM list as its difference from `base`; whole where `base` is 0."""

    revision: int
    base: int = 0
    packed: bytes = b""
    removed: tuple[str, ...] = ()


Question = Hello | Beat | HeadQuestion | PartsQuestion | VmsQuestion
Answer = Welcome | BeatAnswer | HeadAnswer | PartsAnswer | VmsAnswer
Message = Question | Answer | Announcement
