"""Decide which nodes read the platform's store.

Each read is paid for, and in a zone of 28 nodes that all wait for changes every change
costs 28 of them and 28 times its bytes, on links that may carry 2.5 Mbit/s. So two
nodes of a zone, the same by every node's own reckoning, read for it and tell the
others. A node whose readers have not lately confirmed what it knows reads for itself:
both may be dead, or cut off from the store while this node is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

# Nodes of a zone that read: one may die or be cut off without a gap.
READERS = 2
# Seconds for which a reader's confirmation is believed. A drain or a version has to be
# acted on within 2 s; a read takes up to 0.2 s, a busy node some tenths. A reader
# confirms every 0.9 s, so that one lost confirmation already counts.
BELIEVED_SECONDS = 1.4


class ReadingDuty:
    """Whether this node reads the store.

    Attributes
    ----------
    readers : tuple of str
        Hosts of the zone's readers, as far as this node knows the zone.
    confirmed : float
        As of when a reader last confirmed what this node knows.
    """

    def __init__(self, host: str, zone: str) -> None:
        self.host = host
        self.zone = zone
        self.readers: tuple[str, ...] = ()
        self.confirmed = float("-inf")

    def take_hosts(self, hosts: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Take the nodes of the zone.

        Parameters
        ----------
        leaving : iterable of str
            Nodes beside upstreams that drain; they read if there are too few others.
        """
        staying = set(hosts)
        order = rank(self.zone, sorted(staying))
        order += rank(self.zone, sorted(set(leaving) - staying))
        self.readers = tuple(order[:READERS])

    def heard(self, as_of: float) -> None:
        """Note that what is known here was current at some time."""
        self.confirmed = max(self.confirmed, as_of)

    @property
    def on_duty(self) -> bool:
        """Return whether this node reads for others."""
        return self.host in self.readers

    def must_read(self, now: float) -> bool:
        """Return whether this node has to read the store now."""
        return self.on_duty or now - self.confirmed > BELIEVED_SECONDS
