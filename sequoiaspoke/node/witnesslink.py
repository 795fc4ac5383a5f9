"""Questions to witnesses and their answers, each in one datagram.

Every home asks seven VMs a second. Over connections that would be fourteen more for
each node, most of which say nothing else; a datagram that is lost costs one answer
of one round, and three rounds fit the window.
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
from sequoiaspoke.errors import AddressInUseError, MessageError
from sequoiaspoke.wire.codec import decode_message, encode_message

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.home import HomeCore
    from sequoiaspoke.core.idempotency.witnesses import Witness
    from sequoiaspoke.core.snapshot.model import Snapshot
    from sequoiaspoke.node.config import ConfigSource

TICKS_PER_ROUND = 4
CLOCK_READINGS = 5
MAX_READING_GAP = 0.002  # seconds
SocketAddress = tuple[str, int]


def moment() -> Moment:
    """Return the present on both clocks, read close together.

    A process that is set aside between the two readings would see a step of the
    wall clock where there is none, and end its tenure for it.
    """
    for _ in range(CLOCK_READINGS):
        steady = time.clock_gettime(time.CLOCK_BOOTTIME)
        wall = time.time()
        if time.clock_gettime(time.CLOCK_BOOTTIME) - steady < MAX_READING_GAP:
            break
    return Moment(steady, wall)


class WitnessLink(asyncio.DatagramProtocol):
    """Ask for this node's home, and answer for its witness."""

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

    async def listen(self, address: str, port: int) -> int:
        """Open the socket and begin to ask; return the port.

        Raises
        ------
        AddressInUseError
            The port is taken.
        """
        loop = asyncio.get_running_loop()
        try:
            self.transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=(address, port)
            )
        except OSError as error:
            raise AddressInUseError(f"{address}:{port}: {error}") from error
        self.ticker.start()
        return self.transport.get_extra_info("sockname")[1]

    def close(self) -> None:
        """Fall silent."""
        self.ticker.stop()
        if self.transport:
            self.transport.close()

    def refresh(self) -> None:
        """Learn of the version in force before a decision rests on it."""
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
        tenure = self.core.tenure
        return tenure.identity.service in tenure.assignment.routes

    def refresh_vms(self) -> None:
        """Learn of the newest VM list."""
        vms = self.config.vms
        if vms.revision == self.revision:
            return
        self.revision = vms.revision
        self.addresses = {vm.name: (vm.address, vm.peer_port) for vm in vms.vms}
        self.core.on_vms(vms, moment())
        self.witness.on_vms(vms)

    def ask(self, question: Question) -> None:
        """Send a question, or answer it where it is this VM's own."""
        if question.to == self.witness.vm:
            answer = self.witness.answer(question, moment())
            if answer:
                self.core.on_vouch(answer, moment())
            return
        address = self.addresses.get(question.to)
        if address:
            self.send(question, question.round, address)

    def send(self, message: Question | Answer, number: int, to: SocketAddress) -> None:
        """Send one datagram; nobody learns whether it arrives."""
        payload = encode_message(number, message)
        self.counters["datagrams-sent"] += 1
        self.counters["bytes-sent"] += len(payload)
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(payload, to)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a datagram; called by the library."""
        self.counters["datagrams-received"] += 1
        self.counters["bytes-received"] += len(data)
        try:
            number, message = decode_message(data)
        except MessageError:
            self.counters["datagrams-invalid"] += 1
            return
        self.refresh()
        if isinstance(message, Answer):
            self.core.on_vouch(message, moment())
        elif isinstance(message, Question):
            answer = self.witness.answer(message, moment())
            if answer:
                self.send(answer, number, addr)

    def error_received(self, exc: Exception) -> None:
        """Take a refusal of the other end's host; called by the library."""
        self.counters["datagrams-refused"] += 1
        log.debug("witness-unreachable", reason=str(exc))
