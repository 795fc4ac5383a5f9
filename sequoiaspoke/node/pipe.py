"""A body in transit: one chunk at a time, so that memory stays bounded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.errors import CallError


class BodyPipe:
    """Hand chunks from a reading connection to a writing one.

    The producer waits until the consumer has taken its chunk. Without that a
    recording that arrives faster than a family's line can take it would pile
    up in memory until the node is killed and every call on it is lost.
    """

    def __init__(self) -> None:
        self.chunk = b""
        self.ended = False
        self.abandoned = False
        self.error: CallError | None = None
        self.taken: asyncio.Future[None] | None = None
        self.filled: asyncio.Future[None] | None = None
        self.pushed_back = b""

    def unread(self, data: bytes) -> None:
        """Put bytes back, which are read first."""
        self.pushed_back = data

    def put(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Offer a chunk; the result, if any, is done when it was taken."""
        if self.abandoned:
            return None
        self.chunk = chunk
        self.taken = asyncio.get_running_loop().create_future()
        _resolve(self.filled)
        return self.taken

    def end(self) -> None:
        """Say that the body is whole."""
        self.ended = True
        _resolve(self.filled)

    def fail(self, error: CallError) -> None:
        """Say that the body broke off."""
        self.error = error
        _resolve(self.filled)

    def abandon(self) -> None:
        """Let the producer run on; nobody reads what is left."""
        self.abandoned = True
        self.chunk = b""
        _resolve(self.taken)

    def take_ready(self) -> bytes:
        """Return the next chunk if it is there already, else nothing."""
        if self.pushed_back:
            pushed_back, self.pushed_back = self.pushed_back, b""
            return pushed_back
        chunk, self.chunk = self.chunk, b""
        if chunk:
            _resolve(self.taken)
        return chunk

    async def get(self) -> bytes:
        """Return the next chunk, empty at the end.

        Raises
        ------
        CallError
            The body broke off.
        """
        while not self.pushed_back and not self.chunk:
            if self.error is not None:
                raise self.error
            if self.ended:
                return b""
            self.filled = asyncio.get_running_loop().create_future()
            await self.filled
        return self.take_ready()


class ReplayableBody:
    """A request body that can be sent again while its start is still kept."""

    def __init__(self, pipe: BodyPipe | None, keep_bytes: int) -> None:
        self.pipe = pipe
        self.keep_bytes = keep_bytes
        self.kept: list[bytes] = []
        self.kept_size = 0
        self.overflowed = False
        self.position = 0

    @property
    def replayable(self) -> bool:
        """Return whether another attempt can send the body from its start."""
        return not self.overflowed

    def rewind(self) -> None:
        """Start again at the first byte."""
        self.position = 0

    async def get(self) -> bytes:
        """Return the next chunk, empty at the end."""
        if self.pipe is None:
            return b""
        if self.position < len(self.kept):
            self.position += 1
            return self.kept[self.position - 1]
        chunk = await self.pipe.get()
        self._keep(chunk)
        return chunk

    def _keep(self, chunk: bytes) -> None:
        if self.overflowed or not chunk:
            return
        if self.kept_size + len(chunk) > self.keep_bytes:
            self.overflowed = True
            self.kept.clear()
            return
        self.kept.append(chunk)
        self.kept_size += len(chunk)
        self.position += 1


def _resolve(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)
