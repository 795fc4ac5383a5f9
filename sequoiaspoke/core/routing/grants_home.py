"""Grant direct connections to this home's upstream, and take them back.

An entry that calls a target steadily pays the home's hop on every call only to
be told that there is room. While there is room, the home lends it a few slots
for a second at a time, for idempotent calls; the lent slots count as taken, so
that the upstream's limit holds exactly. As soon as a call has to wait, nothing
is lent any more: slots held idle by one entry while another's call waits would
be unfair, and the fair queue can only order calls that pass it. After that the
home lends nothing for some seconds, else lending and recalling would alternate
with every burst.

What is lent comes back when the entry returns it. If the entry has died, or the
message is lost, it comes back when the lease and the longest direct call are
over, so a lost grant never costs a slot for good and no direct call begins more
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
    """Slots that an entry holds."""

    entry: str
    slots: int
    expires_at: float


@dataclass(frozen=True)
class Capacity:
    """What the home's admission says of its slots.

    Attributes
    ----------
    limit : int
        Calls that the target now runs at once, granted ones included.
    free : int
        Slots that neither a call nor a grant holds.
    waiting : int
        Calls in the queue.
    """

    limit: int
    free: int
    waiting: int


class GrantHome:
    """Lend slots of one target.

    Attributes
    ----------
    denied : Counter of DenyReason
        Questions answered without a grant.
    recalls : int
        Grants taken back before their lease was over.
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
        """Return the slots that admission must count as taken."""
        return sum(each.slots for each in self.granted.values())

    def ask(self, ask: Ask, capacity: Capacity, now: float) -> GrantAnswer:
        """Answer an entry's question."""
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
        """Return why nothing at all is lent now."""
        if self.closed:
            return DenyReason.DRAINING
        if capacity.waiting or now < self.paused_until:
            return DenyReason.CONTENTION
        return None

    def renew(self, ask: Ask, reason: DenyReason | None, now: float) -> GrantAnswer:
        """Prolong a grant, or take it back."""
        granted = self.granted.get(ask.grant)
        if granted is None or granted.entry != ask.entry:
            return self.deny(DenyReason.UNKNOWN)
        if reason:
            # The slots stay counted until the entry tells what it still uses:
            # since it asked, it may have begun more calls.
            self.recalls += 1
            return self.deny(reason)
        granted.expires_at = now + self.settings.grant_lease
        return Granted(ask.grant, granted.slots, self.settings.grant_lease)

    def grantable_slots(self, capacity: Capacity) -> int:
        """Return how many more slots may be lent."""
        return int(self.settings.grant_share * capacity.limit) - self.reserved

    def deny(self, reason: DenyReason) -> Denied:
        """Count and return a denial."""
        self.denied[reason] += 1
        return Denied(reason)

    def pause(self, now: float) -> None:
        """Lend nothing for a while; holders hear it when they renew."""
        self.paused_until = now + self.settings.grant_pause

    def close(self) -> None:
        """Lend nothing any more, since the target leaves or moves."""
        self.closed = True

    def must_recall(self, capacity: Capacity, now: float) -> bool:
        """Return whether holders that wait for a renewal must hear at once."""
        return bool(self.granted) and self.denial_reason(capacity, now) is not None

    def returned(self, message: Returned) -> None:
        """Take back the slots of a grant, save those still in use."""
        granted = self.granted.get(message.grant)
        if granted and granted.entry == message.entry:
            self.shrink(message.grant, message.in_use)

    def shrink(self, grant: int, in_use: int) -> None:
        """Keep only the slots in use counted as taken."""
        granted = self.granted[grant]
        granted.slots = min(granted.slots, in_use)
        if granted.slots <= 0:
            del self.granted[grant]

    def expire(self, now: float) -> None:
        """Take back what entries that are gone hold."""
        longest = self.settings.grant_call
        for number, granted in list(self.granted.items()):
            if now > granted.expires_at + longest:
                del self.granted[number]
