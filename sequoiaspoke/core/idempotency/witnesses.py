"""Choose the witnesses of a service, and answer as one of them.

A home may run new keys only while a quorum of VMs of its zone confirms its
assignment. Any two quorums share a witness, and a witness never returns to an older
version, so two homes of the same key cannot both hold a quorum for long.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.assignment import Assignment
from sequoiaspoke.core.idempotency.epoch import Epoch, digest_of
from sequoiaspoke.core.idempotency.messages import Answer
from sequoiaspoke.core.idempotency.rendezvous import rank
from sequoiaspoke.core.idempotency.safeguards import Safeguards

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.idempotency.messages import Question
    from sequoiaspoke.core.idempotency.moment import Moment
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings
    from sequoiaspoke.core.snapshot.model import Snapshot, VmList

MAX_RECORDS = 10_000
SILENCE_WINDOWS = 2


@dataclass(frozen=True)
class WitnessSet:
    """The VMs that confirm homes of a service, and how many of them must."""

    vms: tuple[str, ...]
    quorum: int

    @property
    def digest(self) -> str:
        """Return a digest of the set."""
        return digest_of(self.vms)


def choose_witnesses(
    service: str, vms: Iterable[str], settings: IdempotencySettings
) -> WitnessSet:
    """Choose the witnesses of a service among the VMs of its zone.

    A quorum is at least a majority, whatever the settings say. Two smaller quorums
    need not share a witness, so two homes of one key could both hold one.
    """
    ranked = rank(service, vms)
    chosen = tuple(ranked[: settings.witnesses])
    majority = len(chosen) // 2 + 1
    if len(ranked) < settings.witnesses:
        return WitnessSet(chosen, majority)
    return WitnessSet(chosen, min(len(chosen), max(settings.quorum, majority)))


def zone_vms(vms: VmList, zone: str) -> tuple[str, ...]:
    """Return the names of a zone's VMs, including those that are leaving."""
    return tuple(vm.name for vm in vms.vms if vm.zone == zone)


def if_changed(asked: Epoch, known: Epoch) -> Epoch | None:
    """Return the known epoch, or None if it equals the one in the question."""
    return None if known == asked else known


@dataclass
class ServiceRecord:
    """What a witness has confirmed; each epoch only moves forward."""

    targets: Epoch = field(default_factory=Epoch)
    members: Epoch = field(default_factory=Epoch)
    holders: dict[str, Epoch] = field(default_factory=dict)


class Witness:
    """Confirm the assignments of homes of the zone.

    Parameters
    ----------
    started : float
        Steady clock seconds at which the process started.
    """

    def __init__(
        self,
        settings: IdempotencySettings,
        vm: str,
        zone: str,
        started: float,
        safeguards: Safeguards = Safeguards(),
    ) -> None:
        self.settings = settings
        self.vm = vm
        self.zone = zone
        self.started = started
        self.safeguards = safeguards
        self.records: dict[str, ServiceRecord] = {}
        self.assignment = Assignment(zone)
        self.vms: VmList | None = None

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Take an installed version."""
        self.assignment.on_snapshot(snapshot)

    def on_vms(self, vms: VmList) -> None:
        """Take a VM list."""
        self.vms = vms

    def answer(self, question: Question, now: Moment) -> Answer | None:
        """Record the home's claim and return what is known; None while silent."""
        if question.to != self.vm:
            return None
        record = self._record(question)
        if record is None or self.is_silent(now) or self._is_removed():
            return None
        return Answer(
            self.vm,
            question.target,
            question.round,
            if_changed(question.targets, record.targets),
            if_changed(question.members, record.members),
            if_changed(question.holder, record.holders[question.target]),
        )

    def is_silent(self, now: Moment) -> bool:
        """Return whether the process started too recently to answer.

        A restarted witness has lost its records. If it answered at once, it could
        confirm an older version while the window of a home that it confirmed
        before is still open, and both homes would run the same key. After two
        windows no answer of the previous process counts any more.
        """
        if not self.safeguards.witness_silence:
            return False
        return now.steady - self.started <= SILENCE_WINDOWS * self.settings.window

    def _is_removed(self) -> bool:
        """Return whether the VM list no longer contains this VM.

        Homes with a newer list choose quorums without this VM. A quorum of a home
        with an older list that counts it need not share a witness with those.
        """
        return self.vms is not None and self.vm not in zone_vms(self.vms, self.zone)

    def _record(self, question: Question) -> ServiceRecord | None:
        record = self.records.get(question.service_name)
        if record is None:
            if len(self.records) >= MAX_RECORDS:
                return None
            record = self.records[question.service_name] = ServiceRecord()
        self._merge_own_view(record, question.service_name)
        record.targets = record.targets.merge(question.targets)
        record.members = record.members.merge(question.members)
        holder = record.holders.get(question.target, Epoch())
        if not holder.digest and len(record.holders) >= MAX_RECORDS:
            return None
        record.holders[question.target] = holder.merge(question.holder)
        return record

    def _merge_own_view(self, record: ServiceRecord, service: str) -> None:
        if self.assignment.snapshot is not None:
            version = self.assignment.snapshot.version
            digest = self.assignment.digest(service)
            record.targets = record.targets.advance(version, digest)
        if self.vms is not None:
            chosen = choose_witnesses(
                service, zone_vms(self.vms, self.zone), self.settings
            )
            record.members = record.members.advance(self.vms.revision, chosen.digest)
