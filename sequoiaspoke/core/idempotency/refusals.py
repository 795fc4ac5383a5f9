"""Remember refused keys, so that a late copy of one does not run.

Under load shedding most new keys are refused. Remembering each of them for the
whole retention time would exhaust the memory; forgetting one would let a delayed
copy run after its caller was told that it did not. So the keys of a few seconds are
kept individually, and the earliest minted are replaced by a floor: every unknown
key minted at or before the floor is refused. This affects a caller only if its
first attempt took longer to arrive than those few seconds.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.core.idempotency.moment import Moment
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings


class Refusals:
    """Keys that must never run in this process."""

    def __init__(self, settings: IdempotencySettings) -> None:
        self.settings = settings
        self.keys: set[str] = set()
        self.by_time: list[tuple[float, str, bool]] = []
        self.floor = float("-inf")
        self.opaque_until = float("-inf")

    def add(self, key: Key, now: Moment) -> None:
        """Add a key; when the set is full, the earliest moves below the floor."""
        if key.text in self.keys:
            return
        self.keys.add(key.text)
        opaque = key.minted is None
        when = now.wall if key.minted is None else key.minted
        heapq.heappush(self.by_time, (when, key.text, opaque))
        while len(self.by_time) > self.settings.refusals:
            self._drop_earliest(now)

    def contains(self, key: Key) -> bool:
        """Return whether this key is one of those kept individually."""
        return key.text in self.keys

    def may_contain(self, key: Key, now: Moment) -> bool:
        """Return whether an unknown key may be one that was refused."""
        if key.minted is None:
            return now.wall <= self.opaque_until
        return key.minted <= self.floor

    def _drop_earliest(self, now: Moment) -> None:
        when, text, opaque = heapq.heappop(self.by_time)
        self.keys.discard(text)
        if opaque:
            self.opaque_until = now.wall + self.settings.opaque_lifetime
        else:
            self.floor = max(self.floor, when)
