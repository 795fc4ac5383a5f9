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
from sequoiaspoke.core.mesh.quarantine import find_proven
from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Hashable

    from sequoiaspoke.core.mesh.model import Incarnation
    from sequoiaspoke.core.mesh.outcome import Outcome, Request

# Seconds within which all connections of an upstream that has ended are lost.
ALL_LOST_SECONDS = 0.05
# Seconds between two looks at whether they are.
LOOK_SECONDS = 0.005


@dataclass(frozen=True)
class Sent:
    """A call that was sent to the upstream.

    Attributes
    ----------
    suspected : bool
        Whether its request was under suspicion when it was sent.
    """

    request: Request
    start: Incarnation
    suspected: bool


class CrashWatch:
    """Watches the calls at the upstream for its end.

    Parameters
    ----------
    refuses : callable
        Tells whether nobody accepts connections at the upstream.
    service_of : callable
        Returns the service of a start; empty if its end was planned or is not known.
    """

    def __init__(
        self,
        refuses: Callable[[], Awaitable[bool]],
        service_of: Callable[[Incarnation], str],
        report: Callable[[Crash, list[Sent]], None],
    ) -> None:
        self.refuses = refuses
        self.service_of = service_of
        self.report = report
        self.sent: dict[Hashable, Sent] = {}
        # By key, in the order in which they were lost.
        self.lost: dict[Hashable, None] = {}
        self.check: asyncio.Task[Crash | None] | None = None

    def send(self, key: Hashable, sent: Sent) -> None:
        """Note a call that goes out."""
        self.sent[key] = sent

    def end(self, key: Hashable) -> None:
        """Note that a call is over, unless its loss is looked into."""
        if key not in self.lost:
            self.sent.pop(key, None)

    async def judge(self, key: Hashable, outcome: Outcome) -> Outcome:
        """Return an outcome, as that of a crash if the upstream has ended."""
        broken = isinstance(outcome, Unknown) and outcome.reason in (
            CONNECTION_LOST,
            RESET_AT_ONCE,
        )
        if not broken or key not in self.sent:
            return outcome
        self.lost[key] = None
        if self.check is None:
            self.check = asyncio.ensure_future(self.find_out())
        crash = await asyncio.shield(self.check)
        return outcome if crash is None else Unknown(UPSTREAM_CRASHED, crash)

    async def find_out(self) -> Crash | None:
        """Return the crash that a loss of connections is, if it is one."""
        try:
            ended = await self.refuses() and await self.all_lost()
            return self.crash() if ended else None
        finally:
            for key in self.lost:
                self.sent.pop(key, None)
            self.lost.clear()
            self.check = None

    async def all_lost(self) -> bool:
        """Return whether no call goes on at the upstream."""
        until = clock.now() + ALL_LOST_SECONDS
        while self.sent.keys() - self.lost.keys():
            if clock.now() > until:
                return False
            await asyncio.sleep(LOOK_SECONDS)
        return True

    def crash(self) -> Crash | None:
        """Return the crash that ended the calls that were lost, and report it."""
        calls = [self.sent[key] for key in self.lost]
        start = calls[-1].start
        service = self.service_of(start)
        if not service:
            return None
        suspects: dict[str, bool] = {}
        for call in calls:
            fingerprint = call.request.fingerprint
            suspects[fingerprint] = suspects.get(fingerprint, False) or call.suspected
        now = clock.now()
        crash = Crash(
            name=f"{start.instance}@{int(now * 1000)}",
            instance=start.instance,
            service=service,
            at=now,
            suspects=frozenset(suspects),
            proven=find_proven(suspects),
        )
        self.report(crash, calls)
        return crash
