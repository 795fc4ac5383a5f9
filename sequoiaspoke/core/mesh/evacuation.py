"""Track which availability zones are evacuated.

Operators evacuate a zone before they work on it: from then on no call may be sent to
an upstream there, until they end the evacuation. Each order is a separate item of the
store and ends when the item is deleted. Of two orders for a zone the one with the
higher revision wins. An order that is missing in a list has ended only if the list is
more recent than the order, so a lagging node can neither end an order that it has not
seen yet nor restore one that has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.revision import era_of

if TYPE_CHECKING:
    from collections.abc import Iterable

# Limit of the zones kept in memory, as another writer may write any number of items.
MAX_ZONES = 1000


@dataclass(frozen=True)
class Evacuation:
    """An order to send no calls to the upstreams of a zone, or the end of one.

    Attributes
    ----------
    revision : int
        Revision of the store at which the item was written or deleted.
    """

    zone: str
    revision: int
    ended: bool = False


class Evacuations:
    """The last order of each zone.

    Orders that have ended are kept: a zone is cold after even a short evacuation, and
    an outdated message must not restore the order.

    Attributes
    ----------
    latest : dict of str to Evacuation
        By zone.
    complete_to : int
        Revision up to which this node has seen every order in the store.
    serial : int
        Number of changes so far.
    keep_until : float
        Until when orders that are missing in a restored store are kept.
    kept : dict of str to int
        Revision at which each order that is kept was missing, by zone.
    """

    def __init__(self) -> None:
        self.latest: dict[str, Evacuation] = {}
        self.complete_to = 0
        self.serial = 0
        self.keep_until = float("-inf")
        self.kept: dict[str, int] = {}

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones that are evacuated now."""
        return frozenset(zone for zone, each in self.latest.items() if not each.ended)

    def end_revision(self, zone: str) -> int:
        """Return the revision at which a zone's evacuation ended, 0 if it did not."""
        known = self.latest.get(zone)
        return known.revision if known is not None and known.ended else 0

    def apply(self, evacuation: Evacuation) -> bool:
        """Apply an order or its end; return whether it changed anything."""
        known = self.latest.get(evacuation.zone)
        if known is not None and known.revision >= evacuation.revision:
            return False
        if known is None and evacuation.revision <= self.complete_to:
            # The order has ended before. Its end would not be sent again, so the zone
            # would stay evacuated forever.
            return False
        if known is None and len(self.latest) >= MAX_ZONES:
            return False
        self.latest[evacuation.zone] = evacuation
        self.kept.pop(evacuation.zone, None)
        self.serial += 1
        return True

    def end_missing(self, active: Iterable[str], revision: int, now: float) -> None:
        """End the orders that are missing in a complete list read at a revision.

        The copy from which a store came back may lack an order until the operators
        write it again, so an order of an earlier era is kept for a while.
        """
        missing = self.zones.difference(active)
        for zone in sorted(missing):
            lost = era_of(self.latest[zone].revision) < era_of(revision)
            if lost and now < self.keep_until:
                self.kept[zone] = revision
            else:
                self.apply(Evacuation(zone, revision, ended=True))

    def end_kept(self, now: float) -> bool:
        """End the kept orders that were not written again; return whether any did."""
        if not self.kept or now < self.keep_until:
            return False
        kept, self.kept = self.kept, {}
        ended = [
            self.apply(Evacuation(zone, revision, ended=True))
            for zone, revision in kept.items()
        ]
        return any(ended)

    def apply_list(
        self, listed: Iterable[Evacuation], revision: int, now: float
    ) -> None:
        """Apply another node's complete list of orders, as of a revision."""
        received = tuple(listed)
        for each in received:
            self.apply(each)
        self.end_missing((each.zone for each in received), revision, now)
