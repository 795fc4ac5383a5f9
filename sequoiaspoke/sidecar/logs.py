"""One line of key=value pairs an event on standard output, bounded.

A flood of failures is when the log matters and when it would cost most. Each kind of
event has a budget of lines a second; what goes beyond is counted and said in one
line. Standard output is written without blocking: a reader that stands still
costs lines and delays no call.
"""

from __future__ import annotations

import os
from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

from sequoiaspoke.node.logs import format_line
from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Request

STDOUT = 1
# Lines a second of one kind of event; enough to see each of a few failures, and with
# ten kinds at once no more than a few hundredths of a core.
MAX_LINES_PER_SECOND = 20


class DroppingOutput:
    """Write lines that fit into the pipe and count the others."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # Some descriptors cannot be switched; a file does not block anyway.
            self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line or drop it."""
        try:
            os.write(self.descriptor, text.encode())
        except OSError:
            # Nobody reads; the count is on the metrics page.
            self.dropped += 1


class EventLog:
    """The log of a sidecar."""

    def __init__(self, call_id_header: str) -> None:
        self.call_id_header = call_id_header
        self.current_second = 0
        self.line_counts: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def allowed(self, kind: str) -> bool:
        """Return whether there is room for a line of a kind."""
        second = int(clock.now())
        if second != self.current_second:
            self.current_second = second
            self.line_counts.clear()
            self.report_suppressed()
        self.line_counts[kind] += 1
        if self.line_counts[kind] <= MAX_LINES_PER_SECOND:
            return True
        self.suppressed[kind] += 1
        return False

    def report_suppressed(self) -> None:
        """Say how many lines the second before had too many."""
        suppressed, self.suppressed = self.suppressed, Counter()
        for kind, count in suppressed.items():
            logger.bind(kind=kind, count=count).warning("lines-left-out")

    def event(self, kind: str, **pairs: object) -> None:
        """Log a change of what this process does or believes."""
        if self.allowed(kind):
            logger.bind(**pairs).info(kind)

    def call(self, kind: str, request: Request, **pairs: object) -> None:
        """Log a decision on a call, with the call's id."""
        if self.allowed(kind):
            call_id = request.header(self.call_id_header)
            logger.bind(id=call_id, **pairs).warning(kind)

    def request(self, kind: str, request: Request, **pairs: object) -> None:
        """Log a decision on what a call asks for, with its id and fingerprint.

        The fingerprint is a digest of the body too, so that no line that is left out
        pays for one.
        """
        if self.allowed(kind):
            call_id, fingerprint = (
                request.header(self.call_id_header),
                request.fingerprint,
            )
            logger.bind(id=call_id, fingerprint=fingerprint, **pairs).warning(kind)


def configure_output() -> DroppingOutput:
    """Send the log to standard output."""
    output = DroppingOutput()
    logger.remove()
    logger.add(output, level="INFO", format=format_line, enqueue=False, colorize=False)
    return output
