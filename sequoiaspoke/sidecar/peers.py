"""The links from this node to the homes of all endpoints."""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.rendezvous import rank
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.linkclient import LinkClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sequoiaspoke.core.mesh.balancer import LoadReport
    from sequoiaspoke.core.mesh.model import Endpoint
    from sequoiaspoke.sidecar.frames import Dialer
    from sequoiaspoke.sidecar.gossip import Gossip
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.pending import LinkIdentity
    from sequoiaspoke.sidecar.state import MeshState

# Number of links to nodes of the same zone that stay open without calls. A node that
# starts while it cannot read the store is detected on the links of others to it and is
# sent the state on them, unless all four nodes fail together with it.
PERSISTENT_LINKS = 4
# Nodes that are asked for newer knowledge at a time, and seconds between two rounds.
REQUEST_PEERS, REQUEST_INTERVAL = 2, 0.5


def ignore_host_load_report(host: str, load_report: LoadReport) -> None:
    """Do nothing; the default until an entry takes the load reports."""


class Peers:
    """The links to other nodes, by their address.

    Attributes
    ----------
    active_links : set of LinkClient
        Links that wait for their home and need `tick`.
    reader_hosts : set of str
        Nodes that read the store for this one; links to them stay open.
    """

    def __init__(
        self,
        identity: LinkIdentity,
        port: int,
        state: MeshState,
        gossip: Gossip,
        rng: Random,
        log: EventLog,
        dialer: Dialer,
    ) -> None:
        self.identity = identity
        self.dialer = dialer
        self.port = port
        self.state = state
        self.gossip = gossip
        self.rng = rng
        self.log = log
        self.links: dict[str, LinkClient] = {}
        self.active_links: set[LinkClient] = set()
        self.on_load_report: Callable[[str, LoadReport], None] = ignore_host_load_report
        self.last_request = float("-inf")
        self.reader_hosts: set[str] = set()

    def link(self, host: str) -> LinkClient:
        """Return the link to a node, creating it on first use."""
        link = self.links.get(host)
        if link is None:
            link = LinkClient(
                (host, self.port),
                self.identity,
                self.gossip,
                self.log,
                self.dialer,
                self.active_links,
            )
            link.on_load_report = partial(self.on_load_report, host)
            self.links[host] = link
        return link

    def reachable(self, endpoint: Endpoint) -> bool:
        """Return whether a call to an endpoint is worth an attempt."""
        link = self.links.get(endpoint.host)
        return link is None or not (link.failing or link.leaving)

    def node_seen(self, host: str) -> None:
        """Connect without a pause to a node that was unreachable and is back."""
        link = self.links.get(host)
        if link is not None and link.failing:
            link.open()

    def refresh(self) -> None:
        """Open and close links as endpoints appear and disappear."""
        endpoints = self.state.members()
        hosts = {endpoint.host for endpoint in endpoints}
        for host in sorted(self.links.keys() - hosts):
            link = self.links[host]
            if not link.pending:
                link.close()
                del self.links[host]
        same_zone = {
            endpoint.host
            for endpoint in endpoints
            if endpoint.zone == self.identity.zone
            and endpoint.host != self.identity.host
        }
        persistent = set(rank(self.identity.host, sorted(same_zone))[:PERSISTENT_LINKS])
        persistent |= self.reader_hosts & hosts
        for host in sorted(persistent):
            self.link(host)
        for host, link in self.links.items():
            link.persistent = host in persistent
            if link.persistent or link.failing:
                link.open()

    def tick(self, now: float) -> None:
        """Check the active links, and request knowledge if this node's is stale."""
        for link in list(self.active_links):
            link.tick(now)
            if link.idle:
                self.active_links.discard(link)
        if self.state.stale(now) and now - self.last_request > REQUEST_INTERVAL:
            self.last_request = now
            self.request_knowledge()

    def request_knowledge(self) -> None:
        """Ask some connected nodes for newer knowledge."""
        open_links = [link for link in self.links.values() if link.established]
        self.rng.shuffle(open_links)
        for link in open_links[:REQUEST_PEERS]:
            link.request_knowledge()

    def other_zones(self) -> dict[str, list[str]]:
        """Return the hosts of each other zone."""
        zones: defaultdict[str, list[str]] = defaultdict(list)
        for endpoint in self.state.members():
            if endpoint.zone != self.identity.zone:
                zones[endpoint.zone].append(endpoint.host)
        return zones

    def pick_random(self, hosts: list[str], count: int) -> list[str]:
        """Return up to `count` distinct hosts at random."""
        distinct = sorted(set(hosts))
        return self.rng.sample(distinct, min(count, len(distinct)))

    def node_count(self) -> int:
        """Return the number of nodes with an endpoint, at least 1."""
        return max(1, self.state.directory.host_count())

    def age(self) -> float:
        """Return the age of this node's knowledge in seconds."""
        return self.state.age(clock.now())
