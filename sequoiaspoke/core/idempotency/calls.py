"""Keyed calls, the answers kept for them and the decisions of the home."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.idempotency.key import Key
    from sequoiaspoke.errors import CallError


@dataclass(frozen=True)
class Fingerprint:
    """What a retry must have in common with the first attempt.

    It holds the service instead of the rule, since rules may be renamed between
    two attempts.
    """

    method: str
    path: str
    body_digest: str
    service: str


@dataclass(frozen=True)
class KeyedCall:
    """One attempt at a call that must not run twice."""

    key: Key
    fingerprint: Fingerprint


@dataclass(frozen=True)
class KeptAnswer:
    """The upstream's whole answer; the body is None if it was too large to keep."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True)
class Identity:
    """The target and the process that decides for it."""

    vm: str
    zone: str
    service: str
    target: str
    incarnation: int


@dataclass(frozen=True)
class Run:
    """The key is new: queue the call, and check again before handing it over."""


@dataclass(frozen=True)
class Join:
    """The first attempt has not ended: wait for its answer."""


@dataclass(frozen=True)
class Replay:
    """The first attempt was answered: return that answer."""

    answer: KeptAnswer


@dataclass(frozen=True)
class Proceed:
    """The call may be handed to the upstream now."""


@dataclass(frozen=True)
class Refuse:
    """This attempt is not run.

    Attributes
    ----------
    error : CallError
        The reason, and what is known of earlier attempts.
    settled : bool
        Whether it is certain that no attempt with this key ran or will run.
    """

    error: CallError
    settled: bool = False


Admission = Run | Join | Replay | Refuse
