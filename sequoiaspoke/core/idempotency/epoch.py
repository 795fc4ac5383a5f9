"""An assignment and the number since which it holds.

Homes and witnesses compare the targets of a service by version number. A digest
alone is not enough: if the targets change from A to B and back to A, a home that
missed B would assume that it owned its keys all along, although the home under B
ran some of them. `since`, the number of the last change seen, reveals this.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True)
class Epoch:
    """An assignment as one process knows it.

    Attributes
    ----------
    number : int
        Highest version, revision or incarnation at which it is known to hold.
    digest : str
        Digest of what is assigned.
    since : int
        Number of the last change that this process has seen; 0 if none.
    """

    number: int = 0
    digest: str = ""
    since: int = 0

    def advance(self, number: int, digest: str) -> Epoch:
        """Return the epoch that includes an assignment; an older one is ignored."""
        if number < self.number or (number == self.number and self.digest):
            return self
        changed = bool(self.digest) and digest != self.digest
        return Epoch(number, digest, number if changed else self.since)

    def merge(self, other: Epoch) -> Epoch:
        """Return the epoch that includes another process's; an older one is ignored."""
        if other.digest != self.digest:
            return self.advance(other.number, other.digest)
        number = max(self.number, other.number)
        return Epoch(number, self.digest, max(self.since, other.since))


def digest_of(names: Iterable[str]) -> str:
    """Return a short digest of names, whatever their order."""
    text = "\0".join(sorted(names))
    return blake2b(text.encode(), digest_size=8).hexdigest()
