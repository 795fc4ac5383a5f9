"""Decide whether a failed attempt is retried.

A retry helps if one target fails and harms if all are overloaded. Three attempts
per call turn an overload of a tenth into a threefold one that outlasts its cause,
and in a chain of 19 services each level multiplies it again. A retry therefore
requires all of these:

- The attempt certainly did not run, or the call is idempotent.
- There is another target, and enough time.
- The service's retry budget has a token. Each call earns about a twelfth of one,
  which keeps the added load of a retry storm under a tenth. The reserve of ten
  covers the calls in flight at one lost target with about ten slots.
- No other node of the chain retries: a call that arrives as a retry of an earlier
  node is not retried again, nor is a failure that a later node has retried.
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

# Another attempt would get the same answer.
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
    """Reason not to retry a failed attempt; each has a counter."""

    FINAL = "error-is-final"
    NOT_SAFE = "may-have-run"
    ATTEMPTS = "attempts-used"
    RETRIED_BEFORE = "retried-by-a-node-before"
    RETRIED_BELOW = "retried-further-down"
    NO_TIME = "no-time-left"
    BUDGET = "budget-spent"


class RetryReason(StrEnum):
    """Reason for a retry; each has a counter."""

    NOT_RUN = "not-run"
    REFUSED_FOR_LOAD = "refused-for-load"
    IDEMPOTENT = "idempotent"


@dataclass(frozen=True)
class Retry:
    """Retry on another target after `delay` seconds."""

    delay: float
    reason: RetryReason


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller with the error."""

    reason: GiveUpReason


class RetryBudget:
    """Retry tokens of one service, earned by its calls."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.tokens = settings.retry_reserve

    def earn(self) -> None:
        """Add the tokens that a first attempt earns, up to the reserve."""
        earned = self.tokens + self.settings.retry_ratio
        self.tokens = min(self.settings.retry_reserve, earned)

    def spend(self) -> bool:
        """Take a token; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryPolicy:
    """Decide on retries and keep the retry budget of each service.

    Attributes
    ----------
    retried : Counter of RetryReason
        Number of retries by reason.
    given_up : Counter of GiveUpReason
        Number of errors that were not retried by reason.
    """

    def __init__(self, settings: RoutingSettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng
        self.budgets: dict[str, RetryBudget] = {}
        self.retried: Counter[RetryReason] = Counter()
        self.given_up: Counter[GiveUpReason] = Counter()

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(self.settings)
        return self.budgets[service]

    def first_attempt(self, service: str) -> None:
        """Record the first attempt of a call."""
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
        """Decide whether to retry after a failed attempt.

        Parameters
        ----------
        attempt : int
            Number of the failed attempt at this node, from 1.
        remaining : float
            Seconds until the call's deadline.
        incoming_attempt : int
            `Progress.attempt` with which the call arrived.
        """
        reason = self.give_up_reason(error, policy, attempt, incoming_attempt)
        delay = self.delay(error, attempt)
        if reason is None and delay + self.settings.retry_least > remaining:
            reason = GiveUpReason.NO_TIME
        # Checked last, so that a token is spent only on a retry that is made.
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
        """Return why the call may not be retried, apart from time and budget."""
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
        """Return the jittered delay after a refusal for load, and 0 otherwise."""
        if not isinstance(error, OVERLOAD_ERRORS):
            return 0.0
        return self.rng.uniform(0, self.settings.retry_delay * 2 ** (attempt - 1))

    def retry_reason(self, error: CallError) -> RetryReason:
        """Return the reason by which a retry is counted."""
        if error.ran is not Ran.NOT_RUN:
            return RetryReason.IDEMPOTENT
        if isinstance(error, OVERLOAD_ERRORS):
            return RetryReason.REFUSED_FOR_LOAD
        return RetryReason.NOT_RUN

    def retain(self, services: frozenset[str]) -> None:
        """Forget the budgets of all services but these."""
        for service in self.budgets.keys() - services:
            del self.budgets[service]
