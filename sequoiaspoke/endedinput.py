"""Tell a caller that has left from one that has only ended its input.

A caller that closes its connection sends the same as one that closes its sending side
and reads on (RFC 9112, section 9.6). Only the next bytes that they get tell them apart:
a closed connection answers them with a reset, and an open one takes an interim response
for what it is (RFC 9110, section 15.2).
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

from sequoiaspoke.polling import PolledTimer

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds until the first check for a reset, which takes a round trip, and the longest
# time between two checks, which are made less and less often: a call of a caller that
# has left is to end well within half a second.
FIRST_CHECK_SECONDS, MAX_CHECK_SECONDS = 0.01, 0.08
# Seconds after which a caller that takes no interim response is taken for one that has
# left: half of the time in which its calls have to end then.
UNKNOWN_SECONDS = 0.25


class CallerEnd(StrEnum):
    """How a caller with unanswered calls has ended its connection, or its input.

    Attributes
    ----------
    INPUT
        The input only: the caller was answered.
    UNKNOWN
        The input, or the connection: the caller could not be asked, or was answered
        before it could be told.
    """

    INPUT = "input"
    RESET = "reset"
    TIMEOUT = "timeout"
    UNKNOWN = "unknown"


class EndedInput:
    """The end of the input of a connection with unanswered calls.

    Attributes
    ----------
    calls : int
        Number of calls that were unanswered when the input ended.
    checked : bool
        Whether the caller has been sent something and had the time to reset it.
    on_left : callable
        Called once with the end of the connection if the caller has left.
    """

    def __init__(
        self, sock: socket.socket, calls: int, on_left: Callable[[CallerEnd], None]
    ) -> None:
        self.socket = sock
        self.calls = calls
        self.on_left = on_left
        self.checked = False
        self.timer: asyncio.TimerHandle | PolledTimer | None = None

    def expect_reset(self, seconds: float = FIRST_CHECK_SECONDS) -> None:
        """Check for a reset again and again, as the caller was sent something.

        The event loop does not poll a socket whose input has ended.
        """
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self.check, seconds)

    def check(self, seconds: float) -> None:
        """Report a reset, or check again later."""
        self.checked = True
        end = connection_end(self.socket)
        if end is None:
            self.expect_reset(min(2 * seconds, MAX_CHECK_SECONDS))
        else:
            self.on_left(end)

    def give_time(self) -> None:
        """Report a caller that cannot be told from one that has left, after a while."""
        left = partial(self.on_left, CallerEnd.UNKNOWN)
        self.timer = PolledTimer(UNKNOWN_SECONDS, left)

    def end_now(self) -> CallerEnd:
        """Return how the connection has ended, as far as that is known by now."""
        end = connection_end(self.socket)
        if end is not None:
            return end
        return CallerEnd.INPUT if self.checked else CallerEnd.UNKNOWN

    def stop(self) -> None:
        """Check no more."""
        if self.timer is not None:
            self.timer.cancel()


def connection_end(sock: socket.socket) -> CallerEnd | None:
    """Return how the kernel has ended a connection, None if it has not."""
    poll = select.poll()
    # Errors are reported without being asked for.
    poll.register(sock, 0)
    if not poll.poll(0):
        return None
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return caller_end(OSError(number, os.strerror(number)))


def caller_end(error: Exception | None) -> CallerEnd:
    """Return how a caller has ended its connection, by the error of that."""
    return CallerEnd.TIMEOUT if isinstance(error, TimeoutError) else CallerEnd.RESET
