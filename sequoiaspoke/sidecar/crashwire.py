"""Convert crash reports to wire messages and back."""

from __future__ import annotations

from sequoiaspoke.core.mesh.crashes import Crash
from sequoiaspoke.errors import MessageError
from sequoiaspoke.wire.gen.meshlink import ttypes as wire


def pack_crash(crash: Crash, now: float) -> wire.Crash:
    """Return the wire message of a crash, with its age in place of its time."""
    return wire.Crash(
        name=crash.name,
        instance=crash.instance,
        service_name=crash.service,
        age=now - crash.at,
        suspects=sorted(crash.suspects),
        proven=sorted(crash.proven),
        cleared=sorted(crash.cleared),
    )


def unpack_crash(message: wire.Crash, now: float) -> Crash:
    """Return the crash of a wire message; raise MessageError if a field is missing."""
    parts = (message.name, message.instance, message.service_name, message.age)
    lists = (message.suspects, message.proven, message.cleared)
    if None in parts or None in lists:
        raise MessageError(f"incomplete crash report: {message}")
    return Crash(
        name=message.name,
        instance=message.instance,
        service=message.service_name,
        at=now - max(0.0, message.age),
        suspects=frozenset(message.suspects),
        proven=frozenset(message.proven),
        cleared=frozenset(message.cleared),
    )
