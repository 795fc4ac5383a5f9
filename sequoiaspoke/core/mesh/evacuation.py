"""Keep which availability zones are evacuated.

Operators evacuate a zone before they work on it: from then on no call may be sent to an
upstream there, until they take it back. Each order is an item of the store of its own;
it ends when the item is deleted. Of two words on a zone that with the later revision
counts. One that is missing in a list has ended only if the list is more recent than
the order: a node that lags neither ends one that it has not heard of nor brings one
back that has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Zones that are kept at most; somebody else may write items without end.
MAX_ZONES = 1000


@dataclass(frozen=True)
class Evacuation:
    """The order to send nothing to the upstreams of a zone, or its end.

    Attributes
    ----------
    revision : int
        Revision of the store at which it was written or deleted.
    """

    zone: str
    revision: int
    ended: bool = False


class Evacuations:
    """The last order of each zone that this node knows.

    Those that have ended are kept: a zone that was empty for a moment is cold after
    it, and old news must not bring the order back.

    Attributes
    ----------
    latest : dict of str to Evacuation
        By zone.
    complete_to : int
        Revision of the store up to which every order is known here.
    serial : int
        Count of the changes made here.
    """

    def __init__(self) -> None:
        self.latest: dict[str, Evacuation] = {}
        self.complete_to = 0
        self.serial = 0

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones that are evacuated."""
        return frozenset(zone for zone, each in self.latest.items() if not each.ended)

    def end_revision(self, zone: str) -> int:
        """Return the revision at which a zone was taken back, 0 if it was not."""
        known = self.latest.get(zone)
        return known.revision if known is not None and known.ended else 0

    def apply(self, evacuation: Evacuation) -> bool:
        """Take an order or its end; return whether that is news."""
        known = self.latest.get(evacuation.zone)
        if known is not None and known.revision >= evacuation.revision:
            return False
        if known is None and evacuation.revision <= self.complete_to:
            # It has ended, as another node told while this one read. Its end would
            # not be told again, and the zone would stay empty for good.
            return False
        if known is None and len(self.latest) >= MAX_ZONES:
            return False
        self.latest[evacuation.zone] = evacuation
        self.serial += 1
        return True

    def end_missing(self, active: Iterable[str], revision: int) -> None:
        """End the orders that a list of all that stood at a revision lacks."""
        missing = self.zones.difference(active)
        for zone in sorted(missing):
            self.apply(Evacuation(zone, revision, ended=True))

    def apply_list(self, listed: Iterable[Evacuation], revision: int) -> None:
        """Take all that another node knows, complete up to a revision."""
        received = tuple(listed)
        for each in received:
            self.apply(each)
        self.end_missing((each.zone for each in received), revision)
