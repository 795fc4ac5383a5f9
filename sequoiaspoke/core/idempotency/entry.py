"""Combine the results of an entry's attempts at a keyed call for the caller."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.errors import Ran


@dataclass(frozen=True)
class AttemptResult:
    """The result of one attempt.

    Attributes
    ----------
    ran : Ran
        Whether this attempt ran.
    settled : bool
        Whether the key's home guarantees that no attempt with the key runs, now or
        later.
    """

    ran: Ran
    settled: bool = False


def outcome_for_caller(results: tuple[AttemptResult, ...], first: bool) -> Ran:
    """Return whether any call with this key ran, as far as is known.

    An attempt that did not run does not prove that earlier ones did not: the home
    that refused it may not know of a run elsewhere. A caller that receives
    `not-run` makes a new key, and the work would be done twice. So `not-run` is
    returned only if the home settled the key, or if the caller declares this its
    first attempt with the key and none of this entry's attempts ran.
    """
    if any(result.ran is Ran.RAN for result in results):
        return Ran.RAN
    if any(result.settled for result in results):
        return Ran.NOT_RUN
    if first and all(result.ran is Ran.NOT_RUN for result in results):
        return Ran.NOT_RUN
    return Ran.OUTCOME_UNKNOWN
