"""Divide calls between services by weight.

A random choice deviates from the weights by the square root of the number of
calls. With a weight of 1 in 100 and little traffic, the service would get no call
for minutes and then several at once. Smooth weighted round robin is exact over
each round of `sum of weights` calls and spreads them evenly within it. It starts
at a random position. Otherwise all 2,000 nodes would send their first call to the
same service, a burst after every change of the rules. Calls with a sticky key are
divided by the key's hash, so that a key always goes to the same service.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from sequoiaspoke.core.rules.weights import WeightedService

HASH_SPACE = 1 << 64


def stable_hash(*words: str) -> int:
    """Return a 64-bit hash that is the same on every node."""
    digest = hashlib.blake2b("\0".join(words).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of a split."""

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
            Name of the rule; its rotation restarts when its split changes.
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
        """Return the service that a sticky key is mapped to."""
        total = sum(entry.weight for entry in split)
        point = stable_hash(rule, key) * total // HASH_SPACE
        for entry in split:
            point -= entry.weight
            if point < 0:
                return entry.service
        return split[-1].service

    def retain(self, rules: frozenset[str]) -> None:
        """Forget all rules but these."""
        for rule in self.turns.keys() - rules:
            del self.turns[rule]
