"""Messages between homes and witnesses."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.epoch import Epoch


@dataclass(frozen=True)
class Question:
    """Asks a witness to confirm the home's assignment.

    Attributes
    ----------
    to : str
        VM of the witness.
    round : int
        Number of the round of questions; tells when an answer was asked for.
    targets : Epoch
        Targets of the service in the zone, by configuration version.
    members : Epoch
        Witnesses of the service, by revision of the VM list.
    holder : Epoch
        Process that owns the target, by incarnation.
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

    An epoch equal to that of the question is left out. In most rounds nothing
    changes, and the epochs would be most of the bytes.
    """

    witness: str
    target: str
    round: int
    targets: Epoch | None = None
    members: Epoch | None = None
    holder: Epoch | None = None


@dataclass(frozen=True)
class Round:
    """One round of questions from a home to its witnesses.

    Attributes
    ----------
    sent : float
        Steady clock seconds at which it was sent; answers count from then.
    """

    sent: float
    targets: Epoch
    members: Epoch
    holder: Epoch

    def complete(self, answer: Answer) -> Answer:
        """Return an answer with the epochs that it left out filled in."""
        return replace(
            answer,
            targets=answer.targets or self.targets,
            members=answer.members or self.members,
            holder=answer.holder or self.holder,
        )
