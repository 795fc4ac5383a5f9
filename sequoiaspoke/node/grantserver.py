"""The home side of granted direct connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from sequoiaspoke.core.routing.grants import Ask, Granted
from sequoiaspoke.core.routing.grants_home import Capacity, GrantHome
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.grantheader import read_message, write_answer
from sequoiaspoke.node.loadheader import write_load

if TYPE_CHECKING:
    from sequoiaspoke.node.home import Home
    from sequoiaspoke.node.server import IncomingCall
    from sequoiaspoke.settings.schema import Settings

POLL_SECONDS = 0.05
MAX_HOLD_SHARE = 0.5  # of the lease; how long a renewal is held for a recall


class GrantServer:
    """Answer entries that request grants of direct connections.

    A renewal is held for up to half of the lease (long polling). The home
    recalls a grant by answering the held renewal, so it needs no connection of
    its own to the entry.
    """

    def __init__(self, settings: Settings, home: Home) -> None:
        self.settings = settings
        self.home = home
        self.core = GrantHome(settings.routing)
        self.recall = asyncio.Event()
        home.gate.on_wait = self.recall_if_needed
        if not settings.routing.grant_address:
            self.core.close()

    async def answer(self, call: IncomingCall) -> None:
        """Answer a request for a grant, or process a returned one."""
        message = read_message(call.headers[names.GRANT])
        headers = HTTPHeaders({names.LOAD: write_load(self.home.report())})
        if isinstance(message, Ask):
            if message.grant:
                await self.hold_renewal()
            headers[names.GRANT] = self.ask(message)
        else:
            self.core.returned(message)
        self.update_admission()
        call.writer.write_complete(200, headers, b"")

    def ask(self, message: Ask) -> str:
        """Return the answer to a request as a header value."""
        now = asyncio.get_running_loop().time()
        self.core.expire(now)
        answer = self.core.ask(message, self.capacity(), now)
        address = self.settings.routing.grant_address
        return write_answer(answer, address if isinstance(answer, Granted) else "")

    async def hold_renewal(self) -> None:
        """Hold a renewal until a recall, or for the allowed part of the lease."""
        if self.core.closed:
            return
        self.recall.clear()
        self.recall_if_needed()
        try:
            async with asyncio.timeout(
                MAX_HOLD_SHARE * self.settings.routing.grant_lease
            ):
                await self.recall.wait()
        except TimeoutError:
            return

    def recall_if_needed(self) -> None:
        """Answer the held renewals at once if grants must be recalled."""
        now = asyncio.get_running_loop().time()
        if self.core.must_recall(self.capacity(), now):
            self.recall.set()

    def capacity(self) -> Capacity:
        """Return the limit, free slots and queue length of admission."""
        admission = self.home.gate.admission
        free = admission.free_slots()
        return Capacity(admission.limit.current(), free, len(admission.queue))

    def update_admission(self) -> None:
        """Reserve the granted slots in admission and use the returned ones."""
        gate = self.home.gate
        gate.admission.reserved = self.core.reserved
        gate.apply_verdicts(gate.admission.tick(asyncio.get_running_loop().time()))

    async def wait_until_returned(self, seconds: float) -> None:
        """Wait until no entry runs a call at the upstream under a grant.

        This node does not see those calls; a stop without the wait would cut
        them off.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self.core.reserved and loop.time() < end:
            await asyncio.sleep(POLL_SECONDS)
            self.core.expire(loop.time())

    def drain(self) -> None:
        """Stop granting connections and recall those granted."""
        self.core.close()
        self.recall.set()
