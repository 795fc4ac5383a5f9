"""What nodes tell each other of the platform.

A node that the store turns away, for one as it starts, would know nobody and refuse its
callers while the others know all it needs.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.wire.gen.meshlink import ttypes as wire


class Gossip(ABC):
    """What nodes tell each other of the platform."""

    @abstractmethod
    def uninformed(self) -> bool:
        """Return whether this node lacks news that others may have."""

    @abstractmethod
    def knowledge_for(self, config_revision: int) -> wire.Knowledge | None:
        """Return what this node knows, or None if it knows nothing."""

    @abstractmethod
    def learn(self, knowledge: wire.Knowledge) -> None:
        """Take what another node knows."""

    @abstractmethod
    def config_revision(self) -> int:
        """Return the revision of the configuration in force here."""
