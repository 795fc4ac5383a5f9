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
LAPSE_GAP = 2.0


class Lapses:
    """The entries that vanished around an outage.

    Attributes
    ----------
    outage : bool
        Whether the store does not answer.
    returned : float
        When it was last back after it had been away.
    until : dict of str to float
        When to give up on each entry, by instance.
    vanished : dict of str to int
        Revision at which each of them vanished.
    """

    def __init__(self) -> None:
        self.outage = False
        self.returned = float("-inf")
        self.until: dict[str, float] = {}
        self.vanished: dict[str, int] = {}

    def keep(self, instance: str, revision: int, now: float) -> None:
        """Keep an entry that has vanished for a while."""
        self.until.setdefault(instance, self.grace_end(now))
        self.vanished[instance] = revision

    def drop(self, instance: str) -> None:
        """Forget an entry that is there again or gone for good."""
        self.until.pop(instance, None)
        self.vanished.pop(instance, None)

    def lost_store(self) -> None:
        """Note that the store does not answer."""
        self.outage = True

    def reached_store(self, now: float, gap: float = float("inf")) -> None:
        """Note that the store answers.

        Parameters
        ----------
        gap : float
            Seconds since it was last known to answer anybody.
        """
        away = gap > LAPSE_GAP
        if not (self.outage or away):
            return
        self.outage = False
        if away:
            self.returned = now
        for instance in self.until:
            self.until[instance] = now + LAPSE_GRACE if away else now

    def unwell(self, now: float) -> bool:
        """Return whether a missing entry says little."""
        return self.outage or now < self.returned + LAPSE_GRACE

    def grace_end(self, now: float) -> float:
        """Return until when an entry that vanishes now stays."""
        if self.outage:
            return float("inf")
        return max(now, self.returned + LAPSE_GRACE)

    def due(self, now: float) -> list[str]:
        """Return the instances that stayed long enough."""
        return [name for name, until in self.until.items() if until <= now]
