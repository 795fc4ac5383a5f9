"""Interfaces to the platform's store and the items in it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from sequoiaspoke.errors import SequoiaspokeError

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig
    from sequoiaspoke.sidecar.newheaders import NewHeaders


@dataclass(frozen=True)
class StoreItem:
    """An item of the platform's store; a deleted one has no value.

    Attributes
    ----------
    revision : int
        Its last change, ordered over all eras of the store (`core.mesh.revision`).
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class Changes:
    """Items read from the store, complete up to a revision.

    Attributes
    ----------
    lists_evacuations : bool
        Whether the items include all evacuations in force, even unchanged ones.
    """

    items: tuple[StoreItem, ...]
    revision: int
    lists_evacuations: bool = False


class StoreError(SequoiaspokeError):
    """The store did not answer a read."""

    code = "store-unavailable"


class HistoryLostError(StoreError):
    """The store no longer has the changes since a revision."""

    code = "store-history-lost"


class ItemError(SequoiaspokeError):
    """An item of the store cannot be used; the last good one stays in force."""

    code = "store-item-invalid"


class ItemStore(ABC):
    """Read access of a sidecar to the platform's store.

    Attributes
    ----------
    request_count : int
        Requests sent to the store so far.
    new_headers : NewHeaders or None
        Header names of its answers.
    """

    request_count: int = 0
    new_headers: NewHeaders | None = None

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes have come of an answer that is not complete yet."""
        return 0

    @property
    def received_at(self) -> float:
        """Return when the last bytes of an answer that is not complete yet came.

        Minus infinity if none have come.
        """
        return float("-inf")

    @abstractmethod
    async def read_all(self) -> Changes:
        """Return every item; raise StoreError."""

    @abstractmethod
    async def wait_for_changes(self, after: int) -> Changes:
        """Wait for changes after a revision and return them; none after a timeout.

        Raises StoreError, or HistoryLostError if all items must be read again, as after
        the store came back from an older copy of itself.
        """

    @abstractmethod
    async def catch_up(self, after: int) -> Changes:
        """Return the newest state of the items changed after a revision.

        The store answers without waiting. If anything has changed, the items include
        all evacuations.

        Raises StoreError, or HistoryLostError if all items must be read again.
        """

    @abstractmethod
    async def endpoints_since(self, after: int) -> Changes:
        """Return the endpoints changed after a revision.

        The store answers without waiting. Other items are not returned, but the
        revision is that of the whole store.

        Raises StoreError, or HistoryLostError if all items must be read again.
        """

    async def read_endpoints(self) -> Changes:
        """Return every endpoint without the other items; raise StoreError.

        By default the changes since the first revision are read.
        """
        return await self.endpoints_since(0)

    @abstractmethod
    async def confirm(self) -> int:
        """Return the store's revision; raise StoreError."""

    @abstractmethod
    def reconnect(self) -> None:
        """Abort requests in progress, so that the next read uses new connections."""


class ItemDecoder(ABC):
    """Decodes the platform's items into the types of `core.mesh`."""

    ENDPOINT: ClassVar[str] = "endpoint"
    CONFIG: ClassVar[str] = "config"
    EVACUATION: ClassVar[str] = "evacuation"

    @abstractmethod
    def kind(self, key: str) -> str:
        """Return the kind of an item, empty if a sidecar does not use it."""

    @abstractmethod
    def instance(self, key: str) -> str:
        """Return the instance name of an endpoint's item."""

    @abstractmethod
    def endpoint(self, key: str, value: bytes) -> Endpoint:
        """Return an item's endpoint; raise ItemError if it is invalid."""

    def evacuated_zone(self, key: str) -> str:  # noqa: ARG002
        """Return the zone that an item evacuates; empty on a platform without them."""
        return ""

    def check_evacuation(self, key: str, value: bytes) -> None:  # noqa: ARG002
        """Raise ItemError unless an item is a valid evacuation."""
        raise ItemError("no evacuation")

    @abstractmethod
    def config(self, value: bytes) -> MeshConfig:
        """Return an item's configuration; raise ItemError if it is invalid."""
