"""Rendezvous hashing: every node chooses alike, and a change moves few keys."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank(subject: str, names: Iterable[str]) -> list[str]:
    """Return the names in a subject's order of preference."""
    return sorted(names, key=lambda name: _weight(subject, name), reverse=True)


def _weight(subject: str, name: str) -> tuple[bytes, str]:
    digest = blake2b(f"{subject}\0{name}".encode(), digest_size=8).digest()
    return digest, name
