"""Idempotency keys, and the target that may run each."""

from __future__ import annotations

import re
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import uuid6

from sequoiaspoke.core.idempotency.rendezvous import rank
from sequoiaspoke.errors import InvalidKeyError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sequoiaspoke.core.idempotency.calls import Identity
    from sequoiaspoke.core.idempotency.settings import IdempotencySettings

KEY_PATTERN = re.compile(r"[A-Za-z0-9._~:-]+/[A-Za-z0-9._~:/+=-]+")
ISSUED_PATTERN = re.compile(
    r"(?P<target>.+)\.(?P<incarnation>[0-9]+)\.(?P<uuid>[0-9a-f-]{36})"
)
MILLISECONDS = 1000.0


@dataclass(frozen=True)
class Key:
    """A parsed idempotency key.

    Attributes
    ----------
    text : str
        The key as sent.
    zone : str
        The only zone that may run it.
    minted : float or None
        Wall clock seconds at which it was made; None for a key without a time.
    target : str
        The target that issued it; empty for a key that the caller made.
    incarnation : int
        Incarnation of the process that issued it.
    """

    text: str
    zone: str
    minted: float | None = None
    target: str = ""
    incarnation: int = 0


def parse_key(text: str, settings: IdempotencySettings) -> Key:
    """Parse an `Idempotency-Key` header.

    Raises
    ------
    InvalidKeyError
        The key is too long, names no zone or has characters that are not allowed.
    """
    text = text.strip().strip('"')
    if len(text) > settings.key_length:
        raise InvalidKeyError(f"key has more than {settings.key_length} characters")
    if not KEY_PATTERN.fullmatch(text):
        raise InvalidKeyError("key is not of the form zone/uuid7")
    zone, _, rest = text.partition("/")
    issued = ISSUED_PATTERN.fullmatch(rest)
    if not issued:
        return Key(text, zone, _minted(rest))
    minted = _minted(issued["uuid"])
    if minted is None:
        raise InvalidKeyError("an issued key ends in a uuid7")
    return Key(text, zone, minted, issued["target"], int(issued["incarnation"]))


def uuid7_at(wall: float, rng: Random) -> str:
    """Return a uuid7 stamped with a wall clock time."""
    number = int(wall * MILLISECONDS) << 80 | rng.getrandbits(80)
    return str(uuid6.UUID(int=number, version=7))


def mint_key(zone: str, wall: float, rng: Random) -> str:
    """Make a key for a zone, as callers do."""
    return f"{zone}/{uuid7_at(wall, rng)}"


def issue_key(identity: Identity, wall: float, rng: Random) -> str:
    """Make a key that only one process of one target may run."""
    uuid7 = uuid7_at(wall, rng)
    return f"{identity.zone}/{identity.target}.{identity.incarnation}.{uuid7}"


def home_of(key: Key, targets: Iterable[str]) -> str:
    """Return the target that may run a key; empty if there is none."""
    targets = tuple(targets)
    if key.target:
        return key.target if key.target in targets else ""
    return rank(key.text, targets)[0] if targets else ""


def _minted(text: str) -> float | None:
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return uuid6.UUID(int=parsed.int).time / MILLISECONDS
