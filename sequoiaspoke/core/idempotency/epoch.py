"""Which assignment holds, and since which number.

Homes and witnesses compare the targets of a service by version number. The digest
alone would not do: targets that change from A to B and back to A leave a home
that missed B sure that it had the keys all along, while the home under B ran some
of them. `since` makes that visible: it is the number of the last change seen.
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
        What is assigned.
    since : int
        Number of the last change that this process has seen; 0 if none.
    """

    number: int = 0
    digest: str = ""
    since: int = 0

    def advance(self, number: int, digest: str) -> Epoch:
        """Return the epoch after an assignment was seen; older ones change nothing."""
        if number < self.number or (number == self.number and self.digest):
            return self
        changed = bool(self.digest) and digest != self.digest
        return Epoch(number, digest, number if changed else self.since)

    def merge(self, other: Epoch) -> Epoch:
        """Return the epoch after hearing of another's; older ones change nothing."""
        if other.digest != self.digest:
            return self.advance(other.number, other.digest)
        number = max(self.number, other.number)
        return Epoch(number, self.digest, max(self.since, other.since))


def digest_of(names: Iterable[str]) -> str:
    """Return a short digest of a set of names."""
    text = "\0".join(sorted(names))
    return blake2b(text.encode(), digest_size=8).hexdigest()
