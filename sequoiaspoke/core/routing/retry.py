"""Decide whether a failed attempt is tried again.

A retry helps when one target fails and harms when all are overloaded: callers
that each try three times turn an overload of a tenth into a threefold one that
outlasts its cause, and in a chain of 19 services each level multiplies it. So a
retry needs all of these: the attempt certainly did not run, or the call is
idempotent; another target; time enough; and a token of the service's budget.
Every call earns a twelfth of a token, which holds the added load under a tenth
in a storm; the saved-up reserve of ten covers the calls in flight at one lost
target of about ten slots. In a chain one level retries: an attempt that is
itself a retry of some node before is not retried further down, and a failure
whose retries were spent further down is not retried further up.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from sequoiaspoke.errors import (
    BadRequestError,
    DeadlineNotRunError,
    NoRuleError,
    OverloadedError,
    Ran,
    RefusedByRuleError,
    RequestTooLargeError,
    TooDeepError,
    UpstreamShedError,
)

if TYPE_CHECKING:
    from random import Random

    from sequoiaspoke.core.routing.settings import RoutingSettings
    from sequoiaspoke.core.rules.model import CallPolicy
    from sequoiaspoke.errors import CallError

# Another attempt meets the same answer.
FINAL_ERRORS = (
    BadRequestError,
    DeadlineNotRunError,
    NoRuleError,
    RefusedByRuleError,
    RequestTooLargeError,
    TooDeepError,
)
OVERLOAD_ERRORS = (OverloadedError, UpstreamShedError)


class GiveUpReason(StrEnum):
    """Why an attempt is the last one; each has a counter."""

    FINAL = "error-is-final"
    NOT_SAFE = "may-have-run"
    ATTEMPTS = "attempts-used"
    RETRIED_BEFORE = "retried-by-a-node-before"
    RETRIED_BELOW = "retried-further-down"
    NO_TIME = "no-time-left"
    BUDGET = "budget-spent"


class RetryReason(StrEnum):
    """Why an attempt is followed by another; each has a counter."""

    NOT_RUN = "not-run"
    REFUSED_FOR_LOAD = "refused-for-load"
    IDEMPOTENT = "idempotent"


@dataclass(frozen=True)
class Retry:
    """Try again on another target after `delay` seconds."""

    delay: float
    reason: RetryReason


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller with the error now."""

    reason: GiveUpReason


class RetryBudget:
    """Tokens that the calls of one service earn for its retries."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.tokens = settings.retry_reserve

    def earn(self) -> None:
        """Note a first attempt."""
        earned = self.tokens + self.settings.retry_ratio
        self.tokens = min(self.settings.retry_reserve, earned)

    def spend(self) -> bool:
        """Take a token, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryPolicy:
    """Decide on retries and keep each service's budget.

    Attributes
    ----------
    retried : Counter of RetryReason
        Retries so far by reason.
    given_up : Counter of GiveUpReason
        Errors handed to callers so far by reason.
    """

    def __init__(self, settings: RoutingSettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.budgets: dict[str, RetryBudget] = {}
        self.retried: Counter[RetryReason] = Counter()
        self.given_up: Counter[GiveUpReason] = Counter()

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(self.settings)
        return self.budgets[service]

    def first_attempt(self, service: str) -> None:
        """Note the first attempt of a call."""
        self.budget(service).earn()

    def decide(
        self,
        service: str,
        error: CallError,
        policy: CallPolicy,
        attempt: int,
        remaining: float,
        incoming_attempt: int = 1,
    ) -> Retry | GiveUp:
        """Return what follows a failed attempt.

        Parameters
        ----------
        attempt : int
            Number of the attempt of this node that failed, from 1.
        remaining : float
            Seconds until the call's deadline.
        arrived_as : int
            `Progress.attempt` with which the call came in.
        """
        reason = self.give_up_reason(error, policy, attempt, incoming_attempt)
        delay = self.delay(error, attempt)
        if reason is None and delay + self.settings.retry_least > remaining:
            reason = GiveUpReason.NO_TIME
        # Asked last: a token is taken only for a retry that is made.
        if reason is None and not self.budget(service).spend():
            reason = GiveUpReason.BUDGET
        if reason is not None:
            self.given_up[reason] += 1
            return GiveUp(reason)
        retry = Retry(delay, self.retry_reason(error))
        self.retried[retry.reason] += 1
        return retry

    def give_up_reason(
        self,
        error: CallError,
        policy: CallPolicy,
        attempt: int,
        incoming_attempt: int,
    ) -> GiveUpReason | None:
        """Return why the call may not be tried again, budgets aside."""
        if isinstance(error, FINAL_ERRORS):
            return GiveUpReason.FINAL
        if error.ran is not Ran.NOT_RUN and not policy.idempotent:
            return GiveUpReason.NOT_SAFE
        if error.retried:
            return GiveUpReason.RETRIED_BELOW
        if incoming_attempt > 1:
            return GiveUpReason.RETRIED_BEFORE
        if attempt >= policy.attempts:
            return GiveUpReason.ATTEMPTS
        return None

    def delay(self, error: CallError, attempt: int) -> float:
        """Return the seconds to wait; none when the target itself failed."""
        if not isinstance(error, OVERLOAD_ERRORS):
            return 0.0
        return self.rng.uniform(0, self.settings.retry_delay * 2 ** (attempt - 1))

    def retry_reason(self, error: CallError) -> RetryReason:
        """Return the reason under which a retry is counted."""
        if error.ran is not Ran.NOT_RUN:
            return RetryReason.IDEMPOTENT
        if isinstance(error, OVERLOAD_ERRORS):
            return RetryReason.REFUSED_FOR_LOAD
        return RetryReason.NOT_RUN

    def retain(self, services: frozenset[str]) -> None:
        """Forget the budgets of services no longer in force."""
        for service in self.budgets.keys() - services:
            del self.budgets[service]
