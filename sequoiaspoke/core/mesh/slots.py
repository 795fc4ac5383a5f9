"""Count what runs at the upstream beside this node, so that it is never overfilled.

An upstream that is full resets the connection of a further call, or leaves it without a
word. Neither says whether the call ran: an order is lost by it, as nobody may send it
again. What the node has sent itself it knows, but not

- the calls of the process before it, which was killed, beside an upstream that runs on;
- cancelled calls, whose connection is closed: most upstreams drop them within
  milliseconds, some run them to their end;
- that the upstream runs fewer at once than its entry says.

An upstream that tells its load with each answer shows all three. Until its first answer
to this process, and while it is full for all that is known, orders wait a moment for a
read to go first, as a read that is reset can go elsewhere. Once it has reset a call,
orders are refused as not run until it has answered something.
"""

from __future__ import annotations

from dataclasses import dataclass

# Seconds after which the upstream's word on calls that are not ours counts for half;
# calls take tenths of a second, so that it is soon out of date. Forgotten at once, a
# full load would be sent beside the last of them before an answer could tell.
FOREIGN_HALF_LIFE = 0.5
# Seconds for which the slot of a cancelled call stays taken: the upstream drops the
# call when it sees its connection close, and until then one more would be too many.
CANCEL_SECONDS = 0.02
# Seconds from the first call on after which an order may be the first to be sent, if no
# read has come: most calls of the process before have ended by then.
READS_FIRST_SECONDS = 0.2
# Seconds after a reset for which no order is sent unless the upstream has answered
# something since. Longer than nearly every call takes; an upstream that goes on
# resetting gets one order in this time.
RESETTING_SECONDS = 3.0
# Seconds after a reset in which nothing is sent, so that a slot is free again.
RESET_PAUSE = 0.05


@dataclass(frozen=True)
class Load:
    """What an upstream says of itself with an answer.

    Attributes
    ----------
    slots : int
        Calls that it runs at once; 0 if it does not tell.
    """

    running: int
    waiting: int
    slots: int = 0

    def __str__(self) -> str:
        """Return the three numbers for a log line."""
        return f"{self.running}+{self.waiting}/{self.slots}"

    @property
    def calls(self) -> int:
        """Return how many calls it has."""
        return self.running + self.waiting


class Slots:
    """The slots of one upstream.

    Attributes
    ----------
    published : int
        Slots by the upstream's entry.
    told : int
        Slots by its last answer, 0 if it does not tell.
    foreign : int
        Calls that it ran or queued beyond those of this node, by its last answer.
    heard : bool
        Whether it has answered this process, or no other was there before.
    counts_answered : bool or None
        Whether the call that it answers is in the load it tells; None if not known.
    doubt : int
        Calls more that may run there, by whether it counts the one it answers; an order
        is not sent into the doubt.
    abandoned : list of float
        When calls were cancelled of which no answer since has told the end.
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
        """Return how many calls the upstream runs at once; the lesser word counts."""
        return min(self.published, self.reported) if self.reported else self.published

    def free(self, running: int, now: float) -> int:
        """Return how many more calls may be sent beside those of this node."""
        if now < self.paused_until:
            return 0
        remaining = self.remaining(running, now)
        if remaining > 0:
            return remaining
        # One call is let through, as only its answer tells of a change.
        return 0 if running or self.cancelled_calls(running, now) else 1

    def remaining(self, running: int, now: float) -> int:
        """Return how many slots are left, by what is known."""
        taken = running + self.cancelled_calls(running, now) + self.foreign_calls(now)
        return self.count - taken

    def admits(self, idempotent: bool, running: int, now: float) -> bool:
        """Return whether a call of a kind may be the next to be sent."""
        if idempotent:
            return True
        if self.has_answered and self.remaining(running, now) > self.uncertain_calls:
            return True
        if self.resetting(now):
            return False
        self.waiting_since = min(self.waiting_since, now)
        # While a read runs there its answer is worth waiting for.
        return not running and now >= self.waiting_since + READS_FIRST_SECONDS

    def resetting(self, now: float) -> bool:
        """Return whether an order would be lost, as the upstream resets what comes."""
        return now < self.resetting_until

    def cancelled_calls(self, running: int, now: float) -> int:
        """Return how many cancelled calls are taken to hold a slot."""
        if running and self.reported:
            return len(self.abandoned)
        return sum(now < since + CANCEL_SECONDS for since in self.abandoned)

    def foreign_calls(self, now: float) -> int:
        """Return how many calls of others the upstream is taken to have."""
        if not self.foreign:
            return 0
        return self.foreign >> min(8, int((now - self.foreign_at) / FOREIGN_HALF_LIFE))

    def record_answer(self, load: Load | None, running: int, now: float) -> None:
        """Take an answer and the upstream's word on its load.

        Parameters
        ----------
        running : int
            Calls of this node at the upstream, the answered one included.
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
        """Take a refusal by the upstream itself, which never counts its call.

        Parameters
        ----------
        running : int
            Calls of this node at the upstream, without the refused one.
        """
        self.has_answered = True
        if load is not None:
            self.apply_load(load, running, now)

    def apply_load(self, load: Load, own: int, now: float) -> None:
        """Take the upstream's load, of which so many calls are those of this node."""
        self.reported = load.slots
        # The load shows those that were cancelled a while ago, if they run on.
        self.abandoned = [
            since for since in self.abandoned if now < since + CANCEL_SECONDS
        ]
        self.foreign = max(0, load.calls - own - len(self.abandoned))
        self.foreign_at = now

    def record_reset(self, running: int, now: float) -> None:
        """Note that the upstream reset a call at once instead of an answer.

        Parameters
        ----------
        running : int
            Calls of this node that it was taken to run, this one included.
        """
        self.foreign = max(self.foreign, self.count - running + 1)
        self.foreign_at = now
        self.paused_until = now + RESET_PAUSE
        self.resetting_until = now + RESETTING_SECONDS
        if self.counts_answered is None:
            # The benefit of the doubt was one call too many.
            self.counts_answered = True
            self.uncertain_calls = 0

    def detect_counting(self, load: Load, running: int) -> None:
        """See whether the upstream counts the call that it answers.

        Only where nothing else runs there: the load is then this call or nothing.
        """
        if running == 1 and not self.abandoned and load.calls <= 1:
            self.counts_answered = load.calls == 1

    def abandon(self, now: float) -> None:
        """Note that a running call was cancelled."""
        self.abandoned.append(now)

    def restarted(self) -> None:
        """Note that the upstream started anew; what ran there is over."""
        self.foreign = 0
        self.reported = 0
        self.paused_until = self.resetting_until = float("-inf")
        self.abandoned.clear()
