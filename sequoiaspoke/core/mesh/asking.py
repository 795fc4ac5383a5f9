"""Decide which homes are asked for a slot, and where a call waits.

What an entry has heard of a home is too old to place calls by if one large body can
occupy the home's link for half a second. A slot request is the call itself with a bound
on its wait: the home accepts it, or refuses it at once as busy with a load report.
After a few refusals the call waits at the best of the homes asked.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from sequoiaspoke.core.mesh.balancer import (
    CROSS_ZONE_MARGIN,
    HEADER_BYTES,
    late_probability,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sequoiaspoke.core.mesh.balancer import Balancer
    from sequoiaspoke.core.mesh.model import Endpoint, Incarnation, Route
    from sequoiaspoke.core.mesh.records import EndpointGroup
    from sequoiaspoke.core.mesh.sample import Sampler

# Number of upstreams of a service up to which calls are placed by load reports alone:
# an entry hears of each of so few with every few calls.
FEW_UPSTREAMS = 3
# Homes of the own zone that a call asks, and that a nested call asks.
MAX_REQUESTS, MAX_NESTED_REQUESTS = 2, 2
# Part of the time until its objective that a call may wait where it asks. With 0, calls
# leave homes at which they would be next: more requests, more of them to other zones.
# A nested call goes ahead of fresh ones and would be refused by homes that run it next.
WAIT_SHARE = 0.2
# Endpoints of a zone that are compared for one slot request.
DRAWS = 2
# Half-life of what an entry knows of the room in a zone, in seconds.
ROOM_HALF_LIFE = 1.0


class ServiceRoom:
    """Moving average of the share of a service's slot requests that met busy homes.

    Attributes
    ----------
    requests : dict of str to tuple of float
        For each zone, decayed numbers of requests and of busy homes, and when they were
        last updated.
    """

    def __init__(self) -> None:
        self.requests: dict[str, tuple[float, float, float]] = {}

    def record(self, zone: str, busy: bool, now: float) -> None:
        """Record the result of a slot request to a home of a zone."""
        count, refused = self.decayed(zone, now)
        self.requests[zone] = (count + 1, refused + busy, now)

    def busy_share(self, zone: str, now: float) -> float:
        """Return the share of busy homes, which decays to 0 without requests."""
        count, refused = self.decayed(zone, now)
        return refused / (count + 1)

    def decayed(self, zone: str, now: float) -> tuple[float, float]:
        """Return the numbers of requests and of busy homes, decayed until now."""
        count, refused, updated = self.requests.get(zone, (0.0, 0.0, now))
        weight = 0.5 ** ((now - updated) / ROOM_HALF_LIFE)
        return count * weight, refused * weight


@dataclass(frozen=True)
class BusyHome:
    """A home that refused a slot request, and the wait that it reported."""

    endpoint: Endpoint
    wait: float


@dataclass
class SlotRequests:
    """The slot requests of one call.

    Attributes
    ----------
    body_bytes : int
        Size of the call's body.
    on_time : float
        Time until which an answer meets the objective.
    busy : dict of Incarnation to BusyHome
        Homes that refused the call as busy.
    waiting : bool
        Whether the call has stopped asking and waits, or was refused where it waited.
    told_wait : float or None
        Wait reported by the home at which the call waits, in seconds.
    """

    route: Route
    nested: bool
    body_bytes: int
    on_time: float
    busy: dict[Incarnation, BusyHome] = field(default_factory=dict)
    waiting: bool = False
    told_wait: float | None = None

    @property
    def most_requests(self) -> int:
        """Return the number of homes of the own zone that the call asks."""
        return MAX_NESTED_REQUESTS if self.nested else MAX_REQUESTS

    @property
    def exhausted(self) -> bool:
        """Return whether the best of enough homes has been asked to let the call wait.

        If it has no room, the others that were asked have none either. A nested call
        goes on: its refusal fails its parent.
        """
        return self.waiting and not self.nested and len(self.busy) >= MAX_REQUESTS

    def max_wait(self, now: float) -> float:
        """Return the seconds that the call may wait where it asks."""
        return WAIT_SHARE * max(0.0, self.on_time - now)

    def record_busy(self, endpoint: Endpoint, wait: float) -> None:
        """Record that a home refused a slot request."""
        self.busy[endpoint.incarnation] = BusyHome(endpoint, wait)

    def ask_again(self) -> None:
        """Forget the refusals, after the home at which the call waited passed it on."""
        self.busy.clear()
        self.waiting = False
        self.told_wait = None


@dataclass(frozen=True)
class Placement:
    """Where a call is sent next, and how long it may wait there in seconds."""

    endpoint: Endpoint
    max_wait: float = inf


@dataclass(frozen=True)
class Choices:
    """The endpoints of a service to which a call may be sent now.

    Attributes
    ----------
    is_eligible : callable
        Whether the call may be sent to an endpoint.
    is_cold : callable
        Whether the upstream of a name is cold.
    """

    group: EndpointGroup
    is_eligible: Callable[[Endpoint], bool]
    is_cold: Callable[[str], bool]


class Asking:
    """Chooses the homes of slot requests.

    Attributes
    ----------
    rooms : dict of str to ServiceRoom
        What this entry met in each zone, by service.
    """

    def __init__(self, balancer: Balancer, sampler: Sampler) -> None:
        self.balancer = balancer
        self.sampler = sampler
        self.rooms: dict[str, ServiceRoom] = {}

    def room(self, service: str) -> ServiceRoom:
        """Return the room of a service."""
        return self.rooms.setdefault(service, ServiceRoom())

    def place(
        self, call: SlotRequests, choices: Choices, now: float
    ) -> Placement | None:
        """Return where a call is sent next.

        None if it asks no more homes and waits at none of those it asked.
        """
        if call.waiting:
            return None
        endpoint = self.next_in_zone(call, choices, now)
        if endpoint is None:
            endpoint = self.next_elsewhere(call, choices, now)
        if endpoint is not None:
            return Placement(endpoint, call.max_wait(now))
        return self.wait_at_best(call, choices, now)

    def next_in_zone(
        self, call: SlotRequests, choices: Choices, now: float
    ) -> Endpoint | None:
        """Return the home of the own zone that is asked next, if any."""
        if len(call.busy) >= call.most_requests:
            return None
        return self.best_of_zone(self.balancer.zone, call, choices, now)

    def next_elsewhere(
        self, call: SlotRequests, choices: Choices, now: float
    ) -> Endpoint | None:
        """Return the home of another zone that is asked next, if any.

        Zones that were busy less often are asked first, one home in each.
        """
        own, group = self.balancer.zone, choices.group
        asked = {each.endpoint.zone for each in call.busy.values()}
        if len(asked) > 1:
            # In a shortage of all zones, each further request would be refused too.
            return None
        zones = [each for each in group.by_zone if each != own and each not in asked]
        service = group.endpoints[0].service if group.endpoints else ""
        room = self.room(service)
        shares = {zone: room.busy_share(zone, now) for zone in zones}
        if own in asked:
            most = room.busy_share(own, now)
            zones = [zone for zone in zones if shares[zone] < most]
        for zone in sorted(zones, key=lambda zone: (shares[zone], zone)):
            endpoint = self.best_of_zone(zone, call, choices, now)
            if endpoint is not None and self.worth_leaving(
                call, endpoint, choices, shares[zone], now
            ):
                return endpoint
        return None

    def worth_leaving(
        self,
        call: SlotRequests,
        endpoint: Endpoint,
        choices: Choices,
        busy_share: float,
        now: float,
    ) -> bool:
        """Return whether a slot elsewhere is worth the traffic between zones."""
        if all(home.endpoint.zone != self.balancer.zone for home in call.busy.values()):
            # No home of the own zone can be asked.
            return len(call.busy) < call.most_requests
        left = call.on_time - now
        here = min(
            self.seconds(call, each.endpoint, choices, now)
            for each in call.busy.values()
        )
        there = self.seconds_if_granted(call, endpoint, choices, now)
        gain = late_probability(here, left) - late_probability(there, left)
        return gain * (1 - busy_share) > self.margin(call)

    def margin(self, call: SlotRequests) -> float:
        """Return the required gain in the probability of a late answer."""
        own = CROSS_ZONE_MARGIN * (HEADER_BYTES + call.body_bytes) / 1000
        return max(own, self.balancer.cross_zone_margin(call.route.name))

    def wait_at_best(
        self, call: SlotRequests, choices: Choices, now: float
    ) -> Placement | None:
        """Return the best of the homes that were asked, to wait there.

        Not one whose upstream has left the service or drains since it was asked.
        """
        call.waiting = True
        zones = {home.endpoint.zone for home in call.busy.values()}
        present = {
            each.incarnation for zone in zones for each in choices.group.in_zone(zone)
        }
        asked = [home.endpoint for name, home in call.busy.items() if name in present]
        endpoint = self.balancer.choose(
            call.route,
            filter(choices.is_eligible, asked),
            choices.is_cold,
            now,
            call.on_time - now,
        )
        if endpoint is None:
            return None
        call.told_wait = call.busy[endpoint.incarnation].wait
        return Placement(endpoint)

    def best_of_zone(
        self, zone: str, call: SlotRequests, choices: Choices, now: float
    ) -> Endpoint | None:
        """Return the best of a few homes of a zone that the call has not asked."""

        def is_eligible(endpoint: Endpoint) -> bool:
            return endpoint.incarnation not in call.busy and choices.is_eligible(
                endpoint
            )

        homes = choices.group.in_zone(zone)
        drawn = self.sampler.draw(homes, DRAWS, is_eligible)
        return self.balancer.choose(
            call.route,
            drawn or filter(is_eligible, homes),
            choices.is_cold,
            now,
            call.on_time - now,
        )

    def seconds(
        self, call: SlotRequests, endpoint: Endpoint, choices: Choices, now: float
    ) -> float:
        """Return the expected response time of a home at which the call waits."""
        stats = self.balancer.stats_of(endpoint.incarnation)
        cold = choices.is_cold(endpoint.instance)
        return self.balancer.expected_seconds(
            call.route.name, endpoint, stats, cold, now
        )

    def seconds_if_granted(
        self, call: SlotRequests, endpoint: Endpoint, choices: Choices, now: float
    ) -> float:
        """Return the expected response time of a home that has a free slot."""
        stats = self.balancer.stats_of(endpoint.incarnation)
        cold = choices.is_cold(endpoint.instance)
        return self.balancer.service_time(call.route.name, stats, cold, now)
