"""The clock used for all decisions of a sidecar."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds of a clock that also counts while the VM is suspended.

    The monotonic clock stops then, so that a call would keep its time although its
    caller has long gone. The time of day is never used, as it may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Start of this process, apart from the few imports before this module.
STARTED = now()
