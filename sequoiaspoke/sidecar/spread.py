"""Share knowledge of the platform between the nodes of a zone.

Two nodes of each zone read the store (`core/mesh/reading.py`); the others subscribe to
both. A reader sends each change, and each confirmation by the store that there was
none. A subscriber applies whatever is newer than what it knows, from either reader, so
that nothing is lost when one of them dies, falls behind or is cut off.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.revision import describe
from sequoiaspoke.core.mesh.stateupdate import StateUpdate
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.frames import SharedFrame
from sequoiaspoke.sidecar.gossip import Gossip
from sequoiaspoke.sidecar.subscriber import FrameKey, Subscriber
from sequoiaspoke.sidecar.wireknowledge import pack_knowledge, unpack_knowledge
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.crashgossip import CrashGossip
    from sequoiaspoke.sidecar.frames import FrameStream
    from sequoiaspoke.sidecar.linkclient import LinkClient
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.state import MeshState

# Seconds after which a reader sends a new configuration also to subscribers whose
# first reader is the other one: that one may be dead, or its link saturated.
SECOND_READER_DELAY = 0.5
# A change of more routes than this is sent by one reader first. A smaller one has some
# 3 KB, which reaches all nodes of a zone twice within a quarter of a second on a link
# of 2.5 Mbit/s.
LARGE_CHANGE_ROUTES = 200
# Seconds after which a subscriber that has a newer version than this node is asked for
# it. Usually it has it from the other reader, and this node reads it within the second.
AHEAD_SECONDS = 1.0
# Seconds by which knowledge must be newer than the asking node's to be sent.
MIN_AGE_GAIN = 0.5


class Spread(Gossip):
    """Exchanges knowledge of the platform with the nodes of the zone.

    Attributes
    ----------
    config_deferred : bool
        Whether a subscriber was not sent the newest configuration yet.
    reader_links : dict of str to LinkClient
        The links on which this node has subscribed, by host.
    ahead_since : float
        Since when a subscriber has a newer version than this node, or when it was last
        asked for it.
    awaited_version : int
        The last version of which a reader sent only a delta that could not be applied.
    """

    def __init__(self, state: MeshState, duty: ReadingDuty, log: EventLog) -> None:
        self.state = state
        self.duty = duty
        self.log = log
        self.subscribers: list[Subscriber] = []
        self.config_deferred = False
        self.reader_links: dict[str, LinkClient] = {}
        self.announced = (0, "")
        self.ahead_since = float("inf")
        self.awaited_version = 0
        self.crash_gossip: CrashGossip | None = None

    def uninformed(self) -> bool:
        """Return whether this node's knowledge is still incomplete."""
        return not self.state.complete

    # Sending.

    def answer(self, ask: wire.Ask) -> wire.Knowledge | None:
        """Return what this node knows, or None if that is of no use to the other."""
        state = self.state
        now = clock.now()
        if not state.complete:
            return None
        newer = state.version > ask.config_version
        if not newer and state.age(now) > ask.age - MIN_AGE_GAIN:
            return None
        return pack_knowledge(state.update_since(0, ask.config_version))

    def subscribe(self, stream: FrameStream, subscribe: wire.Subscribe) -> None:
        """Send another node what is known, and every change from now on."""
        kept = [each for each in self.subscribers if each.stream is not stream]
        new = Subscriber(stream, subscribe.config_version, subscribe.first)
        self.subscribers = [*kept, new]
        if self.duty.learn_rates({subscribe.host: subscribe.link_mbps}):
            # The readers of the zone have changed.
            self.state.on_change()
        if self.crash_gossip is not None:
            self.crash_gossip.send_all(stream.send)
        self.publish()

    def handle_crashes(
        self, message: wire.Crashes, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Handle crash reports, or a request for them."""
        if self.crash_gossip is not None:
            self.crash_gossip.receive(message, reply)

    def update_held_version(self, stream: FrameStream, holds: wire.Holds) -> None:
        """Record which version of the configuration a subscriber has."""
        for each in self.subscribers:
            if each.stream is stream:
                each.version = max(each.version, holds.config_version)
                each.first = holds.first

    def tick(self, now: float) -> None:
        """Send a deferred configuration once its delay is over."""
        if self.config_deferred and not self.defers_config(now):
            self.publish()
        self.ask_subscribers(now)

    def ask_subscribers(self, now: float) -> None:
        """Ask a subscriber that has had a newer version than this node for a while.

        After the store came back from an older copy it may lack a version that this
        node has never read, as it started since or was cut off before.
        """
        ahead = [each for each in self.subscribers if each.version > self.state.version]
        if not ahead:
            self.ahead_since = float("inf")
            return
        self.ahead_since = min(self.ahead_since, now)
        if now - self.ahead_since < AHEAD_SECONDS:
            return
        self.ahead_since = now
        newest = max(ahead, key=lambda each: each.version)
        self.log.event(
            "subscriber-ahead",
            version=newest.version,
            known=self.state.version,
            revision=describe(self.state.revision),
        )
        newest.stream.send(wire.Frame(ask=self.knowledge_request()))

    def defers_config(self, now: float) -> bool:
        """Return whether the newest configuration goes to some subscribers only."""
        large = self.state.history.changed_routes > LARGE_CHANGE_ROUTES
        return large and now - self.state.installed_at < SECOND_READER_DELAY

    def publish(self) -> None:
        """Send the subscribers what they have not been sent yet."""
        state = self.state
        self.announce_version()
        self.subscribers = [each for each in self.subscribers if not each.stream.closed]
        if not state.complete:
            return
        # Most subscribers lack the same, and packing is the expensive part.
        packed: dict[FrameKey, SharedFrame] = {}
        now = clock.now()
        defers_config = self.defers_config(now)
        self.config_deferred = False
        for each in self.subscribers:
            lacks_config = each.version < state.version
            deferred = lacks_config and defers_config and not each.first
            self.config_deferred |= deferred
            base = each.version if lacks_config and not deferred else state.version
            changed = each.serial != state.directory.serial or base != state.version
            changed |= each.rates_serial != self.duty.rates_serial
            changed |= each.evacuations_serial != state.evacuations.serial
            # A reader sends its next confirmation within a second, and the list with
            # it. Two readers that learn a list from each other would send it twice.
            # A frame without the newest configuration has an earlier revision, up to
            # which the list would end nothing.
            needs_list = each.gaps != state.directory.gaps and not deferred
            changed |= needs_list and not self.duty.on_duty
            if not changed and each.confirmed >= state.read_at:
                continue
            if not deferred:
                each.complete_to = state.revision
                each.complete_as_of = state.as_of
            key = FrameKey(
                each.serial,
                base,
                each.rates_serial,
                each.evacuations_serial,
                needs_list,
                each.complete_to,
                each.complete_as_of,
            )
            if key not in packed:
                packed[key] = SharedFrame(self.frame_since(key))
            each.serial = state.directory.serial
            each.rates_serial = self.duty.rates_serial
            each.evacuations_serial = state.evacuations.serial
            if not deferred:
                each.gaps = state.directory.gaps
                each.version = max(each.version, state.version)
            each.confirmed = state.read_at
            each.stream.send_shared(packed[key])

    def frame_since(self, key: FrameKey) -> wire.Frame:
        """Return the frame for what is new since some serials and a version.

        Mostly that is only a confirmation by the store that nothing has changed, which
        each subscriber is sent twice a second.
        """
        state = self.state
        unchanged = (key.serial, key.version) == (
            state.directory.serial,
            state.version,
        )
        unchanged &= key.evacuations_serial == state.evacuations.serial
        rates_unchanged = key.rates_serial == self.duty.rates_serial
        if (
            unchanged
            and rates_unchanged
            and key.serial
            and not key.needs_list
            and not state.directory.lapses.vanished_at
        ):
            confirmed = wire.Confirmed(key.revision, key.as_of, state.answered_at)
            return wire.Frame(confirmed=confirmed)
        serial = 0 if key.needs_list else key.serial
        update = state.update_since(serial, key.version)
        update = replace(update, revision=key.revision, as_of=key.as_of)
        if unchanged and key.needs_list:
            # It stands for a confirmation, which does not list them either.
            update = replace(update, evacuations=None)
        knowledge = pack_knowledge(update)
        if not rates_unchanged:
            knowledge.link_rates = self.duty.reader_rates
        return wire.Frame(knowledge=knowledge)

    # Link rates.

    def pack_rates(self, answers: bool = False) -> wire.Frame:
        """Return the frame with the link rates of this node and its readers."""
        rates = wire.LinkRates(self.duty.zone, self.duty.reader_rates, answers)
        return wire.Frame(link_rates=rates)

    def announce_rates(self, peers: Peers) -> None:
        """Send the link rates by which this node chose its readers to its zone.

        A node that does not know them follows others. Those may be all that it ever
        exchanges knowledge with, so the readers alone would not tell it.
        """
        for link in peers.links.values():
            self.send_rates(link)

    def send_rates(self, link: LinkClient) -> None:
        """Send the known link rates to a node of the zone, unless there are none."""
        if self.duty.knows_rates and link.address[0] in self.duty.zone_hosts:
            link.send(self.pack_rates())

    def handle_rates(
        self, message: wire.LinkRates, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Learn link rates of the zone, and answer if the other may lack one."""
        if message.zone != self.duty.zone:
            return
        if self.duty.learn_rates(message.rates):
            self.state.on_change()
        if not message.answers and not message.rates.keys() >= set(self.duty.readers):
            reply(self.pack_rates(answers=True))

    # Receiving.

    def knowledge_request(self) -> wire.Ask:
        """Return the request for newer knowledge of another node."""
        age = min(self.state.age(clock.now()), 1e6)
        return wire.Ask(self.state.version, age)

    def learn(self, knowledge: wire.Knowledge, clock_offset: float) -> bool:
        """Apply knowledge of another node; return False if all of it is needed.

        Parameters
        ----------
        clock_offset : float
            Seconds by which the other node's clock is ahead of this one's. Knowledge
            may be on its way for seconds, on a link that was cut or saturated; if it
            carried its age at the time of sending, it would be taken for fresh.
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
        if received.config is None:
            received = self.without_completeness(received)
        try:
            self.state.apply_update(received)
        except KeyError:
            # The delta has a base version that this node never had.
            assert received.config is not None
            self.awaited_version = received.config.version
            return False
        self.duty.confirm(received.as_of)
        return True

    @property
    def awaits_version(self) -> bool:
        """Return whether this node has asked for a version that it was told of."""
        return self.state.version < self.awaited_version

    def without_completeness(self, update: StateUpdate) -> StateUpdate:
        """Return an update that does not count as complete while a version is awaited.

        Otherwise a caller would be told for good that there is no route that the
        awaited version adds.
        """
        if not self.awaits_version:
            return update
        return replace(update, revision=self.state.revision, as_of=self.state.as_of)

    def handle_confirmation(
        self, confirmed: wire.Confirmed, clock_offset: float
    ) -> bool:
        """Apply a reader's confirmation that nothing has changed.

        Return whether all of its knowledge is needed, as a version is still awaited.
        """
        as_of, answered_at = (
            confirmed.as_of - clock_offset,
            confirmed.answered_at - clock_offset,
        )
        update = self.without_completeness(StateUpdate(confirmed.revision, as_of))
        self.state.record_remote_answer(answered_at)
        self.state.apply_update(update)
        self.duty.confirm(update.as_of, answered_at)
        return self.awaits_version

    def link_up(self, link: LinkClient) -> None:
        """Subscribe to a reader whose link was established."""
        self.duty.link_up(link.address[0])
        self.send_rates(link)
        if link.address[0] in self.duty.readers:
            self.subscribe_to(link)

    def link_down(self, link: LinkClient) -> None:
        """Drop the subscription to a reader whose link has ended."""
        self.reader_links.pop(link.address[0], None)
        self.duty.link_down(link.address[0])

    def subscribe_to(self, link: LinkClient) -> None:
        """Subscribe to a reader."""
        host = link.address[0]
        self.reader_links[host] = link
        first = host == self.duty.primary_reader
        link.subscribe(self.state.version, first, self.duty.link_rates[self.duty.host])
        if self.crash_gossip is not None:
            self.crash_gossip.send_all(link.send)

    def announce_version(self) -> None:
        """Tell the readers which configuration this node has, if that has changed.

        The second reader then need not send it at all.
        """
        current = (self.state.version, self.duty.primary_reader)
        if current == self.announced:
            return
        self.announced = current
        for host, link in self.reader_links.items():
            link.announce_version(self.state.version, host == self.duty.primary_reader)

    def follow_readers(self, peers: Peers) -> None:
        """Keep links to the zone's readers, and subscribe to new ones."""
        own = peers.identity.host
        readers = {host for host in self.duty.readers if host != own}
        for host in self.reader_links.keys() - readers:
            del self.reader_links[host]
        for host in sorted(readers - peers.reader_hosts):
            link = peers.link(host)
            if link.established:
                self.subscribe_to(link)
        peers.reader_hosts = readers
