"""What the links between nodes need from whoever follows the platform.

A node that the store turns away, for one as it starts, would know nobody and refuse its
callers while the others know all it needs; and the nodes of a zone let two of them
read the store for all.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.sidecar.frames import FrameStream
    from sequoiaspoke.sidecar.linkclient import LinkClient
    from sequoiaspoke.wire.gen.meshlink import ttypes as wire


class Gossip(ABC):
    """What nodes tell each other of the platform."""

    @abstractmethod
    def uninformed(self) -> bool:
        """Return whether this node lacks news that others may have."""

    @abstractmethod
    def knowledge_request(self) -> wire.Ask:
        """Return the question for what another node knows better."""

    @abstractmethod
    def answer(self, ask: wire.Ask) -> wire.Knowledge | None:
        """Return what this node knows, or None if that is no use to the other."""

    @abstractmethod
    def learn(self, knowledge: wire.Knowledge, clock_offset: float) -> bool:
        """Take what another node knows; return False if it has to tell all of it.

        Parameters
        ----------
        clock_offset : float
            Seconds by which the other node's clock is ahead of this one's.
        """

    @abstractmethod
    def handle_confirmation(
        self, confirmed: wire.Confirmed, clock_offset: float
    ) -> None:
        """Take a reader's word that nothing has changed."""

    @abstractmethod
    def subscribe(self, stream: FrameStream, subscribe: wire.Subscribe) -> None:
        """Tell another node what is known and every change from now on."""

    @abstractmethod
    def update_held_version(self, stream: FrameStream, holds: wire.Holds) -> None:
        """Note what a subscriber has by now."""

    @abstractmethod
    def handle_crashes(
        self, message: wire.Crashes, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Take news of crashes, or a question for them."""

    @abstractmethod
    def link_up(self, link: LinkClient) -> None:
        """Note that a link of this node stands anew."""

    @abstractmethod
    def link_down(self, link: LinkClient) -> None:
        """Note that a link of this node ended or could not be opened."""
