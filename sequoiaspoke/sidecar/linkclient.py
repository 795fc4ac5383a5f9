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

from sequoiaspoke.core.mesh.balancer import LoadReport
from sequoiaspoke.core.mesh.outcome import NotRun, Unknown
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.pending import Pending
from sequoiaspoke.sidecar.signs import SignWait
from sequoiaspoke.sidecar.wirecalls import pack_call, unpack_news, unpack_outcome
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.frames import Dialer, Frames
    from sequoiaspoke.sidecar.gossip import Gossip
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.pending import LinkIdentity

# Seconds for a connection and for the greeting on it. Zones lie milliseconds apart;
# a home that is busy answers in tenths.
DIAL_SECONDS, GREET_SECONDS = 0.4, 0.8
# Seconds without a word, while calls are under way, after which a home is asked for a
# sign and then given up on.
PING_AFTER, SILENT_AFTER = 0.3, 0.9
# A link that was heard on within so many seconds is taken to stand. On an older one
# the home is asked for a sign before a call is sent that may run once only.
HEARD_LATELY = 0.1
# Age in seconds of the knowledge of a node that has none.
NOTHING_KNOWN = 1e6
# Frames that wait for a link to stand, at most; the newest stay.
OUTBOX_FRAMES = 20
# Seconds between attempts to reach a home, doubling up to the second figure.
REDIAL_FIRST, REDIAL_MOST = 0.1, 0.4


def ignore_news(news: LoadReport) -> None:
    """Do nothing; for links whose news nobody uses."""


class LinkClient:
    """The link to one home.

    Attributes
    ----------
    watched : set of LinkClient
        To which it adds itself while something is awaited on it, to be looked after.
    kept : bool
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
        watched: set[LinkClient] | None = None,
    ) -> None:
        self.dialer = dialer
        self.watched = set() if watched is None else watched
        self.address = address
        self.identity = identity
        self.gossip = gossip
        self.log = log
        self.pending: dict[int, Pending] = {}
        self.frames: Frames | None = None
        self.greeted = False
        self.kept = False
        self.closed = False
        self.failing = False
        self.leaving = False
        self.incarnation: int | None = None
        self.news = LoadReport()
        self.on_news: Callable[[LoadReport], None] = ignore_news
        self.heard = 0.0
        self.pinged = 0.0
        self.offset = 0.0
        self.round_trip = float("inf")
        self.signs = SignWait(self.no_sign)
        self.outbox: deque[wire.Frame] = deque(maxlen=OUTBOX_FRAMES)
        self.waited_since = 0.0
        self.driver: asyncio.Task[None] | None = None
        self.wake = asyncio.Event()

    # Calls.

    def submit(self, call: HomeCall, tell: Callable[[Outcome], None]) -> Pending:
        """Have the home run a call and tell what came of it, once."""
        pending = Pending(self.identity.number(), call, tell)
        if self.greeted and not call.idempotent and self.doubtful():
            if self.signs.hold(pending):
                self.ping(clock.now())
        else:
            self.begin(pending)
        return pending

    def begin(self, pending: Pending) -> None:
        """Send a call, or have it sent once the link stands.

        Only once there was a sign where one is needed, as a link that is opened anew
        sends all that is pending: a call that still waited for a sign would be told as
        not run after it was sent.
        """
        if not self.pending:
            self.waited_since = clock.now()
        self.pending[pending.number] = pending
        self.watched.add(self)
        if self.greeted:
            self.send_call(pending)
        else:
            self.open()

    def withdraw(self, pending: Pending) -> None:
        """Tell the home that nobody waits for a call any more."""
        pending.over = True
        if self.pending.pop(pending.number, None) is None:
            return
        if self.frames is not None and pending.sent_to is not None:
            self.frames.send(wire.Frame(cancel=wire.Cancel(pending.number)))

    def doubtful(self) -> bool:
        """Return whether the home was not heard lately.

        A call that may run once only is then sent after a sign. One that may run again
        is sent at once, and elsewhere if it takes too long: in a large fleet most links
        are silent for seconds, and a sign is another round trip and two frames.
        """
        return clock.now() - self.heard >= HEARD_LATELY

    def no_sign(self, unsent: list[Pending]) -> None:
        """Give the link up, and the calls that were not sent on it."""
        self.failing = True
        if self.frames is not None:
            self.frames.close()
        for pending in unsent:
            pending.resolve(NotRun("link-silent"))

    def send_call(self, pending: Pending) -> None:
        """Send a call on the link that stands."""
        if pending.over:
            # Given up on just now, for one as it was sent to an earlier incarnation of
            # the home: sent again it would run twice.
            return
        pending.sent_to = self.incarnation
        assert self.frames is not None
        self.frames.send(pack_call(pending.call, pending.number, self.offset))

    # The link.

    def open(self) -> None:
        """See that somebody dials."""
        if self.driver is None and not self.closed:
            self.driver = asyncio.ensure_future(self.drive())
        self.wake.set()

    def close(self) -> None:
        """Give the link up for good; what is under way fails."""
        self.closed = True
        if self.frames is not None:
            self.frames.close()
        if self.driver is not None:
            self.driver.cancel()
        self.lose_all("home-left")

    async def drive(self) -> None:
        """Dial and read for as long as the link is needed.

        A home that failed or left is dialled until it answers: its entry sends it no
        calls until then, so that nothing else would tell that it is back.
        """
        pause = REDIAL_FIRST
        while self.needed and not self.closed:
            reason = await self.serve()
            if reason is None:
                pause = REDIAL_FIRST
                continue
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), pause)
                await asyncio.sleep(0.02)
            except TimeoutError:
                pause = min(2 * pause, REDIAL_MOST)
        self.driver = None

    @property
    def needed(self) -> bool:
        """Return whether the link has to stand."""
        return bool(self.pending or self.outbox or self.kept or self.failing)

    async def serve(self) -> str | None:
        """Dial once and read until the link ends; return why dialling failed."""
        try:
            self.frames = await asyncio.wait_for(
                self.dialer.dial(*self.address), DIAL_SECONDS
            )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            self.unreachable("refused" if refused else type(error).__name__)
            return "unreachable"
        self.watched.add(self)
        dialled = clock.now()
        identity = self.identity
        hello = wire.Hello(
            identity.host,
            identity.incarnation,
            identity.zone,
            dialled,
            self.gossip.uninformed(),
        )
        self.frames.send(wire.Frame(hello=hello))
        # The greeting asks for a sign, too.
        self.heard = self.pinged = dialled
        reason = await self.frames.read(self.take)
        was_greeted, self.greeted = self.greeted, False
        self.tell_sign()
        self.failing |= self.leaving
        self.leaving = False
        self.frames = None
        if was_greeted:
            self.gossip.link_down(self)
            self.log.event("link-down", peer=self.address[0], reason=reason)
            return None
        self.unreachable("no-greeting")
        return "no-greeting"

    def take(self, frame: wire.Frame) -> None:
        """Take a frame."""
        self.heard = clock.now()
        self.tell_sign()
        outcome = unpack_outcome(frame)
        if outcome is not None:
            self.resolve(*outcome)
        elif frame.pong is not None:
            self.measure(frame.pong.sent, frame.pong.clock)
            self.on_news(unpack_news(frame.pong.news))
        elif frame.confirmed is not None:
            self.gossip.confirmed(frame.confirmed, self.offset)
        elif frame.welcome is not None:
            self.welcome(frame.welcome)
        elif frame.leaving is not None:
            self.leaving = True
        elif frame.ask is not None:
            self.inform(frame.ask)
        elif frame.crashes is not None:
            self.gossip.take_crashes(frame.crashes, self.send)
        elif frame.knowledge is not None:
            if not self.gossip.learn(frame.knowledge, self.offset):
                self.ask()

    def tell_sign(self) -> None:
        """Send the calls that waited for a sign.

        If the link has ended meanwhile they wait for the next.
        """
        for pending in self.signs.release():
            self.begin(pending)

    def inform(self, ask: wire.Ask) -> None:
        """Tell the home what this node knows better."""
        knowledge = self.gossip.answer(ask)
        if knowledge is not None:
            self.send(wire.Frame(knowledge=knowledge))

    def ask(self) -> None:
        """Ask the home what it knows better."""
        self.send(wire.Frame(ask=self.gossip.ask()))

    def subscribe(self, config_version: int, first: bool, link_mbps: float) -> None:
        """Ask the home for every change from now on."""
        subscribe = wire.Subscribe(config_version, first, self.identity.host, link_mbps)
        self.send(wire.Frame(subscribe=subscribe))

    def tell_held(self, config_version: int, first: bool) -> None:
        """Tell the home which configuration this node has by now."""
        self.send(wire.Frame(holds=wire.Holds(config_version, first)))

    def send(self, frame: wire.Frame) -> None:
        """Send a frame if the link stands."""
        if self.frames is not None and self.greeted:
            self.frames.send(frame)

    def post(self, frame: wire.Frame) -> None:
        """Send a frame now, or as the next thing once the link stands."""
        if self.greeted:
            self.send(frame)
            return
        self.outbox.append(frame)
        self.open()

    def resolve(self, number: int, outcome: Outcome, news: LoadReport | None) -> None:
        """Hand an outcome to the call that waits for it."""
        if news is not None:
            self.news = news
        pending = self.pending.pop(number, None)
        if pending is not None:
            pending.resolve(outcome)

    def welcome(self, welcome: wire.Welcome) -> None:
        """Take the home's greeting and send what waits."""
        assert self.frames is not None
        self.round_trip = float("inf")
        self.measure(self.pinged, welcome.clock)
        if welcome.incarnation != self.incarnation:
            self.lose_sent("home-restarted")
            self.incarnation = welcome.incarnation
        self.greeted = True
        self.failing = False
        self.leaving = welcome.leaving
        self.log.event("link-up", peer=self.address[0], incarnation=welcome.incarnation)
        for pending in list(self.pending.values()):
            self.send_call(pending)
        while self.outbox:
            self.send(self.outbox.popleft())
        if welcome.uninformed:
            self.inform(wire.Ask(0, NOTHING_KNOWN))
        self.gossip.link_up(self)

    def measure(self, sent: float, told: float) -> None:
        """Take the home's clock from its sign, if it came faster than others."""
        now = clock.now()
        round_trip = now - sent
        if round_trip < self.round_trip or round_trip < 0.05:
            self.round_trip = round_trip
            self.offset = told - (sent + now) / 2

    # Failures.

    def unreachable(self, reason: str) -> None:
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

    def lose_sent(self, reason: str) -> None:
        """Fail the calls that an earlier incarnation of the home was sent."""
        for pending in list(self.pending.values()):
            if pending.sent_to is not None:
                self.fail(pending, Unknown(reason))

    def lose_all(self, reason: str) -> None:
        """Fail every call."""
        self.lose_sent(reason)
        for pending in [*self.pending.values(), *self.signs.release()]:
            self.fail(pending, NotRun(reason))

    @property
    def at_rest(self) -> bool:
        """Return whether nothing is awaited of the home."""
        return not self.pending and (self.greeted or self.frames is None)

    def tick(self, now: float) -> None:
        """Ask a silent home for a sign, and give it up if none comes."""
        if self.frames is None:
            return
        if not self.greeted:
            if now - self.pinged > GREET_SECONDS:
                self.frames.close()
            return
        if not self.pending:
            return
        silent = now - max(self.heard, self.waited_since)
        if silent > SILENT_AFTER and now - self.pinged < SILENT_AFTER:
            self.failing = True
            self.frames.close()
        elif silent > PING_AFTER and now - self.pinged > PING_AFTER:
            self.ping(now)

    def ping(self, now: float) -> None:
        """Ask the home for a sign."""
        self.pinged = now
        if self.frames is not None:
            self.frames.send(wire.Frame(ping=wire.Ping(now)))
