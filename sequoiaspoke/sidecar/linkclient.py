"""The entry's side of a link to one home.

A link may break or go silent while calls are under way on it. It is found dead
within a second, and another one is opened to the same home. If the home is still
the same incarnation, it is asked again for the same calls, which it runs at most
once; if it is a new one, nobody knows what became of the calls that were sent.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.outcome import NotRun, Unknown
from sequoiaspoke.core.mesh.placing import News
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.pending import Pending
from sequoiaspoke.sidecar.signs import SignWait
from sequoiaspoke.sidecar.wirecalls import pack_call, unpack_load_report, unpack_outcome
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.frames import Dialer, FrameStream
    from sequoiaspoke.sidecar.gossip import Gossip
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.pending import LinkIdentity

# Seconds for a connection and for the greeting on it. Zones lie milliseconds apart;
# a home that is busy answers in tenths.
DIAL_TIMEOUT, HANDSHAKE_TIMEOUT = 0.4, 0.8
# Seconds without a word, while calls are under way, after which a home is asked for a
# sign and then given up on.
PING_AFTER, SILENT_AFTER = 0.3, 0.9
# A link that was heard on within so many seconds is taken to stand. On an older one
# the home is asked for a sign before a call is sent that may run once only.
RECENT_SECONDS = 0.1
# Age in seconds of the knowledge of a node that has none.
UNKNOWN_AGE = 1e6
# Frames that wait for a link to stand, at most; the newest stay.
OUTBOX_FRAMES = 20
# Seconds between attempts to reach a home, doubling up to the second figure.
REDIAL_MIN, REDIAL_MAX = 0.1, 0.4


def ignore_load_report(load_report: News) -> None:
    """Do nothing; for links whose news nobody uses."""


class LinkClient:
    """The link to one home.

    Attributes
    ----------
    active_links : set of LinkClient
        To which it adds itself while something is awaited on it, to be looked after.
    persistent : bool
        Whether the link is held open without calls.
    failing : bool
        Whether the home could not be reached last time.
    leaving : bool
        Whether the home has said that it takes no new calls.
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
        self.pending: dict[int, Pending] = {}
        self.stream: FrameStream | None = None
        self.established = False
        self.persistent = False
        self.closed = False
        self.failing = False
        self.leaving = False
        self.incarnation: int | None = None
        self.load_report = News()
        self.on_load_report: Callable[[News], None] = ignore_load_report
        self.last_heard = 0.0
        self.last_pinged = 0.0
        self.clock_offset = 0.0
        self.round_trip = float("inf")
        self.probe = SignWait(self.probe_failed)
        self.outbox: deque[wire.Frame] = deque(maxlen=OUTBOX_FRAMES)
        self.pending_since = 0.0
        self.run_task: asyncio.Task[None] | None = None
        self.wake = asyncio.Event()

    # Calls.

    def submit(self, call: HomeCall, on_outcome: Callable[[Outcome], None]) -> Pending:
        """Have the home run a call and tell what came of it, once."""
        pending = Pending(self.identity.number(), call, on_outcome)
        if self.established and not call.idempotent and self.stale():
            if self.probe.hold(pending):
                self.ping(clock.now())
        else:
            self.dispatch(pending)
        return pending

    def dispatch(self, pending: Pending) -> None:
        """Send a call, or have it sent once the link stands.

        Only once there was a sign where one is needed, as a link that is opened anew
        sends all that is pending: a call that still waited for a sign would be told as
        not run after it was sent.
        """
        if not self.pending:
            self.pending_since = clock.now()
        self.pending[pending.number] = pending
        self.active_links.add(self)
        if self.established:
            self.send_call(pending)
        else:
            self.open()

    def cancel(self, pending: Pending) -> None:
        """Tell the home that nobody waits for a call any more."""
        pending.over = True
        if self.pending.pop(pending.number, None) is None:
            return
        if self.stream is not None and pending.sent_to is not None:
            self.stream.send(wire.Frame(cancel=wire.Cancel(pending.number)))

    def stale(self) -> bool:
        """Return whether the home was not heard lately.

        A call that may run once only is then sent after a sign. One that may run again
        is sent at once, and elsewhere if it takes too long: in a large fleet most links
        are silent for seconds, and a sign is another round trip and two frames.
        """
        return clock.now() - self.last_heard >= RECENT_SECONDS

    def probe_failed(self, unsent: list[Pending]) -> None:
        """Give the link up, and the calls that were not sent on it."""
        self.failing = True
        if self.stream is not None:
            self.stream.close()
        for pending in unsent:
            pending.resolve(NotRun("link-silent"))

    def send_call(self, pending: Pending) -> None:
        """Send a call on the link that stands."""
        if pending.over:
            # Given up on just now, for one as it was sent to an earlier incarnation of
            # the home: sent again it would run twice.
            return
        pending.sent_to = self.incarnation
        assert self.stream is not None
        self.stream.send(pack_call(pending.call, pending.number, self.clock_offset))

    # The link.

    def open(self) -> None:
        """See that somebody dials."""
        if self.run_task is None and not self.closed:
            self.run_task = asyncio.ensure_future(self.run())
        self.wake.set()

    def close(self) -> None:
        """Give the link up for good; what is under way fails."""
        self.closed = True
        if self.stream is not None:
            self.stream.close()
        if self.run_task is not None:
            self.run_task.cancel()
        self.fail_all("home-left")

    async def run(self) -> None:
        """Dial and read for as long as the link is needed.

        A home that failed or left is dialled until it answers: its entry sends it no
        calls until then, so that nothing else would tell that it is back.
        """
        pause = REDIAL_MIN
        while self.needed and not self.closed:
            reason = await self.run_connection()
            if reason is None:
                pause = REDIAL_MIN
                continue
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), pause)
                await asyncio.sleep(0.02)
            except TimeoutError:
                pause = min(2 * pause, REDIAL_MAX)
        self.run_task = None

    @property
    def needed(self) -> bool:
        """Return whether the link has to stand."""
        return bool(self.pending or self.outbox or self.persistent or self.failing)

    async def run_connection(self) -> str | None:
        """Dial once and read until the link ends; return why dialling failed."""
        try:
            self.stream = await asyncio.wait_for(
                self.dialer.dial(*self.address), DIAL_TIMEOUT
            )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            self.mark_unreachable("refused" if refused else type(error).__name__)
            return "unreachable"
        self.active_links.add(self)
        dialled = clock.now()
        identity = self.identity
        hello = wire.Hello(
            identity.host,
            identity.incarnation,
            identity.zone,
            dialled,
            self.gossip.uninformed(),
        )
        self.stream.send(wire.Frame(hello=hello))
        # The greeting asks for a sign, too.
        self.last_heard = self.last_pinged = dialled
        reason = await self.stream.read(self.handle_frame)
        was_established, self.established = self.established, False
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

    def handle_frame(self, frame: wire.Frame) -> None:
        """Take a frame."""
        self.last_heard = clock.now()
        self.dispatch_held()
        outcome = unpack_outcome(frame)
        if outcome is not None:
            self.resolve(*outcome)
        elif frame.pong is not None:
            self.update_clock_offset(frame.pong.sent, frame.pong.clock)
            self.on_load_report(unpack_load_report(frame.pong.news))
        elif frame.confirmed is not None:
            self.gossip.handle_confirmation(frame.confirmed, self.clock_offset)
        elif frame.welcome is not None:
            self.handle_welcome(frame.welcome)
        elif frame.leaving is not None:
            self.leaving = True
        elif frame.ask is not None:
            self.send_knowledge(frame.ask)
        elif frame.crashes is not None:
            self.gossip.handle_crashes(frame.crashes, self.send)
        elif frame.knowledge is not None:
            if not self.gossip.learn(frame.knowledge, self.clock_offset):
                self.request_knowledge()

    def dispatch_held(self) -> None:
        """Send the calls that waited for a sign.

        If the link has ended meanwhile they wait for the next.
        """
        for pending in self.probe.release():
            self.dispatch(pending)

    def send_knowledge(self, ask: wire.Ask) -> None:
        """Tell the home what this node knows better."""
        knowledge = self.gossip.answer(ask)
        if knowledge is not None:
            self.send(wire.Frame(knowledge=knowledge))

    def request_knowledge(self) -> None:
        """Ask the home what it knows better."""
        self.send(wire.Frame(ask=self.gossip.knowledge_request()))

    def subscribe(self, config_version: int, first: bool, link_mbps: float) -> None:
        """Ask the home for every change from now on."""
        subscribe = wire.Subscribe(config_version, first, self.identity.host, link_mbps)
        self.send(wire.Frame(subscribe=subscribe))

    def announce_version(self, config_version: int, first: bool) -> None:
        """Tell the home which configuration this node has by now."""
        self.send(wire.Frame(holds=wire.Holds(config_version, first)))

    def send(self, frame: wire.Frame) -> None:
        """Send a frame if the link stands."""
        if self.stream is not None and self.established:
            self.stream.send(frame)

    def send_or_queue(self, frame: wire.Frame) -> None:
        """Send a frame now, or as the next thing once the link stands."""
        if self.established:
            self.send(frame)
            return
        self.outbox.append(frame)
        self.open()

    def resolve(self, number: int, outcome: Outcome, load_report: News | None) -> None:
        """Hand an outcome to the call that waits for it."""
        if load_report is not None:
            self.load_report = load_report
        pending = self.pending.pop(number, None)
        if pending is not None:
            pending.resolve(outcome)

    def handle_welcome(self, welcome: wire.Welcome) -> None:
        """Take the home's greeting and send what waits."""
        assert self.stream is not None
        self.round_trip = float("inf")
        self.update_clock_offset(self.last_pinged, welcome.clock)
        if welcome.incarnation != self.incarnation:
            self.fail_sent("home-restarted")
            self.incarnation = welcome.incarnation
        self.established = True
        self.failing = False
        self.leaving = welcome.leaving
        self.log.event("link-up", peer=self.address[0], incarnation=welcome.incarnation)
        for pending in list(self.pending.values()):
            self.send_call(pending)
        while self.outbox:
            self.send(self.outbox.popleft())
        if welcome.uninformed:
            self.send_knowledge(wire.Ask(0, UNKNOWN_AGE))
        self.gossip.link_up(self)

    def update_clock_offset(self, sent: float, peer_clock: float) -> None:
        """Take the home's clock from its sign, if it came faster than others."""
        now = clock.now()
        round_trip = now - sent
        if round_trip < self.round_trip or round_trip < 0.05:
            self.round_trip = round_trip
            self.clock_offset = peer_clock - (sent + now) / 2

    # Failures.

    def mark_unreachable(self, reason: str) -> None:
        """Note that the home cannot be reached now.

        Calls that were never sent certainly have not run. Of those that were, the
        ones that may run again go elsewhere; the others wait for the link, unless
        nothing listens there any more, so that nobody is left to ask.
        """
        self.gossip.link_down(self)
        if not self.failing:
            self.log.event("link-unreachable", peer=self.address[0], reason=reason)
        self.failing = True
        self.outbox.clear()
        for pending in list(self.pending.values()):
            if pending.sent_to is None:
                self.fail(pending, NotRun("home-unreachable"))
            elif pending.call.idempotent or reason == "refused":
                self.fail(pending, Unknown("home-unreachable"))

    def fail(self, pending: Pending, outcome: Outcome) -> None:
        """Give a call up."""
        self.pending.pop(pending.number, None)
        pending.resolve(outcome)

    def fail_sent(self, reason: str) -> None:
        """Fail the calls that an earlier incarnation of the home was sent."""
        for pending in list(self.pending.values()):
            if pending.sent_to is not None:
                self.fail(pending, Unknown(reason))

    def fail_all(self, reason: str) -> None:
        """Fail every call."""
        self.fail_sent(reason)
        for pending in [*self.pending.values(), *self.probe.release()]:
            self.fail(pending, NotRun(reason))

    @property
    def idle(self) -> bool:
        """Return whether nothing is awaited of the home."""
        return not self.pending and (self.established or self.stream is None)

    def tick(self, now: float) -> None:
        """Ask a silent home for a sign, and give it up if none comes."""
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
        """Ask the home for a sign."""
        self.last_pinged = now
        if self.stream is not None:
            self.stream.send(wire.Frame(ping=wire.Ping(now)))
