"""End a node without cutting off what its callers wait for."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.polling import PolledCall
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines
from sequoiaspoke.sidecar.stopplan import RUNNING, plan_stop

if TYPE_CHECKING:
    from sequoiaspoke.sidecar.callerserver import CallerServer
    from sequoiaspoke.sidecar.entry import Entry
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.linkserver import LinkServer
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.settings import SidecarSettings

# Seconds after the latest end of the input in which the answers to calls that end at
# that moment are sent.
LAST_ANSWERS_SECONDS = 0.02
# Turns of the event loop without new input after which all that had arrived was read:
# one connects what was accepted, and the next one reads from it.
QUIET_TURNS = 3
# Seconds between two checks whether everything that was sent has been received.
POLL_SECONDS = 0.005


class Shutdown:
    """The time from the signal to stop until the process may exit.

    Callers are moved to other nodes meanwhile. Once they had time for that, no
    connections are accepted and idle ones are closed, whatever is in progress: what the
    kernel accepts from then on would be lost if the process was killed before it ran
    again. Only for the calls that the upstream may make while it runs others, a few
    connections are still accepted. The input ends with the last request, or some time
    before the exit, so that none is read which nobody would answer.

    Attributes
    ----------
    began_at : float or None
        When the node was told to stop.
    plan : StopPlan
        What is taken until the exit, and when all of it is answered.
    reads_rest : bool
        Whether the input ends once everything that has arrived is read.
    timers : Deadlines
        Ends the input on time, also between two ticks.
    input_ended : asyncio.Event
        Set once no further request is read.
    input_ended_at : float
        When that was.
    requests_before : int or None
        Requests that had been read when callers had had time to leave; None until then.
    accepting_for : int
        Calls of the upstream for which connections were still accepted then.
    """

    def __init__(
        self,
        callers: CallerServer,
        links: LinkServer,
        entry: Entry,
        home: Home,
        log: EventLog,
    ) -> None:
        self.callers = callers
        self.links = links
        self.entry = entry
        self.home = home
        self.log = log
        self.began_at: float | None = None
        self.plan = RUNNING
        self.reads_rest = False
        self.timers = Deadlines()
        self.input_ended = asyncio.Event()
        self.input_ended_at = inf
        self.requests_before: int | None = None
        self.accepting_for = 0

    def begin(self, settings: SidecarSettings, late: float = 0.0) -> None:
        """Begin to stop, and stay reachable while callers move away.

        Parameters
        ----------
        late : float
            Seconds for which the signal may have waited until the process ran.
        """
        if self.began_at is not None:
            return
        self.began_at = now = clock.now()
        plan = self.plan = plan_stop(settings, now, late)
        self.callers.closing = True
        self.entry.stop(plan)
        self.home.stop(plan)
        self.timers.call_at(plan.accepts_until, self.count_requests)
        self.timers.call_at(plan.breaks_off_at, self.send_finished)
        self.timers.call_at(plan.input_ends_at, self.end_input_once_read)
        self.timers.call_at(
            plan.answers_by + LAST_ANSWERS_SECONDS, self.log_last_answers
        )
        self.log.event(
            "stop",
            running=self.home.admission.running,
            calls=len(self.home.calls),
            exit=f"{plan.exits_at - now:.2f}",
            answers=f"{plan.answers_by - now:.2f}",
            late=f"{late:.2f}",
        )

    def count_requests(self) -> None:
        """Keep the number of requests before those of callers that have stayed."""
        self.requests_before = self.callers.requests

    def send_finished(self) -> None:
        """Send the finished answers, which would be lost if the process was killed."""
        self.callers.send_finished(self.plan.moved_at)

    @property
    def late_requests(self) -> int:
        """Return how many requests have come after callers had had time to leave."""
        if self.requests_before is None:
            return 0
        return self.callers.requests - self.requests_before

    def tick(self, now: float) -> None:
        """Let the home leave, and end the input once callers had time to leave."""
        if self.began_at is None:
            return
        if now > self.plan.leaves_at and not self.home.leaving:
            self.home.leaving = True
            self.links.announce_leaving()
        if self.reads_rest or self.input_ended.is_set():
            return
        if not self.callers.accepting:
            self.end_unused_input()
        elif now >= self.plan.accepts_until:
            calling = self.home.calling
            if calling:
                self.accept_for_upstream(calling)
                return
            self.stop_accepting()
            # What was accepted may bring a request.
            PolledCall(self.end_unused_input)

    def accept_for_upstream(self, calling: int) -> None:
        """Accept no more connections than the upstream may need; close idle ones.

        Callers and the upstream share an address, so that only the number of those
        that wait can be limited.

        Parameters
        ----------
        calling : int
            Calls that those at the upstream may make at once.
        """
        if calling != self.accepting_for:
            self.accepting_for = calling
            self.callers.limit_waiting(calling)
            self.log.event(
                "accepting-limited",
                calling=calling,
                connections=len(self.callers.connections),
                calls=self.callers.unanswered,
                home_calls=len(self.home.calls),
            )
        self.callers.ends_connections = True
        self.callers.close_idle()

    def end_input_once_read(self, quiet_turns: int = 0) -> None:
        """End the input once everything that has arrived is read.

        A process that did not run for a while has not read the requests that came
        meanwhile. If there are such, they are served, or refused if the time is over.
        """
        if self.callers.accepting:
            self.stop_accepting()
        latest = self.plan.exits_at + LAST_ANSWERS_SECONDS
        if quiet_turns == QUIET_TURNS or clock.now() >= latest:
            self.reads_rest = False
            self.end_input()
            return
        self.reads_rest = True
        last_input_at = self.callers.last_input_at

        def turned() -> None:
            quiet = self.callers.last_input_at == last_input_at
            self.end_input_once_read(quiet_turns + 1 if quiet else 0)

        asyncio.get_running_loop().call_soon(turned)

    def stop_accepting(self) -> None:
        """Accept no more connections of callers."""
        assert self.began_at is not None
        self.callers.stop_accepting()
        self.log.event(
            "accepting-ended",
            after=f"{clock.now() - self.began_at:.3f}",
            connections=len(self.callers.connections),
            calls=self.callers.unanswered,
            home_calls=len(self.home.calls),
        )

    def end_unused_input(self) -> None:
        """Close idle connections; end the input if none may bring a request."""
        self.callers.close_idle()
        if not self.callers.reads_input:
            self.end_input()

    def end_input(self) -> None:
        """Read no further requests."""
        if not self.input_ended.is_set():
            self.input_ended_at = clock.now()
            self.callers.end_input()
            self.input_ended.set()

    async def finish(self) -> None:
        """Wait until callers and other nodes have received what they were sent."""
        await self.input_ended.wait()
        latest = self.plan.exits_at + LAST_ANSWERS_SECONDS
        while not self.idle and clock.now() < latest:
            await asyncio.sleep(POLL_SECONDS)
        # The process may not have run in the time in which they are refused.
        self.home.refuse_calls_beyond_exit(clock.now())

    @property
    def idle(self) -> bool:
        """Return whether no call is in progress and everything has been received."""
        return not self.home.calls and self.delivered

    @property
    def delivered(self) -> bool:
        """Return whether all connections of callers are closed and no frame is left."""
        return not self.callers.connections and self.links.delivered

    def log_last_answers(self) -> None:
        """Log what is left after all calls that would outlast the node were answered.

        It is lost if the process gets no processor until it is killed.
        """
        self.log.event(
            "last-answers",
            accepting=self.callers.accepting,
            calls=self.callers.unanswered,
            unsent=self.callers.unsent + self.links.unsent,
            home_calls=len(self.home.calls),
            left=f"{self.plan.exits_at - clock.now():.3f}",
        )

    def log_end(self, node: str) -> None:
        """Log what is left when the process ends, and when the last request came."""
        assert self.began_at is not None
        now = clock.now()
        self.log.event(
            "end",
            node=node,
            waited=f"{now - self.began_at:.3f}",
            input_ended=f"{now - self.input_ended_at:.3f}",
            last_request=f"{now - self.callers.last_request_at:.3f}",
            late_requests=self.late_requests,
            connections=len(self.callers.connections),
            calls=self.callers.unanswered,
            unsent=self.callers.unsent + self.links.unsent,
            home_calls=len(self.home.calls),
        )
