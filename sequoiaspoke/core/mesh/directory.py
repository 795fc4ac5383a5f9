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
from sequoiaspoke.core.mesh.lapses import Lapses
from sequoiaspoke.core.mesh.model import Departure
from sequoiaspoke.core.mesh.records import DepartureRecord, EndpointRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Published
    from sequoiaspoke.core.mesh.records import EndpointGroup

# Seconds for which an instance that left is remembered, so that late news from a
# lagging node does not bring it back; beyond any drain and any lag of a peer.
DEPARTURE_KEEP_SECONDS = 60.0


class Directory:
    """The endpoints in force at this node.

    Attributes
    ----------
    records : dict of str to EndpointRecord
        By instance; those draining, those kept through a lapse and those whose entry
        cannot be read included.
    lapses : Lapses
        Which of them are kept although they vanished around an outage.
    departures : dict of str to DepartureRecord
        The instances that left.
    serial : int
        Count of the changes made here; others are told those since a count.
    last_changed : dict of str to int
        The count at each instance's last change.
    complete_to : int
        Revision up to which every entry of the store is known here.
    grouping : Grouping
        The same endpoints by service and by VM.
    """

    def __init__(self) -> None:
        self.records: dict[str, EndpointRecord] = {}
        self.lapses = Lapses()
        self.departures: dict[str, DepartureRecord] = {}
        self.grouping = Grouping()
        self.serial = 0
        self.last_changed: dict[str, int] = {}
        self.complete_to = 0

    def put(
        self,
        endpoint: Endpoint,
        revision: int,
        now: float,
        from_peer: bool = False,
        readable: bool = True,
    ) -> bool:
        """Take a published entry; return whether it changed anything.

        Parameters
        ----------
        from_peer : bool
            Whether another node told it, which may know less than this one.
        """
        known = self.records.get(endpoint.instance)
        if from_peer and known is None and revision <= self.complete_to:
            # It was there once and has been removed since. A node that has just
            # started and read the store does not remember the removal; taken from one
            # that lags, the entry would stay for good.
            return False
        if known is not None and not known.superseded_by(endpoint, revision):
            return False
        departed = self.departures.get(endpoint.instance)
        if departed is not None and not departed.departure.allows(endpoint, revision):
            return False
        self.departures.pop(endpoint.instance, None)
        self.lapses.drop(endpoint.instance)
        cold_until = now + endpoint.cold_seconds
        self.records[endpoint.instance] = EndpointRecord(
            endpoint, revision, readable, cold_until
        )
        self.note_change(endpoint.instance)
        return True

    def mark_unreadable(self, instance: str, revision: int) -> bool:
        """Note that an entry cannot be read any more; return whether that is news."""
        known = self.records.get(instance)
        if known is None or known.revision >= revision:
            return False
        self.records[instance] = replace(known, revision=revision, readable=False)
        self.lapses.drop(instance)
        self.note_change(instance)
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
        known = self.records.get(instance)
        if known is not None and known.revision > revision:
            return False
        departed = self.departures.get(instance)
        if (
            known is None
            and departed is not None
            and departed.departure.revision >= revision
        ):
            # Told once more. Two nodes that tell each other of every change would
            # otherwise do so for ever.
            return False
        unreliable = not trusted and self.lapses.removals_unreliable(now)
        if known is not None and unreliable and not known.endpoint.draining:
            self.lapses.keep(instance, revision, now)
            return False
        self.forget(instance, revision, now)
        return known is not None

    def reconcile(
        self,
        listed: Iterable[Published],
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
        listed_instances = set()
        changed = False
        for each in listed:
            listed_instances.add(each.endpoint.instance)
            changed |= self.put(
                each.endpoint, each.revision, now, trusted, each.readable
            )
        for instance, written in unreadable:
            listed_instances.add(instance)
            changed |= self.mark_unreadable(instance, written)
        for instance in sorted(self.records.keys() - listed_instances):
            changed |= self.remove(instance, revision, now, trusted)
        return changed

    def forget(self, instance: str, revision: int, now: float) -> None:
        """Drop an endpoint and remember that it left."""
        known = self.records.pop(instance, None)
        self.lapses.drop(instance)
        self.departures[instance] = DepartureRecord(
            self.departure_of(instance, known, revision), now
        )
        self.note_change(instance)

    def apply_departure(self, departure: Departure, now: float) -> None:
        """Take the end of an entry from another node that reads a healthy store."""
        self.remove(departure.instance, departure.revision, now, trusted=True)
        departed = self.departures.get(departure.instance)
        if departed is not None and departed.departure.born <= departure.born:
            # The other may have known the start, or its leaving, and this node not.
            revision = max(departed.departure.revision, departure.revision)
            merged = replace(departure, revision=revision)
            self.departures[departure.instance] = DepartureRecord(
                merged, departed.learned_at
            )

    def departure_of(
        self, instance: str, known: EndpointRecord | None, revision: int
    ) -> Departure:
        """Return the end of an entry, with what is known of the start it was of."""
        if known is not None:
            endpoint = known.endpoint
            return Departure(instance, endpoint.born, revision, endpoint.draining)
        before = self.departures.get(instance)
        if before is None:
            return Departure(instance, 0, revision)
        return replace(before.departure, revision=revision)

    def note_change(self, instance: str) -> None:
        """Note a change."""
        self.serial += 1
        self.last_changed[instance] = self.serial

    def changed_since(
        self, serial: int
    ) -> tuple[list[EndpointRecord], list[Departure]]:
        """Return the entries taken, and the instances gone, since a count."""
        records = [
            each
            for name, each in self.records.items()
            if self.last_changed[name] > serial
        ]
        departures = [
            departed.departure
            for name, departed in self.departures.items()
            if self.last_changed[name] > serial
        ]
        return records, departures

    def lapsing(self) -> list[Departure]:
        """Return the entries that vanished and are kept for now."""
        return [
            self.departure_of(name, self.records[name], revision)
            for name, revision in self.lapses.vanished_at.items()
        ]

    def expire(self, now: float) -> list[str]:
        """Drop what stayed long enough; return the instances."""
        due = self.lapses.due(now)
        for instance in due:
            self.forget(instance, self.lapses.vanished_at[instance], now)
        # The first is the one that left first, but for a few that left again.
        while self.departures:
            instance, departed = next(iter(self.departures.items()))
            if departed.learned_at + DEPARTURE_KEEP_SECONDS >= now:
                break
            del self.departures[instance]
            del self.last_changed[instance]
        return due

    def grouped(self) -> Grouping:
        """Return the endpoints by service and by VM."""
        self.grouping.refresh(self.records, self.serial)
        return self.grouping

    def group(self, service: str) -> EndpointGroup:
        """Return the endpoints of a service that take new calls."""
        return self.grouped().service(service)

    def serving(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that take new calls."""
        return self.group(service).endpoints

    def at_host(self, host: str) -> tuple[Endpoint, ...]:
        """Return the endpoints on a VM, those that leave included."""
        return self.grouped().hosts.get(host, ())

    def host_count(self) -> int:
        """Return on how many VMs there are endpoints."""
        return len(self.grouped().hosts)

    def is_cold(self, instance: str, now: float) -> bool:
        """Return whether an endpoint is still slow after its start."""
        record = self.records.get(instance)
        return record is not None and record.cold_until > now

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether a start drains or has left, as far as is known.

        One that was replaced by a later start under its name has not: a call that was
        sent to it and has not run can run there.
        """
        record = self.records.get(incarnation.instance)
        if record is not None:
            return record.endpoint.draining and record.endpoint.born >= incarnation.born
        departed = self.departures.get(incarnation.instance)
        return departed is not None and departed.departure.born >= incarnation.born

    def at_address(self, host: str, port: int) -> Endpoint | None:
        """Return the endpoint at an address, the latest if entries of two stand."""
        found = [
            self.records[endpoint.instance]
            for endpoint in self.at_host(host)
            if endpoint.port == port
        ]
        latest = max(
            found,
            key=lambda record: (record.endpoint.born, record.revision),
            default=None,
        )
        return latest.endpoint if latest else None
