"""Share what is known of the platform between the nodes of a zone.

Two nodes of each zone read the store (`core/mesh/reading.py`); the others subscribe to
both. A reader tells each change, and each confirmation by the store that there was
none. A subscriber takes from either whatever is newer than what it knows, so that
nothing is lost when one of them dies, falls behind or is cut off.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.knowledge import Knowledge
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.frames import SharedFrame
from sequoiaspoke.sidecar.gossip import Gossip
from sequoiaspoke.sidecar.wireknowledge import pack_knowledge, unpack_knowledge
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.crashnews import CrashNews
    from sequoiaspoke.sidecar.frames import FrameStream
    from sequoiaspoke.sidecar.linkclient import LinkClient
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.state import MeshState

# Seconds after which a reader tells of a new configuration also those whose first
# reader is another: that one may be dead, or its link full.
SECOND_READER_DELAY = 0.5
# Routes of a change that is told by one reader first; fewer are some 3 KB, which all
# nodes of a zone are told twice within a quarter of a second on a link of 2.5 Mbit/s.
LARGE_CHANGE_ROUTES = 200
# Seconds by which an answer must be newer to be worth its bytes.
MIN_AGE_GAIN = 0.5


@dataclass
class Subscriber:
    """A node that is told every change, and what it was told so far.

    Attributes
    ----------
    first : bool
        Whether it is told of a new configuration at once.
    serial, version, rates_serial, evacuations_serial : int
        The counts of changes that it was told, and the configuration it has.
    confirmed : float
        The last confirmation by the store that it was told.
    """

    stream: FrameStream
    version: int
    first: bool = True
    serial: int = 0
    rates_serial: int = 0
    evacuations_serial: int = 0
    confirmed: float = float("-inf")


class Spread(Gossip):
    """What this node tells others of the platform and learns from them.

    Attributes
    ----------
    config_deferred : bool
        Whether a subscriber was not told of the newest configuration yet.
    reader_links : dict of str to LinkClient
        The links on which this node has subscribed.
    """

    def __init__(self, state: MeshState, duty: ReadingDuty, log: EventLog) -> None:
        self.state = state
        self.duty = duty
        self.log = log
        self.subscribers: list[Subscriber] = []
        self.config_deferred = False
        self.reader_links: dict[str, LinkClient] = {}
        self.announced = (0, "")
        self.crash_news: CrashNews | None = None

    def uninformed(self) -> bool:
        """Return whether this node knows nothing yet."""
        return not self.state.complete

    # As one who knows.

    def answer(self, ask: wire.Ask) -> wire.Knowledge | None:
        """Return what this node knows, or None if that is no use to the other."""
        state = self.state
        now = clock.now()
        if not state.complete:
            return None
        newer = state.version > ask.config_version
        if not newer and state.age(now) > ask.age - MIN_AGE_GAIN:
            return None
        return pack_knowledge(state.knowledge(0, ask.config_version))

    def subscribe(self, stream: FrameStream, subscribe: wire.Subscribe) -> None:
        """Tell another node what is known and every change from now on."""
        kept = [each for each in self.subscribers if each.stream is not stream]
        new = Subscriber(stream, subscribe.config_version, subscribe.first)
        self.subscribers = [*kept, new]
        if self.duty.learn_rates({subscribe.host: subscribe.link_mbps}):
            # Others read for this zone from now on, maybe.
            self.state.changed()
        if self.crash_news is not None:
            self.crash_news.tell_all(stream.send)
        self.publish()

    def handle_crashes(
        self, message: wire.Crashes, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Take news of crashes, or a question for them."""
        if self.crash_news is not None:
            self.crash_news.take(message, reply)

    def update_held_version(self, stream: FrameStream, holds: wire.Holds) -> None:
        """Note what a subscriber has by now."""
        for each in self.subscribers:
            if each.stream is stream:
                each.version = max(each.version, holds.config_version)
                each.first = holds.first

    def tick(self, now: float) -> None:
        """Tell those whose first reader has not told them of a configuration."""
        if self.config_deferred and not self.defers_config(now):
            self.publish()

    def defers_config(self, now: float) -> bool:
        """Return whether the newest configuration goes to a half of the zone only."""
        large = self.state.history.changed_routes > LARGE_CHANGE_ROUTES
        return large and now - self.state.installed < SECOND_READER_DELAY

    def publish(self) -> None:
        """Tell the subscribers what they have not been told."""
        state = self.state
        self.announce_version()
        self.subscribers = [each for each in self.subscribers if not each.stream.closed]
        if not state.complete:
            return
        # Most have been told the same, and packing is the dear part.
        packed: dict[tuple[int, int, int, int], SharedFrame] = {}
        now = clock.now()
        defers_config = self.defers_config(now)
        self.config_deferred = False
        for each in self.subscribers:
            lacks_config = each.version < state.version
            deferred = lacks_config and defers_config and not each.first
            self.config_deferred |= deferred
            base = each.version if lacks_config and not deferred else state.version
            changed = each.serial != state.directory.serial or base != state.version
            changed |= each.rates_serial != self.duty.rates_learnt
            changed |= each.evacuations_serial != state.evacuations.serial
            if not changed and each.confirmed >= state.read_at:
                continue
            key = (each.serial, base, each.rates_serial, each.evacuations_serial)
            if key not in packed:
                packed[key] = SharedFrame(self.frame_since(*key))
            each.serial = state.directory.serial
            each.rates_serial = self.duty.rates_learnt
            each.evacuations_serial = state.evacuations.serial
            if not deferred:
                each.version = max(each.version, state.version)
            each.confirmed = state.read_at
            each.stream.send_shared(packed[key])

    def frame_since(
        self, serial: int, version: int, rates_serial: int, evacuations_serial: int
    ) -> wire.Frame:
        """Return the frame that tells what is new since some counts and a version.

        Mostly there is nothing but the store's word that it is so, which a subscriber
        hears twice a second.
        """
        state = self.state
        unchanged = (serial, version) == (state.directory.serial, state.version)
        unchanged &= evacuations_serial == state.evacuations.serial
        rates_unchanged = rates_serial == self.duty.rates_learnt
        if (
            unchanged
            and rates_unchanged
            and serial
            and not state.directory.lapses.vanished
        ):
            confirmed = wire.Confirmed(state.revision, state.as_of, state.answered_at)
            return wire.Frame(confirmed=confirmed)
        knowledge = pack_knowledge(state.knowledge(serial, version))
        if not rates_unchanged:
            knowledge.link_rates = self.duty.reader_rates
        return wire.Frame(knowledge=knowledge)

    # As one who learns.

    def knowledge_request(self) -> wire.Ask:
        """Return the question for what another node knows better."""
        age = min(self.state.age(clock.now()), 1e6)
        return wire.Ask(self.state.version, age)

    def learn(self, knowledge: wire.Knowledge, clock_offset: float) -> bool:
        """Take what another node knows; return False if it has to tell all of it.

        Parameters
        ----------
        clock_offset : float
            Seconds by which the other node's clock is ahead of this one's. What it
            tells may have been on its way for seconds, through a link that was cut or
            full; by its age at the time of sending it would be taken for fresh.
        """
        now = clock.now()
        self.duty.learn_rates(knowledge.link_rates or {})
        received = unpack_knowledge(knowledge, clock_offset)
        age = self.state.age(now)
        if self.state.stale(now) and received.as_of > self.state.as_of:
            self.log.event(
                "learnt-from-node",
                age=f"{now - received.as_of:.2f}",
                before=f"{age:.2f}",
                revision=received.revision,
            )
        try:
            self.state.learn(received)
        except KeyError:
            # Its change goes out from a version that this node never had.
            return False
        self.duty.heard(received.as_of)
        return True

    def handle_confirmation(
        self, confirmed: wire.Confirmed, clock_offset: float
    ) -> None:
        """Take a reader's word that it has read nothing since it last told."""
        as_of, answered_at = (
            confirmed.as_of - clock_offset,
            confirmed.answered_at - clock_offset,
        )
        self.state.heard_of_store(answered_at)
        self.state.learn(Knowledge(confirmed.revision, as_of))
        self.duty.heard(as_of, answered_at)

    def link_up(self, link: LinkClient) -> None:
        """Subscribe to a reader whose link stands anew."""
        self.duty.link_up(link.address[0])
        if link.address[0] in self.duty.readers:
            self.subscribe_to(link)

    def link_down(self, link: LinkClient) -> None:
        """Reckon without a reader whose link has ended."""
        self.reader_links.pop(link.address[0], None)
        self.duty.link_down(link.address[0])

    def subscribe_to(self, link: LinkClient) -> None:
        """Ask a reader for every change from now on."""
        host = link.address[0]
        self.reader_links[host] = link
        first = host == self.duty.first_reader
        link.subscribe(self.state.version, first, self.duty.link_rates[self.duty.host])
        if self.crash_news is not None:
            self.crash_news.tell_all(link.send)

    def announce_version(self) -> None:
        """Tell the readers which configuration this node has, if that is news to them.

        The one that is not to tell it first need not tell it at all then.
        """
        current = (self.state.version, self.duty.first_reader)
        if current == self.announced:
            return
        self.announced = current
        for host, link in self.reader_links.items():
            link.announce_version(self.state.version, host == self.duty.first_reader)

    def follow_readers(self, peers: Peers) -> None:
        """Keep links to the zone's readers and subscribe to those that are new."""
        own = peers.identity.host
        readers = {host for host in self.duty.readers if host != own}
        for host in self.reader_links.keys() - readers:
            del self.reader_links[host]
        for host in sorted(readers - peers.reader_hosts):
            link = peers.link(host)
            if link.established:
                self.subscribe_to(link)
        peers.reader_hosts = readers
