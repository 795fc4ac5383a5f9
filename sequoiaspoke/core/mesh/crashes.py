"""Record which requests ran at upstreams when they crashed.

The node beside an upstream reports each crash once, and the report is forwarded to all
nodes. Reports of one crash are merged. Merging is commutative and idempotent, so nodes
converge in whatever order and however often they exchange reports, also after a
network partition.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Seconds for which a crash is remembered, and one that a single suspect caused.
KEEP_SECONDS, PROVEN_KEEP_SECONDS = 600.0, 7200.0
# Limit of the remembered crashes, as an upstream that crashes for other reasons would
# otherwise fill the memory of every node.
MAX_CRASHES = 300


@dataclass(frozen=True)
class Crash:
    """A crash of an upstream and the requests that it ran at that time.

    Attributes
    ----------
    name : str
        Unique name of the crash. The instance does not suffice: an upstream may crash
        twice before the platform reports its second start.
    instance : str
        The upstream that crashed.
    at : float
        Time of the crash by this node's clock.
    suspects : frozenset of str
        Fingerprints of the requests that ran there.
    proven : frozenset of str
        The request that was a suspect before, if there was exactly one.
    cleared : frozenset of str
        Requests that an upstream of the service has answered since.
    """

    name: str
    instance: str
    service: str
    at: float
    suspects: frozenset[str]
    proven: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()

    def merged(self, other: Crash) -> Crash:
        """Return the union of two reports of the crash."""
        return replace(
            self,
            suspects=self.suspects | other.suspects,
            proven=self.proven | other.proven,
            cleared=self.cleared | other.cleared,
        )

    @property
    def uncleared(self) -> frozenset[str]:
        """Return the suspects that have not been cleared."""
        return self.suspects - self.cleared

    @property
    def uncleared_proven(self) -> frozenset[str]:
        """Return the proven requests that have not been cleared."""
        return self.proven - self.cleared

    def is_expired(self, now: float) -> bool:
        """Return whether the crash is too old to be remembered."""
        kept = PROVEN_KEEP_SECONDS if self.uncleared_proven else KEEP_SECONDS
        return now - self.at > kept


class Crashes:
    """The crashes that this node remembers.

    Attributes
    ----------
    by_name : dict of str to Crash
        By name.
    by_request : dict of (str, str) to set of str
        Names of the crashes in which a request is an uncleared suspect, by service
        and fingerprint.
    """

    def __init__(self) -> None:
        self.by_name: dict[str, Crash] = {}
        self.by_request: dict[tuple[str, str], set[str]] = {}
        self.cached_checksum: int | None = 0

    def for_request(self, service: str, fingerprint: str) -> list[Crash]:
        """Return the crashes in which a request is an uncleared suspect."""
        names = self.by_request.get((service, fingerprint), ())
        return [self.by_name[name] for name in names]

    def add(self, crash: Crash, now: float) -> Crash | None:
        """Merge a report; return the merged crash if it changed, else None."""
        known = self.by_name.get(crash.name)
        merged = crash if known is None else known.merged(crash)
        if merged == known or merged.is_expired(now):
            return None
        self.store(merged)
        if len(self.by_name) > MAX_CRASHES:
            dropped = min(
                self.by_name.values(), key=lambda x: (bool(x.uncleared_proven), x.at)
            )
            self.drop(dropped.name)
        return self.by_name.get(crash.name)

    def clear(self, service: str, fingerprint: str) -> list[Crash]:
        """Clear a request that was answered; return the crashes that changed."""
        changed = [
            replace(crash, cleared=crash.cleared | {fingerprint})
            for crash in self.for_request(service, fingerprint)
        ]
        for crash in changed:
            self.store(crash)
        return changed

    def expire(self, now: float) -> None:
        """Forget the crashes that are too old."""
        for crash in [each for each in self.by_name.values() if each.is_expired(now)]:
            self.drop(crash.name)

    def store(self, crash: Crash) -> None:
        """Store a crash, replacing an earlier record of it."""
        self.drop(crash.name)
        self.by_name[crash.name] = crash
        for fingerprint in crash.uncleared:
            request = (crash.service, fingerprint)
            self.by_request.setdefault(request, set()).add(crash.name)
        self.cached_checksum = None

    def drop(self, name: str) -> None:
        """Forget a crash."""
        crash = self.by_name.pop(name, None)
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
        """Return a checksum of the remembered crashes, to compare nodes by."""
        if self.cached_checksum is None:
            lines = sorted(map(canonical_text, self.by_name.values()))
            self.cached_checksum = zlib.crc32("\n".join(lines).encode())
        return self.cached_checksum


def canonical_text(crash: Crash) -> str:
    """Return the parts of a crash that are the same at all nodes, as text."""
    parts: tuple[Iterable[str], ...] = (crash.suspects, crash.proven, crash.cleared)
    lists = [",".join(sorted(part)) for part in parts]
    return " ".join([crash.name, *lists])
