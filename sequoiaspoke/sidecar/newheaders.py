"""Notice headers that a service begins to send."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Headers

# Header names that are remembered, as a faulty service may make up any number of them.
MAX_NAMES = 64


def ignore_header(name: str, value: str) -> None:
    """Do nothing; default until new headers are logged."""


class NewHeaders:
    """Reports each header name once, with the first value.

    Attributes
    ----------
    on_new : callable
        Called with the name and value of a header that was not seen before.
    """

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.on_new: Callable[[str, str], None] = ignore_header

    def record(self, headers: Headers) -> None:
        """Record the headers of an answer."""
        for name, value in headers:
            if name not in self.seen and len(self.seen) < MAX_NAMES:
                self.seen.add(name)
                self.on_new(name, value)
