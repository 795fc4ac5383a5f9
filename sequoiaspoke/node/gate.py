"""Make calls wait until admission starts or refuses them."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from sequoiaspoke.core.admission.admission import Admission
from sequoiaspoke.core.admission.model import Arrival, Refused, Started
from sequoiaspoke.core.routing.model import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sequoiaspoke.core.admission.model import Verdict
    from sequoiaspoke.core.admission.settings import AdmissionSettings
    from sequoiaspoke.core.rules.model import Priority

# Seconds between checks of a queue; a refusal may come late by as much.
TICK_INTERVAL = 0.02


class Gate:
    """Asynchronous access to the slots of this VM's upstream."""

    def __init__(self, settings: AdmissionSettings, slots: int, rng: Random) -> None:
        self.admission = Admission(settings, slots, rng)
        self.numbers = count(1)
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.ticking = False
        self.on_wait: Callable[[], None] | None = None

    async def enter(
        self, caller: str, key: str, kind: str, priority: Priority, deadline: float
    ) -> int:
        """Wait for a slot and return the number to pass to `leave`.

        Raises
        ------
        CallError
            The call was refused and has not run.
        """
        loop = asyncio.get_running_loop()
        number, now = next(self.numbers), loop.time()
        call = Arrival(number, caller, deadline, key, kind, priority, now)
        admitted = self.waiting[number] = loop.create_future()
        self.apply_verdicts(self.admission.arrive(call, now))
        try:
            await admitted
        except asyncio.CancelledError:
            # The caller disconnected, but the call may have got a slot in the same
            # iteration of the event loop; that slot must not leak.
            self.waiting.pop(number, None)
            if not self.admission.cancel(number):
                self.leave(number, Outcome.CANCELLED, 0.0)
            raise
        return number

    def leave(self, number: int, outcome: Outcome, latency: float) -> None:
        """Release a slot; see `Admission.release`."""
        now = asyncio.get_running_loop().time()
        self.apply_verdicts(self.admission.release(number, outcome, latency, now))

    def apply_verdicts(self, verdicts: list[Verdict]) -> None:
        """Wake the calls that were started or refused, and schedule the next tick."""
        for verdict in verdicts:
            if isinstance(verdict, Started):
                admitted = self.waiting.pop(verdict.call, None)
                if admitted and not admitted.done():
                    admitted.set_result(None)
            elif isinstance(verdict, Refused):
                admitted = self.waiting.pop(verdict.call, None)
                if admitted and not admitted.done():
                    admitted.set_exception(verdict.error)
        if not len(self.admission.queue):
            return
        if self.on_wait:
            self.on_wait()
        if not self.ticking:
            self.ticking = True
            asyncio.get_running_loop().call_later(TICK_INTERVAL, self.tick)

    def tick(self) -> None:
        """Check the queue for calls to start or refuse."""
        self.ticking = False
        self.apply_verdicts(self.admission.tick(asyncio.get_running_loop().time()))
