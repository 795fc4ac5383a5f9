"""The state of a call at its entry and its concurrent attempts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.asking import SlotRequests
    from sequoiaspoke.core.mesh.balancer import LoadReport
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route
    from sequoiaspoke.core.mesh.outcome import Outcome, Request

# Statuses of an upstream after which an idempotent call is retried elsewhere.
RETRYABLE_STATUSES = frozenset({500, 502, 503})


@dataclass
class Progress:
    """The state of one call across its attempts.

    Attributes
    ----------
    deadline, on_time : float
        When the call times out, and until when an answer is on time.
    tried : set of Incarnation
        Incarnations of upstreams that will not be tried again.
    reached : int
        Number of attempts that may have reached an upstream.
    may_have_run : bool
        Whether one of them may have run.
    unreached : int
        Number of attempts that reached no upstream.
    retry_after : float
        Shortest Retry-After of the homes that refused the call, in seconds.
    expired : bool
        Whether the deadline has passed.
    requests : SlotRequests or None
        The slot requests of the call; None if it makes none.
    max_wait : float
        Seconds that the next attempt may wait for a slot.
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
    requests: SlotRequests | None = None
    max_wait: float = inf

    def told_wait(self) -> dict[str, str]:
        """Return the wait told by the home at which the call waits, for the log."""
        if self.requests is None or self.requests.told_wait is None:
            return {}
        return {"wait": f"{self.requests.told_wait:.3f}"}

    def expire(self) -> None:
        """Mark the deadline as passed and end the wait for an outcome."""
        self.expired = True
        if self.race is not None:
            self.race.time_out()


class Attempt:
    """One attempt, which gets its outcome once unless it is cancelled first.

    Attributes
    ----------
    max_wait : float
        Seconds that the call may wait for a slot; finite in a slot request.
    cancel_at_home : callable
        Cancels the call at its home.
    on_end, on_cancel : callable
        Called with the outcome, or when the attempt is cancelled.
    """

    def __init__(
        self,
        progress: Progress,
        endpoint: Endpoint,
        race: Race,
        max_wait: float,
        on_end: Callable[[Attempt, Outcome, LoadReport], None],
        on_cancel: Callable[[Attempt], None],
    ) -> None:
        self.on_end = on_end
        self.on_cancel = on_cancel
        self.progress = progress
        self.endpoint = endpoint
        self.race = race
        self.max_wait = max_wait
        self.finished = False
        self.cancel_at_home: Callable[[], None] | None = None

    def finish(self, outcome: Outcome, report: LoadReport) -> None:
        """Take the outcome of the attempt and the load report sent with it."""
        if self.finished:
            return
        self.finished = True
        self.on_end(self, outcome, report)
        self.race.attempt_finished(self, outcome)

    def cancel(self) -> None:
        """Cancel the attempt, also at its home."""
        if self.finished:
            return
        self.finished = True
        self.on_cancel(self)
        if self.cancel_at_home is not None:
            self.cancel_at_home()


class Race:
    """The concurrent attempts of one call.

    The first answer that needs no retry is the result, or else the last outcome.
    """

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.result: asyncio.Future[tuple[Endpoint, Outcome]] = (
            asyncio.get_running_loop().create_future()
        )

    def attempt_finished(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take the outcome of an attempt."""
        if self.result.done():
            return
        good = isinstance(outcome, Answer) and outcome.status not in RETRYABLE_STATUSES
        if good or all(each.finished for each in self.attempts):
            self.result.set_result((attempt.endpoint, outcome))

    def time_out(self) -> None:
        """Set TimeoutError as the result unless there is one."""
        if not self.result.done():
            self.result.set_exception(TimeoutError())

    def cancel(self) -> None:
        """Cancel the attempts still under way."""
        for attempt in self.attempts:
            attempt.cancel()
