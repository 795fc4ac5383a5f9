"""What one node tells another of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.configdelta import ConfigDelta
    from sequoiaspoke.core.mesh.evacuation import Evacuation
    from sequoiaspoke.core.mesh.model import Departure, PublishedEndpoint


@dataclass(frozen=True)
class Knowledge:
    """What a node knows, or what has changed in it.

    Attributes
    ----------
    revision : int
        Revision of the store up to which this goes.
    as_of : float
        When that was current, by the clock of the node that holds this.
    whole : bool
        Whether these are all endpoints; one that is not here has left.
    gone : tuple of Departure
        Instances that left.
    lapsing : tuple of Departure
        Instances whose entries vanished as the teller thought the store to have been
        away; who is told judges by what it knows of the store.
    config : ConfigDelta or None
        None if the configuration has not changed.
    evacuations : tuple of Evacuation or None
        The last order of each zone; None if nothing is told of them.
    """

    revision: int
    as_of: float
    whole: bool = False
    endpoints: tuple[PublishedEndpoint, ...] = ()
    gone: tuple[Departure, ...] = ()
    lapsing: tuple[Departure, ...] = ()
    config: ConfigDelta | None = None
    config_revision: int = 0
    evacuations: tuple[Evacuation, ...] | None = None
