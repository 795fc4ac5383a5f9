"""The platform's stand-in: documents that are read and watched."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from sequoiaspoke.core.snapshot.publish import VMS_DOCUMENT
from sequoiaspoke.errors import ValueTooLargeError
from sequoiaspoke.standins import faults as fault
from sequoiaspoke.standins.base import Standin, StandinHandler
from sequoiaspoke.standins.rate import WINDOW, CallCounts, RateLimit

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiaspoke.standins.settings import PlatformStandinSettings

LONGEST_WAIT = 300.0  # seconds of one watch


@dataclass(frozen=True)
class Document:
    """A document's bytes and how often it was written."""

    revision: int
    data: bytes


class PlatformStandin(Standin):
    """Serve documents as the platform does; readers cannot write.

    Attributes
    ----------
    documents : dict
        What is published now, by name.
    kept : dict
        What a stale platform serves, see `keep`.
    calls : CallCounts
        What was asked of it.
    """

    def __init__(self, settings: PlatformStandinSettings) -> None:
        super().__init__(settings.address, settings.port)
        self.settings = settings
        self.documents: dict[str, Document] = {}
        self.kept: dict[str, Document] = {}
        self.faults = fault.PlatformFaults()
        self.limit = RateLimit(settings.rate)
        self.calls = CallCounts()
        self.random = random.Random(settings.seed)
        self.waiters: set[asyncio.Future[None]] = set()

    def publish(self, documents: Mapping[str, bytes]) -> None:
        """Write documents in the order given.

        Raises
        ------
        ValueTooLargeError
            A document is too large; none is written then.
        """
        for name, data in documents.items():
            if len(data) > self.settings.value_limit:
                limit = self.settings.value_limit
                raise ValueTooLargeError(f"{name}: {len(data)} bytes of {limit}")
        for name, data in documents.items():
            if name == VMS_DOCUMENT and self.faults.vms_lag:
                loop = asyncio.get_running_loop()
                loop.call_later(self.faults.vms_lag, self.write, name, data)
                continue
            self.write(name, data)

    def write(self, name: str, data: bytes) -> None:
        """Show a document to readers."""
        self.documents[name] = Document(self.revision(name) + 1, data)
        self.wake()

    def revision(self, name: str) -> int:
        """Return a document's revision, 0 if there is none."""
        document = self.documents.get(name)
        return document.revision if document else 0

    def keep(self) -> None:
        """Keep the documents of this moment for a stale platform to serve."""
        self.kept = dict(self.documents)

    def set_faults(self, faults: fault.PlatformFaults) -> None:
        """Show these faults from now on; waiting watches notice at once."""
        self.faults = faults
        refusing = faults.down == fault.REFUSE
        if refusing:
            self.close()
        if not refusing and self.server is None:
            self.start()
        self.wake()

    def served(self, name: str) -> Document | None:
        """Return what readers see of a document."""
        return (self.kept if self.faults.stale else self.documents).get(name)

    def wake(self) -> None:
        """Let every waiting watch look again."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    def routes(self) -> list[Any]:
        """Return the read side."""
        standin = {"standin": self}
        return [
            (r"/v1/documents/(.+)", ReadHandler, standin),
            (r"/v1/watch/(.+)", WatchHandler, standin),
        ]

    def report(self) -> dict[str, Any]:
        """Return the counts and the revisions."""
        calls = self.calls
        revisions = {name: each.revision for name, each in self.documents.items()}
        return {
            "reads": calls.reads,
            "watches": calls.watches,
            "waiting": calls.waiting,
            "refused": calls.refused,
            "failed": calls.failed,
            "bytes_sent": calls.bytes_sent,
            "peak_per_second": calls.peak,
            "recent_per_second": calls.recent(asyncio.get_running_loop().time()),
            "revisions": revisions,
        }

    def change_faults(self, given: Mapping[str, str]) -> None:
        """Replace the named faults."""
        self.set_faults(fault.change_faults(self.faults, given))

    def actions(self) -> dict[str, Callable[[], None]]:
        """Return what the control page can order."""
        return {"keep": self.keep, "silence": self.silence}


class DocumentHandler(StandinHandler):
    """What reads and watches share."""

    standin: PlatformStandin

    def admit(self) -> bool:
        """Count the call; answer it here if the platform refuses or is down."""
        now = asyncio.get_running_loop().time()
        self.standin.calls.count(now)
        if not self.standin.limit.take(now):
            self.standin.calls.refused += 1
            self.set_status(429)
            self.set_header("Retry-After", str(int(WINDOW)))
            return False
        return self.up()

    def up(self) -> bool:
        """Return whether the platform works; answer 503 if not."""
        if self.standin.faults.down == fault.UP:
            return True
        self.standin.calls.failed += 1
        self.set_status(503)
        self.set_header("Retry-After", str(int(WINDOW)))
        return False

    async def answer(self, document: Document) -> None:
        """Send a document, as late as the faults say."""
        faults = self.standin.faults
        late = faults.delay + self.standin.random.uniform(0, faults.disorder)
        await self.pause(late)
        await self.hold_if_silenced()
        if self.gone.done():
            return
        self.set_header("Revision", str(document.revision))
        self.set_header("Content-Type", "application/octet-stream")
        self.standin.calls.bytes_sent += len(document.data)
        self.write(document.data)


class ReadHandler(DocumentHandler):
    """GET /v1/documents/NAME."""

    async def get(self, name: str) -> None:
        """Answer with the document as it is now."""
        if not self.admit():
            return
        self.standin.calls.reads += 1
        document = self.standin.served(name)
        if document is None:
            self.set_status(404)
            return
        await self.answer(document)


class WatchHandler(DocumentHandler):
    """GET /v1/watch/NAME?after=REVISION&wait=SECONDS."""

    async def get(self, name: str) -> None:
        """Answer as soon as the document is newer, or 204 when the wait ends."""
        try:
            after = int(self.get_query_argument("after", "0"))
            wait = float(self.get_query_argument("wait", "30"))
        except ValueError:
            after, wait = -1, 0.0
        if after < 0 or not 0 <= wait < math.inf:
            self.set_status(400)
            return
        if not self.admit():
            return
        self.standin.calls.watches += 1
        document = await self.newer(name, after, min(wait, LONGEST_WAIT))
        if not self.up() or self.gone.done():
            return
        if document is None:
            await self.hold_if_silenced()
            self.set_status(204)
            return
        await self.answer(document)

    async def newer(self, name: str, after: int, wait: float) -> Document | None:
        """Wait until a document is newer than a revision."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while self.standin.faults.down == fault.UP and not self.gone.done():
            document = self.standin.served(name)
            if document is not None and document.revision > after:
                return document
            if loop.time() >= end:
                return None
            await self.wait_for_change(end - loop.time())
        return None

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until something is written, the client goes or the time ends."""
        waiter = asyncio.get_running_loop().create_future()
        self.standin.waiters.add(waiter)
        self.standin.calls.waiting += 1
        try:
            await asyncio.wait(
                [waiter, self.gone],
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self.standin.waiters.discard(waiter)
            self.standin.calls.waiting -= 1
