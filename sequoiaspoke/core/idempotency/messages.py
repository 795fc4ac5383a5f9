"""What homes and witnesses say to each other."""

from __future__ import annotations

from dataclasses import dataclass, replace
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
    """What a witness knows after a question; see `Question`.

    An epoch that is the same as in the question is left out: of the many rounds in
    which nothing changes it would be most of the bytes.
    """

    witness: str
    target: str
    round: int
    targets: Epoch | None = None
    members: Epoch | None = None
    holder: Epoch | None = None


@dataclass(frozen=True)
class Round:
    """What a home asked its witnesses, and when.

    Attributes
    ----------
    sent : float
        Steady clock seconds from which the answers count.
    """

    sent: float
    targets: Epoch
    members: Epoch
    holder: Epoch

    def complete(self, answer: Answer) -> Answer:
        """Return an answer with the epochs that it left out."""
        return replace(
            answer,
            targets=answer.targets or self.targets,
            members=answer.members or self.members,
            holder=answer.holder or self.holder,
        )
