"""Count what the witnesses' messages cost: real cores and codec, a virtual clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.calls import Identity
from sequoiaspoke.core.idempotency.home import HomeCore
from sequoiaspoke.core.idempotency.moment import Moment
from sequoiaspoke.core.idempotency.settings import IdempotencySettings
from sequoiaspoke.core.idempotency.witnesses import Witness
from sequoiaspoke.core.rules.matcher import Matcher
from sequoiaspoke.core.rules.model import Endpoint, Service
from sequoiaspoke.core.snapshot.model import Head, Snapshot, Vm, VmList
from sequoiaspoke.wire.codec import encode_message

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.messages import Question

ZONE = "akaki"
TARGETS_OF_SERVICE = 3
TICKS_PER_ROUND = 4  # as in the node
WARM_SECONDS = 20
DATAGRAM_HEAD = 28  # bytes of the IP and UDP heads
WALL = 1_800_000_000.0


@dataclass(frozen=True)
class WitnessCost:
    """Messages and bytes of one node, sent and received, a second."""

    vms_in_zone: int
    messages_per_s_mean: float
    messages_per_s_most: float
    bytes_per_s_mean: float
    bytes_per_s_most: float


def measure_witnesses(vms_in_zone: int, seconds: int = 60) -> WitnessCost:
    """Let every VM of a zone be a home and a witness, and count."""
    return Zone(vms_in_zone).measure(seconds)


class Zone:
    """The homes and witnesses of one zone."""

    def __init__(self, size: int) -> None:
        self.settings = IdempotencySettings()
        self.names = [f"{ZONE}-{number}" for number in range(size)]
        vms = VmList(1, tuple(Vm(name, ZONE, "10.0.0.1", 1, 2) for name in self.names))
        snapshot = self.snapshot()
        self.homes: dict[str, HomeCore] = {}
        self.witnesses: dict[str, Witness] = {}
        for number, name in enumerate(self.names):
            service = service_of(number)
            identity = Identity(name, ZONE, service, f"t-{name}", round(WALL * 1000))
            home = self.homes[name] = HomeCore(self.settings, identity)
            witness = Witness(self.settings, name, ZONE, -WARM_SECONDS)
            self.witnesses[name] = witness
            home.on_snapshot(snapshot)
            home.on_vms(vms, Moment(0.0, WALL))
            witness.on_snapshot(snapshot)
            witness.on_vms(vms)
        self.messages = dict.fromkeys(self.names, 0)
        self.bytes = dict.fromkeys(self.names, 0)

    def snapshot(self) -> Snapshot:
        """Return a version with a few targets for each service."""
        services: dict[str, list[Endpoint]] = {}
        for number, name in enumerate(self.names):
            endpoint = Endpoint(f"t-{name}", name, ZONE, "10.0.0.1", 2)
            services.setdefault(service_of(number), []).append(endpoint)
        made = {name: Service(name, tuple(each)) for name, each in services.items()}
        return Snapshot(Head(1_900_000), (), made, Matcher(()))

    def measure(self, seconds: int) -> WitnessCost:
        """Run for a while and return the rates."""
        tick = self.settings.ask_every / TICKS_PER_ROUND
        for step in range(round(seconds / tick)):
            now = Moment(step * tick, WALL + step * tick)
            for name, home in self.homes.items():
                for question in home.tick(now):
                    self.exchange(name, question, now)
        messages, sizes = self.messages.values(), self.bytes.values()
        count = len(self.names) * seconds
        return WitnessCost(
            len(self.names),
            round(sum(messages) / count, 1),
            round(max(messages) / seconds, 1),
            round(sum(sizes) / count),
            round(max(sizes) / seconds),
        )

    def exchange(self, name: str, question: Question, now: Moment) -> None:
        """Carry a question to its witness and the answer back."""
        answer = self.witnesses[question.to].answer(question, now)
        if answer is None:
            return
        self.homes[name].on_answer(answer, now)
        if question.to == name:
            return
        for message in (question, answer):
            size = len(encode_message(question.round, message)) + DATAGRAM_HEAD
            for end in (name, question.to):
                self.messages[end] += 1
                self.bytes[end] += size


def service_of(number: int) -> str:
    """Return the service of a zone's VM."""
    return f"service-{number // TARGETS_OF_SERVICE}"
