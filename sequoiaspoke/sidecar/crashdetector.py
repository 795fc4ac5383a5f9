"""Find out whether the upstream beside this node has ended under its calls.

A connection that is lost says little: the upstream may have dropped one call, or turned
one away. It has ended if nobody accepts connections there and no call goes on.
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
from sequoiaspoke.core.mesh.quarantine import blame
from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable

    from sequoiaspoke.core.mesh.model import Incarnation
    from sequoiaspoke.core.mesh.outcome import Outcome, Request

# Seconds within which all connections of an upstream that has ended are lost.
ALL_LOST_SECONDS = 0.05
# Seconds between two looks at whether they are.
POLL_SECONDS = 0.005


@dataclass(frozen=True)
class SentCall:
    """A call that was sent to the upstream.

    Attributes
    ----------
    suspected : bool
        Whether its request was under suspicion when it was sent.
    """

    request: Request
    incarnation: Incarnation
    suspected: bool


class CrashDetector:
    """Watches the calls at the upstream for its end.

    Parameters
    ----------
    refuses_connections : callable
        Tells whether nobody accepts connections at the upstream.
    service_of : callable
        Returns the service of a start; empty if its end was planned or is not known.
    """

    def __init__(
        self,
        refuses_connections: Callable[[], Awaitable[bool]],
        service_of: Callable[[Incarnation], str],
        on_crash: Callable[[Crash, list[SentCall]], None],
    ) -> None:
        self.refuses_connections = refuses_connections
        self.service_of = service_of
        self.on_crash = on_crash
        self.sent: dict[Hashable, SentCall] = {}
        # By key, in the order in which they were lost.
        self.lost: dict[Hashable, None] = {}
        self.detection: asyncio.Task[Crash | None] | None = None

    def call_sent(self, key: Hashable, sent: SentCall) -> None:
        """Note a call that goes out."""
        self.sent[key] = sent

    def call_ended(self, key: Hashable) -> None:
        """Note that a call is over, unless its loss is looked into."""
        if key not in self.lost:
            self.sent.pop(key, None)

    async def classify(self, key: Hashable, outcome: Outcome) -> Outcome:
        """Return an outcome, as that of a crash if the upstream has ended."""
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
        return outcome if crash is None else Unknown(UPSTREAM_CRASHED, crash)

    async def detect(self) -> Crash | None:
        """Return the crash that a loss of connections is, if it is one."""
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
        """Return whether no call goes on at the upstream."""
        deadline = clock.now() + ALL_LOST_SECONDS
        while self.sent.keys() - self.lost.keys():
            if clock.now() > deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    def report_crash(self) -> Crash | None:
        """Return the crash that ended the calls that were lost, and report it."""
        calls = [self.sent[key] for key in self.lost]
        incarnation = calls[-1].incarnation
        service = self.service_of(incarnation)
        if not service:
            return None
        suspects: dict[str, bool] = {}
        for call in calls:
            fingerprint = call.request.fingerprint
            suspects[fingerprint] = suspects.get(fingerprint, False) or call.suspected
        now = clock.now()
        crash = Crash(
            name=f"{incarnation.instance}@{int(now * 1000)}",
            instance=incarnation.instance,
            service=service,
            at=now,
            suspects=frozenset(suspects),
            proven=blame(suspects),
        )
        self.on_crash(crash, calls)
        return crash
