"""Keep the endpoints that the platform publishes, through its outages.

The platform drops the entry of an upstream that has been silent, also while the
store is away and the upstream cannot report. Taken at its word, a store that
returns after an outage would empty whole services of upstreams that run well,
until each has reported again. So an entry that vanishes during an outage or just
after it stays for a while; one that is still missing then is gone. An entry
that vanishes from a healthy store is gone at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.model import Endpoint

# Seconds after the store's return for which a vanished entry stays: upstreams
# that live have reported again within two, and reading takes a moment.
LAPSE_GRACE = 2.2
# Seconds without a confirmation by the store, to this node or to one that tells it,
# from which the store is taken to have been away: upstreams report each 1.5 s and lapse
# after three reports that were missed, so that a shorter absence lapses none. A
# node that alone was cut off hears the others' confirmations all the while.
LAPSE_GAP = 2.0
# Seconds for which an instance that left is remembered, so that late news from a
# lagging node does not bring it back; beyond any drain and any lag of a peer.
GONE_MEMORY = 60.0


@dataclass(frozen=True)
class Held:
    """An endpoint and the revision of the store at which it was written."""

    endpoint: Endpoint
    revision: int
    cold_until: float

    def cold_left(self, now: float) -> float:
        """Return how many more seconds the endpoint stays slow."""
        return max(0.0, self.cold_until - now)


class Directory:
    """The endpoints in force at this node.

    Attributes
    ----------
    held : dict of str to Held
        By instance, those draining and those kept through a lapse included.
    lapsing : dict of str to float
        When to give up on the entries that vanished around an outage.
    vanished : dict of str to int
        Revision at which each of them vanished.
    gone : dict of str to tuple of int and float
        Revision of the removal of instances that left, and when it was learnt.
    serial : int
        Count of the changes made here; others are told those since a count.
    marks : dict of str to int
        The count at each instance's last change.
    complete_to : int
        Revision up to which every entry of the store is known here.
    """

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}
        self.lapsing: dict[str, float] = {}
        self.vanished: dict[str, int] = {}
        self.gone: dict[str, tuple[int, float]] = {}
        self.by_service: dict[str, tuple[Endpoint, ...]] = {}
        self.serial = 0
        self.marks: dict[str, int] = {}
        self.complete_to = 0
        self.outage = False
        self.returned = float("-inf")

    def put(
        self, endpoint: Endpoint, revision: int, now: float, told: bool = False
    ) -> bool:
        """Take a published entry; return whether it changed anything.

        Parameters
        ----------
        told : bool
            Whether another node told it, which may know less than this one.
        """
        known = self.held.get(endpoint.instance)
        if told and known is None and revision <= self.complete_to:
            # It was there once and has been removed since. A node that has just
            # started and read the store does not remember the removal; taken from one
            # that lags, the entry would stay for good.
            return False
        if known is not None and known.revision >= revision:
            return False
        if self.gone.get(endpoint.instance, (0, 0.0))[0] >= revision:
            return False
        if known is not None and known.endpoint.draining and not endpoint.draining:
            # A published leave is not taken back by a late report.
            return False
        self.gone.pop(endpoint.instance, None)
        self.lapsing.pop(endpoint.instance, None)
        self.vanished.pop(endpoint.instance, None)
        cold_until = now + endpoint.cold_seconds
        self.held[endpoint.instance] = Held(endpoint, revision, cold_until)
        self.mark(endpoint.instance)
        return True

    def remove(
        self, instance: str, revision: int, now: float, trusted: bool = False
    ) -> bool:
        """Take a removal; return whether the endpoint is gone now.

        Parameters
        ----------
        trusted : bool
            Whether the removal comes from a node that reads a healthy store.
        """
        known = self.held.get(instance)
        if known is not None and known.revision > revision:
            return False
        if known is None and self.gone.get(instance, (-1, 0.0))[0] >= revision:
            # Told once more. Two nodes that tell each other of every change would
            # otherwise do so for ever.
            return False
        doubtful = not trusted and self.unwell(now)
        if known is not None and doubtful and not known.endpoint.draining:
            self.lapsing.setdefault(instance, self.grace_end(now))
            self.vanished[instance] = revision
            return False
        self.forget(instance, revision, now)
        return known is not None

    def reconcile(
        self,
        listed: Iterable[tuple[Endpoint, int]],
        revision: int,
        now: float,
        trusted: bool = False,
    ) -> bool:
        """Take a whole list read at a revision; what it lacks has vanished."""
        names = set()
        changed = False
        for endpoint, written in listed:
            names.add(endpoint.instance)
            changed |= self.put(endpoint, written, now, told=trusted)
        for instance in sorted(self.held.keys() - names):
            changed |= self.remove(instance, revision, now, trusted)
        return changed

    def forget(self, instance: str, revision: int, now: float) -> None:
        """Drop an endpoint and remember that it left."""
        self.held.pop(instance, None)
        self.lapsing.pop(instance, None)
        self.vanished.pop(instance, None)
        self.gone[instance] = (revision, now)
        self.mark(instance)

    def mark(self, instance: str) -> None:
        """Note a change."""
        self.serial += 1
        self.marks[instance] = self.serial
        self.rebuild()

    def changed_since(self, serial: int) -> tuple[list[Held], list[tuple[str, int]]]:
        """Return the entries taken, and the instances gone, since a count."""
        held = [each for name, each in self.held.items() if self.marks[name] > serial]
        gone = [
            (name, revision)
            for name, (revision, _) in self.gone.items()
            if self.marks[name] > serial
        ]
        return held, gone

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
        for instance in self.lapsing:
            self.lapsing[instance] = now + LAPSE_GRACE if away else now

    def unwell(self, now: float) -> bool:
        """Return whether a missing entry says little."""
        return self.outage or now < self.returned + LAPSE_GRACE

    def grace_end(self, now: float) -> float:
        """Return until when an entry that vanishes now stays."""
        if self.outage:
            return float("inf")
        return max(now, self.returned + LAPSE_GRACE)

    def expire(self, now: float) -> list[str]:
        """Drop what stayed long enough; return the instances."""
        due = [name for name, until in self.lapsing.items() if until <= now]
        for instance in due:
            self.forget(instance, self.vanished[instance], now)
        for instance, (_, since) in list(self.gone.items()):
            if since + GONE_MEMORY < now:
                del self.gone[instance]
                del self.marks[instance]
        return due

    def rebuild(self) -> None:
        """Group the endpoints that take new calls by service."""
        groups: dict[str, list[Endpoint]] = {}
        for held in self.held.values():
            if not held.endpoint.draining:
                groups.setdefault(held.endpoint.service, []).append(held.endpoint)
        self.by_service = {name: tuple(group) for name, group in groups.items()}

    def serving(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that take new calls."""
        return self.by_service.get(service, ())

    def cold(self, instance: str, now: float) -> bool:
        """Return whether an endpoint is still slow after its start."""
        held = self.held.get(instance)
        return held is not None and held.cold_until > now

    def left(self, instance: str) -> bool:
        """Return whether an instance drains or has left, as far as is known."""
        held = self.held.get(instance)
        return held.endpoint.draining if held else instance in self.gone
