"""Take a target out of use by the failures of real calls, and let it back.

Health pages of the upstreams lag or mislead, so they decide nothing here. A
target that answers no call looks idle to a balancer by calls in flight and
attracts most of the work; failures in a row eject it. Ejection ends by a
recovery probe: one real, idempotent call with an attempt to spare. A health
probe would cost the upstream 6 ms each time and a connection 1 ms, paid by
2,000 nodes for every target; a real call costs nothing extra when it succeeds,
and a retry when it does not. Ejections double up to a cap so that a dead target
costs each node two probes a minute.

A fault in the network of this node makes every target look dead. The floor
keeps a part of the service in use then, else one node's fault would look to its
callers like an outage of the whole service.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiaspoke.core.routing.settings import RoutingSettings

MAX_DOUBLINGS = 10
MAX_DOWN_SHARE = 0.5  # part of a service's targets that is believed to be down


@dataclass
class FailureRecord:
    """What is remembered of a target's failures."""

    failures: int = 0
    ejections: int = 0
    ejected: bool = False
    ejected_until: float = 0.0
    probing: bool = False


class Ejector:
    """Decide which targets are out of use.

    Attributes
    ----------
    ejections : int
        Ejections so far.
    probes : int
        Recovery probes so far.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.records: dict[str, FailureRecord] = {}
        self.ejections = 0
        self.probes = 0

    def succeeded(self, target: str) -> bool:
        """Note an answer; return whether it brings the target back."""
        record = self.records.get(target)
        if record is None:
            return False
        if record.ejected:
            self.records[target] = FailureRecord(ejections=record.ejections)
            return True
        record.failures = 0
        record.ejections = max(0, record.ejections - 1)
        return False

    def failed(self, target: str, now: float) -> None:
        """Note a call that got no answer."""
        record = self.records.setdefault(target, FailureRecord())
        record.failures += 1
        if record.probing:
            self.eject(record, now)
        elif not record.ejected and record.failures >= self.settings.eject_failures:
            self.eject(record, now)

    def inconclusive(self, target: str) -> None:
        """Note a call whose end says nothing of the target."""
        record = self.records.get(target)
        if record:
            record.probing = False

    def eject(self, record: FailureRecord, now: float) -> None:
        """Take a target out of use for the next ejection time."""
        doublings = min(record.ejections, MAX_DOUBLINGS)
        seconds = self.settings.eject_time * 2**doublings
        record.ejected = True
        record.probing = False
        record.ejected_until = now + min(seconds, self.settings.eject_time_most)
        record.ejections += 1
        self.ejections += 1

    def is_ejected(self, target: str) -> bool:
        """Return whether a target is out of use, probes aside."""
        record = self.records.get(target)
        return record is not None and record.ejected

    def ejected(self) -> tuple[str, ...]:
        """Return the targets out of use, in the order of their names."""
        return tuple(sorted(filter(self.is_ejected, self.records)))

    def probe_due(self, target: str, now: float) -> bool:
        """Return whether one call should try the target again."""
        record = self.records.get(target)
        if record is None or not record.ejected or record.probing:
            return False
        return now >= record.ejected_until

    def probe(self, target: str) -> None:
        """Note that a recovery probe was sent."""
        self.records[target].probing = True
        self.probes += 1

    def usable(self, targets: Sequence[str], down: frozenset[str]) -> frozenset[str]:
        """Return the targets in use, never fewer than the floor.

        Parameters
        ----------
        down : frozenset of str
            Targets whose nodes say that they are down. Said of more than half,
            it is more likely a fault of the checks than of the targets, and
            only failures of calls decide.
        """
        if len(down) > MAX_DOWN_SHARE * len(targets):
            down = frozenset()
        usable = {
            name for name in targets if name not in down and not self.is_ejected(name)
        }
        minimum = max(1, math.ceil(self.settings.eject_floor * len(targets)))
        if len(usable) >= minimum:
            return frozenset(usable)
        rest = sorted(set(targets) - usable, key=self.ejection_rank)
        return frozenset(usable | set(rest[: minimum - len(usable)]))

    def ejection_rank(self, target: str) -> tuple[int, float, str]:
        """Return how far out of use a target is, for putting some back."""
        record = self.records.get(target, FailureRecord())
        return (record.ejections, record.ejected_until, target)

    def forget(self, target: str) -> None:
        """Drop a target that is gone."""
        self.records.pop(target, None)
