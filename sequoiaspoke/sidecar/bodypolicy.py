"""What is done with callers whose bodies or unread answers take too much memory."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar.httptext import local_answer
from sequoiaspoke.sidecar.stopplan import RESTART_SECONDS

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Answer, Request
    from sequoiaspoke.endedinput import CallerEnd

# Reason of a refusal for want of memory.
MEMORY_REFUSED = "memory-refused"
# Retry-After, in seconds, of such a refusal: bodies are held for as long as their calls
# take.
MEMORY_RETRY_AFTER = 1.0
# Reason of the refusals of a stopping node.
STOPPING = "stopping"


class BodyPolicy(ABC):
    """Answers requests whose bodies are not read, given their heads, and takes note."""

    @abstractmethod
    def early_refusal(self, head: Request) -> Answer | None:
        """Refuse a request that can't be served; None if its body has to be read."""

    @abstractmethod
    def refuse_incomplete(self, head: Request) -> Answer:
        """Refuse a request whose body has not arrived as the input ends."""

    @abstractmethod
    def refuse_for_memory(self, head: Request) -> Answer:
        """Refuse a request whose body does not fit into the memory account."""

    @abstractmethod
    def caller_closed(self, unread: int) -> None:
        """Take note that a connection was closed for its unread bytes."""

    @abstractmethod
    def caller_lost(self, error: str, calls: int, unread: int) -> None:
        """Take note that the kernel ended a connection with answers or calls on it."""

    @abstractmethod
    def caller_left(self, end: CallerEnd, calls: int) -> None:
        """Take note of how a connection with unanswered calls has ended."""

    @abstractmethod
    def call_cut(self, request: Request) -> None:
        """Take note that a call was cut off although its caller waits."""

    @abstractmethod
    def call_unread(self, head: Request) -> None:
        """Take note of a request that counts as not read, as its connection ends."""

    @abstractmethod
    def input_dropped(self, size: int) -> None:
        """Take note that a connection is closed with received bytes not read yet."""


class ReadAllBodies(BodyPolicy):
    """Refuses only bodies that do not fit."""

    def early_refusal(self, head: Request) -> Answer | None:  # noqa: ARG002
        """Return None: the body has to be read."""
        return None

    def refuse_incomplete(self, head: Request) -> Answer:  # noqa: ARG002
        """Refuse a request whose body has not arrived as the input ends."""
        return local_answer(503, STOPPING, RESTART_SECONDS)

    def refuse_for_memory(self, head: Request) -> Answer:  # noqa: ARG002
        """Refuse a request whose body does not fit into the memory account."""
        return local_answer(503, MEMORY_REFUSED, MEMORY_RETRY_AFTER)

    def caller_closed(self, unread: int) -> None:
        """Do nothing."""

    def caller_lost(self, error: str, calls: int, unread: int) -> None:
        """Do nothing."""

    def caller_left(self, end: CallerEnd, calls: int) -> None:
        """Do nothing."""

    def call_cut(self, request: Request) -> None:
        """Do nothing."""

    def call_unread(self, head: Request) -> None:
        """Do nothing."""

    def input_dropped(self, size: int) -> None:
        """Do nothing."""
