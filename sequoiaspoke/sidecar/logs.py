"""Log events as lines of key=value pairs on standard output, at a limited rate.

When many calls fail, the log is needed most and would cost most. Each kind of event is
limited to a number of lines per second; further ones are counted and reported in one
line. Standard output is written without blocking: if its reader hangs, lines are
dropped and no call is delayed.
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
# Maximum lines per second of one kind of event: enough to see each of a few failures;
# with ten kinds at once it takes no more than a few hundredths of a core.
MAX_LINES_PER_SECOND = 20


class DroppingOutput:
    """Writes lines that fit into the pipe and counts the others.

    Attributes
    ----------
    dropped : int
        Lines that were not written.
    """

    def __init__(self, descriptor: int = STDOUT) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # Not all descriptors can be switched; a file does not block anyway.
            self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, or drop it if the write would block or fails."""
        try:
            os.write(self.descriptor, text.encode())
        except OSError:
            # The pipe is full or closed; the metrics page shows the count.
            self.dropped += 1


class EventLog:
    """The log of a sidecar.

    Attributes
    ----------
    line_counts : Counter of str
        Events of the current second, by kind.
    suppressed : Counter of str
        Events of the current second beyond the limit, by kind.
    """

    def __init__(self, call_id_header: str) -> None:
        self.call_id_header = call_id_header
        self.current_second = 0
        self.line_counts: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def allowed(self, kind: str) -> bool:
        """Count an event; return whether it is within the limit of its kind."""
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
        """Log how many lines were suppressed in the previous second."""
        suppressed, self.suppressed = self.suppressed, Counter()
        for kind, count in suppressed.items():
            logger.bind(kind=kind, count=count).warning("lines-left-out")

    def event(self, kind: str, **pairs: object) -> None:
        """Log an event of this process that belongs to no call."""
        if self.allowed(kind):
            logger.bind(**pairs).info(kind)

    def call(self, kind: str, request: Request, **pairs: object) -> None:
        """Log a decision on a call, with its id."""
        if self.allowed(kind):
            call_id = request.header(self.call_id_header)
            logger.bind(id=call_id, **pairs).warning(kind)

    def request(self, kind: str, request: Request, **pairs: object) -> None:
        """Log a decision on a call, with its id and the request's fingerprint.

        The fingerprint is a digest that includes the body, so it is computed only for
        lines that are logged.
        """
        if self.allowed(kind):
            call_id, fingerprint = (
                request.header(self.call_id_header),
                request.fingerprint,
            )
            logger.bind(id=call_id, fingerprint=fingerprint, **pairs).warning(kind)


def configure_output() -> DroppingOutput:
    """Send the log to standard output; return the output."""
    output = DroppingOutput()
    logger.remove()
    logger.add(output, level="INFO", format=format_line, enqueue=False, colorize=False)
    return output
