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

DOWN_THRESHOLD = 3


class UpstreamHealth:
    """Follow the connections and answers of the upstream."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.refused_connections = 0
        self.draining_at = float("-inf")
        self.first_answer_at = float("inf")

    def answered(self, now: float) -> None:
        """Note an answer."""
        if self.first_answer_at == float("inf") or self.is_down():
            self.first_answer_at = now
        self.refused_connections = 0

    def upstream_draining(self, now: float) -> None:
        """Note that the upstream refused a call because it drains."""
        self.draining_at = now

    def connection_refused(self) -> None:
        """Note that no connection could be opened."""
        self.refused_connections += 1

    def is_down(self) -> bool:
        """Return whether the upstream takes no connections."""
        return self.refused_connections >= DOWN_THRESHOLD

    def state(self, now: float) -> UpstreamState:
        """Return what to tell other nodes."""
        if now - self.draining_at < self.settings.drain_memory:
            return UpstreamState.LEAVING
        if self.is_down():
            return UpstreamState.DOWN
        if now - self.first_answer_at < self.settings.warm_up:
            return UpstreamState.COLD
        return UpstreamState.READY
