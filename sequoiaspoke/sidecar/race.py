"""The state of a call at its entry and its concurrent attempts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from math import inf, isfinite
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import FOR_WANT_OF_ROOM, RefusalReason
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Unknown
from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.asking import SlotRequests
    from sequoiaspoke.core.mesh.balancer import LoadReport
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route
    from sequoiaspoke.core.mesh.outcome import Outcome, Request
    from sequoiaspoke.sidecar.deadlines import Deadline
    from sequoiaspoke.sidecar.pending import PendingCall

# Statuses of an upstream after which an idempotent call is retried elsewhere.
RETRYABLE_STATUSES = frozenset({500, 502, 503})
# Attempts of one call that may fail without reaching an upstream. Each costs only a
# round trip, but if all nodes refuse, the caller should know soon.
MAX_UNREACHED_ATTEMPTS = 6


@dataclass(eq=False)
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
    possible_runs : int
        Number of recorded attempts that may have run.
    unreached : int
        Number of attempts that reached no upstream.
    retry_after : float
        Shortest Retry-After of the homes that refused the call, in seconds, but for
        those that stop and may be asked again.
    ask_elsewhere_after : float
        Shortest Retry-After of these, after which other homes may take the call.
    last_answer : Answer or None
        Last answer of an upstream.
    may_withdraw : bool
        Whether the call is withdrawn before its deadline.
    withdraw_seconds : float
        Seconds before the deadline at which it is withdrawn at the earliest.
    withdrawal : Deadline or None
        The time at which it is withdrawn unless it ends before.
    withdrawn : bool
        Whether its attempts were withdrawn.
    expired : bool
        Whether the deadline has passed.
    requests : SlotRequests or None
        The slot requests of the call; None if it makes none.
    max_wait : float
        Seconds that the next attempt may wait for a slot.
    stopping : list of Endpoint
        Endpoints whose homes have refused the call as they stop, and were not asked
        again.
    last_resort : bool
        Whether one of them was asked again; homes that stop take the call then.
    """

    request: Request
    route: Route
    service: str
    deadline: float
    on_time: float
    tried: set[Incarnation] = field(default_factory=set)
    reached: int = 0
    possible_runs: int = 0
    unreached: int = 0
    retry_after: float = inf
    ask_elsewhere_after: float = inf
    last_outcome: Outcome | None = None
    last_answer: Answer | None = None
    race: Race | None = None
    may_withdraw: bool = False
    withdraw_seconds: float = 0.0
    withdrawal: Deadline | None = None
    withdrawn: bool = False
    expired: bool = False
    requests: SlotRequests | None = None
    max_wait: float = inf
    stopping: list[Endpoint] = field(default_factory=list)
    last_resort: bool = False

    def out_of_homes(self, outcome: NotRun) -> bool:
        """Return whether the other homes of the service would refuse the call too."""
        return (
            self.requests is not None
            and self.requests.exhausted
            and outcome.reason in FOR_WANT_OF_ROOM
        )

    def told_wait(self) -> dict[str, str]:
        """Return the wait told by the home at which the call waits, for the log."""
        if self.requests is None or self.requests.told_wait is None:
            return {}
        return {"wait": f"{self.requests.told_wait:.3f}"}

    @property
    def ending(self) -> bool:
        """Return whether no further attempt is made for want of time."""
        return self.withdrawn or self.expired or clock.now() >= self.deadline

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt whose outcome is recorded may have run."""
        return self.possible_runs > 0

    @property
    def not_run(self) -> bool:
        """Return whether the call has certainly not run and will not run."""
        running = self.race is not None and self.race.may_have_run
        return not (self.may_have_run or running)

    def record_retry_after(self, outcome: NotRun) -> None:
        """Record the Retry-After of a refusal.

        A withdrawal has none, and that of a slot request is the wait of a home that
        did not queue the call.
        """
        if outcome.reason in (RefusalReason.WITHDRAWN, RefusalReason.BUSY):
            return
        told = outcome.retry_after
        if outcome.reason == RefusalReason.LEAVING and not self.last_resort:
            self.ask_elsewhere_after = min(self.ask_elsewhere_after, told)
        else:
            self.retry_after = min(self.retry_after, told)

    @property
    def told_retry_after(self) -> float:
        """Return the seconds after which a home should take the call.

        A home that stops and sends the call to others knows nothing of them: its time
        counts only if no other home has told one.
        """
        if isfinite(self.retry_after):
            return self.retry_after
        return self.ask_elsewhere_after

    def record_other_attempt(self, endpoint: Endpoint) -> None:
        """Record the attempt that was made beside the one at an endpoint, if any."""
        assert self.race is not None
        for attempt in self.race.attempts:
            if attempt.endpoint is endpoint:
                continue
            self.tried.add(attempt.endpoint.incarnation)
            outcome = attempt.outcome
            self.reached += not isinstance(outcome, NotRun) or outcome.from_upstream
            if isinstance(outcome, NotRun):
                self.record_retry_after(outcome)
            else:
                self.possible_runs += 1

    def attempts_under_way(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        attempts = [] if self.race is None else self.race.attempts
        return [each for each in attempts if not each.finished]

    def discard(self) -> None:
        """Drop the attempts that have ended, before the next one or the final answer.

        They refer to each other: the request and large answers would stay in memory
        until the next run of the garbage collector.
        """
        if self.race is not None:
            self.race.attempts.clear()
            self.race = None

    def withdraw(self) -> None:
        """Withdraw the attempts under way from homes that have not started them."""
        self.withdrawn = True
        if self.race is not None:
            self.race.withdraw()

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
    withdraw_at_home : callable
        Withdraws the call from its home, which ends the attempt if it has not started.
    pending : PendingCall or None
        The call on the link to its home; None if the home is that of this node.
    outcome : Outcome or None
        The outcome, None if the attempt has not ended or was cancelled.
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
        self.withdraw_at_home: Callable[[], None] | None = None
        self.pending: PendingCall | None = None
        self.outcome: Outcome | None = None

    def finish(self, outcome: Outcome, report: LoadReport) -> None:
        """Take the outcome of the attempt and the load report sent with it."""
        if self.finished:
            return
        self.finished = True
        self.outcome = outcome
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

    def withdraw(self) -> None:
        """Withdraw the attempt, which gets its outcome only if it has not started."""
        if not self.finished and self.withdraw_at_home is not None:
            self.withdraw_at_home()

    def withdraw_unsent(self) -> None:
        """Withdraw the attempt if that takes no message to another node.

        A call that was not sent whole to its home, or waits at the home of this node,
        has certainly not run.
        """
        if self.pending is None or self.pending.not_run:
            self.withdraw()


class Race:
    """The concurrent attempts of one call.

    The first answer that needs no retry is the result. Without one, the result is the
    outcome that is most certain to have run, so that a refusal of one attempt does not
    hide that another may have run.

    Attributes
    ----------
    result : asyncio.Future
        The endpoint and the outcome, None at the deadline. An exception in its place
        would keep the request in memory, as it refers to the frames that it passed.
    """

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.result: asyncio.Future[tuple[Endpoint, Outcome] | None] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt may have run."""
        return any(not isinstance(each.outcome, NotRun) for each in self.attempts)

    def attempt_finished(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take the outcome of an attempt."""
        if self.result.done():
            return
        good = isinstance(outcome, Answer) and outcome.status not in RETRYABLE_STATUSES
        if not good:
            if not all(each.finished for each in self.attempts):
                return
            attempt = max(self.attempts, key=nearness_to_run)
        self.result.set_result((attempt.endpoint, attempt.outcome))

    def withdraw(self) -> None:
        """Withdraw the attempts under way."""
        for attempt in self.attempts:
            attempt.withdraw()

    def time_out(self) -> None:
        """End the race without a result unless all attempts have ended.

        Those that have certainly not run end by this with an outcome that tells so.
        """
        for attempt in self.attempts:
            attempt.withdraw_unsent()
        if not self.result.done():
            self.result.set_result(None)

    def cancel(self) -> None:
        """Cancel the attempts still under way."""
        for attempt in self.attempts:
            attempt.cancel()


def nearness_to_run(attempt: Attempt) -> tuple[int, bool, bool]:
    """Return a key that orders attempts from unreached to answered.

    A busy home comes first, as it hides nothing: the call may ask it again.
    """
    outcome = attempt.outcome
    refused = isinstance(outcome, NotRun)
    return (
        (NotRun, Unknown, Answer).index(type(outcome)),
        refused and outcome.from_upstream,
        not (refused and outcome.reason == RefusalReason.BUSY),
    )
