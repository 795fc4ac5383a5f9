"""When a fresh process may install its first version.

VMs keep nothing, so a process starts with no memory of what the fleet enforces.
If it took whatever the platform said first, a stale platform would start it
behind its neighbours, and calls through it would meet withdrawn rules. So it
first hears the platform and several peers that hold a version, and takes the
newest. The wait is bounded: when a whole fleet restarts nobody holds anything,
and when the platform is down only peers can tell; whoever answered by then is
believed, since not serving at all is worse for callers than an old version
that the gate will replace as soon as a newer one is heard of.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.spread.links import LinkTable
    from sequoiaspoke.core.spread.platform import PlatformReader
    from sequoiaspoke.core.spread.state import SpreadState

# Times the wait after which parts of the newest version heard of, which still
# have not come, no longer hold back an older one that is whole.
PARTS_WAIT_FACTOR = 2.0
# In each direction: with half of the fleet fresh, one node in two million finds
# none of the others among the five usual and sixteen more.
MAX_EXTRA_PEERS = 8


class CatchUp:
    """Holds back the first install until enough was heard."""

    def __init__(
        self, state: SpreadState, links: LinkTable, platform: PlatformReader
    ) -> None:
        self.state = state
        self.links = links
        self.platform = platform
        self.holds_version: dict[str, bool] = {}
        self.waiting_since: float | None = None
        self.peers_known = False
        state.holder.hold = True

    @property
    def done(self) -> bool:
        """Return whether installs are let through."""
        return not self.state.holder.hold

    def extra_peers(self) -> int:
        """Return how many peers to ask beyond the usual few.

        The usual links may be fewer than the peers to hear, and after a herd died
        and returned they may all be fresh too. One more is asked for each that is
        lacking and each that holds nothing, or a node whose peers all restarted
        would take a stale platform's word.
        """
        if self.done:
            return 0
        holding = sum(self.holds_version.values())
        lacking = max(0, self.state.spread.catch_up_peers - holding)
        return min(lacking + len(self.holds_version) - holding, MAX_EXTRA_PEERS)

    def tick(self, now: float) -> None:
        """Let installs through once enough was heard."""
        if self.done:
            return
        # Peers can be asked only once the VM list is there; the wait for them
        # begins then, or at the start where the platform gives no list.
        found = not self.peers_known and self.state.vms.revision > 0
        if self.waiting_since is None or found:
            self.waiting_since = now
        self.peers_known = self.state.vms.revision > 0
        self._note_peers()
        if self._heard_enough(now):
            self.state.holder.hold = False
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
        # A small fleet that starts at once: everybody answered, none has more.
        return len(self.holds_version) >= others

    def _newest_is_complete(self) -> bool:
        # A peer's newer version counts from when the peer shows it, not from
        # when its head has come: the platform's older one may be whole by then.
        shown = max((link.status.version for link in self.links.live()), default=0)
        holder = self.state.holder
        candidates = holder.gate.newest_candidates()
        if not candidates:
            return shown == 0
        newest = candidates[0]
        return newest.version >= shown and not holder.store.missing(newest.head)
