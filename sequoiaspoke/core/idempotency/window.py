"""Validity window of a lease: when a home may run new keys, and which.

This guards against network partitions, pauses and version changes. Without it, a
home that was paused or cut off would go on running keys that have moved to another
home, and a retry there would run a second time.

The window is open while the answers to questions asked within the last 3 s (the
setting `window`) form a quorum. 3 s spans two rounds, so that one lost round
refuses no call, and limits how long a moved key is refused. The lease starts one
window after the opening: by then every window that contradicts this quorum has
closed, so a key minted later cannot have run elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.idempotency.moment import Moment
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings
    from sequoiaspoke.core.idempotency.witnesses import WitnessSet

NEVER = float("-inf")


class Window:
    """Count the witnesses' answers by the time of their questions."""

    def __init__(self, settings: IdempotencySettings) -> None:
        self.settings = settings
        self.asked_at: dict[str, float] = {}  # per witness, of its newest answer
        self.opened: Moment | None = None
        self.times_closed = 0

    def count(
        self, witness: str, asked_at: float, sets: tuple[WitnessSet, ...], now: Moment
    ) -> None:
        """Count an answer to a question sent at `asked_at` on the steady clock."""
        self.check(sets, now)
        self.asked_at[witness] = max(asked_at, self.asked_at.get(witness, NEVER))
        if self.opened is None and self.closes_at(sets) >= now.steady:
            self.opened = now

    def remove_witness(self, witness: str) -> None:
        """Forget the answers of a witness that no longer confirms."""
        self.asked_at.pop(witness, None)

    def close(self) -> None:
        """Close at once; the next opening begins a new lease."""
        if self.opened is not None:
            self.times_closed += 1
        self.opened = None
        self.asked_at.clear()

    def check(self, sets: tuple[WitnessSet, ...], now: Moment) -> bool:
        """Return whether the window is open; a gap, however short, ends the lease.

        Answers that arrive after a pause must not bridge it: another home may have
        opened its window and run keys in between.
        """
        if self.opened is not None and self.closes_at(sets) < now.steady:
            self.opened = None
            self.times_closed += 1
        return self.opened is not None

    def closes_at(self, sets: Iterable[WitnessSet]) -> float:
        """Return the steady clock time at which the last quorum expires."""
        ends = [self._quorum_asked_at(members) for members in sets]
        return min(ends, default=NEVER) + self.settings.window

    def lease_start(self) -> float:
        """Return the wall clock time of minting from which keys may be new here."""
        if self.opened is None:
            return float("inf")
        return self.opened.wall + self.settings.window

    def _quorum_asked_at(self, members: WitnessSet) -> float:
        times = sorted(
            (self.asked_at.get(vm, NEVER) for vm in members.vms), reverse=True
        )
        if not 0 < members.quorum <= len(times):
            return NEVER
        return times[members.quorum - 1]
