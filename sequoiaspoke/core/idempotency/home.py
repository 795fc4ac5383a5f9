"""Decide for one target which keyed calls run, and answer their retries.

A process runs a key only if a quorum of witnesses confirmed it without a gap, from
one window before the key was minted until the call is handed over. Two processes
cannot both hold a quorum over that time. So at most one process can ever run a key,
and a key that it refuses runs nowhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.calls import Join, Proceed, Refuse, Replay, Run
from sequoiaspoke.core.idempotency.key import home_of
from sequoiaspoke.core.idempotency.lease import Lease
from sequoiaspoke.core.idempotency.ledger import Ledger, State
from sequoiaspoke.core.idempotency.refusals import Refusals
from sequoiaspoke.core.idempotency.safeguards import Safeguards
from sequoiaspoke.errors import (
    AnswerNotKeptError,
    DrainingError,
    IssuerGoneError,
    KeyFromFutureError,
    KeyOutcomeUnknownError,
    KeyRefusedError,
    KeyReusedError,
    KeyTooOldError,
    LedgerFullError,
    Ran,
    WindowClosedError,
    WrongHomeError,
)

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.calls import (
        Admission,
        Identity,
        KeptAnswer,
        KeyedCall,
    )
    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.core.idempotency.ledger import Entry
    from sequoiaspoke.core.idempotency.messages import Answer, Question
    from sequoiaspoke.core.idempotency.moment import Moment
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings
    from sequoiaspoke.core.snapshot.model import Snapshot, VmList
    from sequoiaspoke.errors import CallError


@dataclass(frozen=True)
class HomeStatus:
    """State of a home for operators."""

    window_open: bool
    lease_start: float
    times_closed: int
    keys: int
    kept_bytes: int
    refused_keys: int
    draining: bool


class HomeCore:
    """Run each key of a target at most once.

    Parameters
    ----------
    settings : IdempotencySettings
    identity : Identity
        The target and this process.
    safeguards : Safeguards
        Rules that apply; only tests turn one off.
    """

    def __init__(
        self,
        settings: IdempotencySettings,
        identity: Identity,
        safeguards: Safeguards = Safeguards(),
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.safeguards = safeguards
        self.ledger = Ledger(settings)
        self.refusals = Refusals(settings)
        self.lease = Lease(settings, identity, safeguards)
        self.draining = False

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Take an installed version."""
        self.lease.on_snapshot(snapshot)

    def on_vms(self, vms: VmList, now: Moment) -> None:
        """Take a VM list."""
        self.lease.on_vms(vms, now)

    def on_answer(self, answer: Answer, now: Moment) -> None:
        """Take a witness's answer."""
        self.lease.on_answer(answer, now)

    def tick(self, now: Moment) -> tuple[Question, ...]:
        """Forget expired keys and return the questions that are due."""
        self.ledger.forget(now)
        return self.lease.questions(now)

    def drain(self) -> None:
        """Refuse new keys from now on; retries of known keys are still answered."""
        self.draining = True

    def admit(self, call: KeyedCall, now: Moment) -> Admission:
        """Decide what to do with an attempt that arrived."""
        entry = self.ledger.get(call.key)
        if entry is not None:
            return self._admit_retry(entry, call)
        if self.refusals.contains(call.key):
            return Refuse(KeyRefusedError(), settled=True)
        error = self._check_home(call.key) or self._check_lease(call.key, now)
        if isinstance(error, KeyFromFutureError):
            self.refusals.add(call.key, now)
        if error is not None:
            return Refuse(error)
        error = self._check_admission(call.key, now)
        if error is not None:
            return self._refuse_for_good(call.key, error, now)
        self.ledger.start(call.key, call.fingerprint)
        return Run()

    def hand_over(self, key: Key, now: Moment) -> Proceed | Refuse:
        """Check the lease again just before the call goes to the upstream.

        If the process was paused after admission, its lease may have expired and
        the key may have run at a new home.
        """
        entry = self.ledger.get(key)
        if entry is None or entry.state is not State.QUEUED:
            return Refuse(KeyRefusedError("the call has ended"))
        error = None
        if self.safeguards.check_at_hand_over:
            error = self._check_home(key) or self._check_lease(key, now)
        if error is not None:
            self.ledger.drop(entry)
            return self._refuse_for_good(key, _as_not_run(error), now)
        entry.state = State.HANDED_OVER
        return Proceed()

    def finished(self, key: Key, answer: KeptAnswer, now: Moment) -> None:
        """Keep the upstream's whole answer."""
        entry = self.ledger.get(key)
        if entry is not None and entry.live:
            self.ledger.answered(entry, answer, now)

    def failed(self, key: Key, error: CallError, now: Moment) -> Refuse:
        """Record that the call got no whole answer; return the refusal for callers."""
        entry = self.ledger.get(key)
        if entry is None or not entry.live:
            return Refuse(error)
        if entry.state is State.QUEUED or error.ran is Ran.NOT_RUN:
            self.ledger.drop(entry)
            return self._refuse_for_good(key, _as_not_run(error), now)
        self.ledger.outcome_unknown(entry, now)
        return Refuse(error)

    def status(self, now: Moment) -> HomeStatus:
        """Return the state of the home for operators."""
        return HomeStatus(
            window_open=self.lease.is_open(now),
            lease_start=self.lease.starts_at(),
            times_closed=self.lease.window.times_closed,
            keys=len(self.ledger.entries),
            kept_bytes=self.ledger.kept_bytes,
            refused_keys=len(self.refusals.keys),
            draining=self.draining,
        )

    def _admit_retry(self, entry: Entry, call: KeyedCall) -> Admission:
        if self.safeguards.fingerprint and entry.fingerprint != call.fingerprint:
            return Refuse(KeyReusedError())
        if entry.live:
            return Join()
        if entry.answer is None:
            return Refuse(KeyOutcomeUnknownError())
        if entry.answer.body is None:
            return Refuse(AnswerNotKeptError())
        return Replay(entry.answer)

    def _check_home(self, key: Key) -> CallError | None:
        if key.target and key.target == self.identity.target:
            if key.zone != self.identity.zone:
                return WrongHomeError()
            gone = key.incarnation != self.identity.incarnation
            return IssuerGoneError() if gone else None
        home = home_of(key, self.lease.target_names)
        if key.zone != self.identity.zone or home != self.identity.target:
            return WrongHomeError()
        return None

    def _check_lease(self, key: Key, now: Moment) -> CallError | None:
        """Return the reason if an unknown key may have run or may run elsewhere."""
        margin = self.settings.clock_margin
        if key.minted is not None and key.minted > now.wall + margin:
            return KeyFromFutureError()
        if not key.target and not self.lease.is_open(now):
            return WindowClosedError(retry_after=self.settings.window)
        if not self.safeguards.lease_start:
            return None
        if key.minted is None:
            first_use = now.wall - self.settings.opaque_lifetime
            return None if first_use >= self.lease.starts_at() else KeyTooOldError()
        if key.minted < now.wall - (self.settings.retention - margin):
            return KeyTooOldError()
        if not key.target and key.minted < self.lease.starts_at() + margin:
            return KeyTooOldError()
        return None

    def _check_admission(self, key: Key, now: Moment) -> CallError | None:
        if self.refusals.may_contain(key, now):
            return KeyRefusedError()
        if self.draining:
            return DrainingError()
        return LedgerFullError(retry_after=1.0) if self.ledger.full else None

    def _refuse_for_good(self, key: Key, error: CallError, now: Moment) -> Refuse:
        """Refuse a key for good; only this process may run it.

        A copy of the attempt may still arrive through another entry. It must not
        run, because the caller is told that the call was not run.
        """
        self.refusals.add(key, now)
        return Refuse(error, settled=True)


def _as_not_run(error: CallError) -> CallError:
    if error.ran is Ran.NOT_RUN:
        return error
    return KeyRefusedError(error.detail, error.retry_after)
