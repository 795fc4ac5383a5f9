"""Fetch what is missing: heads, parts and VM lists, each from one source at a time.

Several peers announce a new version within milliseconds. If each of them were asked
for its parts, every part would be sent several times. So only one fetch of a part is
in flight, however many versions need it. If it fails, or the bytes do not match the
digest, another source is asked.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot.gate import Verdict
from sequoiaspoke.core.spread.budget import Backoff
from sequoiaspoke.core.spread.messages import HeadQuestion, PartsQuestion, VmsQuestion

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.gate import DigestedHead
    from sequoiaspoke.core.spread.links import Link, LinkTable
    from sequoiaspoke.core.spread.platform import PlatformReader
    from sequoiaspoke.core.spread.state import SpreadState

PLATFORM = 0  # denotes the platform where a link's number is expected
PARTS_PER_QUESTION = 32
QUESTIONS_PER_LINK = 2
PLATFORM_READS = 8  # parts read from the platform at the same time
# Failures of a part after which a node that is not on duty reads it from the platform.
FAILURES_BEFORE_PLATFORM = 2


@dataclass
class Fetch:
    """The state of one missing part.

    Attributes
    ----------
    tried : set of int
        Sources that did not deliver it, of which none is asked twice in a round.
    failed : set of int
        Sources that did not deliver it in the round before the current wait.
    """

    backoff: Backoff
    source: int | None = None
    number: int = 0
    tried: set[int] = field(default_factory=set)
    failed: set[int] = field(default_factory=set)


class Puller:
    """Decides what to ask which peer, and what to read from the platform."""

    def __init__(
        self, state: SpreadState, links: LinkTable, platform: PlatformReader
    ) -> None:
        self.state = state
        self.links = links
        self.platform = platform
        self.fetches: dict[str, Fetch] = {}
        self.heads: dict[int, int] = {}
        self.vms_question: int | None = None

    def consider(self, link: Link, now: float) -> None:
        """Ask for what a peer's status shows to be newer than what is held."""
        status = link.status
        self.consider_version(link, status.version, status.root, now)
        self.consider_version(link, status.refused_version, status.refused_root, now)
        self.consider_vms(link, now)

    def consider_version(self, link: Link, version: int, root: str, now: float) -> None:
        """Ask for a version's head if it is newer and not known."""
        gate = self.state.holder.gate
        if version <= gate.version() or gate.classify(version, root) is not Verdict.NEW:
            return
        if self.heads.get(version) in self.links.pending:
            return
        base = gate.current.root if gate.current else ""
        question = HeadQuestion(version, root, base)
        self.heads[version] = self.links.ask(link, question, now)

    def ask_full_head(self, link: Link, question: HeadQuestion, now: float) -> None:
        """Ask again for a head, without a base, after a difference did not fit."""
        whole = HeadQuestion(question.version, question.root)
        self.heads[question.version] = self.links.ask(link, whole, now)

    def consider_vms(self, link: Link, now: float) -> None:
        """Ask for a newer VM list, one peer at a time."""
        revision = self.state.vms.revision
        if link.status.vms_revision <= revision:
            return
        if self.vms_question not in self.links.pending:
            question = VmsQuestion(revision)
            self.vms_question = self.links.ask(link, question, now)

    def tick(self, now: float) -> None:
        """Ask for what is missing and not being fetched."""
        for link in self.links.live():
            self.consider(link, now)
        version = self.state.holder.version
        self.heads = {v: n for v, n in self.heads.items() if v > version}
        self.schedule(now)

    def schedule(self, now: float) -> None:
        """Choose a source for every missing part that has none."""
        missing = self.state.holder.missing()
        if not missing and not self.fetches:
            return
        self._update_fetches(missing, now)
        asked: dict[int, list[str]] = defaultdict(list)
        in_flight = self._questions_in_flight()
        for digest in missing:
            fetch = self.fetches[digest]
            if fetch.source is not None:
                continue
            source = self._choose_source(digest, fetch, asked, in_flight, now)
            if source == PLATFORM:
                self._read_platform(digest, fetch, in_flight, now)
            elif source is not None:
                asked[source].append(digest)
        for source, digests in asked.items():
            self._ask(self.links.links[source], digests, now)

    def _update_fetches(self, missing: tuple[str, ...], now: float) -> None:
        known = self.fetches
        spread = self.state.spread
        self.fetches = {
            digest: known.get(digest)
            or Fetch(Backoff(spread.reconnect, spread.reconnect_cap, self.state.rng))
            for digest in missing
        }
        for fetch in self.fetches.values():
            gone = fetch.source and fetch.number not in self.links.pending
            if gone:
                self.failed(fetch, now)

    def _questions_in_flight(self) -> dict[int, int]:
        numbers: dict[int, set[int]] = defaultdict(set)
        for fetch in self.fetches.values():
            if fetch.source is not None:
                numbers[fetch.source].add(fetch.number)
        return {source: len(some) for source, some in numbers.items()}

    def _choose_source(
        self,
        digest: str,
        fetch: Fetch,
        asked: dict[int, list[str]],
        in_flight: dict[int, int],
        now: float,
    ) -> int | None:
        waiting = not fetch.backoff.ready(now)
        # A peer that came to hold the part during the wait is asked at once. The wait
        # may take 20 s after a cut, and protects the sources that failed before.
        excluded = fetch.tried | fetch.failed if waiting else fetch.tried
        holders = self._holders(digest)
        untried = [link for link in holders if link.number not in excluded]
        free = [
            link.number
            for link in untried
            if in_flight.get(link.number, 0) < QUESTIONS_PER_LINK
            and len(asked[link.number]) < PARTS_PER_QUESTION
        ]
        if free:
            return min(free, key=lambda number: (len(asked[number]), number))
        if untried or waiting:
            return None
        fails = fetch.backoff.failures
        allowed = self.platform.on_duty or fails >= FAILURES_BEFORE_PLATFORM
        if allowed and PLATFORM not in fetch.tried:
            return PLATFORM
        # Every source failed: start again with all of them after a random wait.
        if fetch.tried:
            fetch.failed, fetch.tried = fetch.tried, set()
            fetch.backoff.fail(now)
        return None

    def _holders(self, digest: str) -> list[Link]:
        candidates = self.state.holder.gate.newest_candidates()
        wanted = [one for one in candidates if digest in one.head.parts.values()]
        return [link for link in self.links.live() if _shows_any(link, wanted)]

    def _ask(self, link: Link, digests: list[str], now: float) -> None:
        number = self.links.ask(link, PartsQuestion(tuple(digests)), now)
        for digest in digests:
            self.fetches[digest].source = link.number
            self.fetches[digest].number = number

    def _read_platform(
        self, digest: str, fetch: Fetch, in_flight: dict[int, int], now: float
    ) -> None:
        if in_flight.get(PLATFORM, 0) >= PLATFORM_READS:
            return
        read = self.platform.read_part(digest, now)
        if read is not None:
            fetch.source, fetch.number = PLATFORM, read
            in_flight[PLATFORM] = in_flight.get(PLATFORM, 0) + 1

    def failed(self, fetch: Fetch, now: float) -> None:
        """Record that a source did not deliver a part."""
        if fetch.source is None:
            return
        fetch.tried.add(fetch.source)
        fetch.source = None
        fetch.backoff.failures += 1
        fetch.backoff.until = max(fetch.backoff.until, now)

    def part_omitted(self, digest: str, empty_answer: bool, now: float) -> None:
        """Record that an answer omitted a part.

        If it contained other parts, this one may just not have fitted, and the same
        peer may be asked again.
        """
        fetch = self.fetches.get(digest)
        if fetch and empty_answer:
            self.failed(fetch, now)
        elif fetch:
            fetch.source = None

    def part_failed(self, digest: str, now: float) -> None:
        """Record that a part could not be fetched or was corrupt."""
        fetch = self.fetches.get(digest)
        if fetch:
            self.failed(fetch, now)


def _shows_any(link: Link, versions: list[DigestedHead]) -> bool:
    status = link.status
    shown = {status.root, status.refused_root}
    return any(one.root in shown for one in versions)
