"""Derive the state of this node's upstream from the calls made to it.

The upstream's health page is not used, since it lags and can be wrong. Three
refused connections in a row mean that the upstream is down; a single one may
come from a full backlog. The next answer ends that state. Until the first answer
and for some seconds after it the upstream counts as cold, so that other nodes
raise its share of calls gradually.

A draining upstream refuses every call, and each refusal costs another attempt
and a token of the service's retry budget. One such refusal therefore makes the
target count as leaving for some seconds. The state expires because a drain may
be cancelled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.routing.model import UpstreamState

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.settings import AdmissionSettings

DOWN_THRESHOLD = 3  # refused connections in a row


class UpstreamHealth:
    """Track the connections and answers of the upstream."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.refused_connections = 0
        self.draining_at = float("-inf")
        self.first_answer_at = float("inf")

    def answered(self, now: float) -> None:
        """Record an answer."""
        if self.first_answer_at == float("inf") or self.is_down():
            self.first_answer_at = now
        self.refused_connections = 0

    def upstream_draining(self, now: float) -> None:
        """Record that the upstream refused a call because it is draining."""
        self.draining_at = now

    def connection_refused(self) -> None:
        """Record that no connection could be opened."""
        self.refused_connections += 1

    def is_down(self) -> bool:
        """Return whether the upstream refuses connections."""
        return self.refused_connections >= DOWN_THRESHOLD

    def state(self, now: float) -> UpstreamState:
        """Return the state to report to other nodes."""
        if now - self.draining_at < self.settings.drain_memory:
            return UpstreamState.LEAVING
        if self.is_down():
            return UpstreamState.DOWN
        if now - self.first_answer_at < self.settings.warm_up:
            return UpstreamState.COLD
        return UpstreamState.READY
