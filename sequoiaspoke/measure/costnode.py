"""The one real node of a cost measurement, beside peers that are only played."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from functools import cached_property

from sequoiaspoke.core.idempotency.rendezvous import rank
from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig, Route, Service
from sequoiaspoke.core.mesh.reading import READERS_PER_ZONE
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.sidecar.app import Sidecar
from sequoiaspoke.sidecar.logs import configure_output
from sequoiaspoke.sidecar.settings import SidecarSettings
from sequoiaspoke.sidecar.source import Changes, ItemDecoder, ItemStore, StoreItem

ZONES = ("akaki", "bole", "kality", "gelan", "arada")
SERVICES = ("fleet", "booking", "billing", "ledger")
HOST_NAME = "cost.example"
SLOTS = 1000  # of each upstream, so that nothing waits
TIMEOUT, OBJECTIVE = 10.0, 5.0  # seconds
CONFIG_KEY = "config"
CALLER_PORT, HEALTH_PORT, LINK_PORT, UPSTREAM_PORT = 8080, 8081, 8082, 9000
HOSTS_IN_NETWORK = 250  # addresses in the last number


@dataclass(frozen=True)
class CostFleet:
    """A fleet of which one node is real.

    Attributes
    ----------
    peers : int
        Nodes, the real one included.
    network : int
        Second number of the nodes' addresses on loopback.
    """

    peers: int
    network: int = 90

    def host(self, number: int) -> str:
        """Return the address of a node."""
        third, last = divmod(number, HOSTS_IN_NETWORK)
        return f"127.{self.network}.{third}.{last + 1}"

    def endpoint(self, number: int, slots: int = SLOTS) -> Endpoint:
        """Return the endpoint beside a node."""
        return Endpoint(
            f"i-{number}",
            SERVICES[number % len(SERVICES)],
            self.host(number),
            UPSTREAM_PORT,
            ZONES[number % len(ZONES)],
            slots,
        )

    @cached_property
    def node(self) -> Endpoint:
        """Return the endpoint beside the real node, which reads for nobody."""
        zone = [self.endpoint(n) for n in range(self.peers) if n % len(ZONES) == 0]
        order = rank(ZONES[0], sorted(each.host for each in zone))
        host = order[min(READERS_PER_ZONE, len(order) - 1)]
        return next(each for each in zone if each.host == host)

    @property
    def called(self) -> str:
        """Return a service that is elsewhere."""
        return next(name for name in SERVICES if name != self.node.service)

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return every endpoint."""
        return tuple(self.endpoint(number) for number in range(self.peers))

    def config(self, version: int, routes: int = 0) -> MeshConfig:
        """Return a configuration: a route a service, and so many that nobody uses."""
        used = [self.route(name, name, version) for name in SERVICES]
        more = [
            self.route(f"more-{number}", SERVICES[number % len(SERVICES)], version)
            for number in range(routes)
        ]
        services = {name: Service(name) for name in SERVICES}
        return MeshConfig(version, (*used, *more), services)

    def route(self, name: str, service: str, version: int) -> Route:
        """Return a route that may be repeated."""
        split = (WeightedService(service),)
        return Route(
            name, HOST_NAME, f"/{name}/", True, TIMEOUT, OBJECTIVE + version / 1000,
            1, 2, split,
        )  # fmt: skip


class FixedStore(ItemStore):
    """A store that tells the fleet once and then nothing."""

    def __init__(self, fleet: CostFleet) -> None:
        self.fleet = fleet

    async def read_all(self) -> Changes:
        """Return the fleet and its first configuration."""
        names = [CONFIG_KEY, *(str(number) for number in range(self.fleet.peers))]
        items = (StoreItem(name, b"", 1) for name in names)
        return Changes(tuple(items), 1)

    async def wait_for_changes(self, after: int) -> Changes:  # noqa: ARG002
        """Wait for ever."""
        return await asyncio.get_running_loop().create_future()

    async def catch_up(self, after: int) -> Changes:
        """Return that nothing has changed."""
        return Changes((), after)

    async def endpoints_since(self, after: int) -> Changes:
        """Return that nothing has changed."""
        return Changes((), after)

    async def confirm(self) -> int:
        """Return the store's revision."""
        return 1

    def reconnect(self) -> None:
        """Do nothing: there is no connection."""


class FleetDecoder(ItemDecoder):
    """Reads the items of a fixed store, whose keys say everything."""

    def __init__(self, fleet: CostFleet) -> None:
        self.fleet = fleet

    def kind(self, key: str) -> str:
        """Return what an item is."""
        return self.CONFIG if key == CONFIG_KEY else self.ENDPOINT

    def instance(self, key: str) -> str:
        """Return the instance whose endpoint an item is."""
        return self.fleet.endpoint(int(key)).instance

    def endpoint(self, key: str, value: bytes) -> Endpoint:  # noqa: ARG002
        """Return an endpoint."""
        return self.fleet.endpoint(int(key))

    def config(self, value: bytes) -> MeshConfig:  # noqa: ARG002
        """Return the first configuration."""
        return self.fleet.config(1)


def settings_of(fleet: CostFleet) -> SidecarSettings:
    """Return the settings of the real node."""
    node = fleet.node
    return SidecarSettings(
        node=node.instance,
        service=node.service,
        zone=node.zone,
        upstream=(node.host, UPSTREAM_PORT),
        callers=(node.host, CALLER_PORT),
        links=(node.host, LINK_PORT),
        health=(node.host, HEALTH_PORT),
        store=(node.host, 1),
    )


async def run_cost_node(fleet: CostFleet) -> None:
    """Run the real node until it is told to stop."""
    settings = settings_of(fleet)
    sidecar = Sidecar(
        settings,
        FixedStore(fleet),
        FleetDecoder(fleet),
        lambda: settings,
        configure_output(),
        random.Random(),
    )
    await sidecar.run()
