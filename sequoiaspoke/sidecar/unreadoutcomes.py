"""Outcomes that other nodes may not have read as their link ended.

The entry of a call closes a link that is silent for too long, without reading what its
home sends on it meanwhile. It connects again and asks for the outcome, so a home that
stops stays for that.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

# Seconds before the end of a link from which what was sent on it may be unread, and
# seconds after it in which an entry that still waits connects again.
UNREAD_SECONDS, RECONNECT_SECONDS = 1.0, 1.0


class UnreadOutcomes:
    """Outcomes for which an entry may ask again.

    Attributes
    ----------
    awaited : dict of Hashable to float
        Until when an outcome is kept for its entry, by the key of the call.
    """

    def __init__(self) -> None:
        self.awaited: dict[Hashable, float] = {}

    def add(self, key: Hashable, now: float) -> None:
        """Expect that the entry of a call asks again."""
        self.awaited[key] = now + RECONNECT_SECONDS

    def asked_again(self, key: Hashable) -> None:
        """Note that the entry of a call has asked again."""
        self.awaited.pop(key, None)

    def any(self, now: float) -> bool:
        """Return whether an entry may still ask for an outcome."""
        return any(until > now for until in self.awaited.values())


class SentOutcomes:
    """Outcomes that were sent on one link lately.

    Attributes
    ----------
    sent : deque of tuple of float and int
        Times and numbers of the calls, the oldest first.
    """

    def __init__(self) -> None:
        self.sent: deque[tuple[float, int]] = deque()

    def add(self, number: int, now: float) -> None:
        """Record that the outcome of a call is sent."""
        self.sent.append((now, number))
        self.drop_read(now)

    def drop_read(self, now: float) -> None:
        """Drop the outcomes that were sent so early that they were read."""
        while self.sent and self.sent[0][0] < now - UNREAD_SECONDS:
            self.sent.popleft()

    def unread(self, now: float) -> list[int]:
        """Return the calls whose outcomes may not have been read as the link ends."""
        self.drop_read(now)
        return [number for _, number in self.sent]
