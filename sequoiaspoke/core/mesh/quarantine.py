"""Quarantine requests that crash upstreams.

This guards against a request that crashes every upstream that runs it and that callers
send again, through any node. Each run costs an upstream for seconds and ends all other
calls that it runs.

Every request that ran at an upstream when it crashed becomes a suspect; nearly all of
them are innocent. A suspect is not refused. It runs at an upstream without other
suspects, one copy at a time, until it is answered, which clears it, or until that
upstream crashes too. Then it was the only suspect there, so it counts as proven and is
held back. An innocent request is held back only if its upstream crashes because of a
request that is not a suspect yet. So holds are limited in time, and a request that is
answered after its hold is cleared.
"""

from __future__ import annotations

from sequoiaspoke.core.mesh.crashes import Crash, Crashes

# Seconds for which a request is held back after it was the only suspect in one, two,
# and three or more crashes. One may be a coincidence, and a short hold costs its
# callers little; each further crash costs all callers of the service an upstream.
HOLD_SECONDS = (10.0, 300.0, 3600.0)


class Quarantine:
    """Tracks which requests are suspects and which are held back."""

    def __init__(self) -> None:
        self.crashes = Crashes()

    @property
    def empty(self) -> bool:
        """Return whether there are no suspects."""
        return not self.crashes.by_request

    def is_suspect(self, service: str, fingerprint: str) -> bool:
        """Return whether a request is a suspect, which must not run beside another."""
        return (service, fingerprint) in self.crashes.by_request

    def held_seconds(self, service: str, fingerprint: str, now: float) -> float:
        """Return for how many more seconds a request is held back, 0 if it may run."""
        if not self.is_suspect(service, fingerprint):
            return 0.0
        proven = [
            crash.at
            for crash in self.crashes.for_request(service, fingerprint)
            if fingerprint in crash.uncleared_proven
        ]
        if not proven:
            return 0.0
        hold = HOLD_SECONDS[min(len(proven), len(HOLD_SECONDS)) - 1]
        return max(0.0, max(proven) + hold - now)

    def held_requests(self, now: float) -> dict[tuple[str, str], float]:
        """Return the requests that are held back and their remaining seconds."""
        remaining = {
            request: self.held_seconds(*request, now)
            for request in self.crashes.by_request
        }
        return {request: seconds for request, seconds in remaining.items() if seconds}

    def release(self, fingerprint: str) -> list[Crash]:
        """Clear a request for all services; return the crashes that changed."""
        services = [
            each for each, suspect in self.crashes.by_request if suspect == fingerprint
        ]
        return [
            crash
            for service in services
            for crash in self.crashes.clear(service, fingerprint)
        ]

    def add(self, crash: Crash, now: float) -> Crash | None:
        """Merge a crash report; return the merged crash if it changed, else None."""
        return self.crashes.add(crash, now)

    def clear(self, service: str, fingerprint: str) -> list[Crash]:
        """Clear an answered request; return the crashes that changed."""
        return self.crashes.clear(service, fingerprint)


def find_proven(suspects: dict[str, bool]) -> frozenset[str]:
    """Return the request that caused a crash, if exactly one was a suspect before.

    Parameters
    ----------
    suspects : dict of str to bool
        Requests that ran at the upstream, and whether each was a suspect before.
    """
    known = [fingerprint for fingerprint, before in suspects.items() if before]
    return frozenset(known) if len(known) == 1 else frozenset()
