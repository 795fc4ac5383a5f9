"""Choose the few peers to link to, independent of the size of the fleet.

With links between all nodes, their number would grow with the square of the fleet.
Instead, each node holds links of three kinds. Links to the two live nodes before it
in its zone's watch order form a chain that connects the zone, and tell each node
exactly whether it has to watch. Two more links in the zone, chosen by hash, shorten
the paths through it. One link to another zone connects the zones; half of the nodes
link to the next zone by name, so that the zones form a ring.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.membership.vmlist import rank_key
from sequoiaspoke.core.snapshot.model import VmState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.snapshot.model import Vm
    from sequoiaspoke.core.spread.links import Link, LinkTable
    from sequoiaspoke.core.spread.state import SpreadState


@dataclass(frozen=True)
class Predecessors:
    """The nearest nodes before this one in the watch order.

    Attributes
    ----------
    live : tuple of Link
        Links to those that answer.
    unknown : int
        Number of those without a live link whose last connection did not fail.
    wanted : tuple of str
        Names of those to hold a link to.
    """

    live: tuple[Link, ...]
    unknown: int
    wanted: tuple[str, ...]


class PeerChooser:
    """Chooses the peers to link to."""

    def __init__(self, state: SpreadState, links: LinkTable) -> None:
        self.state = state
        self.links = links
        self.revision = -1
        self.own_zone: list[str] = []
        self.other_zones: list[str] = []
        self.hashes: dict[str, bytes] = {}  # per VM; kept, as the list often changes

    def wanted(self, extra: int, now: float) -> dict[str, Vm]:
        """Return the VMs to link to, with `extra` more in and outside the zone."""
        self._reorder()
        spread = self.state.spread
        names = list(self.predecessors(now).wanted)
        chosen = set(names)
        own_zone = (name for name in self.own_zone if name not in chosen)
        names += self._pick(own_zone, spread.zone_peers + extra, now)
        names += self._pick(self.other_zones, spread.cross_zone_peers + extra, now)
        vms = self.state.vms.vms
        return {name: vms[name] for name in names if name in vms}

    def predecessors(self, now: float) -> Predecessors:
        """Walk back in the watch order until there are enough nodes."""
        live: list[Link] = []
        wanted = []
        unknown = 0
        for name in self.state.vms.predecessors():
            if len(live) + unknown >= self.state.spread.watchers:
                break
            link = self.links.find(name)
            if link:
                live.append(link)
            elif not self.links.failed(name):
                unknown += 1
            elif not self._may_retry(name, now):
                continue
            wanted.append(name)
        return Predecessors(tuple(live), unknown, tuple(wanted))

    def _pick(self, order: Iterable[str], count: int, now: float) -> list[str]:
        picked = []
        for name in order:
            if count <= 0:
                break
            if self.links.find(name) or not self.links.failed(name):
                count -= 1
            elif not self._may_retry(name, now):
                continue
            picked.append(name)
        return picked

    def _may_retry(self, name: str, now: float) -> bool:
        return self.links.connecting(name) or self.links.backoff(name).ready(now)

    def _reorder(self) -> None:
        view = self.state.vms
        if view.revision == self.revision:
            return
        self.revision = view.revision
        self._update_hashes()
        self.own_zone = [vm.name for vm in self._by_hash(view.others(own_zone=True))]
        self.other_zones = self._order_other_zones(view.others(own_zone=False))

    def _order_other_zones(self, vms: list[Vm]) -> list[str]:
        # The first node of each zone comes first, so that two links reach two zones.
        # By hash alone, zones of one node could be linked in separate groups, which
        # are isolated from each other without the platform. So every second node of
        # a zone prefers the next zone by name, and the zones form a ring.
        own = self.state.identity.zone
        ring = self.state.vms.rank() % 2 == 0
        seen: dict[str, int] = {}
        places = []
        for vm in self._by_hash(vms):
            seen[vm.zone] = seen.get(vm.zone, 0) + 1
            zone = (vm.zone < own, vm.zone) if ring else ()
            places.append((seen[vm.zone], zone, len(places), vm.name))
        return [place[-1] for place in sorted(places)]

    def _by_hash(self, vms: list[Vm]) -> list[Vm]:
        live = [vm for vm in vms if vm.state is VmState.LIVE]
        return sorted(live, key=lambda vm: self.hashes[vm.name])

    def _update_hashes(self) -> None:
        own = self.state.identity.name
        self.links.forget_removed(self.state.vms.vms)
        known = self.hashes
        self.hashes = {
            name: known.get(name) or rank_key(own, name) for name in self.state.vms.vms
        }
