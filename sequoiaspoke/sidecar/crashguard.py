"""Track requests suspected of crashing upstreams, for the entry and home of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.quarantine import Quarantine
from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.crashes import Crash
    from sequoiaspoke.core.mesh.directory import Directory
    from sequoiaspoke.core.mesh.model import Incarnation
    from sequoiaspoke.core.mesh.outcome import Request
    from sequoiaspoke.sidecar.crashdetector import SentCall
    from sequoiaspoke.sidecar.logs import EventLog


def ignore_reports(crashes: list[Crash]) -> None:
    """Do nothing; default until crash reports are sent to other nodes."""


def ignore_change() -> None:
    """Do nothing; default until a home isolates suspects."""


class CrashGuard:
    """Records crashes, clears answered requests, and logs both.

    Attributes
    ----------
    on_reports : callable
        Called with crash reports that other nodes must receive.
    on_change : callable
        Called when the set of suspected or quarantined requests has changed.
    """

    def __init__(self, directory: Directory, log: EventLog) -> None:
        self.directory = directory
        self.log = log
        self.quarantine = Quarantine()
        self.on_reports: Callable[[list[Crash]], None] = ignore_reports
        self.on_change: Callable[[], None] = ignore_change

    def service_of(self, incarnation: Incarnation) -> str:
        """Return the service of an upstream, empty if it is draining or unknown.

        A draining upstream exits even if calls still run there, so that no request may
        be suspected for it.
        """
        record = self.directory.records.get(incarnation.instance)
        if record is None or self.directory.is_leaving(incarnation):
            return ""
        return record.endpoint.service

    def suspected(self, service: str, request: Request) -> bool:
        """Return whether a request is a suspect and may not run beside others."""
        if self.quarantine.empty:
            return False
        return self.quarantine.is_suspect(service, request.fingerprint)

    def suspected_at(self, incarnation: Incarnation, request: Request) -> bool:
        """Return whether a request is suspected at the service of an upstream."""
        if self.quarantine.empty:
            return False
        return self.suspected(self.service_of(incarnation), request)

    def held_seconds(self, service: str, request: Request) -> float:
        """Return the seconds of quarantine left for a request, 0 if it may run."""
        if self.quarantine.empty:
            return 0.0
        now = clock.now()
        return self.quarantine.held_seconds(service, request.fingerprint, now)

    def held_seconds_at(self, incarnation: Incarnation, request: Request) -> float:
        """Return the seconds of quarantine left at the service of an upstream."""
        if self.quarantine.empty:
            return 0.0
        return self.held_seconds(self.service_of(incarnation), request)

    def record_reports(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Record crash reports; return those that changed what this node knows."""
        now = clock.now()
        merged = [self.quarantine.add(crash, now) for crash in crashes]
        changed = [crash for crash in merged if crash is not None]
        if changed:
            self.log_quarantined(changed)
            self.on_change()
        return changed

    def report(self, crash: Crash, calls: list[SentCall]) -> None:
        """Log, record and publish a crash of the upstream beside this node.

        One without suspects concerns no other node.
        """
        self.log.event(
            "upstream-crashed",
            instance=crash.instance,
            service=crash.service,
            calls=len(calls),
            bytes=sum(len(call.request.body) for call in calls),
            proven=",".join(sorted(crash.proven)) or "none",
        )
        if not crash.suspects:
            return
        for call in calls:
            self.log.request(
                "call-suspected",
                call.request,
                host=call.request.header("host"),
                target=call.request.target,
                instance=crash.instance,
                before=call.suspected,
            )
        self.on_reports(self.record_reports([crash]))

    def answered(self, incarnation: Incarnation, request: Request) -> None:
        """Clear a suspected request that an upstream has answered."""
        if not self.suspected_at(incarnation, request):
            return
        service = self.service_of(incarnation)
        cleared = self.quarantine.clear(service, request.fingerprint)
        self.log.request("call-cleared", request, crashes=len(cleared))
        self.on_change()
        self.on_reports(cleared)

    def release(self, fingerprint: str) -> bool:
        """Clear a request at all nodes; return whether it was suspected."""
        released = self.quarantine.release(fingerprint)
        if not released:
            return False
        self.log.event(
            "request-released", fingerprint=fingerprint, crashes=len(released)
        )
        self.on_change()
        self.on_reports(released)
        return True

    def log_quarantined(self, changed: list[Crash]) -> None:
        """Log the requests that are in quarantine from now on."""
        now = clock.now()
        for crash in changed:
            for fingerprint in sorted(crash.uncleared_proven):
                known = self.quarantine.crashes.for_request(crash.service, fingerprint)
                seconds = self.quarantine.held_seconds(crash.service, fingerprint, now)
                self.log.event(
                    "request-held",
                    fingerprint=fingerprint,
                    service=crash.service,
                    crashes=len(known),
                    instance=crash.instance,
                    seconds=f"{seconds:.0f}",
                )
