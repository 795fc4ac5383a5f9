"""Use granted direct connections at an entry.

A direct call saves the home's hop, about 0.65 ms of the median latency. A lease
only pays for a target that is called steadily, since each request is an extra
message. The entry counts the lease from when it *sent* the request and the home
from when it answered, so the entry always stops first: a late answer, or a pause
of the process in between, leaves it less time and never more than the home
allows. A call that starts within the lease may end after it; the home counts its
slot until it is told of the end.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.grants import Ask, GrantAnswer, Granted, Returned

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.settings import RoutingSettings

RATE_SECONDS = 1.0  # window in which calls are counted
DIRECT, HOME = "direct", "home"
RENEW_FRACTION = 0.5  # of the lease, after which it is renewed


@dataclass
class HeldGrant:
    """The grant that an entry holds or requests at one target, and its use."""

    grant: int = 0
    connections: int = 0
    valid_until: float = float("-inf")
    renew_at: float = float("-inf")
    in_use: int = 0
    used: int = 0
    asked_at: float = float("-inf")
    awaiting_answer: bool = False
    counted_from: float = float("-inf")
    calls: int = 0


@dataclass(frozen=True)
class Question:
    """A message to the home of a target."""

    target: str
    message: Ask | Returned
    asked_at: float = 0.0


class GrantEntry:
    """Decide which calls go directly, and request, renew and return grants.

    Attributes
    ----------
    ways : Counter of str
        Number of calls by path, `direct` or `home`.
    """

    def __init__(self, settings: RoutingSettings, name: str) -> None:
        self.settings = settings
        self.name = name
        self.held_grants: dict[str, HeldGrant] = {}
        self.ways: Counter[str] = Counter()

    def held_at(self, target: str) -> HeldGrant:
        """Return the state of the grant at a target."""
        return self.held_grants.setdefault(target, HeldGrant())

    def take(self, target: str, deadline: float, now: float) -> int:
        """Return the grant for a direct idempotent call, or 0 to use the home."""
        held = self.held_at(target)
        self.count(held, now)
        free = held.in_use < held.connections
        short = deadline - now <= self.settings.grant_call
        if not (free and short and now < held.valid_until):
            self.ways[HOME] += 1
            return 0
        self.ways[DIRECT] += 1
        held.in_use += 1
        held.used += 1
        return held.grant

    def count(self, held: HeldGrant, now: float) -> None:
        """Count a call to find out whether a target is called steadily."""
        if now - held.counted_from > RATE_SECONDS:
            held.counted_from = now
            held.calls = 0
        held.calls += 1

    def done(self, target: str, grant: int) -> Question | None:
        """Record the end of a direct call; return a message if the home needs one."""
        held = self.held_at(target)
        if held.grant != grant:
            return Question(target, Returned(self.name, grant))
        held.in_use -= 1
        if held.connections == 0:
            return self.give_back(target, held)
        return None

    def give_back(self, target: str, held: HeldGrant) -> Question:
        """Return a message that gives the unused slots of a grant back."""
        message = Returned(self.name, held.grant, held.in_use)
        if held.in_use == 0:
            held.grant = 0
        return Question(target, message)

    def due_questions(self, now: float) -> list[Question]:
        """Return the messages to send to homes now."""
        questions = []
        for target, held in self.held_grants.items():
            question = self.next_question(target, held, now)
            if question:
                questions.append(question)
        return questions

    def next_question(
        self, target: str, held: HeldGrant, now: float
    ) -> Question | None:
        """Return the message to send to one home now, or None."""
        if held.awaiting_answer:
            return None
        if not held.grant:
            steady = held.calls >= self.settings.grant_rate * RATE_SECONDS
            recent = now - held.counted_from <= 2 * RATE_SECONDS
            waited = now - held.asked_at >= self.settings.grant_pause
            if not (steady and recent and waited):
                return None
            return self.ask(target, held, now)
        if held.connections == 0 or now < held.renew_at:
            return None
        if held.used == 0:
            held.connections = 0
            return self.give_back(target, held)
        return self.ask(target, held, now)

    def ask(self, target: str, held: HeldGrant, now: float) -> Question:
        """Request a grant or the renewal of the one held."""
        message = Ask(self.name, held.grant, held.in_use, held.used)
        held.awaiting_answer = True
        held.asked_at = now
        held.used = 0
        return Question(target, message, now)

    def answered(self, question: Question, answer: GrantAnswer) -> Question | None:
        """Apply the answer to a question of `due_questions`.

        An answer that arrives after its question has failed is not used. If its
        lease were counted from a later question, it would outlast the home's.
        """
        target = question.target
        held = self.held_at(target)
        if not held.awaiting_answer or held.asked_at != question.asked_at:
            return self.return_unused(target, answer)
        held.awaiting_answer = False
        if isinstance(answer, Granted) and held.grant in (0, answer.grant):
            held.grant = answer.grant
            held.connections = answer.connections
            held.valid_until = held.asked_at + answer.lease
            held.renew_at = held.asked_at + RENEW_FRACTION * answer.lease
            return None
        if isinstance(answer, Granted):
            return self.return_unused(target, answer)
        return self.recalled(target)

    def return_unused(self, target: str, answer: GrantAnswer) -> Question | None:
        """Return a message that gives back a grant other than the one held."""
        if not isinstance(answer, Granted):
            return None
        if answer.grant == self.held_at(target).grant:
            return None
        return Question(target, Returned(self.name, answer.grant))

    def failed(self, target: str) -> Question | None:
        """Record that a question got no answer, and stop using the grant."""
        self.held_at(target).awaiting_answer = False
        return self.recalled(target)

    def recalled(self, target: str) -> Question | None:
        """Start no further direct call to a target, and give unused slots back."""
        held = self.held_at(target)
        held.connections = 0
        held.valid_until = float("-inf")
        if not held.grant:
            return None
        return self.give_back(target, held)

    def forget(self, target: str) -> None:
        """Drop a removed target unless it has direct calls in flight."""
        held = self.held_grants.get(target)
        if held and not held.in_use:
            del self.held_grants[target]
