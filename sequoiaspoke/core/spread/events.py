"""Events that the spread core processes, and actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.model import Snapshot, Vm
    from sequoiaspoke.core.spread.messages import Message


@dataclass(frozen=True)
class PlatformAnswered:
    """The platform returned a document; `read` is the number of the read."""

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
    """A connection is established; accepted ones have negative numbers."""

    link: int


@dataclass(frozen=True)
class LinkDown:
    """A connection was closed or could not be opened."""

    link: int


@dataclass(frozen=True)
class Received:
    """A message arrived; an answer has the number of its question."""

    link: int
    number: int
    message: Message


Event = (
    PlatformAnswered | PlatformUnchanged | PlatformFailed | LinkUp | LinkDown | Received
)


@dataclass(frozen=True)
class ReadPlatform:
    """Read a document, or watch it for up to `wait` seconds if that is set."""

    read: int
    document: str
    after: int = -1
    wait: float = 0.0


@dataclass(frozen=True)
class CancelRead:
    """Cancel a read or watch; its answer is no longer needed."""

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
    """A version was installed."""

    snapshot: Snapshot
    source: str


@dataclass(frozen=True)
class Refused:
    """A version failed validation and is not installed."""

    version: int
    source: str
    reason: str


@dataclass(frozen=True)
class VmsChanged:
    """A newer VM list was taken."""

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
