"""Decide which nodes watch the platform.

The platform answers about two thousand reads a second over all readers, and a
waiting watch counts as a read. If every node watched, the fleet could not grow, and
all nodes at once would read from the platform when it returns after an outage. So
only the first live nodes of each zone's watch order watch. Each node decides this
alone: it watches if fewer live nodes precede it than watchers are wanted. With two
watchers, the death of one leaves no gap. Before a node takes over, it waits a random
time that grows with its place in the order, so that nodes with briefly different
views do not all start.

If the watches of watchers fail, a few spares watch too, in case only those watchers
lost the platform. Their number is small: in an outage the spares fail as well, and
each of them adds to the load when the platform returns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.spread.messages import WatchState

if TYPE_CHECKING:
    from sequoiaspoke.core.spread.peers import PeerChooser
    from sequoiaspoke.core.spread.state import SpreadState

MAX_PLACES = 8


class Duty:
    """Decides whether this node watches."""

    def __init__(self, state: SpreadState, peers: PeerChooser) -> None:
        self.state = state
        self.peers = peers
        self.watching = False
        self.spare = 0
        self.take_over_at: float | None = None

    def decide(self, now: float) -> bool:
        """Return whether to watch now."""
        rank = self.state.vms.rank()
        if self.state.vms.revision == 0:
            # Without a VM list this node knows of no other node that could watch.
            self.watching = self.state.no_vm_list
            return self.watching
        if rank < self.state.spread.watchers:
            self.watching, self.spare, self.take_over_at = True, 0, None
            return True
        spare = self._spare_level(now)
        if spare is None:
            return self._stop()
        self.spare = spare
        if self.watching:
            return True
        if self.take_over_at is None:
            places = min(rank - self.state.spread.watchers + 1, MAX_PLACES)
            wait = self.state.spread.takeover * places
            self.take_over_at = now + self.state.rng.uniform(0, wait)
        if now >= self.take_over_at:
            self.watching = True
            self.state.count("duty-taken-over")
        return self.watching

    def _spare_level(self, now: float) -> int | None:
        # None: enough nodes watch. 0: some preceding nodes are gone. Above 0: the
        # number of watchers in a row whose watches failed.
        predecessors = self.peers.predecessors(now)
        wanted = self.state.spread.watchers
        if len(predecessors.live) + predecessors.unknown < wanted:
            return 0
        failing = [
            link.status.spare
            for link in predecessors.live
            if link.status.watch == WatchState.FAILING
        ]
        if len(predecessors.live) - len(failing) + predecessors.unknown >= wanted:
            return None
        spare = max(failing) + 1
        return spare if spare <= self.state.spread.spare_watchers else None

    def _stop(self) -> bool:
        if self.watching:
            self.state.count("duty-handed-back")
        self.watching, self.spare, self.take_over_at = False, 0, None
        return False
