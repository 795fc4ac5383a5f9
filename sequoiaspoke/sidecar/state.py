"""State of the platform as one sidecar knows it, with its revision and age."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.configdelta import ConfigHistory
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.evacuation import Evacuations
from sequoiaspoke.core.mesh.lapses import LAPSE_GRACE
from sequoiaspoke.core.mesh.model import PublishedEndpoint
from sequoiaspoke.core.mesh.revision import describe, era_of
from sequoiaspoke.core.mesh.stateupdate import StateUpdate
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.changelog import log_endpoints, log_evacuations
from sequoiaspoke.sidecar.items import ItemParser
from sequoiaspoke.sidecar.source import ItemDecoder, StoreItem

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.source import Changes

# Age in seconds from which other nodes are asked for newer state: above the time after
# which a node with silent readers reads the store itself.
STALE_SECONDS = 2.5
# Default of `MeshState.max_no_route_age`: below the 2 s within which a version must be
# in force, above the second or so between two confirmations of a reader.
DEFAULT_MAX_NO_ROUTE_AGE = 1.5


class MeshState:
    """The configuration, endpoints and evacuations that this node knows.

    Attributes
    ----------
    table : RouteTable or None
        The configuration in force; replaced as a whole and never by an older one.
    as_of : float
        When this state was last known to be all that the store has, confirmed by the
        store or by a node that reads it.
    answered_at : float
        When the store last answered this node or one that reported it, even with
        changes that are not read yet.
    read_at : float
        When the store last answered this node itself.
    max_no_route_age : float
        Maximum age in seconds of a state by which a call is answered that it has no
        route. Older state may lack a new route.
    on_change : callable
        Called when the state has changed or was confirmed by the store.
    """

    def __init__(
        self, decoder: ItemDecoder, log: EventLog, on_change: Callable[[], None]
    ) -> None:
        self.decoder = decoder
        self.log = log
        self.on_change = on_change
        self.directory = Directory()
        self.evacuations = Evacuations()
        self.table: RouteTable | None = None
        self.history = ConfigHistory()
        self.config_revision = 0
        self.revision = 0
        self.as_of = float("-inf")
        self.answered_at = float("-inf")
        self.max_no_route_age = DEFAULT_MAX_NO_ROUTE_AGE
        self.read_at = float("-inf")
        self.store_failed_at = float("-inf")
        self.installed_at = 0.0
        self.counts: Counter[str] = Counter()
        self.item_parser = ItemParser(decoder, log, self.counts)

    def age(self, now: float) -> float:
        """Return the seconds since this state was known to be complete."""
        return now - self.as_of

    def stale(self, now: float) -> bool:
        """Return whether changes may have been missed."""
        return self.age(now) > STALE_SECONDS

    def may_lack_route(self, now: float) -> bool:
        """Return whether a route may be in force that this node does not know yet.

        A caller that is told that there is no route does not retry. When versions
        follow each other quickly on slow links, one may take almost 3 s to arrive here,
        while the store answers the readers all along; so `answered_at` does not decide.
        """
        return self.age(now) > self.max_no_route_age

    def members(self) -> list[Endpoint]:
        """Return the endpoints whose nodes take part in the mesh.

        A directory entry of another writer may be valid and name an unknown service.
        If two such entries were included, they could be chosen as the readers of a
        zone, and no node would read the store for it.
        """
        endpoints = [each.endpoint for each in self.directory.records.values()]
        if self.table is None:
            return endpoints
        services = self.table.config.services
        return [each for each in endpoints if each.service in services]

    @property
    def complete(self) -> bool:
        """Return whether there is a configuration and at least one endpoint."""
        return self.table is not None and bool(self.directory.records)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        return self.table.config.version if self.table else 0

    # Changes read from the store.

    def apply_snapshot(self, changes: Changes) -> None:
        """Apply a read of all items of the store."""
        self.record_store_answer()
        now = clock.now()
        self.enter_era(changes.revision, now)
        endpoints: list[PublishedEndpoint] = []
        unreadable: list[tuple[str, int]] = []
        for item in changes.items:
            if self.decoder.kind(item.key) != ItemDecoder.ENDPOINT:
                self.apply_item(item, now)
                continue
            endpoint = self.item_parser.endpoint(item)
            if endpoint is not None:
                endpoints.append(PublishedEndpoint(endpoint, item.revision))
            else:
                unreadable.append((self.decoder.instance(item.key), item.revision))
        before = self.directory.serial
        self.directory.reconcile(
            endpoints, changes.revision, now, unreadable=unreadable
        )
        self.end_missing_evacuations(changes)
        log_endpoints(self.log, self.directory, before, "store")
        self.record_complete(changes.revision, now)

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes read from the store."""
        self.record_store_answer()
        now = clock.now()
        before = self.directory.serial
        for item in latest_per_key(changes.items):
            self.apply_item(item, now)
        self.end_missing_evacuations(changes)
        log_endpoints(self.log, self.directory, before, "store")
        self.record_complete(changes.revision, now)

    def apply_endpoint_changes(self, changes: Changes, begun: float) -> None:
        """Apply changes of endpoints only, read by a request sent at `begun`.

        Other items may have changed up to the same revision, so the state is not
        complete up to it.
        """
        self.record_store_answer()
        before = self.directory.serial
        for item in latest_per_key(changes.items):
            self.apply_item(item, clock.now())
        log_endpoints(self.log, self.directory, before, "store")
        self.record_revision(changes.revision, begun)

    def record_revision(self, revision: int, when: float) -> None:
        """Record the revision that the store had at a time."""
        if revision > self.revision:
            # There are unread changes. Subscribers still learn that this node reads.
            self.record_own_read(when)
        else:
            self.record_complete_as_of(when)

    def record_store_answer(self, when: float | None = None) -> None:
        """Record that the store answered this node now, or another node at a time."""
        now = clock.now()
        when = now if when is None else when
        if self.directory.lapses.outage:
            self.log.event("store-reached", age=f"{self.age(now):.1f}")
        answered_before = self.answered_at > float("-inf")
        gap = when - self.answered_at if answered_before else 0.0
        self.answered_at = max(self.answered_at, when)
        self.directory.lapses.store_reached(when, gap)

    def enter_era(self, revision: int, now: float) -> None:
        """Note that the store came back from an older copy, if it did.

        The copy lacks the latest changes until they are written again, so what is
        missing in it is kept for a while.
        """
        if era_of(revision) <= era_of(self.revision) or not self.revision:
            return
        self.log.event(
            "store-restored", revision=describe(revision), known=describe(self.revision)
        )
        self.directory.lapses.recovered_at = now
        self.evacuations.keep_until = now + LAPSE_GRACE

    def record_store_failure(self, code: str, reason: str) -> None:
        """Record that a read of the store failed."""
        self.counts["store-failed"] += 1
        if not self.directory.lapses.outage:
            self.log.event("store-lost", code=code, reason=reason)
        self.store_failed_at = clock.now()
        self.directory.lapses.store_lost()

    def record_complete(self, revision: int, now: float) -> None:
        """Record that the state is complete up to a revision, as of a time."""
        self.advance_revision(revision)
        self.record_complete_as_of(now)

    def advance_revision(self, revision: int) -> None:
        """Record that the state is complete up to a revision."""
        self.revision = max(self.revision, revision)
        self.directory.complete_to = self.revision
        self.evacuations.complete_to = self.revision

    def record_complete_as_of(self, when: float) -> None:
        """Record that the state was complete when the store answered this node."""
        self.as_of = max(self.as_of, when)
        self.record_own_read(when)

    def record_own_read(self, when: float) -> None:
        """Record that the store answered this node, with or without changes."""
        self.answered_at = max(self.answered_at, when)
        self.read_at = max(self.read_at, when)
        self.on_change()

    # Items of the store.

    def apply_item(self, item: StoreItem, now: float) -> None:
        """Apply one new, changed or deleted item."""
        kind = self.decoder.kind(item.key)
        if kind == ItemDecoder.CONFIG and item.value is not None:
            self.apply_config_item(item)
        elif kind == ItemDecoder.EVACUATION:
            self.apply_evacuation_item(item)
        elif kind == ItemDecoder.ENDPOINT and item.value is None:
            self.apply_removal(item, now)
        elif kind == ItemDecoder.ENDPOINT:
            endpoint = self.item_parser.endpoint(item)
            if endpoint is not None:
                self.directory.put(endpoint, item.revision, now)
            else:
                self.directory.mark_unreadable(
                    self.decoder.instance(item.key), item.revision
                )

    def apply_evacuation_item(self, item: StoreItem) -> None:
        """Apply the start or end of an evacuation."""
        evacuation = self.item_parser.evacuation(item)
        if evacuation is not None:
            self.evacuations.apply(evacuation)
        self.apply_evacuations("store")

    def end_missing_evacuations(self, changes: Changes) -> None:
        """End the evacuations that are missing from a list of all of them."""
        if not changes.lists_evacuations:
            return
        # An evacuation whose item was overwritten with an invalid one stays in force.
        evacuated_zones = (
            self.decoder.evacuated_zone(item.key)
            for item in changes.items
            if self.decoder.kind(item.key) == ItemDecoder.EVACUATION
            and item.value is not None
        )
        self.evacuations.end_missing(evacuated_zones, changes.revision, clock.now())
        self.apply_evacuations("store")

    def apply_evacuations(self, source: str) -> None:
        """Exclude the endpoints of evacuated zones, and log what changed."""
        grouping, zones = self.directory.grouping, self.evacuations.zones
        before = grouping.excluded_zones
        if zones != before:
            grouping.exclude_zones(zones)
            log_evacuations(self.log, self.directory, before, source)

    def apply_removal(self, item: StoreItem, now: float) -> None:
        """Apply the deletion of an endpoint's entry."""
        instance = self.decoder.instance(item.key)
        removed = self.directory.remove(instance, item.revision, now)
        if not removed and instance in self.directory.lapses.kept_until:
            self.log.event(
                "endpoint-missing",
                instance=instance,
                revision=describe(item.revision),
            )

    def apply_config_item(self, item: StoreItem) -> None:
        """Apply a configuration if it is newer and valid."""
        if item.revision <= self.config_revision:
            if item.revision < self.config_revision:
                self.log.event(
                    "config-dropped",
                    revision=describe(item.revision),
                    known=describe(self.config_revision),
                    version=self.version,
                )
            return
        config = self.item_parser.config(item)
        if config is None:
            return
        if not self.is_newer(config.version):
            self.counts["config-old"] += 1
            return
        self.install(config)
        self.config_revision = item.revision

    def is_newer(self, version: int) -> bool:
        """Return whether a version is newer than the one in force."""
        return self.table is None or version > self.table.config.version

    def install(self, config: MeshConfig) -> None:
        """Add a newer configuration to the history and put it into force."""
        shared = self.history.install(config)
        assert shared is not None
        self.activate(shared)

    def activate(self, config: MeshConfig) -> None:
        """Route calls by a configuration from now on."""
        self.table = RouteTable(config)
        self.installed_at = clock.now()
        self.counts["config-taken"] += 1
        self.log.event("config", version=config.version, routes=len(config.routes))

    # Exchange with other nodes.

    def apply_update(self, update: StateUpdate) -> None:
        """Apply the state of another node where it is newer than this one's.

        Raises KeyError if it has a configuration delta whose base is not known here.
        """
        now = clock.now()
        self.enter_era(update.revision, now)
        if update.config is not None and self.is_newer(update.config.version):
            self.activate(self.history.apply(update.config))
            self.config_revision = update.config_revision
        self.record_remote_answer(update.as_of)
        directory = self.directory
        before = directory.serial
        if update.is_snapshot:
            directory.reconcile(update.endpoints, update.revision, now, trusted=True)
        else:
            for each in update.endpoints:
                directory.put(each.endpoint, each.revision, now, True, each.readable)
        for departure in update.departures:
            directory.apply_departure(departure, now)
        for departure in update.lapsing:
            directory.remove(departure.instance, departure.revision, now)
        if update.evacuations is not None:
            self.evacuations.apply_list(update.evacuations, update.revision, now)
            self.apply_evacuations("node")
        log_endpoints(self.log, self.directory, before, "node")
        self.advance_revision(update.revision)
        self.as_of = max(self.as_of, update.as_of)
        self.on_change()

    def record_remote_answer(self, when: float) -> None:
        """Record that the store answered another node at a time.

        This ends an outage for a node that lost the store and now relies on its
        readers. Otherwise the next entry that vanishes, however much later, would be
        kept as one lost in the outage, and calls sent to an upstream that has left.
        """
        if when > max(self.store_failed_at, self.answered_at):
            self.record_store_answer(when)

    def update_since(self, serial: int, version: int) -> StateUpdate:
        """Return what changed since a serial of the directory and a version."""
        records, departures = self.directory.changed_since(serial)
        now = clock.now()
        return StateUpdate(
            revision=self.revision,
            as_of=self.as_of,
            is_snapshot=serial == 0,
            endpoints=tuple(
                PublishedEndpoint(
                    replace(each.endpoint, cold_seconds=each.cold_remaining(now)),
                    each.revision,
                    each.readable,
                )
                for each in records
            ),
            departures=tuple(departures),
            lapsing=tuple(self.directory.lapsing()),
            config=self.history.delta_since(version),
            config_revision=self.config_revision,
            evacuations=tuple(self.evacuations.latest.values()),
        )

    def tick(self, now: float) -> None:
        """Remove the endpoints whose entries stayed missing after an outage.

        The same holds for evacuations that are missing in a restored store.
        """
        if self.evacuations.end_kept(now):
            self.apply_evacuations("store")
            self.on_change()
        for instance in self.directory.expire(now):
            self.log.event("endpoint-gone", instance=instance, reason="lapsed")
            self.on_change()


def latest_per_key(items: tuple[StoreItem, ...]) -> list[StoreItem]:
    """Return the last change of each key, in the order of the changes.

    So versions that were replaced before they were read are not decoded, which saves
    most of the work when many changes arrive at once.
    """
    newest = {item.key: item for item in items}
    return sorted(newest.values(), key=lambda item: item.revision)
