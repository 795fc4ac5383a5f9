"""Stream bodies chunk by chunk, so that memory use stays bounded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.errors import CallError


class BodyPipe:
    """Channel that passes chunks from a reading connection to a writing one.

    The producer waits until the consumer has taken its chunk (back pressure).
    Otherwise a large body that arrives faster than the receiver reads it would be
    buffered until the node runs out of memory and loses every call on it.
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
        """Push bytes back; `get` and `take_ready` return them first."""
        self.pushed_back = data

    def put(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Offer a chunk and return a future that is done once it is taken.

        There is none if the consumer has abandoned the body.
        """
        if self.abandoned:
            return None
        self.chunk = chunk
        self.taken = asyncio.get_running_loop().create_future()
        _resolve(self.filled)
        return self.taken

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        _resolve(self.filled)

    def fail(self, error: CallError) -> None:
        """Mark the body as broken off; `get` raises the error."""
        self.error = error
        _resolve(self.filled)

    def abandon(self) -> None:
        """Discard the rest of the body, so that the producer does not wait."""
        self.abandoned = True
        self.chunk = b""
        _resolve(self.taken)

    def take_ready(self) -> bytes:
        """Return the next chunk if it has arrived, else empty bytes."""
        if self.pushed_back:
            pushed_back, self.pushed_back = self.pushed_back, b""
            return pushed_back
        chunk, self.chunk = self.chunk, b""
        if chunk:
            _resolve(self.taken)
        return chunk

    async def get(self) -> bytes:
        """Wait for the next chunk and return it; empty bytes mark the end.

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
    """A request body that can be sent again while all of it fits into a buffer."""

    def __init__(self, pipe: BodyPipe | None, keep_bytes: int) -> None:
        self.pipe = pipe
        self.keep_bytes = keep_bytes
        self.kept: list[bytes] = []
        self.kept_size = 0
        self.overflowed = False
        self.position = 0

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again from its start."""
        return not self.overflowed

    def rewind(self) -> None:
        """Make `get` start again at the first byte."""
        self.position = 0

    async def get(self) -> bytes:
        """Return the next chunk; empty bytes mark the end."""
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
