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
RENEW_AT = 0.5  # part of the lease after which it is renewed


@dataclass
class Holding:
    """What an entry holds, or is about to hold, at one target."""

    grant: int = 0
    connections: int = 0
    until: float = float("-inf")
    renew_at: float = float("-inf")
    in_use: int = 0
    used: int = 0
    asked_at: float = float("-inf")
    asking: bool = False
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
        self.holdings: dict[str, Holding] = {}
        self.ways: Counter[str] = Counter()

    def of(self, target: str) -> Holding:
        """Return what is held at a target."""
        return self.holdings.setdefault(target, Holding())

    def take(self, target: str, deadline: float, now: float) -> int:
        """Return the grant under which an idempotent call goes, or 0."""
        holding = self.of(target)
        self.count(holding, now)
        free = holding.in_use < holding.connections
        short = deadline - now <= self.settings.grant_call
        if not (free and short and now < holding.until):
            self.ways[HOME] += 1
            return 0
        self.ways[DIRECT] += 1
        holding.in_use += 1
        holding.used += 1
        return holding.grant

    def count(self, holding: Holding, now: float) -> None:
        """Count a call towards steady use."""
        if now - holding.counted_from > RATE_SECONDS:
            holding.counted_from = now
            holding.calls = 0
        holding.calls += 1

    def done(self, target: str, grant: int) -> Question | None:
        """Note the end of a direct call; the home may wait to hear of it."""
        holding = self.of(target)
        if holding.grant != grant:
            return Question(target, Returned(self.name, grant))
        holding.in_use -= 1
        if holding.connections == 0:
            return self.give_back(target, holding)
        return None

    def give_back(self, target: str, holding: Holding) -> Question:
        """Return what is no longer used."""
        message = Returned(self.name, holding.grant, holding.in_use)
        if holding.in_use == 0:
            holding.grant = 0
        return Question(target, message)

    def due(self, now: float) -> list[Question]:
        """Return what to ask the homes now."""
        questions = []
        for target, holding in self.holdings.items():
            question = self.question(target, holding, now)
            if question:
                questions.append(question)
        return questions

    def question(self, target: str, holding: Holding, now: float) -> Question | None:
        """Return what to ask one home now."""
        if holding.asking:
            return None
        if not holding.grant:
            steady = holding.calls >= self.settings.grant_rate * RATE_SECONDS
            recent = now - holding.counted_from <= 2 * RATE_SECONDS
            waited = now - holding.asked_at >= self.settings.grant_pause
            if not (steady and recent and waited):
                return None
            return self.ask(target, holding, now)
        if holding.connections == 0 or now < holding.renew_at:
            return None
        if holding.used == 0:
            holding.connections = 0
            return self.give_back(target, holding)
        return self.ask(target, holding, now)

    def ask(self, target: str, holding: Holding, now: float) -> Question:
        """Ask for a grant, or for more time on it."""
        message = Ask(self.name, holding.grant, holding.in_use, holding.used)
        holding.asking = True
        holding.asked_at = now
        holding.used = 0
        return Question(target, message, now)

    def answered(self, question: Question, answer: GrantAnswer) -> Question | None:
        """Take the answer to a question of `due`.

        One that comes after the question was given up on is not used: counted
        from a later question its lease would outlast the home's.
        """
        target = question.target
        holding = self.of(target)
        if not holding.asking or holding.asked_at != question.asked_at:
            return self.unwanted(target, answer)
        holding.asking = False
        if isinstance(answer, Granted) and holding.grant in (0, answer.grant):
            holding.grant = answer.grant
            holding.connections = answer.connections
            holding.until = holding.asked_at + answer.lease
            holding.renew_at = holding.asked_at + RENEW_AT * answer.lease
            return None
        if isinstance(answer, Granted):
            return self.unwanted(target, answer)
        return self.recalled(target)

    def unwanted(self, target: str, answer: GrantAnswer) -> Question | None:
        """Give back a grant that is not used, unless it is the one held."""
        if not isinstance(answer, Granted):
            return None
        if answer.grant == self.of(target).grant:
            return None
        return Question(target, Returned(self.name, answer.grant))

    def failed(self, target: str) -> Question | None:
        """Note that a question got no answer; the grant is not prolonged."""
        self.of(target).asking = False
        return self.recalled(target)

    def recalled(self, target: str) -> Question | None:
        """Begin no further direct call at a target."""
        holding = self.of(target)
        holding.connections = 0
        holding.until = float("-inf")
        if not holding.grant:
            return None
        return self.give_back(target, holding)

    def forget(self, target: str) -> None:
        """Drop a target that is gone and has no direct call in flight."""
        holding = self.holdings.get(target)
        if holding and not holding.in_use:
            del self.holdings[target]
