"""Conclusions of a node from silence, drawn only after the sockets have been read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.polling import PolledCall, PolledTimeout, PolledTimer

if TYPE_CHECKING:
    from collections.abc import Callable

# Iterations of the event loop for which reading goes on. What Tornado has read passes
# through several callbacks and tasks, each in an iteration of its own, until a call is
# counted or an answer has reached its caller.
ITERATIONS = 16


def call(callback: Callable[[], None]) -> PolledCall:
    """Run a callback once the sockets have been read."""
    return PolledCall(callback, ITERATIONS)


def call_after(seconds: float, callback: Callable[[], None]) -> PolledTimer:
    """Schedule a callback after a delay, once the sockets have been read."""
    return PolledTimer(seconds, callback, ITERATIONS)


def timeout(seconds: float) -> PolledTimeout:
    """Return a context like `asyncio.timeout` that first reads the sockets."""
    return PolledTimeout(seconds, ITERATIONS)


def timeout_at(when: float) -> PolledTimeout:
    """Return a context like `asyncio.timeout_at` that first reads the sockets."""
    return timeout(when - asyncio.get_running_loop().time())


async def read_sockets() -> None:
    """Wait until all that had arrived before has been read."""
    read = asyncio.get_running_loop().create_future()
    reading = call(lambda: read.done() or read.set_result(None))
    try:
        await read
    finally:
        reading.cancel()
