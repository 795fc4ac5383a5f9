"""What a reader keeps of a node that it sends each change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sequoiaspoke.sidecar.frames import FrameStream


@dataclass
class Subscriber:
    """A node that is sent every change, and what it was sent so far.

    Attributes
    ----------
    first : bool
        Whether it is sent a new configuration at once.
    serial, version, rates_serial, evacuations_serial : int
        The serials of the changes that it was sent, and the version of the
        configuration that it has.
    gaps : int
        `Directory.gaps` of the sender when it was last sent everything.
    confirmed : float
        Time of the last confirmation by the store that it was sent.
    complete_to, complete_as_of : int, float
        Revision and time as of which it was sent everything. While its configuration is
        deferred, it is told no later ones.
    """

    stream: FrameStream
    version: int
    first: bool = True
    serial: int = 0
    rates_serial: int = 0
    evacuations_serial: int = 0
    gaps: int = 0
    confirmed: float = float("-inf")
    complete_to: int = 0
    complete_as_of: float = float("-inf")


class FrameKey(NamedTuple):
    """What the frame for a subscriber depends on.

    Attributes
    ----------
    serial, version, rates_serial, evacuations_serial : int
        Serials and version from which on changes are sent.
    needs_list : bool
        Whether all endpoints are sent, as this node skipped revisions since.
    revision, as_of : int, float
        Revision and time as of which the subscriber then has everything.
    """

    serial: int
    version: int
    rates_serial: int
    evacuations_serial: int
    needs_list: bool
    revision: int
    as_of: float
