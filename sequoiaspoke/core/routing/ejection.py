"""Eject targets after failures of real calls, and restore them by a probe.

The upstreams' health pages are not used, since they lag and can be wrong. A
target whose calls fail fast looks idle to a balancer that counts calls in flight
and attracts most of the load, so consecutive failures eject it. A recovery probe
ends the ejection: one real, idempotent call with an attempt left. A health probe
would cost the upstream 6 ms and a connection 1 ms each time, from each of 2,000
nodes for every target. A real call costs nothing extra if it succeeds, and a
retry if it fails. Ejection times double up to a cap, at which a dead target costs
each node two probes a minute.

A fault in this node's own network makes every target look dead. A part of the
service's targets (`eject_floor`) therefore always stays in use, since one node's
fault would otherwise look like an outage of the whole service to its callers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sequoiaspoke.core.routing.settings import RoutingSettings

MAX_DOUBLINGS = 10
MAX_DOWN_SHARE = 0.5  # with more targets reported down, the reports are ignored


@dataclass
class FailureRecord:
    """Failures and ejection state of a target."""

    failures: int = 0
    ejections: int = 0
    ejected: bool = False
    ejected_until: float = 0.0
    probing: bool = False


class Ejector:
    """Decide which targets are ejected.

    Attributes
    ----------
    ejections : int
        Number of ejections.
    probes : int
        Number of recovery probes.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.records: dict[str, FailureRecord] = {}
        self.ejections = 0
        self.probes = 0

    def succeeded(self, target: str) -> bool:
        """Record an answer; return whether it ends an ejection."""
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
        """Record a call without an answer, which may eject the target."""
        record = self.records.setdefault(target, FailureRecord())
        record.failures += 1
        if record.probing:
            self.eject(record, now)
        elif not record.ejected and record.failures >= self.settings.eject_failures:
            self.eject(record, now)

    def inconclusive(self, target: str) -> None:
        """Record a call whose outcome says nothing about the target."""
        record = self.records.get(target)
        if record:
            record.probing = False

    def eject(self, record: FailureRecord, now: float) -> None:
        """Eject a target for a time that doubles with each ejection."""
        doublings = min(record.ejections, MAX_DOUBLINGS)
        seconds = self.settings.eject_time * 2**doublings
        record.ejected = True
        record.probing = False
        record.ejected_until = now + min(seconds, self.settings.eject_time_most)
        record.ejections += 1
        self.ejections += 1

    def is_ejected(self, target: str) -> bool:
        """Return whether a target is ejected, even if a probe is due."""
        record = self.records.get(target)
        return record is not None and record.ejected

    def ejected(self) -> tuple[str, ...]:
        """Return the ejected targets, sorted by name."""
        return tuple(sorted(filter(self.is_ejected, self.records)))

    def probe_due(self, target: str, now: float) -> bool:
        """Return whether a call should probe the target."""
        record = self.records.get(target)
        if record is None or not record.ejected or record.probing:
            return False
        return now >= record.ejected_until

    def probe(self, target: str) -> None:
        """Record that a recovery probe is sent."""
        self.records[target].probing = True
        self.probes += 1

    def usable(self, targets: Sequence[str], down: frozenset[str]) -> frozenset[str]:
        """Return the targets in use, at least the share `eject_floor` of them.

        Parameters
        ----------
        down : frozenset of str
            Targets that their nodes report as down. If these are more than half,
            the checks are more likely at fault than the targets, and only the
            failures of calls count.
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
        """Return the sort key by which ejected targets are put back, lowest first."""
        record = self.records.get(target, FailureRecord())
        return (record.ejections, record.ejected_until, target)

    def forget(self, target: str) -> None:
        """Drop the record of a target that was removed."""
        self.records.pop(target, None)
