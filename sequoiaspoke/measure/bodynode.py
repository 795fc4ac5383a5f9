"""A node of a measurement of bodies: an entry or the home that it sends them to."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass

from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig, Route, Service
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.sidecar import linkserver
from sequoiaspoke.sidecar.app import Sidecar
from sequoiaspoke.sidecar.frames import Dialer, FrameStream, TcpDialer
from sequoiaspoke.sidecar.linkfeatures import LinkFeatures
from sequoiaspoke.sidecar.logs import configure_output
from sequoiaspoke.sidecar.settings import SidecarSettings
from sequoiaspoke.sidecar.source import Changes, ItemDecoder, ItemStore, StoreItem

HOST_NAME = "bodies.example"
HOME, ENTRY, SECOND_ENTRY = "127.92.0.1", "127.92.0.2", "127.92.0.3"
# Each node is the only one of its zone, so that it reads the store itself.
ZONES = {HOME: "akaki", ENTRY: "bole", SECOND_ENTRY: "kality"}
SERVICES = {HOME: "uploads", ENTRY: "pages", SECOND_ENTRY: "pages"}
# Calls at the upstream at once. More than the link fills, so that calls wait for the
# link only; 200 uploads fit into the queue.
SLOTS = 40
LINK_MBPS = 5.0
CONFIG_KEY = "config"
UNUSED_PORT = 1

# Seconds of the uploads and searches of the first deployment of the page on heavy load.
UPLOAD_TIMES, SMALL_TIMES = (5.107, 1.021), (2.374, 0.475)
# Seconds of uploads that are all kept waiting, to measure the memory that they need.
BATCH_TIMES = (90.0, 90.0)


@dataclass(frozen=True)
class BodyNode:
    """What one process of the measurement is.

    Attributes
    ----------
    host : str
        Its address; one of `ZONES`.
    upstream_port : int
        Port of the upstream beside the home.
    link_port : int
        Port through which an entry reaches the home.
    parts : bool
        Whether it announces that it supports bodies in parts.
    """

    host: str
    upstream_port: int
    link_port: int
    parts: bool


def make_route(name: str, times: tuple[float, float], upload: bool) -> Route:
    """Return a route to the service of the home."""
    timeout, objective = times
    split = (WeightedService(SERVICES[HOME]),)
    return Route(
        name,
        HOST_NAME,
        f"/{name}/",
        not upload,
        timeout,
        objective,
        1,
        1,
        split,
        large_bodies=upload,
    )


def make_config() -> MeshConfig:
    """Return the configuration of all nodes."""
    routes = (
        make_route("small", SMALL_TIMES, False),
        make_route("upload", UPLOAD_TIMES, True),
        make_route("batch", BATCH_TIMES, True),
    )
    services = {name: Service(name) for name in sorted(set(SERVICES.values()))}
    return MeshConfig(1, routes, services)


class BodyStore(ItemStore):
    """A store that returns the nodes and their configuration, and no changes."""

    async def read_all(self) -> Changes:
        """Return everything."""
        return Changes(tuple(StoreItem(k, b"", 1) for k in (CONFIG_KEY, *ZONES)), 1)

    async def wait_for_changes(self, after: int) -> Changes:  # noqa: ARG002
        """Wait forever."""
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


class BodyDecoder(ItemDecoder):
    """Decodes the items of a BodyStore, whose keys are the nodes' addresses."""

    def __init__(self, node: BodyNode) -> None:
        self.node = node

    def kind(self, key: str) -> str:
        """Return what an item is."""
        return self.CONFIG if key == CONFIG_KEY else self.ENDPOINT

    def instance(self, key: str) -> str:
        """Return the instance whose endpoint an item is."""
        return f"i-{key}"

    def endpoint(self, key: str, value: bytes) -> Endpoint:  # noqa: ARG002
        """Return the endpoint beside a node."""
        port = self.node.upstream_port if key == HOME else UNUSED_PORT
        return Endpoint(self.instance(key), SERVICES[key], key, port, ZONES[key], SLOTS)

    def config(self, value: bytes) -> MeshConfig:  # noqa: ARG002
        """Return the configuration."""
        return make_config()


class HomeDialer(Dialer):
    """Reaches the home through one port, and no other node."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.dialer = TcpDialer()

    async def dial(self, host: str, port: int) -> FrameStream:  # noqa: ARG002
        """Open a link; raise OSError, ConnectionRefusedError if nothing listens."""
        if host != HOME:
            raise ConnectionRefusedError(f"{host} is not part of the measurement")
        return await self.dialer.dial("127.0.0.1", self.port)


class BodySidecar(Sidecar):
    """A sidecar that prints the ports that the system chose."""

    async def listen(self) -> bool:
        """Listen, and print the ports as one line of JSON."""
        if not await super().listen():
            return False
        servers = {"callers": self.callers, "links": self.links, "health": self.health}
        ports = {
            name: server.listeners[0].getsockname()[1]
            for name, server in servers.items()
        }
        print(json.dumps(ports), flush=True)
        return True


def settings_of(node: BodyNode) -> SidecarSettings:
    """Return the settings of a node."""
    host = node.host
    return SidecarSettings(
        node=host,
        service=SERVICES[host],
        zone=ZONES[host],
        upstream=(host, node.upstream_port if host == HOME else UNUSED_PORT),
        callers=(host, 0),
        links=(host, 0),
        health=(host, 0),
        store=(host, UNUSED_PORT),
        link_mbps=LINK_MBPS if host == HOME else 0.0,
    )


async def run_body_node(node: BodyNode) -> None:
    """Run a node until it is told to stop."""
    if not node.parts:
        # What the handshake announces; the entry then sends whole bodies, as to a home
        # of the version before.
        linkserver.SUPPORTED = LinkFeatures(0)
    settings = settings_of(node)
    sidecar = BodySidecar(
        settings,
        BodyStore(),
        BodyDecoder(node),
        lambda: settings,
        configure_output(),
        random.Random(),
    )
    sidecar.peers.dialer = HomeDialer(node.link_port)
    await sidecar.run()
