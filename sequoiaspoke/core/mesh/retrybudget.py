"""Limit the retries that reach upstreams.

A retry at another endpoint hides the failure of one upstream; if a whole service fails,
retries only add to its overload. By default, all nodes together may add retries of a
fifth of a service's calls and a fixed slack in any ten seconds. Nodes do not exchange
what they have spent, so each applies the ratio to its own calls and takes an equal part
of the slack.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Share of the allowance that a node uses. A retry also repeats the nested calls of its
# upstream, which count as retries of the services called: with 1.4 nested calls per
# call to a service as busy as the caller's, 0.52 is the maximum. It is lower, as the
# windows of the nodes are not aligned.
USED_SHARE = 0.45


@dataclass(frozen=True)
class RetryLimits:
    """Limits of the retries that all nodes together may send to a service.

    Attributes
    ----------
    ratio : float
        Retries per first attempt.
    slack : float
        Additional retries of all nodes.
    window : float
        Seconds over which both apply.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: float = 10.0


class RetryBudget:
    """First attempts and retries of one service at this node."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_first(self, now: float) -> None:
        """Record a first attempt."""
        self.first_attempts.append(now)
        self.trim(now)

    def has_room(self, nodes: int, now: float) -> bool:
        """Return whether the budget allows a retry.

        Parameters
        ----------
        nodes : int
            Nodes among which the slack is divided.
        """
        self.trim(now)
        allowed = self.limits.ratio * len(self.first_attempts)
        allowed += self.limits.slack / max(1, nodes)
        return len(self.retries) + 1 <= allowed * USED_SHARE

    def spend(self, nodes: int, now: float) -> bool:
        """Record a retry among a number of nodes if the budget allows one."""
        room = self.has_room(nodes, now)
        if room:
            self.retries.append(now)
        return room

    def trim(self, now: float) -> None:
        """Remove attempts before the window."""
        since = now - self.limits.window
        for times in (self.first_attempts, self.retries):
            while times and times[0] < since:
                times.popleft()


class RetryBudgets:
    """Retry budgets of all services."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self.by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = self.by_service[service] = RetryBudget(self.limits)
        return budget
