"""Log which parts of a node hold its memory while much of it is held."""

from __future__ import annotations

import resource
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sequoiaspoke.core.mesh.memory import MemoryAccount
    from sequoiaspoke.sidecar.frames import FrameStream
    from sequoiaspoke.sidecar.home import Home
    from sequoiaspoke.sidecar.linkserver import LinkServer
    from sequoiaspoke.sidecar.logs import EventLog
    from sequoiaspoke.sidecar.peers import Peers

# Share of the memory account from which its use is logged, and seconds between lines.
LOGGED_SHARE, LOG_SECONDS = 0.5, 0.25
STATM = Path("/proc/self/statm")
PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes, 0 if not known."""
    try:
        return int(STATM.read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


class MemoryLog:
    """Logs the memory that the parts of a node hold."""

    def __init__(
        self,
        memory: MemoryAccount,
        home: Home,
        links: LinkServer,
        peers: Peers,
        log: EventLog,
    ) -> None:
        self.memory = memory
        self.home = home
        self.links = links
        self.peers = peers
        self.log = log
        self.logged_at = float("-inf")

    def tick(self, now: float) -> None:
        """Log the use of the memory account if it is high."""
        memory = self.memory
        if memory.held <= LOGGED_SHARE * memory.limit:
            return
        if now - self.logged_at < LOG_SECONDS:
            return
        self.logged_at = now
        self.log.event(
            "memory-high",
            held=memory.held,
            limit=memory.limit,
            unread=memory.unread,
            calls=sum(each.reserved for each in self.home.calls.values()),
            bodies=self.home.bodies.room.held,
            frames=sum(each.buffered_bytes() for each in self.streams()),
            unsent=self.home.upstream.unsent_bytes(),
            resident=resident_bytes(),
        )

    def streams(self) -> Iterable[FrameStream]:
        """Return the streams of all links, whoever has opened them."""
        yield from (link.stream for link in self.links.links)
        for link in self.peers.links.values():
            if link.stream is not None:
                yield link.stream
