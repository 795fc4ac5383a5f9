"""Use granted direct connections at an entry.

A direct call saves the home's hop, about 0.65 ms of a call's median. It is only
worth a lease to a target that is called steadily, since asking costs a message
of its own. The entry counts the lease from when it *sent* its question and the
home from when it answered, so the entry always stops first: an answer that took
long, or a process that was paused in between, leaves it with less time, never
with more than the home allows. A call that begins in time may end after it; the
home counts its slot until it hears of its end.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.grants import Ask, GrantAnswer, Granted, Returned

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.settings import RoutingSettings

RATE_SECONDS = 1.0  # over which steady use is counted
DIRECT, HOME = "direct", "home"
RENEW_FRACTION = 0.5  # part of the lease after which it is renewed


@dataclass
class HeldGrant:
    """What an entry holds, or is about to hold, at one target."""

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
    """A message for the home of a target."""

    target: str
    message: Ask | Returned
    asked_at: float = 0.0


class GrantEntry:
    """Decide which calls go directly, and what to ask the homes.

    Attributes
    ----------
    ways : Counter of str
        Calls that could have gone directly, by the way they went.
    """

    def __init__(self, settings: RoutingSettings, name: str) -> None:
        self.settings = settings
        self.name = name
        self.held_grants: dict[str, HeldGrant] = {}
        self.ways: Counter[str] = Counter()

    def held_at(self, target: str) -> HeldGrant:
        """Return what is held at a target."""
        return self.held_grants.setdefault(target, HeldGrant())

    def take(self, target: str, deadline: float, now: float) -> int:
        """Return the grant under which an idempotent call goes, or 0."""
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
        """Count a call towards steady use."""
        if now - held.counted_from > RATE_SECONDS:
            held.counted_from = now
            held.calls = 0
        held.calls += 1

    def done(self, target: str, grant: int) -> Question | None:
        """Note the end of a direct call; the home may wait to hear of it."""
        held = self.held_at(target)
        if held.grant != grant:
            return Question(target, Returned(self.name, grant))
        held.in_use -= 1
        if held.connections == 0:
            return self.give_back(target, held)
        return None

    def give_back(self, target: str, held: HeldGrant) -> Question:
        """Return what is no longer used."""
        message = Returned(self.name, held.grant, held.in_use)
        if held.in_use == 0:
            held.grant = 0
        return Question(target, message)

    def due_questions(self, now: float) -> list[Question]:
        """Return what to ask the homes now."""
        questions = []
        for target, held in self.held_grants.items():
            question = self.next_question(target, held, now)
            if question:
                questions.append(question)
        return questions

    def next_question(
        self, target: str, held: HeldGrant, now: float
    ) -> Question | None:
        """Return what to ask one home now."""
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
        """Ask for a grant, or for more time on it."""
        message = Ask(self.name, held.grant, held.in_use, held.used)
        held.awaiting_answer = True
        held.asked_at = now
        held.used = 0
        return Question(target, message, now)

    def answered(self, question: Question, answer: GrantAnswer) -> Question | None:
        """Take the answer to a question of `due`.

        One that comes after the question was given up on is not used: counted
        from a later question its lease would outlast the home's.
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
        """Give back a grant that is not used, unless it is the one held."""
        if not isinstance(answer, Granted):
            return None
        if answer.grant == self.held_at(target).grant:
            return None
        return Question(target, Returned(self.name, answer.grant))

    def failed(self, target: str) -> Question | None:
        """Note that a question got no answer; the grant is not prolonged."""
        self.held_at(target).awaiting_answer = False
        return self.recalled(target)

    def recalled(self, target: str) -> Question | None:
        """Begin no further direct call at a target."""
        held = self.held_at(target)
        held.connections = 0
        held.valid_until = float("-inf")
        if not held.grant:
            return None
        return self.give_back(target, held)

    def forget(self, target: str) -> None:
        """Drop a target that is gone and has no direct call in flight."""
        held = self.held_grants.get(target)
        if held and not held.in_use:
            del self.held_grants[target]
