"""Share a version that the store has lost between availability zones.

A store that comes back from an older copy may lack a version that the nodes of one zone
have read and those of another have not. Until the operators write it again the store
cannot tell, and knowledge from the store stays within a zone. So the readers of each
zone ask nodes of the other zones for a newer version, and send it to their own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.revision import era_of
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.state import MeshState

# Seconds between two questions to each other zone: a reader that has just started does
# not know when the store came back, so it goes on asking. A question has some ten bytes
# and is answered only by a node that has a newer version.
ASK_INTERVAL = 1.0


class VersionGossip:
    """Asks nodes of other zones for a newer version.

    Attributes
    ----------
    asked_at : float
        When the other zones were last asked.
    """

    def __init__(self, state: MeshState, peers: Peers, duty: ReadingDuty) -> None:
        self.state = state
        self.peers = peers
        self.duty = duty
        self.asked_at = float("-inf")

    def tick(self, now: float) -> None:
        """Ask a node of each other zone, if this node reads a store that has eras."""
        has_eras = era_of(self.state.revision) > 0
        if not (has_eras and self.duty.on_duty and self.state.complete):
            return
        if now - self.asked_at < ASK_INTERVAL:
            return
        self.asked_at = now
        question = wire.Frame(ask=wire.Ask(self.state.version, 0.0))
        for hosts in self.peers.other_zones().values():
            for host in self.peers.pick_random(hosts, 1):
                self.peers.link(host).send_or_queue(question)
