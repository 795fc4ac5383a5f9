"""Detect that the upstream beside this node has crashed while it ran calls.

A single lost connection is no evidence, as the upstream may have dropped or refused
just that call. It has crashed if it refuses connections and no call is left running.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.crashes import Crash
from sequoiaspoke.core.mesh.outcome import (
    CONNECTION_LOST,
    RESET_AT_ONCE,
    UPSTREAM_CRASHED,
    Unknown,
)
from sequoiaspoke.core.mesh.quarantine import find_proven
from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable

    from sequoiaspoke.core.mesh.model import Incarnation
    from sequoiaspoke.core.mesh.outcome import Outcome, Request

# Seconds within which all connections to a crashed upstream are lost.
ALL_LOST_SECONDS = 0.05
# Seconds between two checks for calls that are not lost yet.
POLL_SECONDS = 0.005


@dataclass(frozen=True)
class SentCall:
    """A call that was sent to the upstream.

    Attributes
    ----------
    suspected : bool
        Whether its request was suspected when it was sent.
    """

    request: Request
    incarnation: Incarnation
    suspected: bool


def never_explained(sizes: list[int]) -> bool:  # noqa: ARG001
    """Return False; default without a bound on the bytes of bodies."""
    return False


class CrashDetector:
    """Tracks the calls at the upstream and detects its crash.

    Parameters
    ----------
    refuses_connections : callable
        Returns whether the upstream refuses connections.
    service_of : callable
        Returns the service of an incarnation, empty if it is draining or unknown.
    on_crash : callable
        Called with the crash report and the calls that were lost.
    explained_by : callable
        Called with the sizes of their bodies; returns whether these explain the crash,
        so that no request is suspected.
    """

    def __init__(
        self,
        refuses_connections: Callable[[], Awaitable[bool]],
        service_of: Callable[[Incarnation], str],
        on_crash: Callable[[Crash, list[SentCall]], None],
        explained_by: Callable[[list[int]], bool] = never_explained,
    ) -> None:
        self.refuses_connections = refuses_connections
        self.service_of = service_of
        self.on_crash = on_crash
        self.explained_by = explained_by
        self.sent: dict[Hashable, SentCall] = {}
        # Keys of the lost calls in the order of their loss.
        self.lost: dict[Hashable, None] = {}
        self.detection: asyncio.Task[Crash | None] | None = None

    def call_sent(self, key: Hashable, sent: SentCall) -> None:
        """Record a call that is being sent."""
        self.sent[key] = sent

    def call_ended(self, key: Hashable) -> None:
        """Record that a call has ended, unless its loss is being examined."""
        if key not in self.lost:
            self.sent.pop(key, None)

    async def classify(self, key: Hashable, outcome: Outcome) -> Outcome:
        """Return the outcome of a call, replaced if the upstream has crashed."""
        broken = isinstance(outcome, Unknown) and outcome.reason in (
            CONNECTION_LOST,
            RESET_AT_ONCE,
        )
        if not broken or key not in self.sent:
            return outcome
        self.lost[key] = None
        if self.detection is None:
            self.detection = asyncio.ensure_future(self.detect())
        crash = await asyncio.shield(self.detection)
        if crash is None:
            return outcome
        return Unknown(UPSTREAM_CRASHED, crash if crash.suspects else None)

    async def detect(self) -> Crash | None:
        """Return the crash behind the lost connections, None if there was none."""
        try:
            ended = (
                await self.refuses_connections() and await self.wait_until_all_lost()
            )
            return self.report_crash() if ended else None
        finally:
            for key in self.lost:
                self.sent.pop(key, None)
            self.lost.clear()
            self.detection = None

    async def wait_until_all_lost(self) -> bool:
        """Wait for the loss of all calls; return whether it came in time."""
        deadline = clock.now() + ALL_LOST_SECONDS
        while self.sent.keys() - self.lost.keys():
            if clock.now() > deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    def report_crash(self) -> Crash | None:
        """Report the crash that ended the lost calls, and return it.

        Returns None if the upstream was draining or its service is unknown.
        """
        calls = [self.sent[key] for key in self.lost]
        incarnation = calls[-1].incarnation
        service = self.service_of(incarnation)
        if not service:
            return None
        explained = self.explained_by([len(call.request.body) for call in calls])
        suspects: dict[str, bool] = {}
        for call in () if explained else calls:
            fingerprint = call.request.fingerprint
            suspects[fingerprint] = suspects.get(fingerprint, False) or call.suspected
        now = clock.now()
        crash = Crash(
            name=f"{incarnation.instance}@{int(now * 1000)}",
            instance=incarnation.instance,
            service=service,
            at=now,
            suspects=frozenset(suspects),
            proven=find_proven(suspects),
        )
        self.on_crash(crash, calls)
        return crash
