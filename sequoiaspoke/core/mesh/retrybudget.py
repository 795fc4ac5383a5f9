"""Bound the repeats that reach upstreams.

One failing upstream is helped by a second try elsewhere; when a whole service
fails, each second try is load that it cannot bear. All nodes together may add a
fifth to the calls of a service and a fixed slack in any ten seconds. Nodes do not
tell each other what they spent, so each takes the ratio of its own calls and an
equal part of the slack.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Part of the allowance that a node uses. A repeat runs the calls of its upstream anew,
# and those count as repeats of the services that they reach: with 1.4 nested calls for
# each of a service as busy as the one called, 0.52 is the most. Windows of nodes do
# not line up either.
USED_SHARE = 0.45


@dataclass(frozen=True)
class RetryLimits:
    """How many repeats all nodes together may send to a service.

    Attributes
    ----------
    ratio : float
        Repeats for each first call.
    slack : float
        Repeats beyond the ratio, over all nodes.
    window : float
        Seconds over which both hold.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: float = 10.0


class RetryBudget:
    """The calls and repeats of one service at this node."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_first(self, now: float) -> None:
        """Note a first attempt."""
        self.first_attempts.append(now)
        self.trim(now)

    def spend(self, nodes: int, now: float) -> bool:
        """Take a repeat if there is room for one.

        Parameters
        ----------
        nodes : int
            Nodes among which the slack is divided.
        """
        self.trim(now)
        allowed = self.limits.ratio * len(self.first_attempts)
        allowed += self.limits.slack / max(1, nodes)
        if len(self.retries) + 1 > allowed * USED_SHARE:
            return False
        self.retries.append(now)
        return True

    def trim(self, now: float) -> None:
        """Forget what lies before the window."""
        since = now - self.limits.window
        for times in (self.first_attempts, self.retries):
            while times and times[0] < since:
                times.popleft()


class RetryBudgets:
    """The budgets of all services."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = self.by_service[service] = RetryBudget(self.limits)
        return budget
