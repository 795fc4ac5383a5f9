"""Tell from real calls whether this node's upstream is down or cold.

The upstream's own health page lags and misleads, so it is not asked. Three
refused connections in a row mean down: one may be a full backlog. The first
answer ends that. Before the first answer and for some seconds after it the
upstream counts as cold, so that other nodes give it its share step by step.

An upstream that drains by itself refuses what it gets. Each refusal would cost
its caller another attempt and the service a token of its retries, so one such
answer makes the target count as leaving for some seconds. It ends, since a drain
may be called off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.model import UpstreamState

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.settings import AdmissionSettings

REFUSED_CONNECTIONS = 3


class UpstreamHealth:
    """Follow the connections and answers of the upstream."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.refused = 0
        self.drained_at = float("-inf")
        self.answered_first = float("inf")

    def answered(self, now: float) -> None:
        """Note an answer."""
        if self.answered_first == float("inf") or self.is_down():
            self.answered_first = now
        self.refused = 0

    def said_draining(self, now: float) -> None:
        """Note that the upstream refused a call because it drains."""
        self.drained_at = now

    def connection_refused(self) -> None:
        """Note that no connection could be opened."""
        self.refused += 1

    def is_down(self) -> bool:
        """Return whether the upstream takes no connections."""
        return self.refused >= REFUSED_CONNECTIONS

    def state(self, now: float) -> UpstreamState:
        """Return what to tell other nodes."""
        if now - self.drained_at < self.settings.drain_memory:
            return UpstreamState.LEAVING
        if self.is_down():
            return UpstreamState.DOWN
        if now - self.answered_first < self.settings.warm_up:
            return UpstreamState.COLD
        return UpstreamState.READY
