"""Track the occupied slots of the upstream beside this node.

A full upstream resets the connection of a further call or never answers it. Neither
shows whether the call ran, so a non-idempotent call is lost: it must not be sent again.
The node knows which calls it has sent itself, but not

- calls sent by a previous process of this node that was killed;
- whether cancelled calls still run: most upstreams drop a call within milliseconds of
  its connection closing, some run it to the end;
- that the upstream runs fewer calls at once than its directory entry says.

All three show in the load that an upstream reports with each answer. Until the first
answer to this process, and while the upstream seems full, non-idempotent calls wait
briefly for an idempotent call to go first, as that can be retried elsewhere if it is
reset. After a reset, non-idempotent calls are refused as not run until the upstream
has answered a call.
"""

from __future__ import annotations

from dataclasses import dataclass

# Seconds after which the number of foreign calls is halved. Calls take tenths of a
# second, so the number is soon outdated. If it were dropped at once, a full load would
# be sent beside the remaining foreign calls before an answer could report them.
FOREIGN_HALF_LIFE = 0.5
# Seconds for which a cancelled call occupies its slot: the time in which an upstream
# notices the closed connection and drops the call.
CANCEL_SECONDS = 0.02
# Seconds that a non-idempotent call waits for an idempotent one to be sent first. Most
# calls of a previous process have ended by then.
IDEMPOTENT_FIRST_SECONDS = 0.2
# Seconds after a reset in which no non-idempotent call is sent, unless the upstream has
# answered since. Longer than nearly all calls; an upstream that keeps resetting gets
# one non-idempotent call in this time.
RESETTING_SECONDS = 3.0
# Seconds after a reset in which no call is sent, so that a slot becomes free.
RESET_PAUSE = 0.05


@dataclass(frozen=True)
class Load:
    """Load that an upstream reports with an answer.

    Attributes
    ----------
    slots : int
        Number of calls that it runs at once; 0 if not reported.
    pace : float or None
        How long work takes on its machine at this moment, 1 as usual; None if not
        reported.
    """

    running: int
    waiting: int
    slots: int = 0
    pace: float | None = None

    def __str__(self) -> str:
        """Return the load in the form of log lines: running+waiting/slots."""
        return f"{self.running}+{self.waiting}/{self.slots}"

    @property
    def calls(self) -> int:
        """Return the number of running and waiting calls."""
        return self.running + self.waiting


class Slots:
    """Occupied and free slots of one upstream.

    Attributes
    ----------
    published : int
        Number of slots in the upstream's directory entry.
    reported : int
        Number of slots in its last answer; 0 if not reported.
    foreign : int
        Calls of other senders that it ran or queued, by its last answer.
    has_answered : bool
        Whether it has answered this process, or there was no previous process.
    waiting_since : float
        When the first non-idempotent call began to wait for an idempotent one.
    paused_until : float
        Until when no call is sent after a reset.
    resetting_until : float
        Until when non-idempotent calls are refused after a reset.
    counts_answered : bool or None
        Whether the reported load includes the answered call; None if not known.
    uncertain_calls : int
        Further calls that may run there, as long as `counts_answered` is not known. No
        non-idempotent call is sent to a slot that they may occupy.
    abandoned : list of float
        When calls were cancelled whose end no answer has shown yet.
    """

    def __init__(self, published: int) -> None:
        self.published = published
        self.reported = 0
        self.foreign = 0
        self.foreign_at = float("-inf")
        self.has_answered = True
        self.waiting_since = float("inf")
        self.paused_until = float("-inf")
        self.resetting_until = float("-inf")
        self.counts_answered: bool | None = None
        self.uncertain_calls = 0
        self.abandoned: list[float] = []

    @property
    def count(self) -> int:
        """Return the number of slots, the lower of the published and reported one."""
        return min(self.published, self.reported) if self.reported else self.published

    def free(self, running: int, now: float) -> int:
        """Return the number of further calls that may be sent."""
        if now < self.paused_until:
            return 0
        remaining = self.remaining(running, now)
        if remaining > 0:
            return remaining
        # One call is sent all the same, as only an answer can report a free slot.
        return 0 if running or self.cancelled_calls(running, now) else 1

    def remaining(self, running: int, now: float) -> int:
        """Return the estimated number of free slots; negative if overloaded."""
        taken = running + self.cancelled_calls(running, now) + self.foreign_calls(now)
        return self.count - taken

    def admits(self, idempotent: bool, running: int, now: float) -> bool:
        """Return whether an idempotent or non-idempotent call may be sent next."""
        if idempotent:
            return True
        if self.has_answered and self.remaining(running, now) > self.uncertain_calls:
            return True
        if self.resetting(now):
            return False
        self.waiting_since = min(self.waiting_since, now)
        # While an idempotent call runs there, wait for its answer.
        return not running and now >= self.waiting_since + IDEMPOTENT_FIRST_SECONDS

    def resetting(self, now: float) -> bool:
        """Return whether the upstream is expected to reset further calls."""
        return now < self.resetting_until

    def cancelled_calls(self, running: int, now: float) -> int:
        """Return the number of cancelled calls assumed to occupy a slot."""
        if running and self.reported:
            return len(self.abandoned)
        return sum(now < since + CANCEL_SECONDS for since in self.abandoned)

    def foreign_calls(self, now: float) -> int:
        """Return the estimated number of calls of other senders."""
        if not self.foreign:
            return 0
        return self.foreign >> min(8, int((now - self.foreign_at) / FOREIGN_HALF_LIFE))

    def record_answer(self, load: Load | None, running: int, now: float) -> None:
        """Record an answer and the load reported with it.

        Parameters
        ----------
        running : int
            Calls of this node at the upstream, including the answered one.
        """
        self.has_answered = True
        self.waiting_since = float("inf")
        self.resetting_until = float("-inf")
        if load is None:
            self.foreign = 0
            return
        self.detect_counting(load, running)
        own = running - 1 if self.counts_answered is False else running
        self.uncertain_calls = int(
            self.counts_answered is None and load.calls > running
        )
        self.apply_load(load, own + self.uncertain_calls, now)

    def record_refusal(self, load: Load | None, running: int, now: float) -> None:
        """Record a refusal by the upstream, whose load never includes that call.

        Parameters
        ----------
        running : int
            Calls of this node at the upstream, excluding the refused one.
        """
        self.has_answered = True
        if load is not None:
            self.apply_load(load, running, now)

    def apply_load(self, load: Load, own: int, now: float) -> None:
        """Update the state from a reported load; `own` calls are this node's."""
        self.reported = load.slots
        # Calls cancelled earlier are part of the load if they still run.
        self.abandoned = [
            since for since in self.abandoned if now < since + CANCEL_SECONDS
        ]
        self.foreign = max(0, load.calls - own - len(self.abandoned))
        self.foreign_at = now

    def record_reset(self, running: int, now: float) -> None:
        """Record that the upstream reset a call at once.

        Parameters
        ----------
        running : int
            Calls of this node assumed to run there, including the reset one.
        """
        self.foreign = max(self.foreign, self.count - running + 1)
        self.foreign_at = now
        self.paused_until = now + RESET_PAUSE
        self.resetting_until = now + RESETTING_SECONDS
        if self.counts_answered is None:
            # Without the uncertain call, one call too many was sent.
            self.counts_answered = True
            self.uncertain_calls = 0

    def detect_counting(self, load: Load, running: int) -> None:
        """Detect whether the reported load includes the answered call.

        Only possible if nothing else runs: the load is then this call or zero.
        """
        if running == 1 and not self.abandoned and load.calls <= 1:
            self.counts_answered = load.calls == 1

    def abandon(self, now: float) -> None:
        """Record that a running call was cancelled."""
        self.abandoned.append(now)

    def restarted(self) -> None:
        """Reset the state after a restart, which ended all calls."""
        self.foreign = 0
        self.reported = 0
        self.paused_until = self.resetting_until = float("-inf")
        self.abandoned.clear()
