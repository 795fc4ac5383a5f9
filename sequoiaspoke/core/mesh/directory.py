"""Keep the endpoints that the platform publishes, through its outages.

An entry that vanishes around an outage of the store stays for a while (`lapses.py`).

An upstream may start again under its name, and what was sent before may be written or
told late. So the time of the start goes first and the revision second: nothing of an
earlier start replaces a later one, whatever its revision. The end of an entry names no
start; it ends what was written before it.

Somebody else may write over an entry so that it cannot be read. It names no upstream
that could be chosen then, and the one that stood there gets no new calls; it has not
left, so that its home goes on with the calls it has and takes those under way to it.
Its next report, a second or two later, brings it back.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.grouping import Grouping
from sequoiaspoke.core.mesh.held import Held, Left
from sequoiaspoke.core.mesh.lapses import Lapses
from sequoiaspoke.core.mesh.model import Departure

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.held import Group
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, PublishedEndpoint

# Seconds for which an instance that left is remembered, so that late news from a
# lagging node does not bring it back; beyond any drain and any lag of a peer.
GONE_MEMORY = 60.0


class Directory:
    """The endpoints in force at this node.

    Attributes
    ----------
    held : dict of str to Held
        By instance; those draining, those kept through a lapse and those whose entry
        cannot be read included.
    lapses : Lapses
        Which of them are kept although they vanished around an outage.
    gone : dict of str to Left
        The instances that left.
    serial : int
        Count of the changes made here; others are told those since a count.
    marks : dict of str to int
        The count at each instance's last change.
    complete_to : int
        Revision up to which every entry of the store is known here.
    grouping : Grouping
        The same endpoints by service and by VM.
    """

    def __init__(self) -> None:
        self.held: dict[str, Held] = {}
        self.lapses = Lapses()
        self.gone: dict[str, Left] = {}
        self.grouping = Grouping()
        self.serial = 0
        self.marks: dict[str, int] = {}
        self.complete_to = 0

    def put(
        self,
        endpoint: Endpoint,
        revision: int,
        now: float,
        told: bool = False,
        readable: bool = True,
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
        if known is not None and not known.superseded_by(endpoint, revision):
            return False
        left = self.gone.get(endpoint.instance)
        if left is not None and not left.departure.allows(endpoint, revision):
            return False
        self.gone.pop(endpoint.instance, None)
        self.lapses.drop(endpoint.instance)
        cold_until = now + endpoint.cold_seconds
        self.held[endpoint.instance] = Held(endpoint, revision, readable, cold_until)
        self.mark(endpoint.instance)
        return True

    def obscure(self, instance: str, revision: int) -> bool:
        """Note that an entry cannot be read any more; return whether that is news."""
        known = self.held.get(instance)
        if known is None or known.revision >= revision:
            return False
        self.held[instance] = replace(known, revision=revision, readable=False)
        self.lapses.drop(instance)
        self.mark(instance)
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
        left = self.gone.get(instance)
        if known is None and left is not None and left.departure.revision >= revision:
            # Told once more. Two nodes that tell each other of every change would
            # otherwise do so for ever.
            return False
        doubtful = not trusted and self.lapses.unwell(now)
        if known is not None and doubtful and not known.endpoint.draining:
            self.lapses.keep(instance, revision, now)
            return False
        self.forget(instance, revision, now)
        return known is not None

    def reconcile(
        self,
        listed: Iterable[PublishedEndpoint],
        revision: int,
        now: float,
        trusted: bool = False,
        unreadable: Iterable[tuple[str, int]] = (),
    ) -> bool:
        """Take a whole list read at a revision; what it lacks has vanished.

        Parameters
        ----------
        unreadable : iterable of str and int
            Instances that are listed with an entry that cannot be read.
        """
        names = set()
        changed = False
        for each in listed:
            names.add(each.endpoint.instance)
            changed |= self.put(
                each.endpoint, each.revision, now, trusted, each.readable
            )
        for instance, written in unreadable:
            names.add(instance)
            changed |= self.obscure(instance, written)
        for instance in sorted(self.held.keys() - names):
            changed |= self.remove(instance, revision, now, trusted)
        return changed

    def forget(self, instance: str, revision: int, now: float) -> None:
        """Drop an endpoint and remember that it left."""
        known = self.held.pop(instance, None)
        self.lapses.drop(instance)
        self.gone[instance] = Left(self.departure(instance, known, revision), now)
        self.mark(instance)

    def take_departure(self, departure: Departure, now: float) -> None:
        """Take the end of an entry from another node that reads a healthy store."""
        self.remove(departure.instance, departure.revision, now, trusted=True)
        left = self.gone.get(departure.instance)
        if left is not None and left.departure.born <= departure.born:
            # The other may have known the start, or its leaving, and this node not.
            revision = max(left.departure.revision, departure.revision)
            merged = replace(departure, revision=revision)
            self.gone[departure.instance] = Left(merged, left.when)

    def departure(self, instance: str, known: Held | None, revision: int) -> Departure:
        """Return the end of an entry, with what is known of the start it was of."""
        if known is not None:
            endpoint = known.endpoint
            return Departure(instance, endpoint.born, revision, endpoint.draining)
        before = self.gone.get(instance)
        if before is None:
            return Departure(instance, 0, revision)
        return replace(before.departure, revision=revision)

    def mark(self, instance: str) -> None:
        """Note a change."""
        self.serial += 1
        self.marks[instance] = self.serial

    def changed_since(self, serial: int) -> tuple[list[Held], list[Departure]]:
        """Return the entries taken, and the instances gone, since a count."""
        held = [each for name, each in self.held.items() if self.marks[name] > serial]
        gone = [
            left.departure
            for name, left in self.gone.items()
            if self.marks[name] > serial
        ]
        return held, gone

    def doubted(self) -> list[Departure]:
        """Return the entries that vanished and are kept for now."""
        return [
            self.departure(name, self.held[name], revision)
            for name, revision in self.lapses.vanished.items()
        ]

    def expire(self, now: float) -> list[str]:
        """Drop what stayed long enough; return the instances."""
        due = self.lapses.due(now)
        for instance in due:
            self.forget(instance, self.lapses.vanished[instance], now)
        # The first is the one that left first, but for a few that left again.
        while self.gone:
            instance, left = next(iter(self.gone.items()))
            if left.when + GONE_MEMORY >= now:
                break
            del self.gone[instance]
            del self.marks[instance]
        return due

    def grouped(self) -> Grouping:
        """Return the endpoints by service and by VM."""
        self.grouping.refresh(self.held, self.serial)
        return self.grouping

    def group(self, service: str) -> Group:
        """Return the endpoints of a service that take new calls."""
        return self.grouped().service(service)

    def serving(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that take new calls."""
        return self.group(service).endpoints

    def at_host(self, host: str) -> tuple[Endpoint, ...]:
        """Return the endpoints on a VM, those that leave included."""
        return self.grouped().hosts.get(host, ())

    def hosts(self) -> int:
        """Return on how many VMs there are endpoints."""
        return len(self.grouped().hosts)

    def cold(self, instance: str, now: float) -> bool:
        """Return whether an endpoint is still slow after its start."""
        held = self.held.get(instance)
        return held is not None and held.cold_until > now

    def left(self, incarnation: Incarnation) -> bool:
        """Return whether a start drains or has left, as far as is known.

        One that was replaced by a later start under its name has not: a call that was
        sent to it and has not run can run there.
        """
        held = self.held.get(incarnation.instance)
        if held is not None:
            return held.endpoint.draining and held.endpoint.born >= incarnation.born
        left = self.gone.get(incarnation.instance)
        return left is not None and left.departure.born >= incarnation.born

    def at(self, host: str, port: int) -> Endpoint | None:
        """Return the endpoint at an address, the latest if entries of two stand."""
        found = [
            self.held[endpoint.instance]
            for endpoint in self.at_host(host)
            if endpoint.port == port
        ]
        latest = max(
            found, key=lambda held: (held.endpoint.born, held.revision), default=None
        )
        return latest.endpoint if latest else None
