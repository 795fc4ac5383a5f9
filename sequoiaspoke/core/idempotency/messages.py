"""What homes and witnesses say to each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.epoch import Epoch


@dataclass(frozen=True)
class Question:
    """A home asks a witness whether its assignment still holds.

    Attributes
    ----------
    to : str
        VM of the witness.
    round : int
        Round of questions, by which the answer's age is known.
    targets : Epoch
        Targets of the service in the zone, by configuration version.
    members : Epoch
        Witnesses of the service, by revision of the VM list.
    holder : Epoch
        Process that speaks for the target, by incarnation.
    """

    to: str
    service_name: str
    target: str
    round: int
    targets: Epoch
    members: Epoch
    holder: Epoch


@dataclass(frozen=True)
class Answer:
    """What a witness knows after a question; see `Question`."""

    witness: str
    service_name: str
    target: str
    round: int
    targets: Epoch
    members: Epoch
    holder: Epoch
