"""Check the fields of messages from other nodes.

The decoder leaves missing fields as None and accepts numbers that are not finite.
Either would raise an untyped error far from the link, or make a comparison of times
false.
"""

from __future__ import annotations

from math import isfinite
from typing import Any

from sequoiaspoke.errors import MessageError


def require(message: Any, *names: str) -> None:
    """Raise MessageError if a field is missing or is no finite number."""
    if message is None:
        raise MessageError("a message lacks a part")
    for name in names:
        value = getattr(message, name)
        if value is None or (isinstance(value, float) and not isfinite(value)):
            raise MessageError(f"{type(message).__name__}: {name} is {value}")
