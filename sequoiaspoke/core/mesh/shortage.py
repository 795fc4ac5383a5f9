"""Refuse calls whose nested calls would fail.

On the heaviest days of two deployments, calls held their slots while the nested calls
that they made were refused or timed out. Their answers were errors, and the calls that
waited for these slots failed in turn.

The mesh routes the nested calls of an upstream at the node beside it, so that their
outcomes are known there, but not which call has made one. A nested call is attributed
to a kind of call only if nothing else runs at the upstream. A kind that makes none is
therefore not refused because of the nested calls of others.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

# Seconds for which the outcome of a nested call counts.
WINDOW_SECONDS = 1.0
# Outcomes of nested calls to a service that are needed to see a shortage there, and the
# share of failed ones above which there is one.
MIN_OUTCOMES, SHORT_SHARE = 5, 0.5
# One in this many parents is admitted in a shortage, to see its end.
ADMIT_EVERY = 10
# Attributed nested calls, and their ratio to the runs of the kind, from which on the
# kind is known to make them. Routes with nested calls make 0.7 and more per run; a few
# may come from a cancelled call that its upstream has not dropped.
MIN_ATTRIBUTED, MIN_PER_RUN = 3, 0.1
# Runs after which the counts are halved, so that they follow the upstream's behaviour.
COUNTED_RUNS = 64
# Seconds after an unanswered call for which its upstream may still run it.
DOUBT_SECONDS = 0.5


class NestedKind:
    """What is known of the nested calls that one kind of call makes.

    Attributes
    ----------
    runs : float
        Answered runs that ended while no other kind ran.
    nested : Counter of str
        Nested calls that ended while no other kind ran, by the service called.
    arrivals : int
        Calls that arrived in the present shortage.
    """

    def __init__(self) -> None:
        self.runs = 0.0
        self.nested: Counter[str] = Counter()
        self.arrivals = 0

    def record_run(self) -> None:
        """Record a run and halve the counts if there are many."""
        self.runs += 1
        if self.runs >= COUNTED_RUNS:
            self.runs /= 2
            self.nested = Counter({k: n // 2 for k, n in self.nested.items()})

    def calls(self, service: str) -> bool:
        """Return whether calls of this kind make nested calls to a service."""
        count = self.nested[service]
        return count >= MIN_ATTRIBUTED and count >= MIN_PER_RUN * self.runs


class NestedRoom:
    """Outcomes of an upstream's own nested calls, and the calls that make them.

    Attributes
    ----------
    outcomes : dict of str to deque
        Time and failure of the nested calls of the last second, by the service called.
    running : dict
        Kinds of the running calls, by ticket.
    doubtful_until : float
        Until when the upstream may run a call that is not among them.
    """

    def __init__(self) -> None:
        self.outcomes: dict[str, deque[tuple[float, bool]]] = defaultdict(deque)
        self.kinds: dict[Hashable, NestedKind] = defaultdict(NestedKind)
        self.running: dict[object, Hashable] = {}
        self.doubtful_until = float("-inf")

    def begin(self, ticket: object, kind: Hashable) -> None:
        """Record that a call of a kind is sent to the upstream."""
        self.running[ticket] = kind

    def end(self, ticket: object, answered: bool, now: float) -> None:
        """Record the end of a call."""
        kind = self.running.get(ticket)
        if answered and kind is not None and self.only_kind(now) == kind:
            self.kinds[kind].record_run()
        if not answered:
            self.doubtful_until = now + DOUBT_SECONDS
        self.running.pop(ticket, None)

    def record(
        self, service: str, failed: bool, now: float, kind: Hashable | None = None
    ) -> None:
        """Record the outcome of a nested call of the upstream.

        Parameters
        ----------
        failed : bool
            Whether it was refused or timed out.
        kind : Hashable or None
            Kind of the call that made it, None if not known.
        """
        self.outcomes[service].append((now, failed))
        self.expire(service, now)
        kind = self.only_kind(now) if kind is None else kind
        if kind is not None:
            self.kinds[kind].nested[service] += 1

    def only_kind(self, now: float) -> Hashable | None:
        """Return the kind of all calls that run at the upstream, None if unclear."""
        kinds = set(self.running.values())
        return kinds.pop() if len(kinds) == 1 and now >= self.doubtful_until else None

    def expire(self, service: str, now: float) -> None:
        """Remove outcomes that no longer count."""
        outcomes = self.outcomes[service]
        while outcomes and outcomes[0][0] <= now - WINDOW_SECONDS:
            outcomes.popleft()

    def is_short(self, service: str, now: float) -> bool:
        """Return whether most nested calls to a service fail at the moment."""
        self.expire(service, now)
        outcomes = self.outcomes[service]
        failures = sum(failed for _, failed in outcomes)
        return len(outcomes) >= MIN_OUTCOMES and failures > SHORT_SHARE * len(outcomes)

    def refuses(self, kind: Hashable, now: float) -> bool:
        """Return whether to refuse a new call, as its nested calls would fail."""
        known = self.kinds.get(kind)
        if known is None:
            return False
        if not any(known.calls(s) and self.is_short(s, now) for s in known.nested):
            known.arrivals = 0
            return False
        known.arrivals += 1
        return known.arrivals % ADMIT_EVERY != 0

    def restarted(self) -> None:
        """Forget what an earlier start of the upstream did."""
        self.outcomes.clear()
        self.kinds.clear()
