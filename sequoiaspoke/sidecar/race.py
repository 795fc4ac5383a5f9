"""One call of an entry and its attempts, of which the first good answer counts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.balancer import LoadReport
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route
    from sequoiaspoke.core.mesh.outcome import Outcome, Request

# Statuses of an upstream after which a call that may run twice is tried elsewhere.
TRY_ELSEWHERE = frozenset({500, 502, 503})


@dataclass
class Progress:
    """How far the attempts to serve one call have come.

    Attributes
    ----------
    tried : set of Incarnation
        Starts of upstreams that will not be tried again.
    reached : int
        Attempts that may have reached an upstream.
    may_have_run : bool
        Whether one of them may have run.
    retry_after : float
        The soonest of the times that the homes told, in seconds.
    """

    request: Request
    route: Route
    service: str
    deadline: float
    on_time: float
    tried: set[Incarnation] = field(default_factory=set)
    reached: int = 0
    may_have_run: bool = False
    fruitless: int = 0
    retry_after: float = float("inf")
    last: Outcome | None = None
    race: Race | None = None
    over: bool = False

    def time_over(self) -> None:
        """End the wait for an outcome, as the call's time is over."""
        self.over = True
        if self.race is not None:
            self.race.give_up()


class Attempt:
    """One attempt, which is told its outcome once unless it is called off before.

    Attributes
    ----------
    call_off : callable
        Tells the home that nobody waits any more.
    on_end, on_cancel : callable
        Told of its outcome, or that it was called off.
    """

    def __init__(
        self,
        progress: Progress,
        endpoint: Endpoint,
        race: Race,
        on_end: Callable[[Attempt, Outcome, LoadReport], None],
        on_cancel: Callable[[Attempt], None],
    ) -> None:
        self.on_end = on_end
        self.on_cancel = on_cancel
        self.progress = progress
        self.endpoint = endpoint
        self.race = race
        self.over = False
        self.call_off: Callable[[], None] | None = None

    def take(self, outcome: Outcome, news: LoadReport) -> None:
        """Take what came of the attempt, and the home's word with it."""
        if self.over:
            return
        self.over = True
        self.on_end(self, outcome, news)
        self.race.take(self, outcome)

    def cancel(self) -> None:
        """Call the attempt off."""
        if self.over:
            return
        self.over = True
        self.on_cancel(self)
        if self.call_off is not None:
            self.call_off()


class Race:
    """The attempts under way for one call.

    The first answer that needs no repeat counts, or else the last outcome.
    """

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.decided: asyncio.Future[tuple[Endpoint, Outcome]] = (
            asyncio.get_running_loop().create_future()
        )

    def take(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take what came of an attempt."""
        if self.decided.done():
            return
        good = isinstance(outcome, Answer) and outcome.status not in TRY_ELSEWHERE
        if good or all(each.over for each in self.attempts):
            self.decided.set_result((attempt.endpoint, outcome))

    def give_up(self) -> None:
        """End the race undecided."""
        if not self.decided.done():
            self.decided.set_exception(TimeoutError())

    def cancel(self) -> None:
        """Call off whatever is still under way."""
        for attempt in self.attempts:
            attempt.cancel()
