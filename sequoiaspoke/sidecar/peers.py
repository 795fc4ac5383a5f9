"""The links of this node to the homes of all endpoints."""

from __future__ import annotations

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

# Links held open without calls, to nodes of the own zone: by them a node that starts
# while the store turns it away is found and told what it needs. Four reach it
# unless all four nodes die with it.
KEPT_LINKS = 4
# Nodes asked at once for news, and seconds between two rounds.
ASKED, ASK_EVERY = 2, 0.5


def ignore_host_news(host: str, news: LoadReport) -> None:
    """Do nothing; until an entry wants the news."""


class Peers:
    """Links by the address of the other node.

    Attributes
    ----------
    watched : set of LinkClient
        Links on which something is awaited.
    followed : set of str
        Nodes that read the store for this one; their links are held open.
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
        self.watched: set[LinkClient] = set()
        self.on_news: Callable[[str, LoadReport], None] = ignore_host_news
        self.asked = float("-inf")
        self.followed: set[str] = set()

    def link(self, host: str) -> LinkClient:
        """Return the link to a node."""
        link = self.links.get(host)
        if link is None:
            link = LinkClient(
                (host, self.port),
                self.identity,
                self.gossip,
                self.log,
                self.dialer,
                self.watched,
            )
            link.on_news = partial(self.on_news, host)
            self.links[host] = link
        return link

    def reachable(self, endpoint: Endpoint) -> bool:
        """Return whether calls to an endpoint are worth a try."""
        link = self.links.get(endpoint.host)
        return link is None or not (link.failing or link.leaving)

    def refresh(self) -> None:
        """Open and close links as endpoints come and go."""
        endpoints = self.state.members()
        hosts = {endpoint.host for endpoint in endpoints}
        for host in sorted(self.links.keys() - hosts):
            link = self.links[host]
            if not link.pending:
                link.close()
                del self.links[host]
        near = {
            endpoint.host
            for endpoint in endpoints
            if endpoint.zone == self.identity.zone
            and endpoint.host != self.identity.host
        }
        kept = set(rank(self.identity.host, sorted(near))[:KEPT_LINKS])
        kept |= self.followed & hosts
        for host in sorted(kept):
            self.link(host)
        for host, link in self.links.items():
            link.kept = host in kept
            if link.kept or link.failing:
                link.open()

    def tick(self, now: float) -> None:
        """Look after the links and ask for news if what is known is old."""
        for link in list(self.watched):
            link.tick(now)
            if link.at_rest:
                self.watched.discard(link)
        if self.state.stale(now) and now - self.asked > ASK_EVERY:
            self.asked = now
            self.ask()

    def ask(self) -> None:
        """Ask some nodes for what they know."""
        open_links = [link for link in self.links.values() if link.greeted]
        self.rng.shuffle(open_links)
        for link in open_links[:ASKED]:
            link.ask()

    def nodes(self) -> int:
        """Return how many nodes the endpoints stand for."""
        return max(1, self.state.directory.hosts())

    def age(self) -> float:
        """Return the age of what is known here, in seconds."""
        return self.state.age(clock.now())
