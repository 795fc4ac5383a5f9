"""Store compressed parts by digest for this node and for peers that fetch them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot import codec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.snapshot.model import Head


class PartStore:
    """Holds each part once, however many versions use it."""

    def __init__(self) -> None:
        self.parts: dict[str, bytes] = {}

    def __contains__(self, digest: str) -> bool:
        return digest in self.parts

    def add(self, digest: str, packed: bytes) -> None:
        """Store a part after verifying it.

        Raises
        ------
        DocumentError
            The bytes are not the content with that digest.
        """
        codec.unpack(packed, digest)
        self.parts[digest] = packed

    def get(self, digest: str) -> bytes | None:
        """Return the compressed bytes of a part, or None."""
        return self.parts.get(digest)

    def missing(self, head: Head) -> tuple[str, ...]:
        """Return the digests of a head's parts that are not stored."""
        digests = dict.fromkeys(head.parts.values())
        return tuple(digest for digest in digests if digest not in self.parts)

    def keep_only(self, heads: Iterable[Head]) -> None:
        """Drop the parts that none of the heads refers to."""
        needed = {digest for head in heads for digest in head.parts.values()}
        self.parts = {d: packed for d, packed in self.parts.items() if d in needed}

    def size(self) -> int:
        """Return the number of bytes stored."""
        return sum(map(len, self.parts.values()))
