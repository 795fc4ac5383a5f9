"""Grant direct connections to this home's upstream, and recall them.

Every call through the home costs a hop, even if slots are free. While they are,
the home grants a few slots to an entry that calls the target steadily, for a
second at a time and for idempotent calls only. Granted slots count as taken, so
that the upstream's limit holds exactly. When a call has to wait, grants end: it
would be unfair if one entry held idle slots while another's call waits, and the
fair queue can only order calls that pass it. The home then grants nothing for a
while (`grant_pause`), since otherwise each burst would cause grants and recalls
in turn.

Slots become free when the entry returns them. If the entry died or its message
was lost, they become free when the lease and the longest direct call are over.
So a lost grant never costs a slot permanently, and no direct call starts more
than a lease after a drain.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.grants import (
    Ask,
    Denied,
    DenyReason,
    GrantAnswer,
    Granted,
    Returned,
)

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.settings import RoutingSettings


@dataclass
class GrantedSlots:
    """Slots granted to an entry."""

    entry: str
    slots: int
    expires_at: float


@dataclass(frozen=True)
class Capacity:
    """The state of the home's slots.

    Attributes
    ----------
    limit : int
        Current limit of concurrent calls, granted slots included.
    free : int
        Slots that neither a call nor a grant holds.
    waiting : int
        Calls in the queue.
    """

    limit: int
    free: int
    waiting: int


class GrantHome:
    """Grant slots of one target to entries.

    Attributes
    ----------
    denied : Counter of DenyReason
        Number of denied requests by reason.
    recalls : int
        Number of grants recalled before their lease was over.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.numbers = count(1)
        self.granted: dict[int, GrantedSlots] = {}
        self.closed = False
        self.paused_until = float("-inf")
        self.denied: Counter[DenyReason] = Counter()
        self.recalls = 0

    @property
    def reserved(self) -> int:
        """Return the number of slots that admission must count as taken."""
        return sum(each.slots for each in self.granted.values())

    def ask(self, ask: Ask, capacity: Capacity, now: float) -> GrantAnswer:
        """Answer an entry's request for a grant or its renewal."""
        reason = self.denial_reason(capacity, now)
        if reason is DenyReason.CONTENTION:
            self.pause(now)
        if ask.grant:
            return self.renew(ask, reason, now)
        slots = min(
            self.settings.grant_slots, capacity.free, self.grantable_slots(capacity)
        )
        if reason is None and slots < 1:
            reason = DenyReason.SHARE
        if reason:
            return self.deny(reason)
        number = next(self.numbers)
        self.granted[number] = GrantedSlots(
            ask.entry, slots, now + self.settings.grant_lease
        )
        return Granted(number, slots, self.settings.grant_lease)

    def denial_reason(self, capacity: Capacity, now: float) -> DenyReason | None:
        """Return why no slots are granted now, or None if they may be."""
        if self.closed:
            return DenyReason.DRAINING
        if capacity.waiting or now < self.paused_until:
            return DenyReason.CONTENTION
        return None

    def renew(self, ask: Ask, reason: DenyReason | None, now: float) -> GrantAnswer:
        """Renew a grant or recall it."""
        granted = self.granted.get(ask.grant)
        if granted is None or granted.entry != ask.entry:
            return self.deny(DenyReason.UNKNOWN)
        if reason:
            # The slots stay counted until the entry reports what it still uses,
            # because it may have started more calls since its request.
            self.recalls += 1
            return self.deny(reason)
        granted.expires_at = now + self.settings.grant_lease
        return Granted(ask.grant, granted.slots, self.settings.grant_lease)

    def grantable_slots(self, capacity: Capacity) -> int:
        """Return how many more slots may be granted."""
        return int(self.settings.grant_share * capacity.limit) - self.reserved

    def deny(self, reason: DenyReason) -> Denied:
        """Count a denial and return it."""
        self.denied[reason] += 1
        return Denied(reason)

    def pause(self, now: float) -> None:
        """Grant nothing for a while; current grants end with their next renewal."""
        self.paused_until = now + self.settings.grant_pause

    def close(self) -> None:
        """Grant nothing from now on, since the target is leaving or moving."""
        self.closed = True

    def must_recall(self, capacity: Capacity, now: float) -> bool:
        """Return whether pending renewals must be answered at once."""
        return bool(self.granted) and self.denial_reason(capacity, now) is not None

    def returned(self, message: Returned) -> None:
        """Free the slots of a returned grant except those still in use."""
        granted = self.granted.get(message.grant)
        if granted and granted.entry == message.entry:
            self.shrink(message.grant, message.in_use)

    def shrink(self, grant: int, in_use: int) -> None:
        """Reduce a grant to the slots in use and drop it when there are none."""
        granted = self.granted[grant]
        granted.slots = min(granted.slots, in_use)
        if granted.slots <= 0:
            del self.granted[grant]

    def expire(self, now: float) -> None:
        """Drop grants of entries that neither renewed nor returned them in time."""
        longest = self.settings.grant_call
        for number, granted in list(self.granted.items()):
            if now > granted.expires_at + longest:
                del self.granted[number]
