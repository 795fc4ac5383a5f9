"""Serve the readiness check, metrics and status pages of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar.httptext import local_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Request

# Path to which operators post the fingerprint of a quarantined request.
RELEASE_PATH = "/release/"


class HealthPages:
    """The pages on the health address.

    Parameters
    ----------
    path : str
        Path of the readiness check.
    unready_reason : callable
        Returns why the node is not ready, empty if it is.
    release : callable
        Releases the request of a fingerprint; returns whether it was suspected.
    """

    def __init__(
        self,
        path: str,
        unready_reason: Callable[[], str],
        metrics: Callable[[], bytes],
        status: Callable[[], bytes],
        release: Callable[[str], bool],
    ) -> None:
        self.path = path
        self.unready_reason = unready_reason
        self.metrics = metrics
        self.status = status
        self.release = release

    async def handle(self, request: Request) -> Answer:
        """Return the answer to a request for a page."""
        path = request.target.partition("?")[0]
        if path == "/metrics":
            kind = ("Content-Type", "text/plain; version=0.0.4")
            return Answer(200, (kind,), self.metrics())
        if path == "/status":
            return Answer(200, (("Content-Type", "application/json"),), self.status())
        if path.startswith(RELEASE_PATH):
            return self.release_request(request, path.removeprefix(RELEASE_PATH))
        if path != self.path:
            return local_answer(404, "no such page")
        reason = self.unready_reason()
        if reason:
            return local_answer(503, reason, retry_after=0.5)
        return local_answer(200, "ready")

    def release_request(self, request: Request, fingerprint: str) -> Answer:
        """Release a request that is suspected or in quarantine."""
        if request.method != "POST":
            return local_answer(405, "use POST")
        if not self.release(fingerprint):
            return local_answer(404, "no such request is suspected")
        return local_answer(200, "released")
