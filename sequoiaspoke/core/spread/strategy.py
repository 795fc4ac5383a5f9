"""Strategies to distribute versions: one for use, the others for comparison.

The strategy `watch-all`, in which every node watches the platform, needs no peers
and is a configuration source of its own, apart from the one that runs this core.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from sequoiaspoke.core.spread.messages import HeadDelta

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.gate import DigestedHead

# Changed parts that an announcement may list; peers ask for larger changes.
ANNOUNCED_PARTS = 16


def difference(target: DigestedHead, base: DigestedHead | None) -> HeadDelta:
    """Return a head as its difference from another, or whole without a base."""
    if base is None:
        return HeadDelta(target.version, target.root, "", dict(target.head.parts))
    old, new = base.head.parts, target.head.parts
    changed = {name: digest for name, digest in new.items() if old.get(name) != digest}
    removed = tuple(name for name in old if name not in new)
    return HeadDelta(target.version, target.root, base.root, changed, removed)


class Strategy(ABC):
    """What differs between the ways to distribute versions."""

    reuses_parts = True

    @abstractmethod
    def announced_delta(
        self, target: DigestedHead, base: DigestedHead | None
    ) -> HeadDelta | None:
        """Return the difference that an announcement carries, if any."""

    def heartbeat_digests(self, current: DigestedHead | None) -> dict[str, str]:
        """Return the digests that heartbeats carry besides that of the root."""
        del current
        return {}


class RootThenParts(Strategy):
    """Compare one digest; fetch heads and parts only if it differs."""

    def announced_delta(
        self, target: DigestedHead, base: DigestedHead | None
    ) -> HeadDelta | None:
        """Return the difference if it is small."""
        if base is None:
            return None
        delta = difference(target, base)
        small = len(delta.changed) + len(delta.removed) <= ANNOUNCED_PARTS
        return delta if small else None


class FlatDigests(RootThenParts):
    """Compare the digests of all parts with every heartbeat."""

    def heartbeat_digests(self, current: DigestedHead | None) -> dict[str, str]:
        """Return the digest of every part."""
        return dict(current.head.parts) if current else {}


class WholeSnapshots(Strategy):
    """Send every part with every version."""

    reuses_parts = False

    def announced_delta(
        self, target: DigestedHead, base: DigestedHead | None
    ) -> HeadDelta | None:
        """Return the whole head."""
        del base
        return difference(target, None)


STRATEGIES: dict[str, type[Strategy]] = {
    "spread": RootThenParts,
    "flat-digests": FlatDigests,
    "whole-snapshots": WholeSnapshots,
}
