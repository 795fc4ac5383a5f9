"""Keep slots free for the nested calls that an upstream is observed to get.

When services that call each other are full, nested calls wait for the slots that fresh
calls hold for several times as long, and their parents hold slots elsewhere meanwhile.
One service that is short then takes its callers with it: nested lookups of 20 ms waited
a tenth of a second, and the services that made them did two thirds of their work.
Fresh calls therefore leave free what nested calls need, on average over time, as that
is often less than a whole slot.
"""

from __future__ import annotations

# Half-life in seconds of the averages of running calls; longer than most calls.
LOAD_HALF_LIFE = 1.0
# Slots left free per slot that nested calls use. Nested calls arrive irregularly, and
# those that were refused are not among the observed ones.
HEADROOM = 1.25
# Reserved slots below which fresh calls are not restricted: a nested call now and then.
MIN_NEED = 0.1


class NestedReserve:
    """Average numbers of running nested and fresh calls of one upstream.

    Attributes
    ----------
    running : dict of object to bool
        Whether each running call is nested, by ticket.
    nested, fresh : float
        Averages of the numbers of running calls, at `updated_at`.
    """

    def __init__(self) -> None:
        self.running: dict[object, bool] = {}
        self.nested = self.fresh = 0.0
        self.updated_at = 0.0

    def begin(self, ticket: object, nested: bool, now: float) -> None:
        """Record the start of a call."""
        self.update(now)
        self.running[ticket] = nested

    def end(self, ticket: object, now: float) -> None:
        """Record the end of a call."""
        self.update(now)
        self.running.pop(ticket, None)

    def update(self, now: float) -> None:
        """Advance the averages to a time."""
        kept = 0.5 ** (max(0.0, now - self.updated_at) / LOAD_HALF_LIFE)
        nested = sum(self.running.values())
        self.nested = nested + kept * (self.nested - nested)
        fresh = len(self.running) - nested
        self.fresh = fresh + kept * (self.fresh - fresh)
        self.updated_at = now

    def need(self, slots: int) -> float:
        """Return the slots to leave free; at least one is for fresh calls."""
        need = min(HEADROOM * self.nested, slots - 1)
        return need if need >= MIN_NEED else 0.0

    def holds(self, free: int, slots: int, now: float) -> bool:
        """Return whether a fresh call has to leave the free slots to nested calls."""
        self.update(now)
        need = self.need(slots)
        return need > 0 and free - 1 < need and self.fresh > slots - need
