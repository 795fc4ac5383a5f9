"""Hold the version in force and gather the parts of newer versions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot.gate import (
    DigestedHead,
    Verdict,
    VersionGate,
    digest_head,
)
from sequoiaspoke.core.snapshot.install import build_snapshot
from sequoiaspoke.core.snapshot.store import PartStore
from sequoiaspoke.errors import DocumentError, VersionRefusedError

if TYPE_CHECKING:
    from collections import Counter

    from sequoiaspoke.core.snapshot.model import Head, Snapshot


@dataclass(frozen=True)
class HeadDecision:
    """Result of offering a head.

    Attributes
    ----------
    missing : tuple of str
        Digests of the parts to fetch before the head can be installed.
    installed : Snapshot or None
        The new snapshot if all parts were available already.
    """

    verdict: Verdict
    missing: tuple[str, ...] = ()
    installed: Snapshot | None = None


@dataclass(frozen=True)
class PartDecision:
    """Result of offering a part; `accepted` is False for corrupt bytes."""

    accepted: bool
    installed: Snapshot | None = None


@dataclass(frozen=True)
class RefusedVersion:
    """A version that failed validation, as the status page shows it."""

    version: int
    source: str
    at: float
    reason: str


class SnapshotHolder:
    """Gathers the parts of newer versions and installs each version atomically.

    Code that handles a call reads `current` once and keeps that reference until the
    call ends.
    """

    def __init__(self) -> None:
        self.gate = VersionGate()
        self.store = PartStore()
        self.current: Snapshot | None = None
        self.previous: DigestedHead | None = None
        self.last_refused: RefusedVersion | None = None
        self.installed_at = 0.0
        self.installs_paused = False
        self.sources: dict[int, str] = {}

    @property
    def counters(self) -> Counter[str]:
        """Return the counters of verdicts, refusals and corrupt parts."""
        return self.gate.counters

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self.gate.version()

    def offer_head(self, head: Head, source: str, now: float) -> HeadDecision:
        """Process a head from the platform or from a peer."""
        offered = digest_head(head)
        verdict = self.gate.offer(offered)
        if verdict is Verdict.NEW:
            self.sources[head.version] = source
            self.sources = {
                version: name
                for version, name in self.sources.items()
                if version in self.gate.candidates or version == self.version
            }
        if verdict not in (Verdict.NEW, Verdict.PENDING):
            return HeadDecision(verdict)
        installed = self.try_install(now)
        return HeadDecision(verdict, self.store.missing(head), installed)

    def offer_part(self, digest: str, packed: bytes, now: float) -> PartDecision:
        """Process a part; install the newest candidate that it completes."""
        if digest in self.store:
            self.counters["part-again"] += 1
            return PartDecision(True)
        if digest not in self.missing():
            self.counters["part-unwanted"] += 1
            return PartDecision(True)
        try:
            self.store.add(digest, packed)
        except DocumentError:
            self.counters["part-corrupt"] += 1
            return PartDecision(False)
        return PartDecision(True, self.try_install(now))

    def missing(self) -> tuple[str, ...]:
        """Return the digests of the parts to fetch, newest candidate first."""
        digests: dict[str, None] = {}
        for candidate in self.gate.newest_candidates():
            digests.update(dict.fromkeys(self.store.missing(candidate.head)))
        return tuple(digests)

    def try_install(self, now: float) -> Snapshot | None:
        """Install the newest complete candidate unless installs are paused."""
        if self.installs_paused:
            return None
        for candidate in self.gate.newest_candidates():
            if self.store.missing(candidate.head):
                continue
            snapshot = self.build_and_install(candidate, now)
            if snapshot:
                return snapshot
        return None

    def build_and_install(self, candidate: DigestedHead, now: float) -> Snapshot | None:
        """Install a complete candidate, or record why it is refused."""
        source = self.sources.get(candidate.version, "")
        try:
            snapshot = build_snapshot(candidate.head, self.store, self.current)
        except VersionRefusedError as error:
            self.gate.refuse(candidate)
            self.counters["version-refused"] += 1
            self.last_refused = RefusedVersion(
                candidate.version, source, now, str(error)
            )
            return None
        self.previous = self.gate.current
        self.gate.install(candidate)
        self.current = snapshot
        self.installed_at = now
        self.counters["version-installed"] += 1
        self.drop_unused_parts()
        return snapshot

    def find_by_root(self, root: str) -> DigestedHead | None:
        """Return the current, previous or refused head that has a digest, or None."""
        for each in (self.gate.current, self.previous, *self.gate.refused.values()):
            if each and each.root == root:
                return each
        return None

    def drop_unused_parts(self) -> None:
        """Drop the parts that no known version needs any more."""
        kept = [*self.gate.candidates.values(), *self.gate.refused.values()]
        heads = [each.head for each in kept if each.version > self.version]
        heads += [each.head for each in (self.gate.current, self.previous) if each]
        self.store.keep_only(heads)
