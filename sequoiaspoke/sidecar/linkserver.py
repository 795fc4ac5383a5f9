"""The home's side of the links between nodes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.frames import FIRST_FRAME_LIMIT, FRAME_LIMIT, TcpFrameStream
from sequoiaspoke.sidecar.linkfeatures import SUPPORTED, LinkFeatures
from sequoiaspoke.sidecar.sockets import ConnectionServer
from sequoiaspoke.sidecar.transfers import AnnouncedBody, BodySource
from sequoiaspoke.sidecar.unreadoutcomes import SentOutcomes, UnreadOutcomes
from sequoiaspoke.sidecar.wirecalls import (
    body_size,
    pack_load_report,
    pack_outcome,
    unpack_call,
    unpack_part,
)
from sequoiaspoke.sidecar.wirefields import require
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from sequoiaspoke.core.mesh.answerroom import AnswerRoom
    from sequoiaspoke.core.mesh.outcome import Outcome
    from sequoiaspoke.sidecar.frames import FrameStream
    from sequoiaspoke.sidecar.gossip import Gossip
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.logs import EventLog


class AcceptedLink(BodySource):
    """A link opened by another node.

    Attributes
    ----------
    features : LinkFeatures
        Features of the other node, as it told in its hello.
    refused : bool
        Whether it was closed, as there were too many.
    """

    def __init__(self, stream: FrameStream, server: LinkServer) -> None:
        self.stream = stream
        self.server = server
        self.peer: tuple[str, int] | None = None
        self.zone = ""
        self.features = LinkFeatures(0)
        # Seconds by which the other node's clock is ahead of this one's.
        self.clock_offset = 0.0
        self.sent_outcomes = SentOutcomes()
        self.ended = self.refused = False

    def handle_frame(self, frame: wire.Frame) -> None:
        """Handle one frame from the other node."""
        if frame.hello is None and self.peer is None:
            raise MessageError("frame received before the hello")
        if frame.call is not None:
            self.handle_call(frame.call)
        elif frame.body_part is not None:
            self.handle_part(frame.body_part)
        elif frame.cancel is not None:
            self.server.home.cancel((self.peer, frame.cancel.number))
        elif frame.withdraw is not None:
            self.handle_withdraw(frame.withdraw)
        elif frame.ping is not None:
            require(frame.ping, "sent")
            load_report = pack_load_report(self.server.home.load_report())
            pong = wire.Pong(frame.ping.sent, clock.now(), load_report)
            self.stream.send(wire.Frame(pong=pong))
        elif frame.hello is not None:
            self.handle_hello(frame.hello)
        elif frame.ask is not None:
            knowledge = self.server.gossip.answer(frame.ask)
            if knowledge is not None:
                self.stream.send(wire.Frame(knowledge=knowledge))
        elif frame.subscribe is not None:
            self.server.gossip.subscribe(self.stream, frame.subscribe)
        elif frame.holds is not None:
            self.server.gossip.update_held_version(self.stream, frame.holds)
        elif frame.crashes is not None:
            self.server.gossip.handle_crashes(frame.crashes, self.stream.send)
        elif frame.link_rates is not None:
            self.server.gossip.handle_rates(frame.link_rates, self.stream.send)
        elif frame.knowledge is not None:
            if not self.server.gossip.learn(frame.knowledge, self.clock_offset):
                self.stream.send(wire.Frame(ask=self.server.gossip.knowledge_request()))

    def handle_hello(self, hello: wire.Hello) -> None:
        """Record the other node's identity, and close its older links unread.

        Raises MessageError.
        """
        require(hello, "host", "incarnation", "zone", "clock")
        self.peer = (hello.host, hello.incarnation)
        self.stream.frame_limit = FRAME_LIMIT
        self.zone = hello.zone
        self.features = LinkFeatures(hello.features or 0)
        self.clock_offset = hello.clock - clock.now()
        self.server.on_hello(hello.host)
        for link in list(self.server.links):
            if link is not self and link.peer == self.peer:
                link.stream.close()
        home = self.server.home
        welcome = wire.Welcome(
            self.server.incarnation,
            clock.now(),
            home.leaving,
            self.server.gossip.uninformed(),
            SUPPORTED,
        )
        self.stream.send(wire.Frame(welcome=welcome))

    def handle_call(self, call: wire.Call) -> None:
        """Submit a call to the home; raise MessageError."""
        number, home_call = call.number, unpack_call(call)
        key, size = (self.peer, number), body_size(call)
        home = self.server.home
        if not self.features & LinkFeatures.LAST_RESORT:
            # This entry would not come back after a refusal.
            home_call = replace(home_call, last_resort=True)
        # Not the call itself: if it comes again, that is another copy.
        kind = (home_call.route, home_call.rank)
        self.server.unread.asked_again(key)
        home.submit(
            key,
            home_call,
            lambda outcome: self.send_outcome(number, kind, outcome),
            None if size is None else AnnouncedBody(size, self),
        )

    def handle_withdraw(self, message: wire.Withdraw) -> None:
        """Have the home take a call back; raise MessageError."""
        require(message, "number")
        number = message.number
        key = (self.peer, number)
        running = self.server.home.calls.get(key)
        kind = None if running is None else (running.call.route, running.call.rank)
        self.server.home.withdraw(
            key, lambda outcome: self.send_outcome(number, kind, outcome)
        )

    def handle_part(self, message: wire.BodyPart) -> None:
        """Pass on a part of a body; raise MessageError."""
        number, offset, data = unpack_part(message)
        bodies = self.server.home.bodies
        bodies.receive((self.peer, number), self, offset, data, clock.now())

    def fetch(self, key: Hashable, offset: int, upto: int) -> None:
        """Request the bytes of a call's body from `offset` up to `upto`."""
        _, number = key
        self.stream.send(wire.Frame(fetch=wire.Fetch(number, offset, upto)))

    def send_outcome(
        self, number: int, kind: tuple[str, int] | None, outcome: Outcome
    ) -> None:
        """Send the outcome of a call, with a load report for its route if known.

        Parameters
        ----------
        kind : tuple of str and int, or None
            Route and rank of the call, None if not known.
        """
        load_report = self.server.home.load_report(*(kind or ()))
        self.stream.send(pack_outcome(number, outcome, load_report))
        if self.server.home.stopping:
            self.keep_until_read(number)

    def keep_until_read(self, number: int) -> None:
        """Have the node stay until the entry has the outcome of a call."""
        now = clock.now()
        if self.ended:
            self.server.unread.add((self.peer, number), now)
        else:
            self.sent_outcomes.add(number, now)

    def end(self) -> None:
        """Expect that the entry asks again for what it has not read."""
        self.ended = True
        now = clock.now()
        for number in self.sent_outcomes.unread(now):
            self.server.unread.add((self.peer, number), now)


def ignore_hello(host: str) -> None:
    """Do nothing; the default until the links to other nodes are known."""


class LinkServer(ConnectionServer):
    """Accepts links from other nodes.

    Attributes
    ----------
    on_hello : callable
        Called with the host of a node that has opened a link.
    unread : UnreadOutcomes
        Outcomes that were sent as links ended, while the node stops.
    """

    def __init__(
        self,
        home: Home,
        gossip: Gossip,
        incarnation: int,
        log: EventLog,
        room: AnswerRoom | None = None,
    ) -> None:
        super().__init__()
        self.room = room
        self.home = home
        self.gossip = gossip
        self.incarnation = incarnation
        self.log = log
        self.links: list[AcceptedLink] = []
        self.unread = UnreadOutcomes()
        self.link_tasks: set[asyncio.Task[None]] = set()
        self.on_hello: Callable[[str], None] = ignore_hello

    def new_connection(self) -> TcpFrameStream:
        """Return the stream of the next link, and start to serve it."""
        stream = TcpFrameStream(self.room)
        stream.frame_limit = FIRST_FRAME_LIMIT
        task = asyncio.ensure_future(self.serve(stream))
        self.link_tasks.add(task)
        task.add_done_callback(self.link_tasks.discard)
        return stream

    async def serve(self, stream: FrameStream) -> None:
        """Handle the frames of a link until it ends."""
        link = AcceptedLink(stream, self)
        self.links.append(link)
        self.close_surplus()
        reason = await link.stream.read(link.handle_frame)
        self.links.remove(link)
        link.end()
        self.home.link_lost(link)
        if reason not in ("closed", "closed-here"):
            self.log.event("link-broken", peer=link.peer, reason=reason)

    def close_surplus(self) -> None:
        """Close the earliest link of too many whose nodes are not known yet."""
        unknown = [x for x in self.links if x.peer is None and not x.refused]
        if len(unknown) > self.max_connections:
            self.closed_beyond_limit += 1
            unknown[0].refused = True
            unknown[0].stream.close()

    def announce_leaving(self) -> None:
        """Tell every connected entry that this home takes no new calls."""
        for link in self.links:
            link.stream.send(wire.Frame(leaving=wire.Leaving()))

    @property
    def unsent(self) -> int:
        """Return the total size of the frames that wait in this process."""
        return sum(link.stream.unsent_bytes() for link in self.links)

    @property
    def delivered(self) -> bool:
        """Return whether other nodes have all that they were sent."""
        return not (
            any(link.stream.undelivered_bytes() for link in self.links)
            or self.unread.any(clock.now())
        )
