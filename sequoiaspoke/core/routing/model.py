"""What routing decides on and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Endpoint


class Outcome(Enum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the target or its node turned it away for load
    FAILED = "failed"  # no connection, connection lost, answer truncated
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"  # the caller went away


class UpstreamState(StrEnum):
    """What a node says of its own upstream."""

    READY = "ready"
    COLD = "cold"
    DOWN = "down"
    LEAVING = "leaving"


@dataclass(frozen=True)
class LoadReport:
    """A target's load at its home node, as carried on an answer."""

    in_flight: int
    queued: int = 0
    limit: int = 0  # calls it now runs at once; 0 for the published slots
    state: UpstreamState = UpstreamState.READY


@dataclass(frozen=True)
class RouteContext:
    """What the choice of a target needs to know of a call."""

    key: str = ""  # the sticky key, empty for none
    may_probe: bool = False  # idempotent and with an attempt to spare


class ChoiceReason(StrEnum):
    """Why a target was chosen; each has a counter."""

    ZONE = "own-zone"
    SPILLED = "spilled-over"
    OTHER_ZONE = "other-zone"
    STICKY = "sticky"
    STICKY_MOVED = "sticky-moved-by-load"
    PROBE = "recovery-probe"
    IN_TURN = "in-turn"


@dataclass(frozen=True)
class Choice:
    """The target of an attempt."""

    endpoint: Endpoint
    reason: ChoiceReason
