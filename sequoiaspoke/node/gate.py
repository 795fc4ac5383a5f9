"""Let calls wait for what admission decides."""

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

TICK_INTERVAL = 0.02  # seconds between looks at a queue; a refusal comes that late


class Gate:
    """The slots of this VM's target."""

    def __init__(self, settings: AdmissionSettings, slots: int, rng: Random) -> None:
        self.admission = Admission(settings, slots, rng)
        self.numbers = count(1)
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.ticking = False
        self.on_wait: Callable[[], None] | None = None

    async def enter(
        self, caller: str, key: str, kind: str, priority: Priority, deadline: float
    ) -> int:
        """Wait for a slot and return the number to leave with.

        Raises
        ------
        CallError
            The call is turned away; it was not run.
        """
        loop = asyncio.get_running_loop()
        number, now = next(self.numbers), loop.time()
        call = Arrival(number, caller, deadline, key, kind, priority, now)
        admitted = self.waiting[number] = loop.create_future()
        self.apply_verdicts(self.admission.arrive(call, now))
        try:
            await admitted
        except asyncio.CancelledError:
            # The caller is gone. It may have been given a slot in the same turn
            # of the loop; kept, that slot would be lost for good.
            self.waiting.pop(number, None)
            if not self.admission.cancel(number):
                self.leave(number, Outcome.CANCELLED, 0.0)
            raise
        return number

    def leave(self, number: int, outcome: Outcome, latency: float) -> None:
        """Give a slot back; see `Admission.release`."""
        now = asyncio.get_running_loop().time()
        self.apply_verdicts(self.admission.release(number, outcome, latency, now))

    def apply_verdicts(self, verdicts: list[Verdict]) -> None:
        """Tell the calls what was decided."""
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
        """Look at the queue again."""
        self.ticking = False
        self.apply_verdicts(self.admission.tick(asyncio.get_running_loop().time()))
