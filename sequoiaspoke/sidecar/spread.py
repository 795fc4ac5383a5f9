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
    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.frames import Frames
    from sequoiaspoke.sidecar.linkclient import LinkClient
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.state import MeshState

# Seconds by which an answer must be newer to be worth its bytes.
WORTHWHILE_SECONDS = 0.5


@dataclass
class Subscriber:
    """A node that is told every change, and what it was told so far.

    Attributes
    ----------
    serial, version : int
        The count of the directory's changes and the configuration it has.
    confirmed : float
        The last confirmation by the store that it was told.
    """

    frames: Frames
    version: int
    serial: int = 0
    confirmed: float = float("-inf")


class Spread(Gossip):
    """What this node tells others of the platform and learns from them."""

    def __init__(self, state: MeshState, duty: ReadingDuty, log: EventLog) -> None:
        self.state = state
        self.duty = duty
        self.log = log
        self.subscribers: list[Subscriber] = []

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
        return pack(state.knowledge(0, ask.config_version), now)

    def subscribe(self, frames: Frames, subscribe: wire.Subscribe) -> None:
        """Tell another node what is known and every change from now on."""
        kept = [each for each in self.subscribers if each.frames is not frames]
        self.subscribers = [*kept, Subscriber(frames, subscribe.config_version)]
        self.publish()

    def publish(self) -> None:
        """Tell the subscribers what they have not been told."""
        state = self.state
        self.subscribers = [each for each in self.subscribers if not each.frames.closed]
        if not state.complete:
            return
        # Most have been told the same, and packing is the dear part.
        packed: dict[tuple[int, int], Prepared] = {}
        now = clock.now()
        for each in self.subscribers:
            has = (each.serial, each.version)
            news = has != (state.directory.serial, state.version)
            if not news and each.confirmed >= state.read_at:
                continue
            if has not in packed:
                packed[has] = Prepared(self.frame_since(*has, now))
            each.serial, each.version = state.directory.serial, state.version
            each.confirmed = state.read_at
            each.frames.send_prepared(packed[has])

    def frame_since(self, serial: int, version: int, now: float) -> wire.Frame:
        """Return the frame that tells what is new since a count and a version.

        Mostly there is nothing but the store's word that it is so, which a subscriber
        hears twice a second.
        """
        state = self.state
        same = (serial, version) == (state.directory.serial, state.version)
        if same and serial and not state.directory.vanished:
            confirmed = wire.Confirmed(
                state.revision, now - state.as_of, now - state.answered_at
            )
            return wire.Frame(confirmed=confirmed)
        return wire.Frame(knowledge=pack(state.knowledge(serial, version), now))

    # As one who learns.

    def ask(self) -> wire.Ask:
        """Return the question for what another node knows better."""
        age = min(self.state.age(clock.now()), 1e6)
        return wire.Ask(self.state.version, age)

    def learn(self, knowledge: wire.Knowledge) -> bool:
        """Take what another node knows; return False if it has to tell all of it."""
        now = clock.now()
        told = unpack(knowledge, now)
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

    def confirmed(self, confirmed: wire.Confirmed) -> None:
        """Take a reader's word that it has read nothing since it last told."""
        now = clock.now()
        self.state.heard_of_store(now - confirmed.answered_age)
        self.state.learn(Knowledge(confirmed.revision, now - confirmed.age))
        self.duty.heard(now - confirmed.answered_age)

    def link_up(self, link: LinkClient) -> None:
        """Subscribe to a reader whose link stands anew."""
        self.duty.link_up(link.address[0])
        if link.address[0] in self.duty.readers:
            link.subscribe(self.state.version)

    def link_down(self, link: LinkClient) -> None:
        """Reckon without a reader whose link has ended."""
        self.duty.link_down(link.address[0])

    def follow_readers(self, peers: Peers) -> None:
        """Keep links to the zone's readers and subscribe to those that are new."""
        own = peers.identity.host
        readers = {host for host in self.duty.readers if host != own}
        for host in sorted(readers - peers.followed):
            link = peers.link(host)
            if link.greeted:
                link.subscribe(self.state.version)
        peers.followed = readers
