"""Inputs and verdicts of admission control."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.model import Priority

if TYPE_CHECKING:
    from sequoiaspoke.errors import CallError


@dataclass(frozen=True)
class Arrival:
    """A call that requests a slot of the target.

    Attributes
    ----------
    caller : str
        Name of the caller that is charged for the call.
    key : str
        Sticky key of the call, empty for none; it is charged as well.
    kind : str
        Group of calls with similar durations, such as the name of the rule.
    deadline : float
        Time at which the caller stops waiting.
    """

    call: int
    caller: str
    deadline: float
    key: str = ""
    kind: str = ""
    priority: Priority = Priority.ORDINARY
    arrived: float = 0.0


class RefusalReason(StrEnum):
    """Reason of a refusal; each has a counter."""

    QUEUE_FULL = "queue-full"
    OVER_SHARE = "caller-over-its-share"
    WAIT_TOO_LONG = "wait-would-be-too-long"
    DEADLINE_TOO_CLOSE = "deadline-too-close"
    WAITED_TOO_LONG = "waited-too-long"
    EXPIRED = "deadline-near-in-queue"
    DRAINING = "draining"


@dataclass(frozen=True)
class Started:
    """The call holds a slot and is to be passed to the upstream."""

    call: int


@dataclass(frozen=True)
class Queued:
    """The call waits; a later verdict starts or refuses it."""

    call: int


@dataclass(frozen=True)
class Refused:
    """The call has not run and will not; the error is to be answered at once."""

    call: int
    reason: RefusalReason
    error: CallError


Verdict = Started | Queued | Refused
