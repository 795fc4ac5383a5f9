"""Links to peers: opened with backoff, kept alive, closed when silent.

An open connection may go silent for good while new connections work. So each
exchange has a deadline: a link that misses one is closed, and its questions are
asked on other links. An answer must carry the number of a question that is still
open on the same link; late, duplicate and misdirected answers are dropped and
counted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.core.spread.budget import Backoff, TokenBucket
from sequoiaspoke.core.spread.events import CloseLink, OpenLink, Send
from sequoiaspoke.core.spread.messages import Status

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from sequoiaspoke.core.snapshot.model import Vm
    from sequoiaspoke.core.spread.messages import Hello, Message, Question, Welcome
    from sequoiaspoke.core.spread.state import SpreadState

# Heartbeats that an accepted link may miss before it counts as silent; one more than
# the opener's own check needs, so that the opener closes a silent link first.
ALLOWED_MISSED_BEATS = 2
# Seconds for which an unwanted link stays open, in case it is soon wanted again.
UNWANTED_GRACE = 3.0
CONNECT_BURST = 16.0
MAX_NUMBER = 1 << 30


@dataclass
class Link:
    """A connection to a peer; accepted ones have negative numbers."""

    number: int
    peer: str = ""
    zone: str = ""
    incarnation: int = 0
    status: Status = field(default_factory=Status)
    up: bool = False
    greeted: bool = False
    last_received: float = 0.0
    beat_due: float = 0.0
    unwanted_since: float | None = None

    @property
    def outgoing(self) -> bool:
        """Return whether this node opened the link."""
        return self.number > 0

    def has_seen(self, version: int) -> bool:
        """Return whether the peer is known to have seen a version."""
        return max(self.status.version, self.status.refused_version) >= version


@dataclass(frozen=True)
class Exchange:
    """A question that awaits its answer."""

    link: int
    question: Question
    deadline: float


class LinkTable:
    """Every link of the node, by number."""

    def __init__(self, state: SpreadState) -> None:
        self.state = state
        self.links: dict[int, Link] = {}
        self.greeted: dict[str, Link] = {}
        self.pending: dict[int, Exchange] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.connect_budget = TokenBucket(state.spread.connects, CONNECT_BURST)
        self.last_number = 0

    def next_number(self) -> int:
        """Return a fresh number for a link or a question."""
        self.last_number = self.last_number % MAX_NUMBER + 1
        return self.last_number

    def live(self) -> list[Link]:
        """Return the links that have completed the greeting."""
        return [link for link in self.links.values() if link.greeted]

    def find(self, peer: str) -> Link | None:
        """Return a live link to a peer."""
        return self.greeted.get(peer)

    def connecting(self, peer: str) -> bool:
        """Return whether a link to a peer is being opened."""
        return any(link.peer == peer for link in self.links.values())

    def backoff(self, peer: str) -> Backoff:
        """Return the record of failed connections to a peer."""
        spread = self.state.spread
        if peer not in self.backoffs:
            self.backoffs[peer] = Backoff(
                spread.reconnect, spread.reconnect_cap, self.state.rng
            )
        return self.backoffs[peer]

    def forget_removed(self, vms: Container[str]) -> None:
        """Drop the backoffs of VMs that are no longer on the list.

        VMs are constantly replaced under new names; without this, a node that runs
        for months would run out of memory.
        """
        self.backoffs = {n: b for n, b in self.backoffs.items() if n in vms}

    def failed(self, peer: str) -> bool:
        """Return whether the last connection to a peer failed."""
        return peer in self.backoffs and self.backoffs[peer].failures > 0

    def open(self, vm: Vm, now: float) -> None:
        """Connect to a node if the budget allows it now."""
        if not self.backoff(vm.name).ready(now) or not self.connect_budget.take(now):
            return
        link = Link(self.next_number(), vm.name, vm.zone, last_received=now)
        self.links[link.number] = link
        self.state.emit(OpenLink(link.number, vm.name, vm.address, vm.peer_port))

    def up(self, number: int, now: float) -> Link | None:
        """Record that a connection is established; None if it is not accepted."""
        link = self.links.get(number)
        if link is None and number > 0:
            self.state.emit(CloseLink(number, "unknown"))
            return None
        if link is None:
            link = self._accept(number)
        if link:
            link.up = True
            link.last_received = now
        return link

    def _accept(self, number: int) -> Link | None:
        accepted = sum(not link.outgoing for link in self.links.values())
        if accepted >= self.state.spread.connections:
            self.state.count("link-over-limit")
            self.state.emit(CloseLink(number, "over-limit"))
            return None
        self.links[number] = Link(number)
        return self.links[number]

    def down(self, number: int, now: float) -> None:
        """Remove a connection and the questions asked on it."""
        link = self.links.pop(number, None)
        if link is None:
            return
        if self.greeted.get(link.peer) is link:
            del self.greeted[link.peer]
            for other in self.live():
                if other.peer == link.peer:
                    self.greeted[link.peer] = other
        self.pending = {n: e for n, e in self.pending.items() if e.link != number}
        if link.outgoing:
            self.backoff(link.peer).fail(now)

    def close(self, link: Link, reason: str, now: float) -> None:
        """Close a connection and count the reason."""
        self.state.count(f"link-closed-{reason}")
        self.state.emit(CloseLink(link.number, reason))
        self.down(link.number, now)

    def greet(self, link: Link, hello: Hello | Welcome, now: float) -> None:
        """Record which node is at the other end.

        A restarted process has the same name as before. Links to its previous
        incarnation may seem open for long, and are closed here.
        """
        if link.outgoing and hello.name != link.peer:
            self.close(link, "other-peer", now)
            return
        for other in self.live():
            same = other.peer == hello.name and other is not link
            again = other.outgoing is link.outgoing
            if same and (again or other.incarnation != hello.incarnation):
                self.close(other, "replaced", now)
        link.peer, link.zone = hello.name, hello.zone
        link.incarnation = hello.incarnation
        link.status = hello.status
        link.greeted = True
        link.beat_due = now + self.state.spread.beat * self.state.rng.uniform(0.5, 1)
        self.greeted[link.peer] = link
        self.backoff(link.peer).succeed()

    def send(self, link: Link, message: Message, number: int = 0) -> None:
        """Send a message that awaits no answer, or an answer."""
        self.state.emit(Send(link.number, number, message))

    def ask(self, link: Link, question: Question, now: float) -> int:
        """Send a question and return its number."""
        number = self.next_number()
        deadline = now + self.state.spread.exchange
        self.pending[number] = Exchange(link.number, question, deadline)
        self.send(link, question, number)
        return number

    def match_answer(self, link: Link, number: int) -> Exchange | None:
        """Return the exchange that an answer belongs to; None if there is none."""
        exchange = self.pending.get(number)
        if exchange is None or exchange.link != link.number:
            self.state.count("answer-late")
            return None
        del self.pending[number]
        return exchange

    def extend_deadlines(self, now: float) -> None:
        """Restart every deadline after this process was paused."""
        deadline = now + self.state.spread.exchange
        self.pending = {
            number: Exchange(exchange.link, exchange.question, deadline)
            for number, exchange in self.pending.items()
        }
        for link in self.links.values():
            link.last_received = now
            link.beat_due = now

    def close_silent(self, now: float) -> None:
        """Close the links that missed a deadline."""
        late = {e.link for e in self.pending.values() if now >= e.deadline}
        spread = self.state.spread
        for link in list(self.links.values()):
            limit = spread.exchange
            if link.greeted:
                limit += ALLOWED_MISSED_BEATS * spread.beat
            if link.number in late or now - link.last_received > limit:
                self.close(link, "silent", now)

    def close_unwanted(self, wanted: Iterable[str], now: float) -> None:
        """Close the links opened by this node that have long been unwanted."""
        names = set(wanted)
        for link in list(self.links.values()):
            if not link.outgoing or link.peer in names:
                link.unwanted_since = None
                continue
            if link.unwanted_since is None:
                link.unwanted_since = now
            if now - link.unwanted_since >= UNWANTED_GRACE:
                self.close(link, "unwanted", now)
                self.backoff(link.peer).succeed()
