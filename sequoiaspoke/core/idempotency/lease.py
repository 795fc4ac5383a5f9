"""Hold the lease of one target: ask the witnesses and evaluate their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.assignment import Assignment
from sequoiaspoke.core.idempotency.epoch import Epoch, digest_of
from sequoiaspoke.core.idempotency.messages import Question, Round
from sequoiaspoke.core.idempotency.window import NEVER, Window
from sequoiaspoke.core.idempotency.witnesses import (
    choose_witnesses,
    zone_vms,
)

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.calls import Identity
    from sequoiaspoke.core.idempotency.messages import Answer
    from sequoiaspoke.core.idempotency.moment import Moment
    from sequoiaspoke.core.idempotency.safeguards import Safeguards
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings
    from sequoiaspoke.core.idempotency.witnesses import WitnessSet
    from sequoiaspoke.core.snapshot.model import Snapshot, VmList


class Lease:
    """The exclusive right of this process to run new keys of its target."""

    def __init__(
        self,
        settings: IdempotencySettings,
        identity: Identity,
        safeguards: Safeguards,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.safeguards = safeguards
        self.window = Window(settings)
        self.assignment = Assignment(identity.zone)
        self.target_names: tuple[str, ...] = ()
        self.installed_digest = ""  # of the assignment in force in this process
        self.targets = Epoch()
        self.members = Epoch()
        process = digest_of((identity.target, str(identity.incarnation)))
        self.holder = Epoch(identity.incarnation, process)
        self.current: WitnessSet | None = None
        self.previous: list[tuple[WitnessSet, float]] = []  # until, on the steady clock
        self.rounds: dict[int, Round] = {}
        # An answer may leave out the holder. If rounds were numbered from 1, a late
        # answer to the previous process could match a round of this one.
        self.last_round = identity.incarnation
        self.next_round_at = NEVER
        self.clock_offset: float | None = None
        self.superseded = False

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Take an installed version; changed targets end the lease."""
        service = self.identity.service
        self.assignment.on_snapshot(snapshot)
        self.target_names = self.assignment.targets(service)
        self.installed_digest = self.assignment.digest(service)
        since = self.targets.since
        self.targets = self.targets.advance(snapshot.version, self.installed_digest)
        if self.targets.since != since or not self._matches_witnesses():
            self._end()

    def on_vms(self, vms: VmList, now: Moment) -> None:
        """Take a VM list; the previous witnesses must confirm too for a while."""
        names = zone_vms(vms, self.identity.zone)
        chosen = choose_witnesses(self.identity.service, names, self.settings)
        self.members = self.members.advance(vms.revision, chosen.digest)
        if self.members.digest != chosen.digest or chosen == self.current:
            return
        if self.current is not None:
            self.previous.append((self.current, now.steady + self.settings.departed))
        self.current = chosen
        self.next_round_at = now.steady

    def questions(self, now: Moment) -> tuple[Question, ...]:
        """Return the questions to send now, if a round is due."""
        self._check_clock(now)
        self.is_open(now)
        if (
            self.current is None
            or not self.targets.digest
            or now.steady < self.next_round_at
        ):
            return ()
        self.next_round_at = now.steady + self.settings.ask_every
        self.last_round += 1
        self.rounds[self.last_round] = Round(
            now.steady, self.targets, self.members, self.holder
        )
        self._drop_old_rounds(now)
        witnesses = {
            vm: None for members in self._witness_sets(now) for vm in members.vms
        }
        return tuple(self._question(vm) for vm in witnesses)

    def on_answer(self, answer: Answer, now: Moment) -> None:
        """Count an answer, or end the lease if it shows a newer assignment."""
        asked = self.rounds.get(answer.round)
        if asked is None or answer.target != self.identity.target:
            return
        answer = asked.complete(answer)
        if answer.holder.digest != self.holder.digest:
            self._on_other_holder(answer)
            return
        if not self._agree_on_targets(answer) or not self._matches_witnesses():
            return
        if answer.members.digest != self.members.digest:
            self.window.remove_witness(answer.witness)
            return
        if self.safeguards.window:
            self.window.count(answer.witness, asked.sent, self._witness_sets(now), now)

    def is_open(self, now: Moment) -> bool:
        """Return whether new keys may run now."""
        if not self.safeguards.window:
            self.window.opened = self.window.opened or now
            return self._matches_witnesses()
        self._check_clock(now)
        return (
            self.window.check(self._witness_sets(now), now)
            and self._matches_witnesses()
        )

    def starts_at(self) -> float:
        """Return the wall clock time of minting from which keys may be new here."""
        return self.window.lease_start()

    def _on_other_holder(self, answer: Answer) -> None:
        """End the lease for good if a newer process owns the target.

        The old process of a replaced VM may resume after a pause and still take
        the target for its own.
        """
        if answer.holder.number > self.holder.number:
            self.superseded = True
            self._end()

    def _agree_on_targets(self, answer: Answer) -> bool:
        theirs, since = answer.targets, self.targets.since
        if theirs.digest != self.targets.digest:
            if theirs.number > self.targets.number:
                self._end()
            return False
        self.targets = self.targets.merge(theirs)
        if self.targets.since == since:
            return True
        self._end()
        return False

    def _matches_witnesses(self) -> bool:
        """Return whether the installed targets are those the witnesses confirm."""
        return self.installed_digest == self.targets.digest and not self.superseded

    def _end(self) -> None:
        self.window.close()
        self.rounds.clear()
        self.next_round_at = NEVER

    def _check_clock(self, now: Moment) -> None:
        """End the lease if the wall clock stepped.

        The start of the lease is compared with the times at which keys were minted.
        After a step, keys minted before the lease could pass for new ones.
        """
        gap = now.wall - now.steady
        previous, self.clock_offset = self.clock_offset, gap
        if (
            previous is not None
            and abs(gap - previous) > self.settings.clock_margin / 2
        ):
            self._end()

    def _witness_sets(self, now: Moment) -> tuple[WitnessSet, ...]:
        if self.current is None:
            return ()
        self.previous = [kept for kept in self.previous if kept[1] > now.steady]
        return (self.current, *(members for members, _ in self.previous))

    def _question(self, vm: str) -> Question:
        return Question(
            vm,
            self.identity.service,
            self.identity.target,
            self.last_round,
            self.targets,
            self.members,
            self.holder,
        )

    def _drop_old_rounds(self, now: Moment) -> None:
        oldest = now.steady - self.settings.window
        self.rounds = {
            number: asked
            for number, asked in self.rounds.items()
            if asked.sent >= oldest
        }
