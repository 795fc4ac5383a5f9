"""Divide calls between services by weight.

An operator who moves one call in a hundred to a new service expects one in a
hundred. Random choice strays by its square root, which on a quiet rule means
none for minutes and then three at once. Smooth weighted turns are exact over
every run of `sum of weights` calls and spread evenly within it. The first turn
is drawn at random: 2,000 nodes that all began at the same service would send it
the first call of each, a burst after every change of the rules. Calls with a
sticky key are divided by the key's hash, so that a caller stays with a service.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from sequoiaspoke.core.rules.weights import WeightedService

HASH_SPACE = 1 << 64


def stable_hash(*words: str) -> int:
    """Return the same 64-bit number for the same words on every node."""
    digest = hashlib.blake2b("\0".join(words).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class WeightedRoundRobin:
    """Hand out turns in proportion to weights."""

    def __init__(self, split: tuple[WeightedService, ...], rng: Random) -> None:
        self.split = split
        self.total = sum(entry.weight for entry in split)
        self.credit = [0] * len(split)
        for _ in range(rng.randrange(max(1, self.total))):
            self.next()

    def next(self) -> str:
        """Return the service whose turn it is."""
        for position, entry in enumerate(self.split):
            self.credit[position] += entry.weight
        first = max(range(len(self.split)), key=self.credit.__getitem__)
        self.credit[first] -= self.total
        return self.split[first].service


class Splitter:
    """Choose the service of a call by the split of its rule."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.turns: dict[str, WeightedRoundRobin] = {}

    def choose(self, rule: str, split: tuple[WeightedService, ...], key: str) -> str:
        """Return the service for the next call of a rule.

        Parameters
        ----------
        rule : str
            Name of the rule; its turns begin anew when its split changes.
        key : str
            Sticky key, empty for none.
        """
        if len(split) == 1:
            return split[0].service
        if key:
            return self.choose_by_key(rule, split, key)
        turns = self.turns.get(rule)
        if turns is None or turns.split != split:
            turns = self.turns[rule] = WeightedRoundRobin(split, self.rng)
        return turns.next()

    def choose_by_key(
        self, rule: str, split: tuple[WeightedService, ...], key: str
    ) -> str:
        """Return the service that a sticky key always gets."""
        total = sum(entry.weight for entry in split)
        point = stable_hash(rule, key) * total // HASH_SPACE
        for entry in split:
            point -= entry.weight
            if point < 0:
                return entry.service
        return split[-1].service

    def retain(self, rules: frozenset[str]) -> None:
        """Forget the turns of rules no longer in force."""
        for rule in self.turns.keys() - rules:
            del self.turns[rule]
