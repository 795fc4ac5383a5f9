"""Stands for the native half of hdrhistogram within the one file.

A zip application cannot load native modules. Recording values and reading
percentiles are pure Python in that library; only merging and the transport
format call native code. Merging is done here; nothing in the product uses the
transport format.
"""

from __future__ import annotations

import ctypes

COUNTER_TYPES = {2: ctypes.c_uint16, 4: ctypes.c_uint32, 8: ctypes.c_uint64}


def add_array(to: int, source: int, count: int, word_size: int) -> int:
    """Add counters at one address to those at another; return the sum."""
    array = COUNTER_TYPES[word_size] * count
    sums, added = array.from_address(to), array.from_address(source)
    for index in range(count):
        sums[index] += added[index]
    return sum(added)


def encode(*_: object) -> int:
    """Refuse: the transport format needs the native module."""
    raise NotImplementedError("the one file has no histogram transport format")


def decode(*_: object) -> dict[str, int]:
    """Refuse: the transport format needs the native module."""
    raise NotImplementedError("the one file has no histogram transport format")
