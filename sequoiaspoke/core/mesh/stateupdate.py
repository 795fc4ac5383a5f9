"""State of the platform as one node sends it to another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.configdelta import ConfigDelta
    from sequoiaspoke.core.mesh.evacuation import Evacuation
    from sequoiaspoke.core.mesh.model import Departure, PublishedEndpoint


@dataclass(frozen=True)
class StateUpdate:
    """A snapshot of a node's state, or the changes since an earlier one.

    Attributes
    ----------
    revision : int
        Revision of the store that this reflects.
    as_of : float
        When that was current, by the local node's clock.
    is_snapshot : bool
        Whether the endpoints are a complete list; a missing one has departed.
    departures : tuple of Departure
        Instances that departed.
    lapsing : tuple of Departure
        Instances whose entries vanished around an outage of the store as the sender saw
        it; the receiver decides by its own view of the store whether to keep them.
    config : ConfigDelta or None
        None if the configuration has not changed.
    evacuations : tuple of Evacuation or None
        The last order of each zone; None if the message does not list them.
    """

    revision: int
    as_of: float
    is_snapshot: bool = False
    endpoints: tuple[PublishedEndpoint, ...] = ()
    departures: tuple[Departure, ...] = ()
    lapsing: tuple[Departure, ...] = ()
    config: ConfigDelta | None = None
    config_revision: int = 0
    evacuations: tuple[Evacuation, ...] | None = None
