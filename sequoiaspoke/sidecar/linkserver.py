"""The home's side of the links between nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.frames import TcpFrames
from sequoiaspoke.sidecar.sockets import ConnectionServer
from sequoiaspoke.sidecar.wirecalls import pack_news, pack_outcome, unpack_call
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.frames import Frames
    from sequoiaspoke.sidecar.gossip import Gossip
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.homecall import HomeCall
    from sequoiaspoke.sidecar.logs import EventLog


class AcceptedLink:
    """A link that another node opened."""

    def __init__(self, frames: Frames, server: LinkServer) -> None:
        self.frames = frames
        self.server = server
        self.peer: tuple[str, int] | None = None
        self.zone = ""
        # Seconds by which the other node's clock is ahead of this one's.
        self.ahead = 0.0

    def take(self, frame: wire.Frame) -> None:
        """Take a frame."""
        if frame.hello is None and self.peer is None:
            raise MessageError("a frame before the greeting")
        if frame.call is not None:
            self.call(frame.call)
        elif frame.cancel is not None:
            self.server.home.cancel((self.peer, frame.cancel.number))
        elif frame.ping is not None:
            news = pack_news(self.server.home.load_report())
            pong = wire.Pong(frame.ping.sent, clock.now(), news)
            self.frames.send(wire.Frame(pong=pong))
        elif frame.hello is not None:
            self.hello(frame.hello)
        elif frame.ask is not None:
            knowledge = self.server.gossip.answer(frame.ask)
            if knowledge is not None:
                self.frames.send(wire.Frame(knowledge=knowledge))
        elif frame.subscribe is not None:
            self.server.gossip.subscribe(self.frames, frame.subscribe)
        elif frame.holds is not None:
            self.server.gossip.holds(self.frames, frame.holds)
        elif frame.crashes is not None:
            self.server.gossip.take_crashes(frame.crashes, self.frames.send)
        elif frame.knowledge is not None:
            if not self.server.gossip.learn(frame.knowledge, self.ahead):
                self.frames.send(wire.Frame(ask=self.server.gossip.ask()))

    def hello(self, hello: wire.Hello) -> None:
        """Take the name of the other node; its older links end unread."""
        self.peer = (hello.host, hello.incarnation)
        self.zone = hello.zone
        self.ahead = hello.clock - clock.now()
        for link in list(self.server.links):
            if link is not self and link.peer == self.peer:
                link.frames.close()
        home = self.server.home
        welcome = wire.Welcome(
            self.server.incarnation,
            clock.now(),
            home.leaving,
            self.server.gossip.uninformed(),
        )
        self.frames.send(wire.Frame(welcome=welcome))

    def call(self, call: wire.Call) -> None:
        """Take a call."""
        number, home_call = call.number, unpack_call(call)
        self.server.home.submit(
            (self.peer, number),
            home_call,
            lambda outcome: self.tell(number, home_call, outcome),
        )

    def tell(self, number: int, call: HomeCall, outcome: Outcome) -> None:
        """Send what came of a call."""
        news = self.server.home.load_report(call.route, call.rank)
        self.frames.send(pack_outcome(number, outcome, news))


class LinkServer(ConnectionServer):
    """Accepts links of other nodes."""

    def __init__(
        self, home: Home, gossip: Gossip, incarnation: int, log: EventLog
    ) -> None:
        super().__init__()
        self.home = home
        self.gossip = gossip
        self.incarnation = incarnation
        self.log = log
        self.links: list[AcceptedLink] = []
        self.serving: set[asyncio.Task[None]] = set()

    def connection(self) -> TcpFrames:
        """Return the frames of the next link, which is served."""
        frames = TcpFrames()
        serving = asyncio.ensure_future(self.serve(frames))
        self.serving.add(serving)
        serving.add_done_callback(self.serving.discard)
        return frames

    async def serve(self, frames: Frames) -> None:
        """Serve a link."""
        link = AcceptedLink(frames, self)
        self.links.append(link)
        reason = await link.frames.read(link.take)
        self.links.remove(link)
        if reason not in ("closed", "closed-here"):
            self.log.event("link-broken", peer=link.peer, reason=reason)

    def announce_leaving(self) -> None:
        """Tell every entry that this home takes no new calls."""
        for link in self.links:
            link.frames.send(wire.Frame(leaving=wire.Leaving()))
