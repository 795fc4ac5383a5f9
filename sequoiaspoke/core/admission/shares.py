"""Share a target fairly between callers and between sticky keys.

One caller or one popular key may send most of the load. In order of arrival, all
other calls would wait behind it or be refused with it. This is start-time fair
queueing: each caller and each key has a virtual time that advances by the slot
time of its calls, and the call with the lowest start tag goes next. A burst thus
delays only the caller that sends it, whatever its size. Slot time is charged, not
the number of calls: ten slow calls may weigh as much as a hundred fast ones. A
caller that was idle starts at the current virtual time and accumulates no credit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sequoiaspoke.core.admission.model import Arrival

MAX_REMEMBERED = 1024  # callers or keys ahead of the current virtual time


class VirtualTimes:
    """Virtual times by name of the caller or key."""

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def time(self, name: str, virtual_time: float) -> float:
        """Return the virtual time of a caller or key, at least the current one."""
        return max(virtual_time, self.times.get(name, virtual_time))

    def charge(self, name: str, cost: float, virtual_time: float) -> None:
        """Advance a caller or key by the slot time of a call.

        Entries behind the current virtual time can be dropped without effect.
        """
        self.times[name] = self.time(name, virtual_time) + cost
        if len(self.times) <= MAX_REMEMBERED:
            return
        ahead = {each: time for each, time in self.times.items() if time > virtual_time}
        # Bounds the memory even if many entries are ahead of the current virtual
        # time. Dropping the ones least ahead distorts the order least.
        kept = sorted(ahead.items(), key=lambda item: -item[1])
        self.times = dict(kept[: MAX_REMEMBERED // 2])


class Shares:
    """Order waiting calls by the virtual times of their callers and keys."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.callers = VirtualTimes()
        self.keys = VirtualTimes()

    def start_tag(self, call: Arrival) -> float:
        """Return the virtual time at which a call would start.

        It is the later one of its caller's and its key's virtual times.
        """
        start_tag = self.callers.time(call.caller, self.virtual_time)
        if call.key:
            start_tag = max(start_tag, self.keys.time(call.key, self.virtual_time))
        return start_tag

    def start(self, call: Arrival, cost: float) -> None:
        """Charge the expected slot time of a call that gets a slot."""
        self.virtual_time = max(self.virtual_time, self.start_tag(call))
        self.charge(call, cost)

    def charge(self, call: Arrival, cost: float) -> None:
        """Charge slot time to a call's caller and key; refund it if negative."""
        self.callers.charge(call.caller, cost, self.virtual_time)
        if call.key:
            self.keys.charge(call.key, cost, self.virtual_time)
