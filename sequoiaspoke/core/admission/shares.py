"""Share a target fairly between callers, and between the keys they ask for.

One caller's script, or one ceremony that everybody watches, takes nine tenths
of the load. Served in order of arrival, everyone else waits behind it or is
refused with it. Here each caller and each key has a virtual time that advances
by the slot time its calls took; the call whose caller and key have had least
goes next. So a flood costs the one that makes it, whatever its size. Slot time
is charged, not calls: ten slow calls weigh as much as a hundred quick ones. Who
was away starts at the present virtual time and saves nothing up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.model import Arrival

MAX_REMEMBERED = 1024  # callers or keys; those behind the present time are the same


class VirtualTimes:
    """Virtual times of callers, or of keys."""

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def time(self, name: str, virtual_time: float) -> float:
        """Return where a caller or key stands."""
        return max(virtual_time, self.times.get(name, virtual_time))

    def charge(self, name: str, cost: float, virtual_time: float) -> None:
        """Advance a caller or key by the slot time of a call."""
        self.times[name] = self.time(name, virtual_time) + cost
        if len(self.times) <= MAX_REMEMBERED:
            return
        ahead = {each: time for each, time in self.times.items() if time > virtual_time}
        # Even ahead of the present, the memory of many callers is bounded; the
        # ones least ahead lose least by being forgotten.
        kept = sorted(ahead.items(), key=lambda item: -item[1])
        self.times = dict(kept[: MAX_REMEMBERED // 2])


class Shares:
    """Virtual times by which waiting calls are ordered."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.callers = VirtualTimes()
        self.keys = VirtualTimes()

    def start_tag(self, call: Arrival) -> float:
        """Return the virtual time at which a call would start."""
        start_tag = self.callers.time(call.caller, self.virtual_time)
        if call.key:
            start_tag = max(start_tag, self.keys.time(call.key, self.virtual_time))
        return start_tag

    def start(self, call: Arrival, cost: float) -> None:
        """Charge a call that gets a slot with its expected slot time."""
        self.virtual_time = max(self.virtual_time, self.start_tag(call))
        self.charge(call, cost)

    def charge(self, call: Arrival, cost: float) -> None:
        """Charge, or with a negative cost give back, slot time."""
        self.callers.charge(call.caller, cost, self.virtual_time)
        if call.key:
            self.keys.charge(call.key, cost, self.virtual_time)
