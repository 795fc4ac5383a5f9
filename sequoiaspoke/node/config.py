"""The interface of configuration sources."""

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
    """State of a configuration source, for the status page.

    Attributes
    ----------
    control_bytes_sent, control_bytes_received : int
        Bytes exchanged to get the configuration since the start.
    platform_reads : int
        Requests to the platform since the start; a watch counts as one.
    """

    strategy: str
    learnt_from: str = ""
    control_bytes_sent: int = 0
    control_bytes_received: int = 0
    platform_reads: int = 0
    verified: bool = True
    details: Mapping[str, object] = field(default_factory=dict)


class ConfigSource(ABC):
    """Gets new versions and keeps the newest valid one in force."""

    def __init__(self) -> None:
        self.holder = SnapshotHolder()

    @property
    def current(self) -> Snapshot | None:
        """Return the snapshot in force.

        Each call reads it only once, so that one version decides the whole call.
        """
        return self.holder.current

    @property
    @abstractmethod
    def vms(self) -> VmList:
        """Return the newest known list of VMs."""

    @property
    def verified(self) -> bool:
        """Return whether calls may be routed by the version in force."""
        return self.current is not None

    @property
    def counters(self) -> Mapping[str, Counter[str]]:
        """Return event counters by the names of their metrics."""
        return {}

    @property
    def peer_server(self) -> TCPServer | None:
        """Return the server that accepts links from other nodes, if any."""
        return None

    @abstractmethod
    async def start(self) -> None:
        """Start to follow the configuration."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop to follow it, and close all connections."""

    @abstractmethod
    def status(self) -> SourceStatus:
        """Return the state of this source for the status page."""
