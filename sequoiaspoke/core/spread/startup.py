"""Decide when a new process may install its first version.

VMs have no persistent storage, so a process starts without knowing which version
the fleet enforces. If it installed the platform's first answer, a stale platform
would start it with an older version than its peers, and its calls would follow
withdrawn rules. So it first waits for the platform and for several peers that hold
a version, and installs the newest. The wait is bounded: when a whole fleet restarts,
no peer holds a version, and when the platform is down, only peers can answer. After
the wait, the answers so far are enough. Not serving at all is worse for callers than
an old version, which is replaced as soon as a newer one becomes known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.spread.links import LinkTable
    from sequoiaspoke.core.spread.platform import PlatformReader
    from sequoiaspoke.core.spread.state import SpreadState

# Multiple of `catch_up_wait` after which missing parts of the newest known version no
# longer hold back an older version that is complete.
PARTS_WAIT_FACTOR = 2.0
# In and outside the zone, each: if half of the fleet has just started, one node in
# two million finds only such nodes among its five usual and sixteen extra peers.
MAX_EXTRA_PEERS = 8


class CatchUp:
    """Holds back the first install until enough sources have answered."""

    def __init__(
        self, state: SpreadState, links: LinkTable, platform: PlatformReader
    ) -> None:
        self.state = state
        self.links = links
        self.platform = platform
        self.holds_version: dict[str, bool] = {}
        self.waiting_since: float | None = None
        self.peers_known = False
        state.holder.installs_paused = True

    @property
    def done(self) -> bool:
        """Return whether installs are allowed."""
        return not self.state.holder.installs_paused

    def extra_peers(self) -> int:
        """Return how many peers to link to beyond the usual few.

        The usual links may be fewer than the peers to hear from, and after a mass
        restart their peers may hold no version either. One extra peer is linked for
        each that is lacking and each that holds no version. Otherwise a node whose
        peers all restarted would rely on a platform that may be stale.
        """
        if self.done:
            return 0
        holding = sum(self.holds_version.values())
        lacking = max(0, self.state.spread.catch_up_peers - holding)
        return min(lacking + len(self.holds_version) - holding, MAX_EXTRA_PEERS)

    def tick(self, now: float) -> None:
        """Allow installs once enough sources have answered."""
        if self.done:
            return
        # Peers can be asked only once the VM list is known; the wait for them begins
        # then, or at the start if the platform returns no list.
        found = not self.peers_known and self.state.vms.revision > 0
        if self.waiting_since is None or found:
            self.waiting_since = now
        self.peers_known = self.state.vms.revision > 0
        self._note_peers()
        if self._heard_enough(now):
            self.state.holder.installs_paused = False
            self.state.count("catch-up-done")

    def _note_peers(self) -> None:
        for link in self.links.live():
            holds = link.status.version > 0
            self.holds_version[link.peer] = holds or self.holds_version.get(
                link.peer, False
            )

    def _heard_enough(self, now: float) -> bool:
        spread = self.state.spread
        waited = now - (self.waiting_since or now)
        holding = sum(self.holds_version.values())
        if waited >= spread.catch_up_wait:
            complete = self._newest_is_complete() or (
                waited >= spread.catch_up_wait * PARTS_WAIT_FACTOR
            )
            return complete and (holding > 0 or self.platform.answered)
        if not self.platform.answered or not self._newest_is_complete():
            return False
        others = sum(name != self.state.identity.name for name in self.state.vms.vms)
        return holding >= min(spread.catch_up_peers, others) or self._all_heard(others)

    def _all_heard(self, others: int) -> bool:
        # In a small fleet that starts at once, all peers may answer without a version.
        return len(self.holds_version) >= others

    def _newest_is_complete(self) -> bool:
        # A peer's newer version counts as soon as its status shows it. By the time
        # its head arrives, the platform's older version may already be complete.
        shown = max((link.status.version for link in self.links.live()), default=0)
        holder = self.state.holder
        candidates = holder.gate.newest_candidates()
        if not candidates:
            return shown == 0
        newest = candidates[0]
        return newest.version >= shown and not holder.store.missing(newest.head)
