"""Decide which offered heads are candidates for installation.

Messages can be reordered, the platform may return stale data and a peer may have been
paused, so old heads keep arriving. The gate compares version numbers only: a head that
is not newer than the version in force is counted and ignored.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot.codec import root_digest

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.model import Head

# Two candidates are enough: the newest head, and the one before it in case a part of
# the newest never arrives.
CANDIDATE_LIMIT = 2
# Refused versions to remember, so that none is fetched twice.
REFUSED_LIMIT = 8


class Verdict(Enum):
    """How an offered head compares with the versions that a node knows."""

    NEW = "new"
    PENDING = "pending"
    CURRENT = "current"
    OLDER = "older"
    CONFLICT = "conflict"
    REFUSED = "refused"


@dataclass(frozen=True)
class DigestedHead:
    """A head with the digest over it."""

    head: Head
    root: str

    @property
    def version(self) -> int:
        """Return the version number."""
        return self.head.version


def digest_head(head: Head) -> DigestedHead:
    """Return a head with the digest over it."""
    return DigestedHead(head, root_digest(head))


class VersionGate:
    """Tracks the version in force, the candidates and the refused versions."""

    def __init__(self) -> None:
        self.current: DigestedHead | None = None
        self.candidates: dict[int, DigestedHead] = {}
        self.refused: dict[int, DigestedHead] = {}
        self.counters: Counter[str] = Counter()

    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self.current.version if self.current else 0

    def first_root(self, version: int) -> str | None:
        """Return the first digest that was offered for a version, or None."""
        for each in (self.current, *self.candidates.values(), *self.refused.values()):
            if each and each.version == version:
                return each.root
        return None

    def classify(self, version: int, root: str) -> Verdict:
        """Compare a version with the known ones without changing the state."""
        first = self.first_root(version)
        if first is not None and first != root:
            return Verdict.CONFLICT
        if version == self.version():
            return Verdict.CURRENT
        if version < self.version():
            return Verdict.OLDER
        if version in self.refused:
            return Verdict.REFUSED
        if version in self.candidates:
            return Verdict.PENDING
        return Verdict.NEW

    def offer(self, offered: DigestedHead) -> Verdict:
        """Classify and count a head, and make it a candidate if it is new."""
        verdict = self.classify(offered.version, offered.root)
        self.counters[f"head-{verdict.value}"] += 1
        if verdict is not Verdict.NEW:
            return verdict
        self.candidates[offered.version] = offered
        if len(self.candidates) > CANDIDATE_LIMIT:
            lowest = min(self.candidates)
            del self.candidates[lowest]
            if lowest == offered.version:
                return Verdict.OLDER
        return verdict

    def newest_candidates(self) -> list[DigestedHead]:
        """Return the candidates, newest first."""
        return [self.candidates[v] for v in sorted(self.candidates, reverse=True)]

    def install(self, installed: DigestedHead) -> None:
        """Put a candidate in force and drop the candidates that it supersedes."""
        # An older version should never get here. Installing it would apply rules that
        # were withdrawn, so it is skipped.
        if installed.version <= self.version():
            self.counters["install-not-newer"] += 1
            return
        self.current = installed
        self.drop_superseded()

    def refuse(self, refused: DigestedHead) -> None:
        """Record a candidate that failed validation."""
        del self.candidates[refused.version]
        self.refused[refused.version] = refused
        while len(self.refused) > REFUSED_LIMIT:
            del self.refused[min(self.refused)]

    def newest_refused(self) -> DigestedHead | None:
        """Return the newest refused version if it is newer than the one in force."""
        if not self.refused or max(self.refused) <= self.version():
            return None
        return self.refused[max(self.refused)]

    def drop_superseded(self) -> None:
        """Drop the candidates that are not newer than the version in force."""
        newer = {v: c for v, c in self.candidates.items() if v > self.version()}
        self.candidates = newer
