"""Where a node's configuration comes from."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot.holder import SnapshotHolder

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Mapping

    from tornado.tcpserver import TCPServer

    from sequoiaspoke.core.snapshot.model import Snapshot, VmList


@dataclass(frozen=True)
class SourceStatus:
    """What a source tells operators about itself.

    Attributes
    ----------
    control_bytes_sent, control_bytes_received : int
        Bytes spent on configuration since the start.
    platform_reads : int
        Calls to the platform since the start; a waiting watch is one.
    """

    strategy: str
    learnt_from: str = ""
    control_bytes_sent: int = 0
    control_bytes_received: int = 0
    platform_reads: int = 0
    verified: bool = True
    details: Mapping[str, object] = field(default_factory=dict)


class ConfigSource(ABC):
    """Keeps the newest accepted version in force at this node."""

    def __init__(self) -> None:
        self.holder = SnapshotHolder()

    @property
    def current(self) -> Snapshot | None:
        """Return the snapshot in force; a call reads it once."""
        return self.holder.current

    @property
    @abstractmethod
    def vms(self) -> VmList:
        """Return the newest known list of VMs."""

    @property
    def verified(self) -> bool:
        """Return whether the version in force may decide calls."""
        return self.current is not None

    @property
    def counters(self) -> Mapping[str, Counter[str]]:
        """Return counters of events by the name of their metric."""
        return {}

    @property
    def peer_server(self) -> TCPServer | None:
        """Return the server for other nodes' links, if there is one."""
        return None

    @abstractmethod
    async def start(self) -> None:
        """Begin to follow the configuration."""

    @abstractmethod
    async def stop(self) -> None:
        """End every exchange."""

    @abstractmethod
    def status(self) -> SourceStatus:
        """Return what operators want to see."""
