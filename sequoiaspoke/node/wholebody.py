"""A body in memory with the interface of a streamed one."""

from __future__ import annotations


class WholeBody:
    """A complete body in memory that can be read again."""

    replayable = True

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.read = False

    def rewind(self) -> None:
        """Restart at the first byte."""
        self.read = False

    def take_ready(self) -> bytes:
        """Return the whole body on the first call, then nothing."""
        if self.read:
            return b""
        self.read = True
        return self.data

    async def get(self) -> bytes:
        """Return the whole body on the first call, then nothing."""
        return self.take_ready()

    def abandon(self) -> None:
        """Discard what has not been read."""
        self.read = True
