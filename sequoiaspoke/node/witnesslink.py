"""Questions to witnesses and their answers, each in one UDP datagram.

Every home asks seven VMs each second. Connections would add fourteen to each node,
most of them used for nothing else. A lost datagram costs one answer of one round,
and three rounds fit into the window.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from loguru import logger as log
from tornado.ioloop import PeriodicCallback

from sequoiaspoke.core.idempotency.messages import Answer, Question
from sequoiaspoke.core.idempotency.moment import Moment
from sequoiaspoke.errors import MessageError
from sequoiaspoke.wire.codec import decode_message, encode_message

if TYPE_CHECKING:
    import socket

    from sequoiaspoke.core.idempotency.home import HomeCore
    from sequoiaspoke.core.idempotency.witnesses import Witness
    from sequoiaspoke.core.snapshot.model import Snapshot
    from sequoiaspoke.node.config import ConfigSource

TICKS_PER_ROUND = 4
CLOCK_READINGS = 5
MAX_READING_GAP = 0.002  # seconds
SocketAddress = tuple[str, int]


def moment() -> Moment:
    """Read the steady clock and the wall clock at nearly the same time.

    If the process is preempted between the two readings, the wall clock seems to
    have jumped, and the home would end its lease. So a slow reading is retried.
    """
    for _ in range(CLOCK_READINGS):
        steady = time.clock_gettime(time.CLOCK_BOOTTIME)
        wall = time.time()
        if time.clock_gettime(time.CLOCK_BOOTTIME) - steady < MAX_READING_GAP:
            break
    return Moment(steady, wall)


class WitnessLink(asyncio.DatagramProtocol):
    """Send the questions of this node's home and answer those to its witness."""

    def __init__(self, config: ConfigSource, core: HomeCore, witness: Witness) -> None:
        self.config = config
        self.core = core
        self.witness = witness
        self.snapshot: Snapshot | None = None
        self.revision = 0
        self.addresses: dict[str, SocketAddress] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.counters: Counter[str] = Counter()
        period = core.settings.ask_every / TICKS_PER_ROUND * 1000
        self.ticker = PeriodicCallback(self.tick, period)

    async def listen(self, sock: socket.socket) -> None:
        """Use a bound socket and start the rounds of questions."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self.ticker.start()

    def close(self) -> None:
        """Stop the timer and close the socket."""
        self.ticker.stop()
        if self.transport:
            self.transport.close()

    def refresh(self) -> None:
        """Apply the current version, so that decisions are based on it."""
        snapshot = self.config.current
        if snapshot is None or snapshot is self.snapshot:
            return
        self.snapshot = snapshot
        self.core.on_snapshot(snapshot)
        self.witness.on_snapshot(snapshot)

    def tick(self) -> None:
        """Send the questions that are due."""
        self.refresh()
        self.refresh_vms()
        questions = self.core.tick(moment())
        if not self.is_needed():
            return
        for question in questions:
            self.ask(question)

    def is_needed(self) -> bool:
        """Return whether any rule routes keyed calls to this service."""
        lease = self.core.lease
        return lease.identity.service in lease.assignment.routes

    def refresh_vms(self) -> None:
        """Apply the newest VM list."""
        vms = self.config.vms
        if vms.revision == self.revision:
            return
        self.revision = vms.revision
        self.addresses = {vm.name: (vm.address, vm.peer_port) for vm in vms.vms}
        self.core.on_vms(vms, moment())
        self.witness.on_vms(vms)

    def ask(self, question: Question) -> None:
        """Send a question; answer it locally if it is for this VM's own witness."""
        if question.to == self.witness.vm:
            answer = self.witness.answer(question, moment())
            if answer:
                self.core.on_answer(answer, moment())
            return
        address = self.addresses.get(question.to)
        if address:
            self.send(question, question.round, address)

    def send(self, message: Question | Answer, number: int, to: SocketAddress) -> None:
        """Send one datagram, without confirmation of delivery."""
        payload = encode_message(number, message)
        self.counters["datagrams-sent"] += 1
        self.counters["bytes-sent"] += len(payload)
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(payload, to)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Process a received datagram; called by asyncio."""
        self.counters["datagrams-received"] += 1
        self.counters["bytes-received"] += len(data)
        try:
            number, message = decode_message(data)
        except MessageError:
            self.counters["datagrams-invalid"] += 1
            return
        self.refresh()
        if isinstance(message, Answer):
            self.core.on_answer(message, moment())
        elif isinstance(message, Question):
            answer = self.witness.answer(message, moment())
            if answer:
                self.send(answer, number, addr)

    def error_received(self, exc: Exception) -> None:
        """Count a failed send, as to a closed port; called by asyncio."""
        self.counters["datagrams-refused"] += 1
        log.debug("witness-unreachable", reason=str(exc))
