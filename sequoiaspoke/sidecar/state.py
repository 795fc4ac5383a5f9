"""What a sidecar knows of the platform, from whom and as of when."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.gossip import Gossip
from sequoiaspoke.sidecar.source import ItemDecoder, ItemError, StoreItem
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.model import Endpoint
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.source import Changes

# Age in seconds from which news of other nodes is asked for: above the wait of one
# read of the store and the time in which it is given up.
STALE_SECONDS = 4.2


class MeshState(Gossip):
    """The configuration and endpoints in force here.

    Attributes
    ----------
    table : RouteTable or None
        The newest configuration; it is replaced whole and never by an older one.
    as_of : float
        When the store, or a node that had read it, confirmed all this.
    """

    def __init__(
        self, decoder: ItemDecoder, log: EventLog, changed: Callable[[], None]
    ) -> None:
        self.decoder = decoder
        self.log = log
        self.changed = changed
        self.directory = Directory()
        self.table: RouteTable | None = None
        self.items: dict[str, StoreItem] = {}
        self.config_item: StoreItem | None = None
        self.revision = 0
        self.as_of = float("-inf")
        self.counts: Counter[str] = Counter()

    def age(self, now: float) -> float:
        """Return the seconds since all this was confirmed."""
        return now - self.as_of

    def stale(self, now: float) -> bool:
        """Return whether news may have been missed."""
        return self.age(now) > STALE_SECONDS

    @property
    def complete(self) -> bool:
        """Return whether calls can be decided at all."""
        return self.table is not None and bool(self.directory.held)

    # From the store.

    def take_all(self, read: Changes) -> None:
        """Take every item of the store."""
        self.store_answered()
        now = clock.now()
        endpoints = []
        for item in read.items:
            if self.decoder.kind(item.key) == ItemDecoder.ENDPOINT:
                endpoint = self.decode_endpoint(item)
                if endpoint is not None:
                    endpoints.append((endpoint, item.revision))
            else:
                self.take_item(item, now)
        self.directory.reconcile(endpoints, read.revision, now)
        self.confirmed(read.revision, now)

    def take_changes(self, read: Changes) -> None:
        """Take what has changed in the store."""
        self.store_answered()
        now = clock.now()
        for item in newest_only(read.items):
            self.take_item(item, now)
        self.confirmed(read.revision, now)

    def store_answered(self) -> None:
        """Note that the store can be read."""
        if self.directory.outage:
            self.log.event("store-reached", age=f"{self.age(clock.now()):.1f}")
        self.directory.reached_store(clock.now())

    def store_failed(self, code: str, reason: str) -> None:
        """Note that the store cannot be read."""
        self.counts["store-failed"] += 1
        if not self.directory.outage:
            self.log.event("store-lost", code=code, reason=reason)
        self.directory.lost_store()

    def confirmed(self, revision: int, now: float) -> None:
        """Note up to which revision and as of when everything is known."""
        self.revision = max(self.revision, revision)
        self.as_of = now
        self.changed()

    # Items.

    def take_item(self, item: StoreItem, now: float) -> None:
        """Take one item, new, changed or deleted."""
        kind = self.decoder.kind(item.key)
        if kind == ItemDecoder.CONFIG and item.value is not None:
            self.take_config(item)
        elif kind == ItemDecoder.ENDPOINT and item.value is None:
            self.take_removal(item, now)
        elif kind == ItemDecoder.ENDPOINT:
            endpoint = self.decode_endpoint(item)
            if endpoint is not None and self.directory.put(
                endpoint, item.revision, now
            ):
                self.log.event(
                    "endpoint",
                    instance=endpoint.instance,
                    service=endpoint.service,
                    draining=endpoint.draining,
                    revision=item.revision,
                )

    def take_removal(self, item: StoreItem, now: float) -> None:
        """Take the end of an endpoint's entry."""
        instance = self.decoder.instance(item.key)
        gone = self.directory.remove(instance, item.revision, now)
        self.log.event(
            "endpoint-gone" if gone else "endpoint-missing",
            instance=instance,
            revision=item.revision,
        )

    def decode_endpoint(self, item: StoreItem) -> Endpoint | None:
        """Return an item's endpoint and keep the item, or None if it is no use."""
        assert item.value is not None
        known = self.items.get(item.key)
        if known is not None and known.revision > item.revision:
            return None
        try:
            endpoint = self.decoder.endpoint(item.key, item.value)
        except ItemError as error:
            self.refused(item, error)
            return None
        self.items[item.key] = item
        return endpoint

    def take_config(self, item: StoreItem) -> None:
        """Take a configuration if it is newer and whole."""
        assert item.value is not None
        if self.config_item is not None and item.revision <= self.config_item.revision:
            return
        try:
            config = self.decoder.config(item.value)
        except ItemError as error:
            self.refused(item, error)
            return
        if self.table is not None and config.version <= self.table.config.version:
            self.counts["config-old"] += 1
            return
        self.table = RouteTable(config)
        self.config_item = item
        self.counts["config-taken"] += 1
        self.log.event(
            "config", version=config.version, routes=len(config.routes),
            revision=item.revision,
        )  # fmt: skip

    def refused(self, item: StoreItem, error: ItemError) -> None:
        """Count and log an item that cannot be used."""
        self.counts[error.code] += 1
        self.log.event(
            "item-refused",
            code=error.code,
            key=item.key,
            revision=item.revision,
            reason=str(error),
        )

    # To and from other nodes.

    def uninformed(self) -> bool:
        """Return whether this node knows nothing yet."""
        return not self.complete

    def config_revision(self) -> int:
        """Return the revision of the configuration in force."""
        return self.config_item.revision if self.config_item else 0

    def knowledge_for(self, config_revision: int) -> wire.Knowledge | None:
        """Return the endpoints, and the configuration if it is newer."""
        if not self.complete:
            return None
        held = self.directory.held
        items = [
            wire.Item(item.key, item.value, item.revision)
            for item in self.items.values()
            if self.decoder.instance(item.key) in held
        ]
        if self.config_item is not None and self.config_revision() > config_revision:
            item = self.config_item
            items.append(wire.Item(item.key, item.value, item.revision))
        return wire.Knowledge(self.revision, self.age(clock.now()), items)

    def learn(self, knowledge: wire.Knowledge) -> None:
        """Take another node's knowledge if it is newer than what is known here."""
        now = clock.now()
        as_of = now - knowledge.age
        if as_of <= self.as_of + 0.1:
            return
        endpoints = []
        for told in knowledge.items:
            item = StoreItem(told.key, told.value, told.revision)
            if self.decoder.kind(item.key) == ItemDecoder.CONFIG:
                self.take_config(item)
                continue
            endpoint = self.decode_endpoint(item)
            if endpoint is not None:
                endpoints.append((endpoint, item.revision))
        self.directory.reconcile(endpoints, knowledge.revision, now, trusted=True)
        self.revision = max(self.revision, knowledge.revision)
        self.as_of = as_of
        self.counts["learnt-from-node"] += 1
        self.log.event(
            "learnt-from-node",
            age=f"{knowledge.age:.2f}",
            revision=knowledge.revision,
        )
        self.changed()

    def tick(self, now: float) -> None:
        """Give up on entries that stayed missing after an outage."""
        for instance in self.directory.expire(now):
            self.log.event("endpoint-gone", instance=instance, reason="lapsed")
            self.changed()
        held = self.directory.held
        for key in [k for k in self.items if self.decoder.instance(k) not in held]:
            del self.items[key]


def newest_only(items: tuple[StoreItem, ...]) -> list[StoreItem]:
    """Return the last change of each key, in the order of the changes.

    Versions that were replaced before they were read need not be decoded: in a storm
    of changes that is most of the work.
    """
    newest = {item.key: item for item in items}
    return sorted(newest.values(), key=lambda item: item.revision)
