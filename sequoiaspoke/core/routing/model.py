"""Inputs and results of routing decisions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Endpoint


class Outcome(Enum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    REFUSED = "refused"  # by the target or its node, because of load
    FAILED = "failed"  # no connection, connection lost, answer truncated
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"  # by the caller


class UpstreamState(StrEnum):
    """State of an upstream as reported by its home node."""

    READY = "ready"
    COLD = "cold"
    DOWN = "down"
    LEAVING = "leaving"


@dataclass(frozen=True)
class LoadReport:
    """A target's load at its home node, sent with an answer."""

    in_flight: int
    queued: int = 0
    limit: int = 0  # of concurrent calls; 0 for the published slots
    state: UpstreamState = UpstreamState.READY


@dataclass(frozen=True)
class RouteContext:
    """The properties of a call that the choice of a target depends on."""

    key: str = ""  # the sticky key, empty for none
    may_probe: bool = False  # idempotent and with another attempt left


class ChoiceReason(StrEnum):
    """Reason for the choice of a target; each has a counter."""

    ZONE = "own-zone"
    SPILLED = "spilled-over"
    OTHER_ZONE = "other-zone"
    STICKY = "sticky"
    STICKY_MOVED = "sticky-moved-by-load"
    PROBE = "recovery-probe"
    IN_TURN = "in-turn"


@dataclass(frozen=True)
class Choice:
    """The target of an attempt and the reason for it."""

    endpoint: Endpoint
    reason: ChoiceReason
