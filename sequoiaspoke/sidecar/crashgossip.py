"""Spread crash reports to all nodes.

A report goes to the readers of the zone, which forward it to their subscribers and to
some nodes of each other zone. A node that receives a new report forwards it in the same
way. Nodes that missed reports through a partition or a restart are found by comparing
checksums, which costs nothing while no crash is known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.crashwire import pack_crash, unpack_crash
from sequoiaspoke.sidecar.frames import SharedFrame
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.crashes import Crash
    from sequoiaspoke.core.mesh.quarantine import Quarantine
    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.spread import Spread

# Nodes of each other zone that get a report: one may be down or unreachable.
RECEIVERS_PER_ZONE = 2
# Seconds between two comparisons of checksums with other zones.
COMPARE_INTERVAL = 1.0


class CrashGossip:
    """Exchanges crash reports with other nodes.

    Parameters
    ----------
    record_reports : callable
        Records reports of other nodes; returns those that were new.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        record_reports: Callable[[Iterable[Crash]], list[Crash]],
        spread: Spread,
        peers: Peers,
        duty: ReadingDuty,
    ) -> None:
        self.quarantine = quarantine
        self.record_reports = record_reports
        self.spread = spread
        self.peers = peers
        self.duty = duty
        self.compared_at = float("-inf")

    # Sending.

    def broadcast(self, crashes: list[Crash], forwarded: bool = False) -> None:
        """Send crash reports to other nodes.

        Parameters
        ----------
        forwarded : bool
            Whether the reports came from another node; only readers then send them to
            other zones.
        """
        if not crashes:
            return
        frame = SharedFrame(self.frame(crashes))
        self.send_to_zone(frame)
        if self.duty.on_duty or not forwarded:
            self.send_to_other_zones(frame)

    def send_to_zone(self, frame: SharedFrame) -> None:
        """Send a frame to the readers of the zone and the subscribers of this node."""
        for link in self.spread.reader_links.values():
            link.send(frame.frame)
        for subscriber in self.spread.subscribers:
            if not subscriber.stream.closed:
                subscriber.stream.send_shared(frame)

    def send_to_other_zones(self, frame: SharedFrame) -> None:
        """Send a frame to some nodes of each other zone."""
        for hosts in self.peers.other_zones().values():
            for host in self.peers.pick_random(hosts, RECEIVERS_PER_ZONE):
                self.peers.link(host).send_or_queue(frame.frame)

    def send_all(self, reply: Callable[[wire.Frame], None]) -> None:
        """Send all known crashes to one node, if there are any."""
        crashes = list(self.quarantine.crashes.by_name.values())
        if crashes:
            reply(self.frame(crashes))

    def tick(self, now: float) -> None:
        """Expire old crashes and compare checksums with other zones."""
        self.quarantine.crashes.expire(now)
        idle = not self.quarantine.crashes.by_name or not self.duty.on_duty
        if idle or now - self.compared_at < COMPARE_INTERVAL:
            return
        self.compared_at = now
        question = wire.Frame(crashes=wire.Crashes([], self.checksum, compare=True))
        for hosts in self.peers.other_zones().values():
            for host in self.peers.pick_random(hosts, 1):
                self.peers.link(host).send_or_queue(question)

    @property
    def checksum(self) -> int:
        """Return the checksum of all known crashes."""
        return self.quarantine.crashes.checksum

    def frame(
        self, crashes: Iterable[Crash], compare: bool = False, whole: bool = False
    ) -> wire.Frame:
        """Return a frame with crash reports.

        Parameters
        ----------
        compare : bool
            Whether the receiver answers with all it knows if its checksum differs.
        whole : bool
            Whether these are all crashes that this node knows.
        """
        now = clock.now()
        reports = [pack_crash(each, now) for each in crashes]
        return wire.Frame(crashes=wire.Crashes(reports, self.checksum, compare, whole))

    # Receiving.

    def receive(
        self, message: wire.Crashes, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Record and forward the reports of a message, and answer a comparison."""
        now = clock.now()
        reports = [unpack_crash(each, now) for each in message.crashes]
        self.broadcast(self.record_reports(reports), forwarded=True)
        if message.compare and message.checksum != self.checksum:
            # A whole message is itself an answer; the answer to it ends the exchange.
            known = self.quarantine.crashes.by_name.values()
            reply(self.frame(known, compare=not message.whole, whole=True))
