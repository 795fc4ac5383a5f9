"""What an entry tells a caller after its attempts at a keyed call."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.errors import Ran


@dataclass(frozen=True)
class AttemptResult:
    """What one attempt came to.

    Attributes
    ----------
    ran : Ran
        Whether this attempt ran.
    settled : bool
        Whether the key's home vouched that no attempt runs, now or later.
    """

    ran: Ran
    settled: bool = False


def outcome_for_caller(results: tuple[AttemptResult, ...], first: bool) -> Ran:
    """Say whether any call with this key ran.

    An attempt that was not run does not prove that an earlier one was not: it may
    have been refused here by a home that never knew of the run. A caller who heard
    `not-run` would make a new key, and the work would be done twice. So `not-run`
    is told when the home settles it, or when the caller declares that it has made
    no other attempt with the key and none of ours went out.
    """
    if any(result.ran is Ran.RAN for result in results):
        return Ran.RAN
    if any(result.settled for result in results):
        return Ran.NOT_RUN
    if first and all(result.ran is Ran.NOT_RUN for result in results):
        return Ran.NOT_RUN
    return Ran.OUTCOME_UNKNOWN
