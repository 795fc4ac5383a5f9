"""Decide what becomes of requests under which upstreams have ended.

The load this answers: a request that crashes every upstream which runs it, sent again
by its callers at any node. Each run of it takes an upstream away for seconds and ends
all that runs beside it.

All that ran at an upstream when it ended is suspected, and nearly all of that is
innocent. A suspect is not refused. It runs where no other suspect does, one copy after
the other, until it is answered, which clears it, or its upstream ends as well: then it
is the only suspect of those that ran there, and it is held back. An innocent request is
held back only if its upstream ends under another that nobody has suspected yet. So a
hold is limited in time, and a request that is answered after it is cleared.
"""

from __future__ import annotations

from sequoiaspoke.core.mesh.crashes import Crash, Crashes

# Seconds for which a request is held back after one, two and more upstreams have ended
# under it as the only suspect. Once may be chance, and costs its callers little; each
# further time costs all callers of the service an upstream.
HOLD_SECONDS = (10.0, 300.0, 3600.0)


class Quarantine:
    """Which requests run apart from others, and which are held back."""

    def __init__(self) -> None:
        self.crashes = Crashes()

    @property
    def empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self.crashes.by_request

    def is_suspect(self, service: str, fingerprint: str) -> bool:
        """Return whether a request may run only apart from other suspects."""
        return (service, fingerprint) in self.crashes.by_request

    def held_seconds(self, service: str, fingerprint: str, now: float) -> float:
        """Return for how much longer a request is held back, 0 if it may run."""
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
        """Return the requests that are held back, and for how many more seconds."""
        remaining = {
            request: self.held_seconds(*request, now)
            for request in self.crashes.by_request
        }
        return {request: seconds for request, seconds in remaining.items() if seconds}

    def release(self, fingerprint: str) -> list[Crash]:
        """Clear a request at all services; return the crashes changed."""
        services = [
            each for each, suspect in self.crashes.by_request if suspect == fingerprint
        ]
        return [
            crash
            for service in services
            for crash in self.crashes.clear(service, fingerprint)
        ]

    def add(self, crash: Crash, now: float) -> Crash | None:
        """Take a report of a crash; return all that is known of it if that is news."""
        return self.crashes.add(crash, now)

    def clear(self, service: str, fingerprint: str) -> list[Crash]:
        """Clear a request that an upstream answered; return the crashes changed."""
        return self.crashes.clear(service, fingerprint)


def find_proven(suspects: dict[str, bool]) -> frozenset[str]:
    """Return the request that a crash proves guilty, if there is one.

    Parameters
    ----------
    suspects : dict of str to bool
        Requests that ran at the upstream, and whether each was suspected before.
    """
    known = [fingerprint for fingerprint, before in suspects.items() if before]
    return frozenset(known) if len(known) == 1 else frozenset()
