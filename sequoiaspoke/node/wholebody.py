"""A body that is in memory, read like one in transit."""

from __future__ import annotations


class WholeBody:
    """A body that is there in full and can be read again."""

    replayable = True

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.read = False

    def rewind(self) -> None:
        """Start again at the first byte."""
        self.read = False

    def take_ready(self) -> bytes:
        """Return all of it, then nothing."""
        if self.read:
            return b""
        self.read = True
        return self.data

    async def get(self) -> bytes:
        """Return all of it, then nothing."""
        return self.take_ready()

    def abandon(self) -> None:
        """Let nobody read the rest."""
        self.read = True
