"""The interface by which links pass on knowledge of the platform.

A node that the store refuses, for example as it starts, would know no endpoint and
refuse its callers although other nodes have all it needs. Besides, two nodes of each
zone read the store for the others.
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
    """Exchanges knowledge of the platform with other nodes."""

    @abstractmethod
    def uninformed(self) -> bool:
        """Return whether this node lacks knowledge that others may have."""

    @abstractmethod
    def knowledge_request(self) -> wire.Ask:
        """Return the request for newer knowledge of another node."""

    @abstractmethod
    def answer(self, ask: wire.Ask) -> wire.Knowledge | None:
        """Return what this node knows, or None if that is of no use to the other."""

    @abstractmethod
    def learn(self, knowledge: wire.Knowledge, clock_offset: float) -> bool:
        """Apply knowledge of another node; return False if all of it is needed.

        Parameters
        ----------
        clock_offset : float
            Seconds by which the other node's clock is ahead of this one's.
        """

    @abstractmethod
    def handle_confirmation(
        self, confirmed: wire.Confirmed, clock_offset: float
    ) -> bool:
        """Apply a reader's confirmation that nothing has changed.

        Return whether all of its knowledge is needed, as a version is still awaited.
        """

    @abstractmethod
    def subscribe(self, stream: FrameStream, subscribe: wire.Subscribe) -> None:
        """Send another node what is known, and every change from now on."""

    @abstractmethod
    def update_held_version(self, stream: FrameStream, holds: wire.Holds) -> None:
        """Record which version of the configuration a subscriber has."""

    @abstractmethod
    def handle_crashes(
        self, message: wire.Crashes, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Handle crash reports, or a request for them."""

    @abstractmethod
    def handle_rates(
        self, message: wire.LinkRates, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Handle the link rates that another node knows."""

    @abstractmethod
    def link_up(self, link: LinkClient) -> None:
        """Handle a link of this node that was established."""

    @abstractmethod
    def link_down(self, link: LinkClient) -> None:
        """Handle a link of this node that ended or could not be opened."""
