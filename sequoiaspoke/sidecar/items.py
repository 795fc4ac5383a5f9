"""Decode the store's items for a sidecar, and count and log invalid ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.evacuation import Evacuation
from sequoiaspoke.sidecar.source import ItemError

if TYPE_CHECKING:
    from collections import Counter

    from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.source import ItemDecoder, StoreItem

# Number of keys whose last refused item is remembered, so that it is not logged again
# when all items are read again. Beyond that all are forgotten, at the cost of another
# log line for each.
MAX_REFUSED_KEYS = 1000
# Characters of a key or reason in the log; either may come from another writer.
MAX_LOGGED_LENGTH = 200


class ItemParser:
    """Parses items; an invalid one gives None, and the earlier one stays in force.

    Attributes
    ----------
    refused_at : dict of str to int
        Revision of the last item refused under each key.
    """

    def __init__(
        self, decoder: ItemDecoder, log: EventLog, counts: Counter[str]
    ) -> None:
        self.decoder = decoder
        self.log = log
        self.counts = counts
        self.refused_at: dict[str, int] = {}

    def endpoint(self, item: StoreItem) -> Endpoint | None:
        """Return an item's endpoint, or None if it is invalid."""
        assert item.value is not None
        try:
            return self.decoder.endpoint(item.key, item.value)
        except ItemError as error:
            self.refuse(item, error)
            return None

    def config(self, item: StoreItem) -> MeshConfig | None:
        """Return an item's configuration, or None if it is invalid."""
        assert item.value is not None
        try:
            return self.decoder.config(item.value)
        except ItemError as error:
            self.refuse(item, error)
            return None

    def evacuation(self, item: StoreItem) -> Evacuation | None:
        """Return the evacuation an item starts or ends, or None if it is invalid."""
        zone = self.decoder.evacuated_zone(item.key)
        if item.value is None:
            return Evacuation(zone, item.revision, ended=True)
        try:
            self.decoder.check_evacuation(item.key, item.value)
        except ItemError as error:
            self.refuse(item, error)
            return None
        return Evacuation(zone, item.revision)

    def refuse(self, item: StoreItem, error: ItemError) -> None:
        """Count and log an invalid item, once for each time it was written."""
        if self.refused_at.get(item.key, 0) >= item.revision:
            return
        if len(self.refused_at) >= MAX_REFUSED_KEYS:
            self.refused_at.clear()
        self.refused_at[item.key] = item.revision
        self.counts[error.code] += 1
        self.log.event(
            "item-refused",
            code=error.code,
            key=item.key[:MAX_LOGGED_LENGTH],
            revision=item.revision,
            reason=str(error)[:MAX_LOGGED_LENGTH],
        )
