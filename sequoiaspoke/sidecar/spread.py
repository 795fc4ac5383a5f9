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
from sequoiaspoke.sidecar.frames import Prepared
from sequoiaspoke.sidecar.gossip import Gossip
from sequoiaspoke.sidecar.wireknowledge import pack, unpack
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.crashgossip import CrashGossip
    from sequoiaspoke.sidecar.frames import Frames
    from sequoiaspoke.sidecar.linkclient import LinkClient
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.state import MeshState

# Seconds after which a reader tells of a new configuration also those whose first
# reader is another: that one may be dead, or its link full.
SECOND_AFTER = 0.5
# Routes of a change that is told by one reader first; fewer are some 3 KB, which all
# nodes of a zone are told twice within a quarter of a second on a link of 2.5 Mbit/s.
LARGE_CHANGE = 200
# Seconds by which an answer must be newer to be worth its bytes.
WORTHWHILE_SECONDS = 0.5


@dataclass
class Subscriber:
    """A node that is told every change, and what it was told so far.

    Attributes
    ----------
    first : bool
        Whether it is told of a new configuration at once.
    serial, version, rates_told, evacuations_told : int
        The counts of changes that it was told, and the configuration it has.
    confirmed : float
        The last confirmation by the store that it was told.
    """

    frames: Frames
    version: int
    first: bool = True
    serial: int = 0
    rates_told: int = 0
    evacuations_told: int = 0
    confirmed: float = float("-inf")


class Spread(Gossip):
    """What this node tells others of the platform and learns from them.

    Attributes
    ----------
    holding_back : bool
        Whether a subscriber was not told of the newest configuration yet.
    tellers : dict of str to LinkClient
        The links on which this node has subscribed.
    """

    def __init__(self, state: MeshState, duty: ReadingDuty, log: EventLog) -> None:
        self.state = state
        self.duty = duty
        self.log = log
        self.subscribers: list[Subscriber] = []
        self.holding_back = False
        self.tellers: dict[str, LinkClient] = {}
        self.told_holding = (0, "")
        self.crash_gossip: CrashGossip | None = None

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
        if not newer and state.age(now) > ask.age - WORTHWHILE_SECONDS:
            return None
        return pack(state.knowledge(0, ask.config_version))

    def subscribe(self, frames: Frames, subscribe: wire.Subscribe) -> None:
        """Tell another node what is known and every change from now on."""
        kept = [each for each in self.subscribers if each.frames is not frames]
        new = Subscriber(frames, subscribe.config_version, subscribe.first)
        self.subscribers = [*kept, new]
        if self.duty.learn_rates({subscribe.host: subscribe.link_mbps}):
            # Others read for this zone from now on, maybe.
            self.state.changed()
        if self.crash_gossip is not None:
            self.crash_gossip.send_all(frames.send)
        self.publish()

    def take_crashes(
        self, message: wire.Crashes, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Take news of crashes, or a question for them."""
        if self.crash_gossip is not None:
            self.crash_gossip.receive(message, reply)

    def holds(self, frames: Frames, holds: wire.Holds) -> None:
        """Note what a subscriber has by now."""
        for each in self.subscribers:
            if each.frames is frames:
                each.version = max(each.version, holds.config_version)
                each.first = holds.first

    def tick(self, now: float) -> None:
        """Tell those whose first reader has not told them of a configuration."""
        if self.holding_back and not self.holds_back(now):
            self.publish()

    def holds_back(self, now: float) -> bool:
        """Return whether the newest configuration goes to a half of the zone only."""
        large = self.state.history.changed_routes > LARGE_CHANGE
        return large and now - self.state.installed < SECOND_AFTER

    def publish(self) -> None:
        """Tell the subscribers what they have not been told."""
        state = self.state
        self.tell_held()
        self.subscribers = [each for each in self.subscribers if not each.frames.closed]
        if not state.complete:
            return
        # Most have been told the same, and packing is the dear part.
        packed: dict[tuple[int, int, int, int], Prepared] = {}
        now = clock.now()
        holds_back = self.holds_back(now)
        self.holding_back = False
        for each in self.subscribers:
            lacks_config = each.version < state.version
            held_back = lacks_config and holds_back and not each.first
            self.holding_back |= held_back
            base = each.version if lacks_config and not held_back else state.version
            news = each.serial != state.directory.serial or base != state.version
            news |= each.rates_told != self.duty.rates_learnt
            news |= each.evacuations_told != state.evacuations.serial
            if not news and each.confirmed >= state.read_at:
                continue
            has = (each.serial, base, each.rates_told, each.evacuations_told)
            if has not in packed:
                packed[has] = Prepared(self.frame_since(*has))
            each.serial = state.directory.serial
            each.rates_told = self.duty.rates_learnt
            each.evacuations_told = state.evacuations.serial
            if not held_back:
                each.version = max(each.version, state.version)
            each.confirmed = state.read_at
            each.frames.send_prepared(packed[has])

    def frame_since(
        self, serial: int, version: int, rates_told: int, evacuations_told: int
    ) -> wire.Frame:
        """Return the frame that tells what is new since some counts and a version.

        Mostly there is nothing but the store's word that it is so, which a subscriber
        hears twice a second.
        """
        state = self.state
        same = (serial, version) == (state.directory.serial, state.version)
        same &= evacuations_told == state.evacuations.serial
        same_rates = rates_told == self.duty.rates_learnt
        if same and same_rates and serial and not state.directory.lapses.vanished:
            confirmed = wire.Confirmed(state.revision, state.as_of, state.answered_at)
            return wire.Frame(confirmed=confirmed)
        knowledge = pack(state.knowledge(serial, version))
        if not same_rates:
            knowledge.link_rates = self.duty.reader_rates
        return wire.Frame(knowledge=knowledge)

    # As one who learns.

    def ask(self) -> wire.Ask:
        """Return the question for what another node knows better."""
        age = min(self.state.age(clock.now()), 1e6)
        return wire.Ask(self.state.version, age)

    def learn(self, knowledge: wire.Knowledge, ahead: float) -> bool:
        """Take what another node knows; return False if it has to tell all of it.

        Parameters
        ----------
        ahead : float
            Seconds by which the other node's clock is ahead of this one's. What it
            tells may have been on its way for seconds, through a link that was cut or
            full; by its age at the time of sending it would be taken for fresh.
        """
        now = clock.now()
        self.duty.learn_rates(knowledge.link_rates or {})
        told = unpack(knowledge, ahead)
        age = self.state.age(now)
        if self.state.stale(now) and told.as_of > self.state.as_of:
            self.log.event(
                "learnt-from-node",
                age=f"{now - told.as_of:.2f}",
                before=f"{age:.2f}",
                revision=told.revision,
            )
        try:
            self.state.learn(told)
        except KeyError:
            # Its change goes out from a version that this node never had.
            return False
        self.duty.heard(told.as_of)
        return True

    def confirmed(self, confirmed: wire.Confirmed, ahead: float) -> None:
        """Take a reader's word that it has read nothing since it last told."""
        as_of, answered_at = confirmed.as_of - ahead, confirmed.answered_at - ahead
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
        self.tellers.pop(link.address[0], None)
        self.duty.link_down(link.address[0])

    def subscribe_to(self, link: LinkClient) -> None:
        """Ask a reader for every change from now on."""
        host = link.address[0]
        self.tellers[host] = link
        first = host == self.duty.first_reader
        link.subscribe(self.state.version, first, self.duty.link_rates[self.duty.host])
        if self.crash_gossip is not None:
            self.crash_gossip.send_all(link.send)

    def tell_held(self) -> None:
        """Tell the readers which configuration this node has, if that is news to them.

        The one that is not to tell it first need not tell it at all then.
        """
        holding = (self.state.version, self.duty.first_reader)
        if holding == self.told_holding:
            return
        self.told_holding = holding
        for host, link in self.tellers.items():
            link.tell_held(self.state.version, host == self.duty.first_reader)

    def follow_readers(self, peers: Peers) -> None:
        """Keep links to the zone's readers and subscribe to those that are new."""
        own = peers.identity.host
        readers = {host for host in self.duty.readers if host != own}
        for host in self.tellers.keys() - readers:
            del self.tellers[host]
        for host in sorted(readers - peers.followed):
            link = peers.link(host)
            if link.greeted:
                self.subscribe_to(link)
        peers.followed = readers
