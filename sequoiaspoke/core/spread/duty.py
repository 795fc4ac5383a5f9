"""Whose turn it is to watch the platform.

The platform answers about two thousand reads a second over all readers, and a
waiting watch counts. If every node watched, the fleet could not grow and the
platform's return after an outage would be met by all of it at once. So the
first live nodes of each zone's watch order watch, by a rule that each node
works out alone: fewer live nodes before it than watchers wanted means that it
watches. Two watchers outlive the death of one without a gap. A node that finds
itself first waits a random time that grows with its place, so that nodes which
disagree for a moment do not all start.

Watchers whose own watch fails are followed by a few spares, for the case that
only they lost the platform. The number is small because in an outage all of
them fail, and every further one would only add to the crowd on its return.
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
            # No list published: this node knows of no other that could watch.
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
        # None: enough watch. 0: some are gone. More: as many failed in a row.
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
