"""Answer whether this node takes callers, its metrics and what it believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar.httptext import local_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Request

# Where operators post the fingerprint of a request that is held back.
RELEASE_PATH = "/release/"


class HealthPages:
    """The pages on the health address."""

    def __init__(
        self,
        path: str,
        ready: Callable[[], str],
        metrics: Callable[[], bytes],
        status: Callable[[], bytes],
        release: Callable[[str], bool],
    ) -> None:
        self.path = path
        self.ready = ready
        self.metrics = metrics
        self.status = status
        self.release = release

    async def handle(self, request: Request) -> Answer:
        """Return a page."""
        path = request.target.partition("?")[0]
        if path == "/metrics":
            kind = ("Content-Type", "text/plain; version=0.0.4")
            return Answer(200, (kind,), self.metrics())
        if path == "/status":
            return Answer(200, (("Content-Type", "application/json"),), self.status())
        if path.startswith(RELEASE_PATH):
            return self.release_held(request, path.removeprefix(RELEASE_PATH))
        if path != self.path:
            return local_answer(404, "no such page")
        reason = self.ready()
        if reason:
            return local_answer(503, reason, retry_after=0.5)
        return local_answer(200, "ready")

    def release_held(self, request: Request, fingerprint: str) -> Answer:
        """Let go of a request that is suspected or held back."""
        if request.method != "POST":
            return local_answer(405, "post it")
        if not self.release(fingerprint):
            return local_answer(404, "no such request is suspected")
        return local_answer(200, "released")
