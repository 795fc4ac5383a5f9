"""What happens to the spread core, and what it decides."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.model import Snapshot, Vm
    from sequoiaspoke.core.spread.messages import Message


@dataclass(frozen=True)
class PlatformAnswered:
    """The platform gave a document; `read` is the number of the asking."""

    read: int
    document: str
    revision: int
    body: bytes


@dataclass(frozen=True)
class PlatformUnchanged:
    """A watch ended without a change."""

    read: int
    document: str


@dataclass(frozen=True)
class PlatformFailed:
    """A read or watch failed; `absent` if the platform has no such document."""

    read: int
    document: str
    absent: bool = False
    retry_after: float = 0.0


@dataclass(frozen=True)
class LinkUp:
    """A connection stands; accepted ones have negative numbers."""

    link: int


@dataclass(frozen=True)
class LinkDown:
    """A connection is gone, or could not be opened."""

    link: int


@dataclass(frozen=True)
class Received:
    """A message came in; an answer has the number of its question."""

    link: int
    number: int
    message: Message


Event = (
    PlatformAnswered | PlatformUnchanged | PlatformFailed | LinkUp | LinkDown | Received
)


@dataclass(frozen=True)
class ReadPlatform:
    """Read a document; a watch if `wait` is set."""

    read: int
    document: str
    after: int = -1
    wait: float = 0.0


@dataclass(frozen=True)
class CancelRead:
    """Give up a read or watch; its answer is no longer wanted."""

    read: int


@dataclass(frozen=True)
class OpenLink:
    """Connect to a node's peer port."""

    link: int
    peer: str
    address: str
    port: int


@dataclass(frozen=True)
class CloseLink:
    """Close a connection."""

    link: int
    reason: str


@dataclass(frozen=True)
class Send:
    """Send a message; an answer has the number of its question."""

    link: int
    number: int
    message: Message


@dataclass(frozen=True)
class Installed:
    """A version came into force."""

    snapshot: Snapshot
    source: str


@dataclass(frozen=True)
class Refused:
    """A version failed validation and stays out."""

    version: int
    source: str
    reason: str


@dataclass(frozen=True)
class VmsChanged:
    """A newer VM list is held."""

    revision: int
    vms: tuple[Vm, ...]


Action = (
    ReadPlatform
    | CancelRead
    | OpenLink
    | CloseLink
    | Send
    | Installed
    | Refused
    | VmsChanged
)
