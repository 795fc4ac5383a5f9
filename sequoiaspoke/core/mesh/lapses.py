"""Keep entries that vanish during or just after an outage of the platform's store.

The platform drops the entry of an upstream that stops reporting, even if it could not
report because the store was unavailable. If these removals were applied, whole services
would lose healthy upstreams after each outage until every one had reported again. So an
entry that vanishes during an outage or just after it is kept for a grace period, and
dropped if it is still missing then. An entry that vanishes from a healthy store is
dropped at once.
"""

from __future__ import annotations

# Seconds after the store's recovery for which a vanished entry is kept: running
# upstreams report again within two seconds, and reading the store takes a moment.
LAPSE_GRACE = 2.2
# Seconds without an answer of the store, to this node or to a node that forwards it,
# from which the store counts as having been unavailable. Upstreams report every 1.5 s
# and lapse after three missed reports, so a shorter gap lapses none. A node that was
# cut off alone still receives the confirmations of the others.
OUTAGE_GAP = 2.0


class Lapses:
    """Entries that vanished around an outage and are kept for now.

    Attributes
    ----------
    outage : bool
        Whether the store does not answer.
    recovered_at : float
        When the store last recovered from an outage.
    kept_until : dict of str to float
        When to drop each entry, by instance.
    vanished_at : dict of str to int
        Revision at which each entry vanished.
    """

    def __init__(self) -> None:
        self.outage = False
        self.recovered_at = float("-inf")
        self.kept_until: dict[str, float] = {}
        self.vanished_at: dict[str, int] = {}

    def keep(self, instance: str, revision: int, now: float) -> None:
        """Keep a vanished entry for the grace period."""
        self.kept_until.setdefault(instance, self.grace_end(now))
        self.vanished_at[instance] = revision

    def drop(self, instance: str) -> None:
        """Stop keeping an entry that is back or finally dropped."""
        self.kept_until.pop(instance, None)
        self.vanished_at.pop(instance, None)

    def store_lost(self) -> None:
        """Record that the store does not answer."""
        self.outage = True

    def store_reached(self, now: float, gap: float = float("inf")) -> None:
        """Record that the store answers.

        Parameters
        ----------
        gap : float
            Seconds since the store was last known to answer any node.
        """
        was_away = gap > OUTAGE_GAP
        if not (self.outage or was_away):
            return
        self.outage = False
        if was_away:
            self.recovered_at = now
        for instance in self.kept_until:
            self.kept_until[instance] = now + LAPSE_GRACE if was_away else now

    def removals_unreliable(self, now: float) -> bool:
        """Return whether an entry may be missing only because of an outage."""
        return self.outage or now < self.recovered_at + LAPSE_GRACE

    def grace_end(self, now: float) -> float:
        """Return until when to keep an entry that vanishes now."""
        if self.outage:
            return float("inf")
        return max(now, self.recovered_at + LAPSE_GRACE)

    def due(self, now: float) -> list[str]:
        """Return the instances whose grace period is over."""
        return [name for name, until in self.kept_until.items() if until <= now]
