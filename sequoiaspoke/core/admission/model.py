"""What admission decides on and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.model import Priority

if TYPE_CHECKING:
    from sequoiaspoke.errors import CallError


@dataclass(frozen=True)
class Arrival:
    """A call that asks for a slot of the target.

    Attributes
    ----------
    caller : str
        Who is charged for it.
    key : str
        What it is about, as a sticky key; empty for nothing in particular.
    kind : str
        What durations are remembered by, such as the name of the rule.
    deadline : float
        Time at which its caller stops waiting.
    """

    call: int
    caller: str
    deadline: float
    key: str = ""
    kind: str = ""
    priority: Priority = Priority.ORDINARY
    arrived: float = 0.0


class RefusalReason(StrEnum):
    """Why a call was turned away; each has a counter."""

    QUEUE_FULL = "queue-full"
    OVER_SHARE = "caller-over-its-share"
    WAIT_TOO_LONG = "wait-would-be-too-long"
    DEADLINE_TOO_CLOSE = "deadline-too-close"
    WAITED_TOO_LONG = "waited-too-long"
    EXPIRED = "deadline-near-in-queue"
    DRAINING = "draining"


@dataclass(frozen=True)
class Started:
    """The call holds a slot now; hand it over."""

    call: int


@dataclass(frozen=True)
class Queued:
    """The call waits; a later verdict says how it ends."""

    call: int


@dataclass(frozen=True)
class Refused:
    """The call was not run; answer with the error at once."""

    call: int
    reason: RefusalReason
    error: CallError


Verdict = Started | Queued | Refused
