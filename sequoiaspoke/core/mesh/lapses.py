"""Keep entries that vanish while the platform's store is away, or just after it.

The platform drops the entry of an upstream that has been silent, also while the
store is away and the upstream cannot report. Taken at its word, a store that
returns after an outage would empty whole services of upstreams that run well,
until each has reported again. So an entry that vanishes during an outage or just
after it stays for a while; one that is still missing then is gone. An entry
that vanishes from a healthy store is gone at once.
"""

from __future__ import annotations

# Seconds after the store's return for which a vanished entry stays: upstreams
# that live have reported again within two, and reading takes a moment.
LAPSE_GRACE = 2.2
# Seconds without a confirmation by the store, to this node or to one that tells it,
# from which the store is taken to have been away: upstreams report each 1.5 s and lapse
# after three reports that were missed, so that a shorter absence lapses none. A
# node that alone was cut off hears the others' confirmations all the while.
OUTAGE_GAP = 2.0


class Lapses:
    """The entries that vanished around an outage.

    Attributes
    ----------
    outage : bool
        Whether the store does not answer.
    recovered_at : float
        When it was last back after it had been away.
    kept_until : dict of str to float
        When to give up on each entry, by instance.
    vanished_at : dict of str to int
        Revision at which each of them vanished.
    """

    def __init__(self) -> None:
        self.outage = False
        self.recovered_at = float("-inf")
        self.kept_until: dict[str, float] = {}
        self.vanished_at: dict[str, int] = {}

    def keep(self, instance: str, revision: int, now: float) -> None:
        """Keep an entry that has vanished for a while."""
        self.kept_until.setdefault(instance, self.grace_end(now))
        self.vanished_at[instance] = revision

    def drop(self, instance: str) -> None:
        """Forget an entry that is there again or gone for good."""
        self.kept_until.pop(instance, None)
        self.vanished_at.pop(instance, None)

    def store_lost(self) -> None:
        """Note that the store does not answer."""
        self.outage = True

    def store_reached(self, now: float, gap: float = float("inf")) -> None:
        """Note that the store answers.

        Parameters
        ----------
        gap : float
            Seconds since it was last known to answer anybody.
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
        """Return whether a missing entry says little."""
        return self.outage or now < self.recovered_at + LAPSE_GRACE

    def grace_end(self, now: float) -> float:
        """Return until when an entry that vanishes now stays."""
        if self.outage:
            return float("inf")
        return max(now, self.recovered_at + LAPSE_GRACE)

    def due(self, now: float) -> list[str]:
        """Return the instances that stayed long enough."""
        return [name for name, until in self.kept_until.items() if until <= now]
