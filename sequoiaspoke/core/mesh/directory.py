"""Directory of the endpoints that the platform publishes.

An entry that vanishes around an outage of the store is kept for a while (`lapses.py`).

An upstream may restart under the same instance name, and reports of the previous
incarnation may arrive late. Entries are therefore ordered by start time first and by
revision second: an earlier incarnation never replaces a later one, whatever its
revision. A removal names no incarnation; it ends whatever was written before it.

If another writer overwrites an entry with data that cannot be parsed, the endpoint
gets no new calls, but it does not count as departed: its home finishes the calls that
it has and accepts those already sent to it. The upstream's next report, a second or
two later, restores the entry.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.grouping import Grouping
from sequoiaspoke.core.mesh.lapses import Lapses
from sequoiaspoke.core.mesh.model import Departure
from sequoiaspoke.core.mesh.records import DepartureRecord, EndpointRecord
from sequoiaspoke.core.mesh.revision import is_copied

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, PublishedEndpoint
    from sequoiaspoke.core.mesh.records import EndpointGroup

# Seconds for which a departure is remembered, so that a late update from a lagging node
# does not restore the endpoint. Longer than any drain and any lag of a peer.
DEPARTURE_KEEP_SECONDS = 60.0


class Directory:
    """The endpoints known to this node.

    Attributes
    ----------
    records : dict of str to EndpointRecord
        By instance; includes endpoints that drain, lapse or have an unreadable entry.
    lapses : Lapses
        Entries that vanished around an outage and are kept for now.
    departures : dict of str to DepartureRecord
        Instances that departed recently.
    serial : int
        Number of changes so far; peers are sent the changes since a serial.
    last_changed : dict of str to int
        Serial of each instance's last change.
    complete_to : int
        Revision up to which this node has seen every entry of the store.
    gaps : int
        Number of complete lists so far that skipped revisions. Peers need a complete
        list after each of them.
    grouping : Grouping
        The endpoints by service and by VM.
    """

    def __init__(self) -> None:
        self.records: dict[str, EndpointRecord] = {}
        self.lapses = Lapses()
        self.departures: dict[str, DepartureRecord] = {}
        self.grouping = Grouping()
        self.serial = 0
        self.last_changed: dict[str, int] = {}
        self.complete_to = 0
        self.gaps = 0

    def put(
        self,
        endpoint: Endpoint,
        revision: int,
        now: float,
        from_peer: bool = False,
        readable: bool = True,
    ) -> bool:
        """Apply a published entry; return whether it changed anything.

        Parameters
        ----------
        from_peer : bool
            Whether the entry comes from another node, which may lag behind this one.
        """
        known = self.records.get(endpoint.instance)
        if from_peer and known is None and revision <= self.complete_to:
            # This entry was removed before. A node that has just started and read the
            # store has no record of the removal; if it accepted the entry from a
            # lagging peer, nothing would ever remove it again.
            return False
        if known is not None and not known.superseded_by(endpoint, revision):
            return False
        departed = self.departures.get(endpoint.instance)
        if departed is not None and not departed.allows(endpoint, revision):
            return False
        self.departures.pop(endpoint.instance, None)
        self.lapses.drop(endpoint.instance)
        cold_until = now + endpoint.cold_seconds
        if known is not None and is_copied(revision, known.revision):
            # The remaining time in a copy of the entry is from before.
            cold_until = known.cold_until
        if known is not None and known.endpoint.born == endpoint.born:
            revision = max(revision, known.revision)
        self.records[endpoint.instance] = EndpointRecord(
            endpoint, revision, readable, cold_until
        )
        self.note_change(endpoint.instance)
        return True

    def mark_unreadable(self, instance: str, revision: int) -> bool:
        """Mark an entry as unreadable; return whether that changed anything."""
        known = self.records.get(instance)
        if known is None or known.revision >= revision:
            return False
        self.records[instance] = replace(known, revision=revision, readable=False)
        self.lapses.drop(instance)
        self.note_change(instance)
        return True

    def mark_draining(self, incarnation: Incarnation) -> bool:
        """Record that an incarnation has said itself that it leaves.

        Its entry may not show it: it is changed later, at another place or not at all.
        Return whether that was not known yet.
        """
        instance = incarnation.instance
        known = self.records.get(instance)
        departed = self.departures.get(instance)
        if known is not None:
            if known.endpoint.born != incarnation.born or known.endpoint.draining:
                return False
            endpoint = replace(known.endpoint, draining=True)
            self.records[instance] = replace(known, endpoint=endpoint)
        elif departed is not None:
            departure = departed.departure
            if departure.born != incarnation.born or departure.drained:
                return False
            departure = replace(departure, drained=True)
            self.departures[instance] = replace(departed, departure=departure)
        else:
            return False
        self.note_change(instance)
        return True

    def remove(
        self, instance: str, revision: int, now: float, trusted: bool = False
    ) -> bool:
        """Apply a removal; return whether it dropped the endpoint.

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
            # Already known. If it counted as a change, two nodes that forward every
            # change to each other would do so forever.
            return False
        unreliable = not trusted and self.lapses.removals_unreliable(now)
        if known is not None and unreliable and not known.endpoint.draining:
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
        """Apply a complete list read at a revision; missing entries are removed.

        Parameters
        ----------
        unreadable : iterable of str and int
            Instance and revision of each listed entry that cannot be parsed.
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
        # An entry that was written and removed in the skipped revisions is not known
        # here, so its removal is not among the changes.
        self.gaps += revision > self.complete_to
        return changed

    def forget(self, instance: str, revision: int, now: float) -> None:
        """Drop an endpoint and record its departure."""
        known = self.records.pop(instance, None)
        before = self.departures.get(instance)
        written = known.revision if known else before.written if before else 0
        self.lapses.drop(instance)
        self.departures[instance] = DepartureRecord(
            self.departure_of(instance, known, revision), now, written
        )
        self.note_change(instance)

    def apply_departure(self, departure: Departure, now: float) -> None:
        """Apply a departure from another node that reads a healthy store."""
        self.remove(departure.instance, departure.revision, now, trusted=True)
        departed = self.departures.get(departure.instance)
        if departed is not None and departed.departure.born <= departure.born:
            # The peer may have known the incarnation or its drain, which this node
            # missed.
            revision = max(departed.departure.revision, departure.revision)
            merged = replace(departure, revision=revision)
            self.departures[departure.instance] = replace(departed, departure=merged)

    def departure_of(
        self, instance: str, known: EndpointRecord | None, revision: int
    ) -> Departure:
        """Return the departure of an entry, with what is known of its incarnation."""
        if known is not None:
            endpoint = known.endpoint
            return Departure(instance, endpoint.born, revision, endpoint.draining)
        before = self.departures.get(instance)
        if before is None:
            return Departure(instance, 0, revision)
        return replace(before.departure, revision=revision)

    def note_change(self, instance: str) -> None:
        """Advance the serial and record it for a changed instance."""
        self.serial += 1
        self.last_changed[instance] = self.serial

    def changed_since(
        self, serial: int
    ) -> tuple[list[EndpointRecord], list[Departure]]:
        """Return the entries and departures that changed after a serial."""
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
        """Return departures of the entries that vanished but are still kept."""
        return [
            self.departure_of(name, self.records[name], revision)
            for name, revision in self.lapses.vanished_at.items()
        ]

    def expire(self, now: float) -> list[str]:
        """Drop expired lapses and departures; return the lapsed instances."""
        due = self.lapses.due(now)
        for instance in due:
            self.forget(instance, self.lapses.vanished_at[instance], now)
        # Insertion order is departure order, except for instances that departed again.
        while self.departures:
            instance, departed = next(iter(self.departures.items()))
            if departed.learned_at + DEPARTURE_KEEP_SECONDS >= now:
                break
            del self.departures[instance]
            del self.last_changed[instance]
        return due

    def grouped(self) -> Grouping:
        """Return the up-to-date endpoints by service and by VM."""
        self.grouping.refresh(self.records, self.serial)
        return self.grouping

    def group(self, service: str) -> EndpointGroup:
        """Return the endpoints of a service that take new calls."""
        return self.grouped().service(service)

    def serving(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that take new calls."""
        return self.group(service).endpoints

    def at_host(self, host: str) -> tuple[Endpoint, ...]:
        """Return the endpoints on a VM, including those that drain."""
        return self.grouped().hosts.get(host, ())

    def host_count(self) -> int:
        """Return the number of VMs with endpoints."""
        return len(self.grouped().hosts)

    def is_cold(self, instance: str, now: float) -> bool:
        """Return whether an endpoint is still in its cold start."""
        record = self.records.get(instance)
        return record is not None and record.cold_until > now

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to drain or to have departed.

        False if a later incarnation of the same instance serves: a call that was sent
        to the earlier one and has not run can run there.
        """
        record = self.records.get(incarnation.instance)
        if record is not None:
            return record.endpoint.draining and record.endpoint.born >= incarnation.born
        departed = self.departures.get(incarnation.instance)
        return departed is not None and departed.departure.born >= incarnation.born

    def is_draining(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation has announced that it leaves."""
        record = self.records.get(incarnation.instance)
        if record is not None:
            return record.endpoint.draining and record.endpoint.born == incarnation.born
        departed = self.departures.get(incarnation.instance)
        if departed is None or departed.departure.born != incarnation.born:
            return False
        return departed.departure.drained

    def at_address(self, host: str, port: int) -> Endpoint | None:
        """Return the endpoint at an address, the latest if several entries name it."""
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
