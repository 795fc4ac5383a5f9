"""Keep under which requests upstreams have ended.

Each crash is reported once, by the node beside the upstream, and told to all nodes.
Reports are merged: what two nodes know of one crash adds up to the same, in whatever
order and however often they tell each other, also after a cut.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Seconds for which a crash is remembered, and one that a single suspect has caused.
KEEP_SECONDS, PROVEN_KEEP_SECONDS = 600.0, 7200.0
# Crashes that are remembered at most; an upstream that cannot stay up for other reasons
# would fill the memory of every node.
MAX_CRASHES = 300


@dataclass(frozen=True)
class Crash:
    """The end of an upstream under the requests that it ran.

    Attributes
    ----------
    name : str
        What tells it from all other crashes. An upstream may end twice before the
        platform has told of its second start.
    instance : str
        The upstream that ended.
    at : float
        When, by this node's clock.
    suspects : frozenset of str
        Fingerprints of the requests that ran there.
    proven : frozenset of str
        The one that was under suspicion before, if there was only one.
    cleared : frozenset of str
        Those that an upstream of the service has answered since.
    """

    name: str
    instance: str
    service: str
    at: float
    suspects: frozenset[str]
    proven: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()

    def merged(self, other: Crash) -> Crash:
        """Return what two reports of the crash say together."""
        return replace(
            self,
            suspects=self.suspects | other.suspects,
            proven=self.proven | other.proven,
            cleared=self.cleared | other.cleared,
        )

    @property
    def uncleared(self) -> frozenset[str]:
        """Return the suspects that were not cleared."""
        return self.suspects - self.cleared

    @property
    def uncleared_proven(self) -> frozenset[str]:
        """Return the suspects that are proven and were not cleared."""
        return self.proven - self.cleared

    def is_expired(self, now: float) -> bool:
        """Return whether the crash is too long ago to count."""
        kept = PROVEN_KEEP_SECONDS if self.uncleared_proven else KEEP_SECONDS
        return now - self.at > kept


class Crashes:
    """The crashes that this node knows.

    Attributes
    ----------
    known : dict of str to Crash
        By name.
    by_request : dict of (str, str) to set of str
        Names of the crashes of which a request is a suspect, by service and
        fingerprint.
    """

    def __init__(self) -> None:
        self.known: dict[str, Crash] = {}
        self.by_request: dict[tuple[str, str], set[str]] = {}
        self.cached_checksum: int | None = 0

    def for_request(self, service: str, fingerprint: str) -> list[Crash]:
        """Return the crashes of which a request is a suspect."""
        names = self.by_request.get((service, fingerprint), ())
        return [self.known[name] for name in names]

    def add(self, crash: Crash, now: float) -> Crash | None:
        """Take a report; return all that is known of the crash if that is news."""
        known = self.known.get(crash.name)
        merged = crash if known is None else known.merged(crash)
        if merged == known or merged.is_expired(now):
            return None
        self.store(merged)
        if len(self.known) > MAX_CRASHES:
            dropped = min(
                self.known.values(), key=lambda x: (bool(x.uncleared_proven), x.at)
            )
            self.drop(dropped.name)
        return self.known.get(crash.name)

    def clear(self, service: str, fingerprint: str) -> list[Crash]:
        """Clear a request that was answered; return the crashes with it cleared."""
        changed = [
            replace(crash, cleared=crash.cleared | {fingerprint})
            for crash in self.for_request(service, fingerprint)
        ]
        for crash in changed:
            self.store(crash)
        return changed

    def expire(self, now: float) -> None:
        """Forget what is too long ago."""
        for crash in [each for each in self.known.values() if each.is_expired(now)]:
            self.drop(crash.name)

    def store(self, crash: Crash) -> None:
        """Keep a crash in place of what was known of it."""
        self.drop(crash.name)
        self.known[crash.name] = crash
        for fingerprint in crash.uncleared:
            request = (crash.service, fingerprint)
            self.by_request.setdefault(request, set()).add(crash.name)
        self.cached_checksum = None

    def drop(self, name: str) -> None:
        """Forget a crash."""
        crash = self.known.pop(name, None)
        if crash is None:
            return
        for fingerprint in crash.uncleared:
            request = (crash.service, fingerprint)
            names = self.by_request[request]
            names.discard(name)
            if not names:
                del self.by_request[request]
        self.cached_checksum = None

    @property
    def checksum(self) -> int:
        """Return a number that two nodes share only if they know the same."""
        if self.cached_checksum is None:
            lines = sorted(map(canonical_text, self.known.values()))
            self.cached_checksum = zlib.crc32("\n".join(lines).encode())
        return self.cached_checksum


def canonical_text(crash: Crash) -> str:
    """Return what nodes have to agree on of a crash."""
    parts: tuple[Iterable[str], ...] = (crash.suspects, crash.proven, crash.cleared)
    lists = [",".join(sorted(part)) for part in parts]
    return " ".join([crash.name, *lists])
