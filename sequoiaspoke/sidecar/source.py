"""Where a sidecar reads what the platform publishes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from sequoiaspoke.errors import SequoiaspokeError

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig


@dataclass(frozen=True)
class StoreItem:
    """An item of the platform's store; no value once it was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class Changes:
    """What was read and the store's revision up to which nothing is missing.

    Attributes
    ----------
    lists_evacuations : bool
        Whether all evacuations in force are among the items, changed or not.
    """

    items: tuple[StoreItem, ...]
    revision: int
    lists_evacuations: bool = False


class StoreError(SequoiaspokeError):
    """The store did not answer a read."""

    code = "store-unavailable"


class HistoryLostError(StoreError):
    """The store has forgotten the changes since a revision."""

    code = "store-history-lost"


class ItemError(SequoiaspokeError):
    """An item of the store cannot be used; the last good one stays in force."""

    code = "store-item-invalid"


class ItemStore(ABC):
    """The platform's store, as far as a sidecar reads it."""

    request_count: int = 0

    @abstractmethod
    async def read_all(self) -> Changes:
        """Return every item; raise StoreError."""

    @abstractmethod
    async def wait_for_changes(self, after: int) -> Changes:
        """Return the changes after a revision once there are some, or none in a while.

        Raises StoreError, and HistoryLostError if everything has to be read anew.
        """

    @abstractmethod
    async def catch_up(self, after: int) -> Changes:
        """Return at once what has changed, of each item the newest state only.

        All evacuations are listed if anything has changed.

        Raises StoreError, and HistoryLostError if everything has to be read anew.
        """

    @abstractmethod
    async def endpoints_since(self, after: int) -> Changes:
        """Return at once which endpoints have changed, whatever else has.

        The revision is that of the whole store. Raises StoreError, and HistoryLostError
        if everything has to be read anew.
        """

    @abstractmethod
    async def confirm(self) -> int:
        """Return the store's revision; raise StoreError."""

    @abstractmethod
    def reconnect(self) -> None:
        """End what is under way, so that the next read begins anew."""


class ItemDecoder(ABC):
    """Turns the platform's items into the product's types."""

    ENDPOINT: ClassVar[str] = "endpoint"
    CONFIG: ClassVar[str] = "config"
    EVACUATION: ClassVar[str] = "evacuation"

    @abstractmethod
    def kind(self, key: str) -> str:
        """Return what an item is, empty for what does not concern a sidecar."""

    @abstractmethod
    def instance(self, key: str) -> str:
        """Return the instance whose endpoint an item is."""

    @abstractmethod
    def endpoint(self, key: str, value: bytes) -> Endpoint:
        """Return an endpoint; raise ItemError."""

    def evacuated_zone(self, key: str) -> str:  # noqa: ARG002
        """Return the zone that an item evacuates; none on most platforms."""
        return ""

    def check_evacuation(self, key: str, value: bytes) -> None:  # noqa: ARG002
        """Raise ItemError unless an item evacuates a zone."""
        raise ItemError("no evacuation")

    @abstractmethod
    def config(self, value: bytes) -> MeshConfig:
        """Return a configuration; raise ItemError."""
