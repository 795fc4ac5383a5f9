"""Decide which nodes read the platform's store.

Reads of the store are billed. If all 28 nodes of a zone waited for changes, each
change would cost 28 reads and 28 times its bytes, on links that may carry only 2.5
Mbit/s. So two nodes of a zone, which every node determines independently, read the
store and forward changes to the others.

A node whose readers have not confirmed its state recently reads for itself: both may
be dead, or cut off from the store while this node is not. If its links to both are
down it does so at once. Waiting for the confirmation to expire took slightly longer
than the 2 s in which a change has to be acted on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

# Two, so that one may die or be cut off without a gap.
READERS_PER_ZONE = 2
# Default for the seconds within which a drain or a new version has to be acted on. The
# times below hold for this bound and scale with it: a fleet that may take 3 s reads its
# store a third less often.
DEFAULT_ACT_SECONDS = 2.0
# Seconds for which a reader's confirmation is valid. The rest of the bound covers a
# read, up to 0.2 s, and the delay of a busy node, some tenths of a second.
CONFIRMATION_VALID_SECONDS = 1.4
# Seconds of the bound for the delay of a busy node, beside its own read.
DELAY_SECONDS = 0.4
# Minimum validity of a confirmation as a multiple of the time between two, so that a
# node on a slow link does not read the store while its readers confirm in time.
MIN_VALID_INTERVALS = 1.1
# Share of the bound for which this node may rely on its readers after its state was
# last known to be complete. Without this limit, a reader that announced a change and
# died before reading it delayed the change beyond the bound.
MAX_STALENESS_RATIO = 0.85
# Seconds between two confirmations by a reader; above half of the validity, so that a
# single lost confirmation makes a node read for itself.
CONFIRM_INTERVAL = 0.9


def ignore_change() -> None:
    """Do nothing; default of `ReadingDuty.on_change`."""


class ReadingDuty:
    """Choose the readers of a zone and decide whether this node reads the store.

    Parameters
    ----------
    time_scale : float
        Factor between the time allowed to act on a change and the default.
    link_mbps : float
        Rate of this VM's network link, 0 if unknown.

    Attributes
    ----------
    link_rates : dict of str to float
        Known link rates of the zone's VMs in Mbit/s.
    rates_serial : int
        Number of times that the choice of readers has changed while rates are known;
        other nodes are then sent the new ones' rates.
    readers : tuple of str
        Hosts of the zone's readers, by this node's view of the zone.
    unreachable : set of str
        Readers to which this node has lost its link.
    confirmed_at : float
        When the store last answered a reader, even with changes not read yet.
    complete_as_of : float
        When this node's state was last confirmed to be complete.
    read_seconds : float
        Seconds that this node's last read of the configuration took.
    on_change : callable
        Called when this node may have to read before the confirmation expires.
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
        self.delay_seconds = DELAY_SECONDS * time_scale
        self.valid_seconds = CONFIRMATION_VALID_SECONDS * time_scale
        self.confirm_interval = CONFIRM_INTERVAL * time_scale
        self.readers: tuple[str, ...] = ()
        self.unreachable: set[str] = set()
        self.confirmed_at = float("-inf")
        self.complete_as_of = float("-inf")
        self.read_seconds = 0.0
        self.on_change: Callable[[], None] = ignore_change

    def set_hosts(self, hosts: Iterable[str], leaving: Iterable[str] = ()) -> None:
        """Set the nodes of the zone.

        Parameters
        ----------
        leaving : iterable of str
            Nodes beside draining upstreams; they read only if there are too few others.
        """
        self.hosts = set(hosts)
        self.leaving = set(leaving) - self.hosts
        self.choose_readers()

    @property
    def zone_hosts(self) -> set[str]:
        """Return all nodes of the zone."""
        return self.hosts | self.leaving

    def learn_rates(self, rates: Mapping[str, float]) -> bool:
        """Add link rates of VMs; return whether they changed the choice of readers.

        Rates are forwarded only in that case. Otherwise, while a zone of 90 nodes
        starts, each new node would cause the rates of all to be sent to all.
        """
        readers = self.readers
        for host, rate in rates.items():
            self.link_rates.setdefault(host, rate)
        self.choose_readers()
        return self.readers != readers

    @property
    def knows_rates(self) -> bool:
        """Return whether any rate is known that a reader may be chosen by."""
        return any(self.reader_rates.values())

    @property
    def reader_rates(self) -> dict[str, float]:
        """Return the known link rates of the readers and this node."""
        included = {*self.readers, self.host}
        return {
            host: self.link_rates[host] for host in included & self.link_rates.keys()
        }

    def describe_rate(self, host: str) -> str:
        """Return the known link rate of a node in Mbit/s as text."""
        rate = self.link_rates.get(host)
        return "unknown" if rate is None else f"{rate:g}"

    def choose_readers(self) -> None:
        """Choose the nodes with the fastest links as readers; break ties by hash.

        A configuration of 3,300 routes is 440 KB as the platform writes it. Each
        version takes a reader 1.4 s on a link of 2.5 Mbit/s and 0.07 s on one of 50
        Mbit/s, and it has to be in force at all nodes within 2.5 s.
        """
        order = self.fastest_first(self.hosts) + self.fastest_first(self.leaving)
        readers = tuple(order[:READERS_PER_ZONE])
        if readers != self.readers:
            self.readers = readers
            self.rates_serial += self.knows_rates
        self.unreachable.intersection_update(self.readers)
        self.on_change()

    def fastest_first(self, hosts: Iterable[str]) -> list[str]:
        """Return nodes sorted by link rate, fastest first.

        An unknown rate counts as the slowest known one. If it counted as less, each
        node would prefer itself until it learned the other rates, and in a zone with
        equal links every node would read at the start.
        """
        order = rank(self.zone, sorted(hosts))
        slowest = min(self.link_rates.values())
        return sorted(order, key=lambda host: -self.link_rates.get(host, slowest))

    def confirm(self, as_of: float, answered_at: float | None = None) -> None:
        """Record that this node's state was complete at some time.

        Parameters
        ----------
        answered_at : float or None
            When the store answered the reader that reports this, if that was later.
        """
        self.complete_as_of = max(self.complete_as_of, as_of)
        answered_at = as_of if answered_at is None else answered_at
        self.confirmed_at = max(self.confirmed_at, answered_at)

    def link_up(self, host: str) -> None:
        """Record that the link to a node is up."""
        self.unreachable.discard(host)

    def link_down(self, host: str) -> None:
        """Record that the link to a node ended or could not be opened."""
        if host in self.readers:
            self.unreachable.add(host)
            self.on_change()

    @property
    def on_duty(self) -> bool:
        """Return whether this node is a reader of its zone."""
        return self.host in self.readers

    def must_read(self, now: float) -> bool:
        """Return whether this node has to read the store itself now."""
        all_unreachable = bool(self.readers) and self.unreachable.issuperset(
            self.readers
        )
        return self.on_duty or all_unreachable or now > self.valid_until

    @property
    def primary_reader(self) -> str:
        """Return the reader that sends this node a new configuration first.

        Each of the two readers serves half of the zone. A version that adds 1,680
        routes is 25 KB per node: a single reader on a link of 2.5 Mbit/s would need
        2.2 s for 27 nodes, of the 2.5 s allowed from the version's acceptance on.
        """
        others = [host for host in self.readers if host != self.host]
        return rank(self.host, others)[0] if others else ""

    @property
    def confirmation_seconds(self) -> float:
        """Return for how long a confirmation is valid.

        A node that is cut off from its readers without notice begins to read when the
        last one expires. All 3,300 routes take 1.2 s on a link of 2.5 Mbit/s, which
        made a version 0.03 s late, so a node whose reads are slow begins earlier.
        """
        remaining = self.act_within - self.delay_seconds - self.read_seconds
        shortest = MIN_VALID_INTERVALS * self.confirm_interval
        return max(min(self.valid_seconds, remaining), shortest)

    @property
    def valid_until(self) -> float:
        """Return until when the readers' last confirmation is valid."""
        latest = self.complete_as_of + MAX_STALENESS_RATIO * self.act_within
        return min(self.confirmed_at + self.confirmation_seconds, latest)
