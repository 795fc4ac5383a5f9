"""Decide which bodies a home receives next, and grant credit for them.

An entry announces a large body and sends it only as far as the home has requested it.
The requested bytes that have not arrived yet are the credit of all entries together; it
is bounded by a window, so that a small frame waits behind a bounded time of bodies.
Bodies are requested one after the other, so that the first is complete early.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sequoiaspoke.errors import MessageError

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bytes of the largest part of a body, and of the largest body that goes with its call.
PART_BYTES = 8 << 10
# Seconds of the link's rate that may be requested at a time: the time that a small
# frame waits behind bodies at most.
WINDOW_SECONDS = 0.04
# Bytes of the window: two parts, so that one is under way while the next is requested,
# up to what a link of 50 Mbit/s receives in WINDOW_SECONDS; and if no rate is known.
MIN_WINDOW, MAX_WINDOW, DEFAULT_WINDOW = 16 << 10, 256 << 10, 64 << 10
# Seconds without a part after which the credit of a body is returned. Twelve times the
# time of a part at 5 Mbit/s, and far below what callers wait.
STALL_SECONDS = 0.25
# Seconds without a link after which an incomplete body is dropped. An entry that lives
# has opened another link by then, or given up.
UNLINKED_SECONDS = 1.0
# Seconds without a requested part after which a body gives up its room in memory to
# others that wait for it.
SILENT_SECONDS = 1.0
# Half-life of a measured rate, in seconds of receiving.
RATE_HALF_LIFE = 0.5
# Seconds of receiving below which a measured rate is not used: the first part comes a
# round trip after its request.
MIN_MEASURED_SECONDS = 0.02
# The same for estimates of when a body is complete. As a burst begins, its nodes are
# busy and the first parts come slowly; calls with much time left would be refused.
MIN_ESTIMATE_SECONDS = 0.25
# Credit of one body, as a multiple of what its entry sends in WINDOW_SECONDS. An entry
# with a narrower link than the home's leaves the rest of the window to the next body.
CREDIT_PER_RATE = 2.0
# Weight of the newest body in the mean size of a route's bodies.
NEWEST_SIZE_WEIGHT = 0.1
BYTES_PER_MBIT = 125_000


class RateMeter:
    """A moving average of bytes per second, weighted by the time of receiving."""

    def __init__(self) -> None:
        self.bytes = 0.0
        self.seconds = 0.0

    def add(self, size: int, seconds: float) -> None:
        """Record bytes and the seconds in which they were received."""
        kept = 0.5 ** (seconds / RATE_HALF_LIFE)
        self.bytes = kept * self.bytes + size
        self.seconds = kept * self.seconds + seconds

    @property
    def rate(self) -> float | None:
        """Return the bytes per second, None if there are too few measurements."""
        if self.seconds < MIN_MEASURED_SECONDS:
            return None
        return self.bytes / self.seconds


@dataclass
class Transfer:
    """A body that is not complete yet.

    Attributes
    ----------
    rank : int
        Rank of its call in the queue; the lowest goes first.
    received : int
        Bytes that have arrived.
    requested : int
        End of the credit; the bytes from `received` on are under way.
    link_limit : int
        Most that was requested on the current link. Returned credit is not revoked at
        the entry, so that its bytes may still arrive.
    active_at : float
        When the last part arrived, or when the body was given credit after that.
    stalled : bool
        Whether its credit was returned and no part has arrived since.
    silent_since : float or None
        When the last part arrived, or the first was requested after that; None if none
        is requested.
    unlinked_since : float or None
        When its link ended, None while it has one.
    room_wait : float
        Seconds until it has room in memory, as expected when it was announced.
    """

    size: int
    rank: int
    received: int = 0
    requested: int = 0
    link_limit: int = 0
    active_at: float = 0.0
    stalled: bool = False
    silent_since: float | None = None
    unlinked_since: float | None = None
    room_wait: float = 0.0
    meter: RateMeter = field(default_factory=RateMeter)

    @property
    def credit(self) -> int:
        """Return the requested bytes that have not arrived."""
        return self.requested - self.received

    @property
    def remaining(self) -> int:
        """Return the bytes that have not arrived."""
        return self.size - self.received

    def return_credit(self) -> None:
        """Give back the credit."""
        self.requested = self.received

    def max_credit(self) -> int:
        """Return the most credit that its entry makes use of."""
        if self.meter.rate is None:
            return DEFAULT_WINDOW
        return max(PART_BYTES, int(CREDIT_PER_RATE * WINDOW_SECONDS * self.meter.rate))


@dataclass(frozen=True)
class Grant:
    """Credit for a body: request its bytes from `offset` up to `upto`."""

    ticket: object
    offset: int
    upto: int


class IncomingTransfers:
    """The bodies announced to one home that are not complete yet.

    Attributes
    ----------
    link_rate : float
        Bytes per second of the network link by the settings, 0 if not known.
    mean_sizes : dict of str to float
        Moving mean of the sizes of the announced bodies, by route.
    measured_at : float
        Until when the rate of the link is measured.
    """

    def __init__(self) -> None:
        self.link_rate = 0.0
        self.transfers: dict[object, Transfer] = {}
        self.mean_sizes: dict[str, float] = {}
        self.meter = RateMeter()
        self.measured_at = 0.0

    def set_link_mbps(self, mbps: float) -> None:
        """Set the rate of the network link in Mbit/s, 0 if not known."""
        self.link_rate = mbps * BYTES_PER_MBIT

    # Bodies.

    def announce(
        self, ticket: object, route: str, rank: int, size: int, room_wait: float = 0.0
    ) -> None:
        """Add a body that its entry has announced."""
        self.transfers[ticket] = Transfer(size, rank, room_wait=room_wait)
        mean = self.mean_sizes.get(route, size)
        self.mean_sizes[route] = mean + NEWEST_SIZE_WEIGHT * (size - mean)

    def drop(self, ticket: object) -> bool:
        """Remove a body and its credit; return whether it was there."""
        return self.transfers.pop(ticket, None) is not None

    def unlink(self, ticket: object, now: float) -> None:
        """Record that the link of a body has ended, with all that was under way."""
        transfer = self.transfers[ticket]
        transfer.return_credit()
        transfer.unlinked_since = now

    def resume(self, ticket: object, size: int) -> None:
        """Continue a body that its entry announced again, on a new link."""
        transfer = self.transfers[ticket]
        if size != transfer.size:
            raise MessageError(f"body announced with {transfer.size}, now {size} bytes")
        transfer.return_credit()
        transfer.link_limit = transfer.received
        transfer.unlinked_since = transfer.silent_since = None
        transfer.stalled = False

    def receive(self, ticket: object, offset: int, size: int, now: float) -> bool:
        """Record a part; return whether the body is complete. Raise MessageError."""
        transfer = self.transfers[ticket]
        if size <= 0 or offset != transfer.received:
            raise MessageError(
                f"part of {size} bytes at {offset}, expected at {transfer.received}"
            )
        if offset + size > transfer.link_limit:
            raise MessageError(
                f"part up to {offset + size}, requested up to {transfer.link_limit}"
            )
        if transfer.credit:
            self.meter.add(size, now - self.measured_at)
            transfer.meter.add(size, now - transfer.active_at)
        self.measured_at = transfer.active_at = now
        transfer.received += size
        transfer.requested = max(transfer.requested, transfer.received)
        transfer.stalled = False
        transfer.silent_since = now if transfer.credit else None
        if transfer.remaining:
            return False
        del self.transfers[ticket]
        return True

    # Credit.

    @property
    def rate(self) -> float | None:
        """Return the bytes per second that the link receives, None if not known."""
        measured = self.meter.rate
        if measured is None or not self.link_rate:
            return measured or self.link_rate or None
        return min(measured, self.link_rate)

    @property
    def window(self) -> int:
        """Return the maximum of the credit of all bodies in bytes.

        It follows the rate of the settings, if there is one: a measured rate is also
        low while the only entry that sends is slow, and a window that shrank with it
        would leave nothing to the next.
        """
        rate = self.link_rate or self.meter.rate
        if rate is None:
            return DEFAULT_WINDOW
        most = MAX_WINDOW if self.link_rate else DEFAULT_WINDOW
        return max(MIN_WINDOW, min(most, int(WINDOW_SECONDS * rate)))

    @property
    def credit(self) -> int:
        """Return the requested bytes that have not arrived."""
        return sum(each.credit for each in self.transfers.values())

    @property
    def bytes_to_come(self) -> int:
        """Return the bytes of all bodies that have not arrived."""
        return sum(each.remaining for each in self.transfers.values())

    def grant(
        self, order: Iterable[object], max_bodies: int, now: float
    ) -> list[Grant]:
        """Grant free credit to the first bodies in an order.

        Bodies whose credit was returned go behind the others.

        Parameters
        ----------
        order : iterable of object
            Tickets of the incomplete bodies, in the order of the queue.
        max_bodies : int
            Number of bodies that may be under way.
        """
        credit = self.credit
        if not credit:
            self.measured_at = now
        free = self.window - credit
        grants = []
        linked = [each for each in order if self.linked(each)]
        linked.sort(key=lambda ticket: self.transfers[ticket].stalled)
        for ticket in linked[: max(0, max_bodies)]:
            granted = self.grant_one(ticket, free, now)
            if granted is not None:
                free -= granted.upto - self.transfers[ticket].requested
                self.transfers[ticket].requested = granted.upto
                grants.append(granted)
        return grants

    def grant_one(self, ticket: object, free: int, now: float) -> Grant | None:
        """Return the credit that a body gets, None for less than a part."""
        transfer = self.transfers[ticket]
        missing = transfer.size - transfer.requested
        more = min(missing, free, transfer.max_credit() - transfer.credit)
        if more <= 0 or (more < PART_BYTES and more < missing):
            return None
        if not transfer.credit:
            transfer.active_at = now
        if transfer.silent_since is None:
            transfer.silent_since = now
        upto = transfer.requested + more
        transfer.link_limit = max(transfer.link_limit, upto)
        return Grant(ticket, transfer.received, upto)

    def linked(self, ticket: object) -> bool:
        """Return whether the entry of a body can be reached."""
        return self.transfers[ticket].unlinked_since is None

    def return_stalled(self, now: float) -> None:
        """Return the credit of bodies of which no part has arrived for some time."""
        for transfer in self.transfers.values():
            if transfer.credit and now - transfer.active_at >= STALL_SECONDS:
                transfer.return_credit()
                transfer.stalled = True

    def abandoned(self, now: float) -> list[object]:
        """Return the bodies whose entries have been gone for too long."""
        return [
            ticket
            for ticket, each in self.transfers.items()
            if each.unlinked_since is not None
            and now - each.unlinked_since >= UNLINKED_SECONDS
        ]

    def silent(self, now: float) -> list[object]:
        """Return the bodies whose entries have sent nothing for too long."""
        return [
            ticket
            for ticket, each in self.transfers.items()
            if each.silent_since is not None
            and now - each.silent_since >= SILENT_SECONDS
        ]

    # Estimates.

    def seconds_for(self, size: float) -> float:
        """Return the seconds in which the link receives bytes, 0 if not known."""
        measured = self.meter.seconds >= MIN_ESTIMATE_SECONDS
        rate = self.rate if measured else self.link_rate
        return size / rate if rate else 0.0

    def seconds_left(self, ticket: object) -> float:
        """Return the seconds in which the link receives the rest of one body."""
        return self.seconds_for(self.transfers[ticket].remaining)

    def bytes_ahead(self, rank: int) -> int:
        """Return the bytes to come of bodies that go before a new one of a rank."""
        return sum(
            each.remaining
            for each in self.transfers.values()
            if each.rank <= rank and each.unlinked_since is None
        )

    def wait(self, ticket: object) -> float:
        """Return the seconds until a newly announced body is complete.

        0 for a call without an announced body.
        """
        transfer = self.transfers.get(ticket)
        return 0.0 if transfer is None else self.seconds_for_rank(transfer.rank)

    def room_wait(self, ticket: object) -> float:
        """Return the seconds until a newly announced body has room in memory."""
        transfer = self.transfers.get(ticket)
        return 0.0 if transfer is None else transfer.room_wait

    def wait_ahead(self, ticket: object) -> float:
        """Return the seconds until the link is free for a newly announced body.

        Less than the window is the wait of any frame and counts as none.
        """
        transfer = self.transfers.get(ticket)
        if transfer is None:
            return 0.0
        ahead = self.bytes_ahead(transfer.rank) - transfer.remaining
        seconds = self.seconds_for(ahead)
        return seconds if seconds > WINDOW_SECONDS else 0.0

    def seconds_for_rank(self, rank: int, size: float = 0.0) -> float:
        """Return the seconds until the bodies up to a rank and more bytes are here."""
        return self.seconds_for(self.bytes_ahead(rank) + size)

    def route_wait(self, route: str, rank: int) -> float:
        """Return the seconds until a body of a route's mean size would be complete.

        0 for a route of which no body was announced.
        """
        size = self.mean_sizes.get(route)
        return 0.0 if size is None else self.seconds_for_rank(rank, size)
