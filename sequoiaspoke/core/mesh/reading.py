"""Decide which nodes read the platform's store.

Each read is paid for, and in a zone of 28 nodes that all wait for changes every change
costs 28 of them and 28 times its bytes, on links that may carry 2.5 Mbit/s. So two
nodes of a zone, the same by every node's own reckoning, read for it and tell the
others. A node whose readers have not lately confirmed what it knows reads for itself:
both may be dead, or cut off from the store while this node is not. Where its links to
both have ended it does so at once: while nodes waited for a confirmation, they acted on
a change that the readers took with them 2.06 s after it, where 2 s are allowed (virtual
clock, one seed).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

# Nodes of a zone that read: one may die or be cut off without a gap.
READERS_PER_ZONE = 2
# Seconds within which a drain or a version has to be acted on where the platform says
# nothing else. The times below are for this bound and grow with it: a fleet that
# may take 3 s asks its store a third less often.
DEFAULT_ACT_SECONDS = 2.0
# Seconds for which a reader's confirmation is believed; a read takes up to 0.2 s, a
# busy node some tenths.
CONFIRMATION_VALID_SECONDS = 1.4
# Part of the bound that may be over since the last time at which what is known was all
# there is. A reader says that it has news to read, and is killed: its word that it
# reads was believed for 2.09 s after a change, where 2 s are allowed (virtual clock).
MAX_STALENESS_RATIO = 0.85
# Seconds between two confirmations by a reader, so that one lost already counts.
CONFIRM_INTERVAL = 0.9


def ignore_change() -> None:
    """Do nothing; until somebody waits for a change of the duty."""


class ReadingDuty:
    """Whether this node reads the store.

    Parameters
    ----------
    time_scale : float
        By how much more time there is to act on a change than usual.
    link_mbps : float
        Rate of this VM's network link, 0 if not known.

    Attributes
    ----------
    link_rates : dict of str to float
        Rates of the links of the zone's VMs in Mbit/s, as far as they are known.
    rates_serial : int
        Count of the rates by which the readers have changed.
    readers : tuple of str
        Hosts of the zone's readers, as far as this node knows the zone.
    unreachable : set of str
        Readers to which this node has no link any more.
    confirmed_at : float
        When the store last answered a reader, if with news that it has not read yet.
    complete_as_of : float
        When what this node knows was last confirmed to be all there is.
    on_change : callable
        Told when this node may have to read sooner than its readers' silence says.
    """

    def __init__(
        self, host: str, zone: str, time_scale: float = 1.0, link_mbps: float = 0.0
    ) -> None:
        self.host = host
        self.zone = zone
        self.hosts: set[str] = set()
        self.leaving: set[str] = set()
        self.link_rates = {host: link_mbps}
        self.rates_serial = 0
        self.act_within = DEFAULT_ACT_SECONDS * time_scale
        self.valid_seconds = CONFIRMATION_VALID_SECONDS * time_scale
        self.confirm_interval = CONFIRM_INTERVAL * time_scale
        self.readers: tuple[str, ...] = ()
        self.unreachable: set[str] = set()
        self.confirmed_at = float("-inf")
        self.complete_as_of = float("-inf")
        self.on_change: Callable[[], None] = ignore_change

    def set_hosts(self, hosts: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Take the nodes of the zone.

        Parameters
        ----------
        leaving : iterable of str
            Nodes beside upstreams that drain; they read if there are too few others.
        """
        self.hosts = set(hosts)
        self.leaving = set(leaving) - self.hosts
        self.choose_readers()

    def learn_rates(self, rates: Mapping[str, float]) -> bool:
        """Take the rates of VMs' links; return whether others read by them.

        Only then they are told on: a zone of 90 nodes that starts would else tell each
        of them the rates of all, again with each node that comes.
        """
        readers = self.readers
        for host, rate in rates.items():
            self.link_rates.setdefault(host, rate)
        self.choose_readers()
        if self.readers == readers:
            return False
        self.rates_serial += 1
        return True

    @property
    def reader_rates(self) -> dict[str, float]:
        """Return the rates of the readers and this node, as far as they are known."""
        included = {*self.readers, self.host}
        return {
            host: self.link_rates[host] for host in included & self.link_rates.keys()
        }

    def choose_readers(self) -> None:
        """Choose the readers: those with the widest links, and of equals by hash.

        A configuration of 3,300 routes is 440 KB as the platform writes it. A reader on
        a link of 2.5 Mbit/s takes 1.4 s for each version of a storm, and one on 50
        Mbit/s 0.07 s; 2.5 s are allowed until the version is in force at all nodes.
        """
        order = self.widest_first(self.hosts) + self.widest_first(self.leaving)
        self.readers = tuple(order[:READERS_PER_ZONE])
        self.unreachable.intersection_update(self.readers)
        self.on_change()

    def widest_first(self, hosts: Iterable[str]) -> list[str]:
        """Return nodes, the one with the widest link first.

        One that is not known counts as the narrowest that is. Taken for less, each node
        of a zone whose links are all alike would read for itself until it was told.
        """
        order = rank(self.zone, sorted(hosts))
        narrowest = min(self.link_rates.values())
        return sorted(order, key=lambda host: -self.link_rates.get(host, narrowest))

    def confirm(self, as_of: float, answered_at: float | None = None) -> None:
        """Note that what is known here was current at some time.

        Parameters
        ----------
        answered_at : float or None
            When the store answered whoever told it, if that was later.
        """
        self.complete_as_of = max(self.complete_as_of, as_of)
        answered_at = as_of if answered_at is None else answered_at
        self.confirmed_at = max(self.confirmed_at, answered_at)

    def link_up(self, host: str) -> None:
        """Note that a link to a node stands."""
        self.unreachable.discard(host)

    def link_down(self, host: str) -> None:
        """Note that the link to a node ended or could not be opened."""
        if host in self.readers:
            self.unreachable.add(host)
            self.on_change()

    @property
    def on_duty(self) -> bool:
        """Return whether this node reads for others."""
        return self.host in self.readers

    def must_read(self, now: float) -> bool:
        """Return whether this node has to read the store now."""
        all_unreachable = bool(self.readers) and self.unreachable.issuperset(
            self.readers
        )
        return self.on_duty or all_unreachable or now > self.valid_until

    @property
    def primary_reader(self) -> str:
        """Return the reader that tells this node of a new configuration first.

        Each of two readers does so for half of the zone. One of 1,680 more routes is
        25 KB to each node: a link of 2.5 Mbit/s takes 2.2 s to tell 27 nodes, where
        2.5 s are allowed from its acceptance on.
        """
        others = [host for host in self.readers if host != self.host]
        return rank(self.host, others)[0] if others else ""

    @property
    def valid_until(self) -> float:
        """Return until when the readers' last confirmation is believed."""
        latest = self.complete_as_of + MAX_STALENESS_RATIO * self.act_within
        return min(self.confirmed_at + self.valid_seconds, latest)
