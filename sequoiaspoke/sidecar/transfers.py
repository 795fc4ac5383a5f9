"""Send and receive the bodies that follow their calls in parts."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from io import BytesIO
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.admission import RefusalReason, Refused
from sequoiaspoke.core.mesh.bodyroom import BodyRoom
from sequoiaspoke.core.mesh.transfers import PART_BYTES
from sequoiaspoke.errors import MessageError

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Hashable

    from sequoiaspoke.core.mesh.admission import Admission
    from sequoiaspoke.core.mesh.memory import MemoryAccount

# Bytes in the buffer of a link above which no part is added, and seconds until the next
# attempt. A frame written now waits behind two parts at most.
MAX_UNSENT_BYTES, UNSENT_PAUSE = PART_BYTES, 0.005


class BodySource(ABC):
    """The link to the entry of calls whose bodies it announced."""

    @abstractmethod
    def fetch(self, key: Hashable, offset: int, upto: int) -> None:
        """Request the bytes of a call's body from `offset` up to `upto`."""


@dataclass(frozen=True)
class AnnouncedBody:
    """A body that follows its call in parts, and the link over which it does."""

    size: int
    source: BodySource


class BodyReceiver(ABC):
    """Takes what becomes of the bodies of its calls."""

    @abstractmethod
    def body_complete(self, key: Hashable, body: bytes) -> None:
        """Take a complete body."""

    @abstractmethod
    def refuse_queued(self, refused: Refused) -> None:
        """Refuse a call whose body is not complete."""


class IncomingBodies:
    """Bodies that a home requests from the entries of its queued calls.

    Attributes
    ----------
    bodies : dict of Hashable to BytesIO
        Received bytes of the incomplete bodies.
    sources : dict of Hashable to BodySource
        The current links of the incomplete bodies.
    complete : set of Hashable
        Calls with complete bodies, until they end.
    room : BodyRoom
        Memory for them, in the account of the node.
    """

    def __init__(
        self,
        admission: Admission,
        counts: Counter[str],
        receiver: BodyReceiver,
        memory: MemoryAccount,
    ) -> None:
        self.admission = admission
        self.transfers = admission.transfers
        self.counts = counts
        self.receiver = receiver
        self.bodies: dict[Hashable, BytesIO] = {}
        self.sources: dict[Hashable, BodySource] = {}
        self.complete: set[Hashable] = set()
        self.room = BodyRoom(memory)

    def announce(
        self, key: Hashable, route: str, rank: int, body: AnnouncedBody, now: float
    ) -> None:
        """Add the announced body of a new call."""
        wait = self.room_wait(body.size, route, rank, now)
        self.transfers.announce(key, route, rank, body.size, wait)
        self.admission.incomplete.add(key)
        self.bodies[key] = BytesIO()
        self.sources[key] = body.source

    def room_wait(self, size: int, route: str, rank: int, now: float) -> float:
        """Return the seconds until a new body has room in memory."""
        ahead = sum(
            each.size
            for key, each in self.transfers.transfers.items()
            if each.rank <= rank and key not in self.room.reserved
        )
        seconds = self.admission.durations.expected(route, now)
        return self.room.wait(size, ahead, seconds)

    def route_wait(self, route: str, rank: int, now: float) -> float:
        """Return the seconds until a body of a route's mean size would be complete.

        0 for a route of which no body was announced.
        """
        size = self.transfers.mean_sizes.get(route)
        if size is None:
            return 0.0
        return max(
            self.transfers.route_wait(route, rank),
            self.room_wait(int(size), route, rank, now),
        )

    def resume(self, key: Hashable, body: AnnouncedBody, now: float) -> None:
        """Continue a body whose entry announced it again, unless it is complete."""
        if key in self.bodies:
            self.transfers.resume(key, body.size)
            self.sources[key] = body.source
            self.request(now)

    def receive(
        self, key: Hashable, source: BodySource, offset: int, data: bytes, now: float
    ) -> None:
        """Take a part of a body; raise MessageError.

        Parts of bodies that were dropped are still under way for a moment.
        """
        if self.sources.get(key) is not source:
            return
        complete = self.transfers.receive(key, offset, len(data), now)
        self.bodies[key].write(data)
        if complete:
            # Not a copy, unlike the value of a bytearray.
            body = self.bodies.pop(key).getvalue()
            del self.sources[key]
            self.admission.incomplete.discard(key)
            self.complete.add(key)
            self.counts["body-fetched"] += 1
            self.receiver.body_complete(key, body)
        else:
            self.request(now)

    def drop(self, key: Hashable) -> bool:
        """Forget the body of a call that has ended; return whether it was incomplete.

        Its credit and its memory are free for the next `request`.
        """
        self.complete.discard(key)
        self.room.release(key)
        if not self.transfers.drop(key):
            return False
        del self.bodies[key], self.sources[key]
        self.admission.incomplete.discard(key)
        self.counts["body-dropped"] += 1
        return True

    def link_lost(self, source: BodySource, now: float) -> None:
        """Return the credit of the bodies whose link has ended."""
        for key, current in self.sources.items():
            if current is source:
                self.transfers.unlink(key, now)
        self.request(now)

    def request(self, now: float) -> None:
        """Request parts of the next bodies, as far as there is credit."""
        if not self.bodies:
            return
        admission = self.admission
        waiting = [
            each
            for each in admission.queue.values()
            if each.ticket in admission.incomplete
        ]
        waiting.sort(key=lambda arrival: admission.sort_key(arrival, now))
        complete = sum(key in admission.queue for key in self.complete)
        most = admission.slots + 1 - complete
        linked = (x.ticket for x in waiting if self.transfers.linked(x.ticket))
        order = self.room.fitting((key, self.size(key)) for key in linked)
        for grant in self.transfers.grant(order, most, now):
            # If several were requested that do not fit together, none of them would
            # become complete.
            self.room.reserve(grant.ticket, self.size(grant.ticket))
            self.sources[grant.ticket].fetch(grant.ticket, grant.offset, grant.upto)

    def size(self, key: Hashable) -> int:
        """Return the size of an incomplete body."""
        return self.transfers.transfers[key].size

    def tick(self, now: float) -> None:
        """Return unused credit, and refuse calls whose bodies cannot come in time."""
        if not self.bodies:
            return
        self.transfers.return_stalled(now)
        expired = self.transfers.abandoned(now)
        if any(key not in self.room.reserved for key in self.bodies):
            silent = self.transfers.silent(now)
            expired += [key for key in silent if key in self.room.reserved]
        for key in dict.fromkeys(expired):
            arrival = self.admission.queue[key]
            refused = Refused(arrival, RefusalReason.BODY_EXPIRED, 0.0)
            self.receiver.refuse_queued(refused)
        for key in list(self.bodies):
            arrival = self.admission.queue[key]
            seconds = self.transfers.seconds_left(key)
            begin = now + seconds
            if begin + self.admission.min_duration(arrival, begin) > arrival.deadline:
                refused = Refused(arrival, RefusalReason.NO_TIME, seconds)
                self.receiver.refuse_queued(refused)
        self.request(now)


class OutgoingBody:
    """A body at the entry of its call, sent as far as the home requests it.

    Attributes
    ----------
    position : int
        Up to where it was sent on the current link.
    upto : int
        Up to where the home has requested it on the current link.
    sent_whole : bool
        Whether the home may have all of it, from any link.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0
        self.upto = 0
        self.sent_whole = False

    def announced(self) -> None:
        """Start again on a new link, without credit."""
        self.position = self.upto = 0

    def request(self, offset: int, upto: int) -> None:
        """Take credit from the home; raise MessageError.

        Bytes sent before on this link are not sent again: the link delivers them.
        """
        if not 0 <= offset <= upto <= len(self.data):
            raise MessageError(
                f"bytes {offset} to {upto} requested of {len(self.data)}"
            )
        self.position = max(self.position, offset)
        self.upto = max(self.upto, upto)
        self.sent_whole |= self.position == len(self.data)

    def next_part(self) -> tuple[int, bytes] | None:
        """Return the offset and the bytes of the next part, None without credit."""
        offset = self.position
        if offset >= self.upto:
            return None
        self.position = min(offset + PART_BYTES, self.upto)
        self.sent_whole |= self.position == len(self.data)
        return offset, self.data[offset : self.position]


class PartSender:
    """Sends requested parts of bodies on a link, with other frames between them.

    Attributes
    ----------
    send_next : callable
        Sends the next part of any body; returns whether there was one.
    unsent_bytes : callable
        Returns how many bytes wait in the buffer of the link.
    """

    def __init__(
        self, send_next: Callable[[], bool], unsent_bytes: Callable[[], int]
    ) -> None:
        self.send_next = send_next
        self.unsent_bytes = unsent_bytes
        self.scheduled = False

    def start(self) -> None:
        """Send parts until all credit is used."""
        if not self.scheduled:
            self.run()

    def run(self) -> None:
        """Send a part unless too much is unsent, and go on in another iteration."""
        self.scheduled = False
        loop = asyncio.get_running_loop()
        if self.unsent_bytes() > MAX_UNSENT_BYTES:
            self.scheduled = True
            loop.call_later(UNSENT_PAUSE, self.run)
        elif self.send_next():
            self.scheduled = True
            loop.call_soon(self.run)
