"""Tell all nodes under which requests upstreams have ended.

News go to the readers of the zone, which tell their subscribers and some nodes of each
other zone; who hears them for the first time tells them on in the same way. Nodes that
a cut or a restart kept from hearing them are found by comparing checksums, which costs
nothing while nobody knows of a crash.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.crashwire import pack_crash, unpack_crash
from sequoiaspoke.sidecar.frames import Prepared
from sequoiaspoke.wire.gen.meshlink import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sequoiaspoke.core.mesh.crashes import Crash
    from sequoiaspoke.core.mesh.quarantine import Quarantine
    from sequoiaspoke.core.mesh.reading import ReadingDuty
    from sequoiaspoke.sidecar.peers import Peers
    from sequoiaspoke.sidecar.spread import Spread

# Nodes of each other zone that are told: one may be dead or cut off.
RECEIVERS_PER_ZONE = 2
# Seconds between two comparisons of what other zones know.
COMPARE_INTERVAL = 1.0


class CrashGossip:
    """What this node tells others of crashes and learns from them.

    Parameters
    ----------
    record_reports : callable
        Takes reports of other nodes; returns those that are news.
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

    # As one who tells.

    def broadcast(self, crashes: list[Crash], forwarded: bool = False) -> None:
        """Tell what this node has found out, or tell on what it heard."""
        if not crashes:
            return
        frame = Prepared(self.frame(crashes))
        self.send_to_zone(frame)
        if self.duty.on_duty or not forwarded:
            self.send_to_other_zones(frame)

    def send_to_zone(self, frame: Prepared) -> None:
        """Tell the readers of the zone, and whom this node reads for."""
        for link in self.spread.tellers.values():
            link.send(frame.frame)
        for subscriber in self.spread.subscribers:
            if not subscriber.frames.closed:
                subscriber.frames.send_prepared(frame)

    def send_to_other_zones(self, frame: Prepared) -> None:
        """Tell some nodes of each other zone."""
        for hosts in self.other_zones().values():
            for host in self.pick_random(hosts, RECEIVERS_PER_ZONE):
                self.peers.link(host).post(frame.frame)

    def send_all(self, reply: Callable[[wire.Frame], None]) -> None:
        """Tell one node all that is known here, if there is anything."""
        crashes = list(self.quarantine.crashes.known.values())
        if crashes:
            reply(self.frame(crashes))

    def tick(self, now: float) -> None:
        """Forget what is too long ago, and compare with other zones."""
        self.quarantine.crashes.expire(now)
        idle = not self.quarantine.crashes.known or not self.duty.on_duty
        if idle or now - self.compared_at < COMPARE_INTERVAL:
            return
        self.compared_at = now
        question = wire.Frame(crashes=wire.Crashes([], self.checksum, compare=True))
        for hosts in self.other_zones().values():
            for host in self.pick_random(hosts, 1):
                self.peers.link(host).post(question)

    @property
    def checksum(self) -> int:
        """Return the number that two nodes share only if they know the same."""
        return self.quarantine.crashes.checksum

    def other_zones(self) -> dict[str, list[str]]:
        """Return the nodes of each other zone."""
        zones: defaultdict[str, list[str]] = defaultdict(list)
        for endpoint in self.peers.state.members():
            if endpoint.zone != self.peers.identity.zone:
                zones[endpoint.zone].append(endpoint.host)
        return zones

    def pick_random(self, hosts: list[str], count: int) -> list[str]:
        """Return some of the nodes at random."""
        distinct = sorted(set(hosts))
        return self.peers.rng.sample(distinct, min(count, len(distinct)))

    def frame(
        self, crashes: Iterable[Crash], compare: bool = False, whole: bool = False
    ) -> wire.Frame:
        """Return the frame that tells crashes."""
        now = clock.now()
        reports = [pack_crash(each, now) for each in crashes]
        return wire.Frame(crashes=wire.Crashes(reports, self.checksum, compare, whole))

    # As one who learns.

    def receive(
        self, message: wire.Crashes, reply: Callable[[wire.Frame], None]
    ) -> None:
        """Take news, or a question whether this node knows the same."""
        now = clock.now()
        reports = [unpack_crash(each, now) for each in message.crashes]
        self.broadcast(self.record_reports(reports), forwarded=True)
        if message.compare and message.checksum != self.checksum:
            # What came whole was an answer; the next word is the last.
            known = self.quarantine.crashes.known.values()
            reply(self.frame(known, compare=not message.whole, whole=True))
