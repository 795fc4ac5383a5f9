"""Packed parts by digest, kept for this node and for peers that pull them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot import codec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.snapshot.model import Head


class PartStore:
    """Holds each part once, whatever versions use it."""

    def __init__(self) -> None:
        self.parts: dict[str, bytes] = {}

    def __contains__(self, digest: str) -> bool:
        return digest in self.parts

    def add(self, digest: str, packed: bytes) -> None:
        """Keep a part after checking it.

        Raises
        ------
        DocumentError
            The bytes are not the content that the digest names.
        """
        codec.unpack(packed, digest)
        self.parts[digest] = packed

    def get(self, digest: str) -> bytes | None:
        """Return the packed bytes of a part, or None."""
        return self.parts.get(digest)

    def missing(self, head: Head) -> tuple[str, ...]:
        """Return the digests of a head's parts that are not held."""
        digests = dict.fromkeys(head.parts.values())
        return tuple(digest for digest in digests if digest not in self.parts)

    def keep_only(self, heads: Iterable[Head]) -> None:
        """Drop every part that none of the heads names."""
        needed = {digest for head in heads for digest in head.parts.values()}
        self.parts = {d: packed for d, packed in self.parts.items() if d in needed}

    def size(self) -> int:
        """Return the bytes held."""
        return sum(map(len, self.parts.values()))
