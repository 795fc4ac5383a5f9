"""Remember refused keys, so that no late copy of one runs after all.

Load pattern: shedding, when most new keys are refused. Remembering each for the
whole retention would fill the memory, and forgetting one would let a delayed copy
run after its caller was told that it did not. So a few seconds' worth are kept one
by one, and the earliest minted give way to a floor: unknown keys minted at or
before it are refused too. A caller notices only if its first attempt took longer to
arrive than the seconds kept.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.core.idempotency.moment import Moment
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings


class Refusals:
    """Keys that are never run here."""

    def __init__(self, settings: IdempotencySettings) -> None:
        self.settings = settings
        self.keys: set[str] = set()
        self.by_time: list[tuple[float, str, bool]] = []
        self.floor = float("-inf")
        self.opaque_until = float("-inf")

    def add(self, key: Key, now: Moment) -> None:
        """Remember a key for good."""
        if key.text in self.keys:
            return
        self.keys.add(key.text)
        opaque = key.minted is None
        when = now.wall if key.minted is None else key.minted
        heapq.heappush(self.by_time, (when, key.text, opaque))
        while len(self.by_time) > self.settings.refusals:
            self._drop_earliest(now)

    def contains(self, key: Key) -> bool:
        """Tell whether this very key was refused."""
        return key.text in self.keys

    def may_contain(self, key: Key, now: Moment) -> bool:
        """Tell whether a key not in the ledger may be one that was refused."""
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
