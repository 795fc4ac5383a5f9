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
MARGIN = 0.45


@dataclass(frozen=True)
class RepeatLimits:
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


class RepeatBudget:
    """The calls and repeats of one service at this node."""

    def __init__(self, limits: RepeatLimits) -> None:
        self.limits = limits
        self.firsts: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def first(self, now: float) -> None:
        """Note a first attempt."""
        self.firsts.append(now)
        self.trim(now)

    def spend(self, nodes: int, now: float) -> bool:
        """Take a repeat if there is room for one.

        Parameters
        ----------
        nodes : int
            Nodes among which the slack is divided.
        """
        self.trim(now)
        allowed = self.limits.ratio * len(self.firsts)
        allowed += self.limits.slack / max(1, nodes)
        if len(self.repeats) + 1 > allowed * MARGIN:
            return False
        self.repeats.append(now)
        return True

    def trim(self, now: float) -> None:
        """Forget what lies before the window."""
        since = now - self.limits.window
        for times in (self.firsts, self.repeats):
            while times and times[0] < since:
                times.popleft()


class RepeatBudgets:
    """The budgets of all services."""

    def __init__(self, limits: RepeatLimits) -> None:
        self.limits = limits
        self.by_service: dict[str, RepeatBudget] = {}

    def of(self, service: str) -> RepeatBudget:
        """Return the budget of a service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = self.by_service[service] = RepeatBudget(self.limits)
        return budget
