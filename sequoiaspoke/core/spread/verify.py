"""Decide whether a node may serve its version after it was paused.

A process that resumes after a pause has an old version and takes it for current.
Until peers or the platform, asked after the pause, have confirmed the version, calls
might be decided by rules that the rest of the fleet has replaced. A node that reaches
no other serves again after a bounded wait, since a zone that is cut off must go on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.spread.links import Link, LinkTable
    from sequoiaspoke.core.spread.platform import PlatformReader
    from sequoiaspoke.core.spread.state import SpreadState


class Verifier:
    """Holds the `verified` flag that the node's server reads."""

    def __init__(
        self, state: SpreadState, links: LinkTable, platform: PlatformReader
    ) -> None:
        self.state = state
        self.links = links
        self.platform = platform
        self.settings = state.settings.membership
        self.resumed_at: float | None = None
        self.confirmed: set[str] = set()

    @property
    def verified(self) -> bool:
        """Return whether the version in force may decide calls."""
        return self.resumed_at is None and self.state.holder.current is not None

    def on_resume(self, now: float) -> None:
        """Mark the version as unverified after a pause that ends now."""
        self.state.count("pause-detected")
        if self.state.holder.current is None:
            return
        self.resumed_at = now
        self.confirmed = set()

    def confirm(self, link: Link, asked_at: float) -> None:
        """Record a peer's answer if its question was sent after the pause."""
        if self.resumed_at is not None and asked_at >= self.resumed_at:
            self.confirmed.add(link.peer)

    def tick(self, now: float) -> None:
        """Mark the version as verified once confirmed or when the wait is over."""
        if self.resumed_at is None:
            return
        waited = now - self.resumed_at
        if self._behind() and waited < self.settings.verify_cap:
            return
        if self._confirmed() or waited >= self.settings.verify_wait:
            self.resumed_at = None
            self.state.count("view-verified")

    def _confirmed(self) -> bool:
        if self.platform.answered and self.platform.on_duty:
            return True
        return 0 < self.settings.verify_peers <= len(self.confirmed)

    def _behind(self) -> bool:
        holder = self.state.holder
        if holder.gate.candidates:
            return True
        return any(
            link.status.version > holder.version
            and link.status.version not in holder.gate.refused
            for link in self.links.live()
        )
