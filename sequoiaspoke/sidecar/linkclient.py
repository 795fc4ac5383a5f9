"""The entry's side of a link to one home.

A link can break or go silent while calls are pending on it. It is found dead within
a second, and a new connection to the same home is opened. If the home is still the
same incarnation, the pending calls are sent again under their numbers, and the home
runs each at most once; otherwise the outcome of the calls already sent is unknown.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import RefusalReason
from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.memory import SMALL_BODY
from sequoiaspoke.core.mesh.outcome import TIMED_OUT, NotRun, Unknown
from sequoiaspoke.core.mesh.transfers import PART_BYTES
from sequoiaspoke.polling import PolledTimeout
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.linkfeatures import SUPPORTED, LinkFeatures
from sequoiaspoke.sidecar.liveness import LivenessWait
from sequoiaspoke.sidecar.pending import PendingCall
from sequoiaspoke.sidecar.transfers import OutgoingBody, PartSender
from sequoiaspoke.sidecar.wirecalls import (
    pack_call,
    unpack_fetch,
    unpack_load_report,
    unpack_outcome,
)
from sequoiaspoke.sidecar.wirefields import require
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.frames import Dialer, FrameStream
    from sequoiaspoke.sidecar.gossip import Gossip
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.pending import LinkIdentity

# Seconds for connecting and for the handshake. A round trip between zones takes
# milliseconds; a busy home answers within tenths of a second.
DIAL_TIMEOUT, HANDSHAKE_TIMEOUT = 0.4, 0.8
# Seconds without a frame, while calls are pending, after which the home is pinged and
# after which the link is closed as dead.
PING_AFTER, SILENT_AFTER = 0.3, 0.9
# A link that received a frame within this many seconds is taken to be alive. On any
# other the home is pinged before a call is sent that may run only once.
RECENT_SECONDS = 0.1
# Round trip in seconds from which one of the processes may not have run meanwhile, and
# the longest time that a message takes. A longer estimate would have a home end calls
# before their deadlines.
SHORT_ROUND_TRIP, MAX_ONE_WAY = 0.05, 0.1
# Age in seconds that stands for a node without any knowledge.
UNKNOWN_AGE = 1e6
# Frames queued until the link is established; the oldest are dropped first.
OUTBOX_FRAMES = 20
# Seconds between attempts to connect, doubling up to the second value.
REDIAL_MIN, REDIAL_MAX = 0.1, 0.4


# Outcome of a call that was sent and whose deadline has passed.
TOO_LATE = Unknown(TIMED_OUT)


def ignore_load_report(load_report: LoadReport) -> None:
    """Do nothing; the default of links whose load reports are not used."""


class LinkClient:
    """A link to one home, which reconnects as needed.

    Attributes
    ----------
    active_links : set of LinkClient
        Links that wait for their home and need `tick`; this one adds itself.
    persistent : bool
        Whether the link stays open without pending calls.
    failing : bool
        Whether the home could not be reached, or went silent, last time.
    leaving : bool
        Whether the home has announced that it takes no new calls.
    features : LinkFeatures
        Features of the home, as of the last handshake.
    hellos : int
        Number of handshakes that were begun on this connection.
    fetched : dict of int to PendingCall
        Calls whose bodies the home has requested further than they were sent.
    """

    def __init__(
        self,
        address: tuple[str, int],
        identity: LinkIdentity,
        gossip: Gossip,
        log: EventLog,
        dialer: Dialer,
        active_links: set[LinkClient] | None = None,
    ) -> None:
        self.dialer = dialer
        self.active_links = set() if active_links is None else active_links
        self.address = address
        self.identity = identity
        self.gossip = gossip
        self.log = log
        self.pending: dict[int, PendingCall] = {}
        self.stream: FrameStream | None = None
        self.established = False
        self.persistent = False
        self.closed = False
        self.failing = False
        self.leaving = False
        self.incarnation: int | None = None
        self.load_report = LoadReport()
        self.on_load_report: Callable[[LoadReport], None] = ignore_load_report
        self.last_heard = 0.0
        self.last_pinged = 0.0
        self.hellos = 0
        self.clock_offset = 0.0
        self.round_trip = float("inf")
        self.probe = LivenessWait(self.probe_failed)
        self.features = LinkFeatures(0)
        self.fetched: dict[int, PendingCall] = {}
        self.part_sender = PartSender(self.send_next_part, self.unsent_bytes)
        self.outbox: deque[wire.Frame] = deque(maxlen=OUTBOX_FRAMES)
        self.pending_since = 0.0
        self.run_task: asyncio.Task[None] | None = None
        self.wake = asyncio.Event()

    # Calls.

    def submit(
        self, call: HomeCall, on_outcome: Callable[[Outcome], None]
    ) -> PendingCall:
        """Have the home run a call, and pass on its outcome once."""
        pending = PendingCall(self.identity.next_call_number(), call, on_outcome)
        if self.established and not call.idempotent and self.stale():
            assert self.stream is not None
            if self.probe.hold(pending):
                # A home that has exited may have left frames that this node, held
                # meanwhile, reads only now.
                self.stream.note_arrived()
                self.ping(clock.now())
        else:
            self.dispatch(pending)
        return pending

    def dispatch(self, pending: PendingCall) -> None:
        """Send a call, now or once the link is established.

        A call that is held for an answer to a ping is not pending yet: a new
        connection sends all pending calls, and a held one could then be reported as
        not run although it was sent.
        """
        if not self.pending:
            self.pending_since = clock.now()
        self.pending[pending.number] = pending
        self.active_links.add(self)
        if self.established:
            self.send_call(pending)
        else:
            self.open()

    def cancel(self, pending: PendingCall) -> None:
        """Drop a call, and tell the home that its outcome is no longer wanted."""
        pending.drop()
        self.send_cancel(pending)

    def send_cancel(self, pending: PendingCall) -> None:
        """Remove a pending call, and have the home cancel it if it was sent."""
        if self.pending.pop(pending.number, None) is None:
            return
        if self.stream is not None and pending.home_incarnation is not None:
            self.stream.send(wire.Frame(cancel=wire.Cancel(pending.number)))

    def withdraw(self, pending: PendingCall) -> None:
        """Take a call back; its outcome tells whether it has run.

        One that was not sent yet, or not with its whole body, has not run. For any
        other, the home tells whether it has started, after the next handshake if the
        link has ended.
        """
        if pending.done:
            return
        if pending.not_run:
            self.send_cancel(pending)
            pending.resolve(NotRun(RefusalReason.WITHDRAWN))
        elif self.features & LinkFeatures.PARTS:
            pending.withdrawn = True
            self.send_withdraw(pending)

    def send_withdraw(self, pending: PendingCall) -> None:
        """Ask the home to take a call back unless it has started."""
        self.send(wire.Frame(withdraw=wire.Withdraw(pending.number)))

    def stale(self) -> bool:
        """Return whether the home has sent nothing recently.

        A call that may run only once is then held until the home answers a ping. One
        that may run again is sent at once, and elsewhere if it takes too long: in a
        large fleet most links are silent for seconds, and a ping costs another round
        trip and two frames.
        """
        return clock.now() - self.last_heard >= RECENT_SECONDS

    def probe_failed(self, unsent: list[PendingCall]) -> None:
        """Close the link, and report the calls held on it as not run."""
        self.failing = True
        if self.stream is not None:
            self.stream.close()
        for pending in unsent:
            pending.resolve(NotRun("link-silent"))

    def send_call(self, pending: PendingCall) -> None:
        """Send a call on the established link."""
        assert self.stream is not None
        if self.stream.closed:
            # Its end has not been read yet. Nothing would be sent, so the call stays
            # unsent and goes with the next connection.
            return
        if pending.done:
            # It has just failed, for example because it was sent to an earlier
            # incarnation of the home: sent again it would run twice.
            return
        if pending.call.deadline <= clock.now():
            # This VM was suspended, and the timer that ends the call is due. The home
            # may have forgotten it.
            late = NotRun(RefusalReason.NO_TIME) if pending.not_run else TOO_LATE
            self.fail(pending, late)
            return
        if pending.withdrawn:
            self.send_withdraw(pending)
            return
        call = pending.call
        largest_whole = PART_BYTES if call.large_body else SMALL_BODY
        parts = bool(self.features & LinkFeatures.PARTS)
        if parts and len(call.request.body) > largest_whole:
            pending.body = pending.body or OutgoingBody(call.request.body)
            pending.body.announced()
        pending.home_incarnation = self.incarnation
        in_parts = pending.body is not None
        self.stream.send(pack_call(call, pending.number, self.clock_offset, in_parts))

    # Bodies.

    def handle_fetch(self, message: wire.Fetch) -> None:
        """Send what the home has requested of a body; raise MessageError."""
        number, offset, upto = unpack_fetch(message)
        pending = self.pending.get(number)
        if pending is not None and pending.body is not None:
            pending.body.request(offset, upto)
            self.fetched[number] = pending
            self.part_sender.start()

    def send_next_part(self) -> bool:
        """Send the next part of the first requested body; return False without one."""
        while self.fetched:
            number, pending = next(iter(self.fetched.items()))
            assert pending.body is not None
            part = None if pending.done else pending.body.next_part()
            if part is not None:
                self.send(wire.Frame(body_part=wire.BodyPart(number, *part)))
                return True
            del self.fetched[number]
        return False

    def unsent_bytes(self) -> int:
        """Return how many bytes wait in the buffer of the link."""
        return self.stream.unsent_bytes() if self.stream is not None else 0

    # The link.

    def open(self) -> None:
        """Connect, or wake the task that waits before it connects again."""
        if self.run_task is None and not self.closed:
            self.run_task = asyncio.ensure_future(self.run())
        self.wake.set()

    def close(self) -> None:
        """Close the link for good and fail its calls."""
        self.closed = True
        if self.stream is not None:
            self.stream.close()
        if self.run_task is not None:
            self.run_task.cancel()
        self.fail_all("home-left")

    async def run(self) -> None:
        """Connect and read for as long as the link is needed.

        A home that failed or left is dialled until it answers: this entry sends it no
        calls until then, so nothing else would show that it is back.
        """
        pause = REDIAL_MIN
        while self.needed and not self.closed:
            reason = await self.run_connection()
            if reason is None:
                pause = REDIAL_MIN
                continue
            self.wake.clear()
            try:
                async with asyncio.timeout(pause):
                    await self.wake.wait()
                await asyncio.sleep(0.02)
            except TimeoutError:
                pause = min(2 * pause, REDIAL_MAX)
        self.run_task = None

    @property
    def needed(self) -> bool:
        """Return whether the link has to be connected."""
        return bool(self.pending or self.outbox or self.persistent or self.failing)

    async def run_connection(self) -> str | None:
        """Connect once and read until the link ends; return why connecting failed."""
        try:
            async with PolledTimeout(DIAL_TIMEOUT):
                self.stream = await self.dialer.dial(*self.address)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            self.mark_unreachable("refused" if refused else type(error).__name__)
            return "unreachable"
        self.active_links.add(self)
        self.last_heard = clock.now()
        self.hellos = 0
        self.send_hello()
        reason = await self.stream.read(self.handle_frame)
        was_established, self.established = self.established, False
        self.fetched.clear()
        self.dispatch_held()
        self.failing |= self.leaving
        self.leaving = False
        self.stream = None
        if was_established:
            self.gossip.link_down(self)
            self.log.event("link-down", peer=self.address[0], reason=reason)
            return None
        self.mark_unreachable("no-greeting")
        return "no-greeting"

    def send_hello(self) -> None:
        """Begin the handshake; the hello is answered like a ping."""
        assert self.stream is not None
        self.hellos += 1
        self.last_pinged = clock.now()
        identity = self.identity
        hello = wire.Hello(
            identity.host,
            identity.incarnation,
            identity.zone,
            self.last_pinged,
            self.gossip.uninformed(),
            SUPPORTED,
        )
        self.stream.send(wire.Frame(hello=hello))

    def handle_frame(self, frame: wire.Frame) -> None:
        """Handle one frame from the home."""
        assert self.stream is not None
        self.last_heard = clock.now()
        if not self.stream.reads_old:
            self.dispatch_held()
        outcome = unpack_outcome(frame)
        if outcome is not None:
            self.resolve(*outcome)
        elif frame.fetch is not None:
            self.handle_fetch(frame.fetch)
        elif frame.pong is not None:
            require(frame.pong, "sent", "clock")
            self.update_clock_offset(frame.pong.sent, frame.pong.clock)
            self.on_load_report(unpack_load_report(frame.pong.news))
        elif frame.confirmed is not None:
            if self.gossip.handle_confirmation(frame.confirmed, self.clock_offset):
                self.request_knowledge()
        elif frame.welcome is not None:
            self.handle_welcome(frame.welcome)
        elif frame.leaving is not None:
            self.leaving = True
        elif frame.ask is not None:
            self.send_knowledge(frame.ask)
        elif frame.crashes is not None:
            self.gossip.handle_crashes(frame.crashes, self.send)
        elif frame.link_rates is not None:
            self.gossip.handle_rates(frame.link_rates, self.send)
        elif frame.knowledge is not None:
            if not self.gossip.learn(frame.knowledge, self.clock_offset):
                self.request_knowledge()

    def dispatch_held(self) -> None:
        """Dispatch the calls that were held until the home answers.

        If the link has ended meanwhile, they wait for the next connection.
        """
        for pending in self.probe.release():
            self.dispatch(pending)

    def send_knowledge(self, ask: wire.Ask) -> None:
        """Send the home what this node knows, if that is newer."""
        knowledge = self.gossip.answer(ask)
        if knowledge is not None:
            self.send(wire.Frame(knowledge=knowledge))

    def request_knowledge(self) -> None:
        """Ask the home for newer knowledge."""
        self.send(wire.Frame(ask=self.gossip.knowledge_request()))

    def subscribe(self, config_version: int, first: bool, link_mbps: float) -> None:
        """Subscribe to all changes of what the home knows."""
        subscribe = wire.Subscribe(config_version, first, self.identity.host, link_mbps)
        self.send(wire.Frame(subscribe=subscribe))

    def announce_version(self, config_version: int, first: bool) -> None:
        """Tell the home which version of the configuration this node has."""
        self.send(wire.Frame(holds=wire.Holds(config_version, first)))

    def send(self, frame: wire.Frame) -> None:
        """Send a frame if the link is established."""
        if self.stream is not None and self.established:
            self.stream.send(frame)

    def send_or_queue(self, frame: wire.Frame) -> None:
        """Send a frame now, or once the link is established."""
        if self.established:
            self.send(frame)
            return
        self.outbox.append(frame)
        self.open()

    def resolve(
        self, number: int, outcome: Outcome, load_report: LoadReport | None
    ) -> None:
        """Pass an outcome to the call that waits for it."""
        if load_report is not None:
            self.load_report = load_report
        pending = self.pending.pop(number, None)
        if pending is not None:
            pending.resolve(outcome)

    def handle_welcome(self, welcome: wire.Welcome) -> None:
        """Complete the handshake, and send the pending calls and queued frames.

        Raises MessageError.
        """
        require(welcome, "incarnation", "clock")
        assert self.stream is not None
        if clock.now() - self.last_pinged > HANDSHAKE_TIMEOUT:
            # This process did not run meanwhile. The clock offset, and so the deadlines
            # of all calls on this link, would be wrong by half of that time.
            if self.hellos > 1:
                self.stream.close()
            else:
                self.send_hello()
            return
        self.round_trip = float("inf")
        self.update_clock_offset(self.last_pinged, welcome.clock)
        if welcome.incarnation != self.incarnation:
            self.fail_sent("home-restarted")
            self.incarnation = welcome.incarnation
        self.features = LinkFeatures(welcome.features or 0)
        self.established = True
        self.failing = False
        self.leaving = bool(welcome.leaving)
        self.log.event(
            "link-up",
            peer=self.address[0],
            incarnation=welcome.incarnation,
            resent=sum(not each.not_run for each in self.pending.values()),
        )
        for pending in list(self.pending.values()):
            self.send_call(pending)
        while self.outbox:
            self.send(self.outbox.popleft())
        if welcome.uninformed:
            self.send_knowledge(wire.Ask(0, UNKNOWN_AGE))
        if self.round_trip > SHORT_ROUND_TRIP:
            self.ping(clock.now())
        self.gossip.link_up(self)

    def update_clock_offset(self, sent: float, peer_clock: float) -> None:
        """Estimate the clock offset if the round trip was short or the shortest yet."""
        round_trip = clock.now() - sent
        if round_trip < self.round_trip or round_trip < SHORT_ROUND_TRIP:
            self.round_trip = round_trip
            self.clock_offset = peer_clock - sent - min(round_trip / 2, MAX_ONE_WAY)

    # Failures.

    def mark_unreachable(self, reason: str) -> None:
        """Record that the home cannot be reached, and fail calls accordingly.

        Calls that were never sent, or not with their whole body, have certainly not
        run. Of the others, the ones that can be tried elsewhere are failed; the others
        wait for the link, unless the connection was refused: then the process that knew
        their outcome is gone.
        """
        self.gossip.link_down(self)
        if not self.failing:
            self.log.event("link-unreachable", peer=self.address[0], reason=reason)
        self.failing = True
        self.outbox.clear()
        for pending in list(self.pending.values()):
            if pending.not_run:
                self.fail(pending, NotRun("home-unreachable"))
            elif reason == "refused" or (
                pending.call.idempotent and pending.can_retry()
            ):
                self.fail(pending, Unknown("home-unreachable"))

    def fail(self, pending: PendingCall, outcome: Outcome) -> None:
        """Remove a pending call and report its outcome."""
        self.pending.pop(pending.number, None)
        pending.resolve(outcome)

    def fail_sent(self, reason: str) -> None:
        """Fail the calls that were sent.

        The outcome of those that were sent whole is unknown.
        """
        for pending in list(self.pending.values()):
            if pending.home_incarnation is not None:
                certain = pending.not_run
                self.fail(pending, NotRun(reason) if certain else Unknown(reason))

    def fail_all(self, reason: str) -> None:
        """Fail every call, sent or not."""
        self.fail_sent(reason)
        for pending in [*self.pending.values(), *self.probe.release()]:
            self.fail(pending, NotRun(reason))

    @property
    def idle(self) -> bool:
        """Return whether the link waits for nothing from the home."""
        return not self.pending and (self.established or self.stream is None)

    def tick(self, now: float) -> None:
        """Ping a silent home, and close the link if it does not answer."""
        if self.stream is None:
            return
        if not self.established:
            if now - self.last_pinged > HANDSHAKE_TIMEOUT:
                self.stream.close()
            return
        if not self.pending:
            return
        silent = now - max(self.last_heard, self.pending_since)
        if silent > SILENT_AFTER and now - self.last_pinged < SILENT_AFTER:
            self.failing = True
            self.stream.close()
        elif silent > PING_AFTER and now - self.last_pinged > PING_AFTER:
            self.ping(now)

    def ping(self, now: float) -> None:
        """Ask the home for a pong."""
        self.last_pinged = now
        if self.stream is not None:
            self.stream.send(wire.Frame(ping=wire.Ping(now)))
