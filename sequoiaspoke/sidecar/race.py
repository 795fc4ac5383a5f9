"""One call of an entry and its attempts, of which the first good answer counts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route
    from sequoiaspoke.core.mesh.outcome import Outcome, Request
    from sequoiaspoke.core.mesh.placing import News

# Statuses of an upstream after which a call that may run twice is tried elsewhere.
RETRYABLE_STATUSES = frozenset({500, 502, 503})


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
    unreached: int = 0
    retry_after: float = float("inf")
    last_outcome: Outcome | None = None
    race: Race | None = None
    expired: bool = False

    def expire(self) -> None:
        """End the wait for an outcome, as the call's time is over."""
        self.expired = True
        if self.race is not None:
            self.race.time_out()


class Attempt:
    """One attempt, which is told its outcome once unless it is called off before.

    Attributes
    ----------
    cancel_at_home : callable
        Tells the home that nobody waits any more.
    on_end, on_cancel : callable
        Told of its outcome, or that it was called off.
    """

    def __init__(
        self,
        progress: Progress,
        endpoint: Endpoint,
        race: Race,
        on_end: Callable[[Attempt, Outcome, News], None],
        on_cancel: Callable[[Attempt], None],
    ) -> None:
        self.on_end = on_end
        self.on_cancel = on_cancel
        self.progress = progress
        self.endpoint = endpoint
        self.race = race
        self.finished = False
        self.cancel_at_home: Callable[[], None] | None = None

    def finish(self, outcome: Outcome, report: News) -> None:
        """Take what came of the attempt, and the home's word with it."""
        if self.finished:
            return
        self.finished = True
        self.on_end(self, outcome, report)
        self.race.attempt_finished(self, outcome)

    def cancel(self) -> None:
        """Call the attempt off."""
        if self.finished:
            return
        self.finished = True
        self.on_cancel(self)
        if self.cancel_at_home is not None:
            self.cancel_at_home()


class Race:
    """The attempts under way for one call.

    The first answer that needs no repeat counts, or else the last outcome.
    """

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.result: asyncio.Future[tuple[Endpoint, Outcome]] = (
            asyncio.get_running_loop().create_future()
        )

    def attempt_finished(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take what came of an attempt."""
        if self.result.done():
            return
        good = isinstance(outcome, Answer) and outcome.status not in RETRYABLE_STATUSES
        if good or all(each.finished for each in self.attempts):
            self.result.set_result((attempt.endpoint, outcome))

    def time_out(self) -> None:
        """End the race undecided."""
        if not self.result.done():
            self.result.set_exception(TimeoutError())

    def cancel(self) -> None:
        """Call off whatever is still under way."""
        for attempt in self.attempts:
            attempt.cancel()
