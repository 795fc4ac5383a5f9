"""End a node without cutting off what its callers wait for."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.deadlines import Deadlines

if TYPE_CHECKING:
    from sequoiaspoke.sidecar.callerserver import CallerServer
    from sequoiaspoke.sidecar.entry import Entry
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.linkserver import LinkServer
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.settings import SidecarSettings

# Seconds for which a stopping node keeps serving without calls in progress. Callers are
# moved away after two readiness checks, a second apart, have failed.
LINGER_SECONDS = 2.6
# Shortest time before its exit, in seconds, at which a stopping node answers all calls
# that would outlast it. There may be hundreds, and a VM whose share of a core is used
# up stands still for a tenth of a second.
ANSWER_MARGIN_SECONDS = 0.2
# Time before its latest exit by which a stopping node expects to have ended and answers
# what would outlast it, in seconds and as a share of the time until the exit. A process
# that gets its processor late just before the exit is killed with the calls that it
# still has.
SPARE_SECONDS, SPARE_SHARE = 0.5, 1 / 12
# Seconds after the latest end of the input in which the answers to calls that end at
# that moment are sent.
LAST_ANSWERS_SECONDS = 0.02
# Seconds after the signal until which calls are accepted that the exit may break off.
BREAKABLE_SECONDS = 3.0
# Delay of the event loop in seconds from which a signal counts as late. Shorter delays
# are frequent on a busy machine.
LATE_SIGNAL_SECONDS = 0.1
# Turns of the event loop without new input after which all that had arrived was read: a
# turn accepts one connection, and the next one reads from it.
QUIET_TURNS = 3
# Seconds between two checks whether everything that was sent has been received.
POLL_SECONDS = 0.005


class Shutdown:
    """The time from the signal to stop until the process may exit.

    Calls are served until none is left or the time is over. The input of the callers
    ends in the step that finds none, or some time before the exit, so that no request
    is read which nobody would answer.

    Attributes
    ----------
    began_at : float or None
        When the node was told to stop.
    leaves_at : float
        When the home refuses new calls.
    input_ends_at : float
        When no further request is read, at the latest.
    exits_at : float
        When the process exits at the latest.
    reads_rest : bool
        Whether the input ends once everything that has arrived is read.
    timers : Deadlines
        Ends the input on time, also between two ticks.
    input_ended : asyncio.Event
        Set once no further request is read.
    input_ended_at : float
        When that was.
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
        self.leaves_at = self.input_ends_at = self.exits_at = inf
        self.reads_rest = False
        self.timers = Deadlines()
        self.input_ended = asyncio.Event()
        self.input_ended_at = inf

    def begin(self, settings: SidecarSettings, late: float = 0.0) -> None:
        """Begin to stop, and stay reachable while callers move away.

        Parameters
        ----------
        late : float
            Seconds for which the signal may have waited until the process ran. The exit
            is earlier by them, unless calls would be broken off too early if it came
            last. New calls have to fit in any case.
        """
        if self.began_at is not None:
            return
        if late < LATE_SIGNAL_SECONDS:
            late = 0.0
        shortest = settings.break_off_after + ANSWER_MARGIN_SECONDS
        drain = max(settings.drain - late, min(settings.drain, shortest))
        spare = min(SPARE_SECONDS, SPARE_SHARE * drain)
        margin = max(spare, ANSWER_MARGIN_SECONDS)
        break_off = max(drain - margin, settings.break_off_after)
        self.began_at = clock.now()
        self.leaves_at = self.began_at + settings.leave_after
        self.exits_at = self.began_at + drain
        self.callers.closing = True
        self.entry.stop_at(
            self.began_at + min(drain, break_off),
            self.began_at + settings.drain - late,
            self.began_at + min(LINGER_SECONDS, BREAKABLE_SECONDS - late),
            spare,
        )
        self.home.exits_at = self.exits_at
        self.input_ends_at = self.exits_at - spare
        self.timers.call_at(self.input_ends_at, self.end_input_once_read)
        self.timers.call_at(
            self.entry.closes_at + LAST_ANSWERS_SECONDS, self.log_last_answers
        )
        self.log.event(
            "stop",
            running=self.home.admission.running,
            calls=len(self.home.calls),
            exit=f"{drain:.2f}",
            answers=f"{self.entry.closes_at - self.began_at:.2f}",
            late=f"{late:.2f}",
        )

    def tick(self, now: float) -> None:
        """Let the home leave, and end the input once all calls are answered."""
        if self.began_at is None:
            return
        if now > self.leaves_at and not self.home.leaving:
            self.home.leaving = True
            self.links.announce_leaving()
        lingers = now - self.began_at <= LINGER_SECONDS
        if not (lingers or self.busy or self.reads_rest or self.input_ended.is_set()):
            self.end_input_once_read()

    @property
    def busy(self) -> bool:
        """Return whether a call is in progress or an answer not read yet."""
        return self.callers.busy() or bool(self.home.calls)

    def end_input_once_read(self, quiet_turns: int = 0) -> None:
        """End the input once everything that has arrived is read.

        A process that did not run for a while has not read the requests that came
        meanwhile. If there are such, they are served, or refused if the time is over.
        """
        now = clock.now()
        latest = self.exits_at + LAST_ANSWERS_SECONDS
        if now >= latest or quiet_turns == QUIET_TURNS:
            self.reads_rest = False
            if now >= self.input_ends_at or not self.busy:
                self.end_input()
            return
        self.reads_rest = True
        last_input_at = self.callers.last_input_at

        def turned() -> None:
            quiet = self.callers.last_input_at == last_input_at
            self.end_input_once_read(quiet_turns + 1 if quiet else 0)

        asyncio.get_running_loop().call_soon(turned)

    def end_input(self) -> None:
        """Read no further requests."""
        if not self.input_ended.is_set():
            self.input_ended_at = clock.now()
            self.callers.end_input()
            self.input_ended.set()

    async def finish(self) -> None:
        """Wait until callers and other nodes have received what they were sent."""
        await self.input_ended.wait()
        latest = self.exits_at + LAST_ANSWERS_SECONDS
        while not self.idle and clock.now() < latest:
            await asyncio.sleep(POLL_SECONDS)

    @property
    def idle(self) -> bool:
        """Return whether no call is in progress and everything has been received."""
        return not self.home.calls and self.delivered

    @property
    def delivered(self) -> bool:
        """Return whether all connections of callers are closed and no frame is left."""
        return not self.callers.connections and not self.links.unsent

    def log_last_answers(self) -> None:
        """Log what is left after all calls that would outlast the node were answered.

        It is lost if the process gets no processor until it is killed.
        """
        self.log.event(
            "last-answers",
            calls=self.callers.unanswered,
            unsent=self.callers.unsent + self.links.unsent,
            home_calls=len(self.home.calls),
            left=f"{self.exits_at - clock.now():.3f}",
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
            connections=len(self.callers.connections),
            calls=self.callers.unanswered,
            unsent=self.callers.unsent + self.links.unsent,
            home_calls=len(self.home.calls),
        )
