"""The home's side of granted direct connections."""

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

LOOK_SECONDS = 0.05
HELD_PART = 0.5  # of the lease, for which a renewal waits for a recall


class GrantServer:
    """Answer entries that ask for direct connections.

    A renewal is held back for half of its lease, so that there is always one to
    answer when a grant has to be recalled: a home can reach an entry at once
    without a connection of its own to it.
    """

    def __init__(self, settings: Settings, home: Home) -> None:
        self.settings = settings
        self.home = home
        self.core = GrantHome(settings.routing)
        self.recall = asyncio.Event()
        home.gate.on_wait = self.look
        if not settings.routing.grant_address:
            self.core.close()

    async def answer(self, call: IncomingCall) -> None:
        """Answer a question, or take a grant back."""
        message = read_message(call.headers[names.GRANT])
        headers = HTTPHeaders({names.LOAD: write_load(self.home.report())})
        if isinstance(message, Ask):
            if message.grant:
                await self.hold()
            headers[names.GRANT] = self.ask(message)
        else:
            self.core.returned(message)
        self.take_over()
        call.writer.write_complete(200, headers, b"")

    def ask(self, message: Ask) -> str:
        """Return the answer to a question as a header's value."""
        now = asyncio.get_running_loop().time()
        self.core.expire(now)
        answer = self.core.ask(message, self.room(), now)
        address = self.settings.routing.grant_address
        return write_answer(answer, address if isinstance(answer, Granted) else "")

    async def hold(self) -> None:
        """Wait for a recall, for a part of the lease at most."""
        if self.core.closed:
            return
        self.recall.clear()
        self.look()
        try:
            async with asyncio.timeout(HELD_PART * self.settings.routing.grant_lease):
                await self.recall.wait()
        except TimeoutError:
            return

    def look(self) -> None:
        """Answer held renewals at once if their grants must come back."""
        now = asyncio.get_running_loop().time()
        if self.core.must_recall(self.room(), now):
            self.recall.set()

    def room(self) -> Capacity:
        """Return what admission says of the slots."""
        admission = self.home.gate.admission
        free = admission.free_slots()
        return Capacity(admission.limit.current(), free, len(admission.queue))

    def take_over(self) -> None:
        """Let admission count what is lent, and use what came back."""
        gate = self.home.gate
        gate.admission.reserved = self.core.reserved
        gate.apply_verdicts(gate.admission.tick(asyncio.get_running_loop().time()))

    async def returned(self, seconds: float) -> None:
        """Wait until no entry runs a call at the upstream under a grant.

        A stop that did not would cut calls that this node cannot see.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self.core.reserved and loop.time() < end:
            await asyncio.sleep(LOOK_SECONDS)
            self.core.expire(loop.time())

    def drain(self) -> None:
        """Lend nothing any more."""
        self.core.close()
        self.recall.set()
