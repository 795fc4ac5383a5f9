"""Log the answers of an upstream that refuse a call or do not belong to it.

To callers, a refusal taken from a late answer to another call looks like a true one.
The ids and the connection tell them apart.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import Counter

    from sequoiaspoke.sidecar.logs import EventLog

# Stands in the log for an id that is missing.
NO_ID = "none"


@dataclass(frozen=True)
class AnswerSource:
    """The call that awaits an answer, and what the answer tells of its own.

    Attributes
    ----------
    call_id, echoed : str
        Id of the call under way, and the one in the answer, empty if it has none.
    connection : int
        Number of the connection.
    exchange : int
        Number of the call on it, from 1.
    """

    call_id: str
    echoed: str
    status: int
    connection: int
    exchange: int


class AnswerLog:
    """Counts and logs answers of the upstream."""

    def __init__(self, log: EventLog, counts: Counter[str]) -> None:
        self.log = log
        self.counts = counts

    def skipped(self, source: AnswerSource) -> None:
        """Record an answer that is not the one to the call under way."""
        self.counts["answer-skipped"] += 1
        self.log.event(
            "answer-skipped",
            id=source.call_id or NO_ID,
            echoed=source.echoed or NO_ID,
            status=source.status,
            connection=source.connection,
            exchange=source.exchange,
        )

    def refused(self, source: AnswerSource, marked: bool) -> None:
        """Record an answer whose status says that the call has not run.

        Parameters
        ----------
        marked : bool
            Whether the upstream marks it as not run, too.
        """
        self.counts["refusal-marked" if marked else "refusal-unmarked"] += 1
        self.log.event(
            "upstream-refusal",
            id=source.call_id or NO_ID,
            echoed=source.echoed or NO_ID,
            status=source.status,
            marked=marked,
            connection=source.connection,
            exchange=source.exchange,
        )
