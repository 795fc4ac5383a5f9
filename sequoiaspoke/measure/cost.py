"""Processor time of one node by what it does and by the size of its fleet.

The node is a process of its own and runs the code of the sidecar. Its peers, its
upstream and its callers are played here, over sockets of loopback, so that nothing of
theirs is in the figures. The same fleet is measured at several sizes; the power by
which a figure grows with the size says what would bind first in a larger one.
"""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from tornado.netutil import bind_sockets

from sequoiaspoke.core.mesh.outcome import Answer, Request
from sequoiaspoke.core.mesh.reading import ReadingDuty
from sequoiaspoke.errors import MeasureError
from sequoiaspoke.measure.costnode import (
    CALLER_PORT,
    HEALTH_PORT,
    HOST_NAME,
    LINK_PORT,
    TIMEOUT,
    UPSTREAM_PORT,
    ZONES,
    CostFleet,
    FleetDecoder,
)
from sequoiaspoke.measure.costplayed import (
    BODY_BYTES,
    PlayedHome,
    PlayedUpstream,
    QuietLog,
)
from sequoiaspoke.measure.processes import Process
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.frames import TcpDialer
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.linkclient import LinkClient
from sequoiaspoke.sidecar.linkserver import LinkServer
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.pending import LinkIdentity
from sequoiaspoke.sidecar.spread import Spread
from sequoiaspoke.sidecar.state import MeshState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sequoiaspoke.core.mesh.model import MeshConfig
    from sequoiaspoke.core.mesh.outcome import Outcome

# Seconds within which a node has to serve, and between two looks whether it does.
START_SECONDS, POLL = 30.0, 0.02
# Callers of the real node, each with one call at a time.
CALLERS = 8
# Seconds in which the idle node is watched, and between two confirmations of a reader.
IDLE_SECONDS, CONFIRM_SECONDS = 5.0, 0.9
# Routes of the large configuration, and how often it changes.
ROUTES, VERSIONS = 1900, 3
# Changes of one endpoint, and seconds between two, so that each is told on its own.
CHANGES, CHANGE_GAP = 40, 0.02
NANO, MICRO = 1e9, 1e6
# Sizes that can be played: the node and a peer for its calls in another zone, and
# addresses of one network with a socket each.
LEAST_PEERS, MOST_PEERS = 3, 2000


@dataclass(frozen=True)
class Cost:
    """What a node used, in microseconds of processor time.

    Attributes
    ----------
    peers : int
        Size of the fleet.
    entry_call : float
        A call of a caller here whose upstream is elsewhere.
    home_call : float
        A call of another entry to the upstream beside.
    idle_second : float
        A second without a call.
    start : float
        From the start of the process until it serves.
    endpoint_change, config_change : float
        A change of one endpoint, and of one configuration of 1,900 routes.
    """

    peers: int
    entry_call: float
    home_call: float
    idle_second: float
    start: float
    endpoint_change: float
    config_change: float


class CostBench:
    """A fleet of one real node, and what is played for it."""

    def __init__(self, fleet: CostFleet, folder: str) -> None:
        self.fleet = fleet
        words = ["measure", "cost-node", str(fleet.peers)]
        self.process = Process(words, Path(folder) / "node.log")
        self.log = QuietLog(HeaderNames().call_id)
        self.state = MeshState(FleetDecoder(fleet), self.log, self.publish)
        self.duty = ReadingDuty("", "")
        self.spread = Spread(self.state, self.duty, self.log)
        self.homes: list[LinkServer] = []
        self.servers: list[asyncio.Server] = []
        self.numbers = 0
        # One for all links: a number that came before would be answered as kept.
        self.identity = LinkIdentity(fleet.host(fleet.peers), ZONES[0], 2)

    def publish(self) -> None:
        """Tell the real node what has changed."""
        self.spread.publish()

    async def start(self) -> float:
        """Start everything; return the microseconds that the node's start took."""
        own = self.fleet.node.host
        for endpoint in self.fleet.endpoints():
            self.state.directory.put(endpoint, 1, clock.now())
            if endpoint.host != own:
                # One each: a server ends all links of a node but the newest.
                home = LinkServer(PlayedHome(), self.spread, 1, self.log)
                home.add_sockets(bind_sockets(LINK_PORT, endpoint.host))
                self.homes.append(home)
        self.install(self.fleet.config(1))
        loop = asyncio.get_running_loop()
        self.servers.append(
            await loop.create_server(PlayedUpstream, own, UPSTREAM_PORT)
        )
        self.process.start()
        async with asyncio.timeout(START_SECONDS):
            while not await self.ready():
                await asyncio.sleep(POLL)
        return self.used()

    def install(self, config: MeshConfig) -> None:
        """Put a configuration into force at the played readers."""
        self.state.install(config)
        self.state.record_complete(self.state.revision + 1, clock.now())

    async def ready(self) -> bool:
        """Return whether the node serves."""
        try:
            text = await self.ask(HEALTH_PORT, "/ready")
        except OSError:
            return False
        return text.startswith(b"HTTP/1.1 200")

    async def ask(self, port: int, path: str) -> bytes:
        """Return all that a request on a connection of its own brings."""
        reader, writer = await asyncio.open_connection(self.fleet.node.host, port)
        writer.write(f"GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
        try:
            return await reader.read()
        finally:
            writer.close()

    def used(self) -> float:
        """Return the node's processor time so far, in microseconds."""
        assert self.process.child is not None
        if not self.process.running:
            raise MeasureError(f"the node ended: {self.process.log_tail()}")
        path = Path(f"/proc/{self.process.child.pid}/schedstat")
        return int(path.read_text().split()[0]) / NANO * MICRO

    async def cost_of(self, work: Callable[[], Awaitable[None]], times: int) -> float:
        """Return the microseconds of processor time for one of some pieces of work."""
        before = self.used()
        await work()
        return (self.used() - before) / times

    # What is measured.

    async def entry_calls(self, calls: int) -> None:
        """Make calls through the node to its peers."""
        await asyncio.gather(*(self.caller(calls // CALLERS) for _ in range(CALLERS)))

    async def caller(self, calls: int) -> None:
        """Make one call after the other on one connection."""
        host = self.fleet.node.host
        reader, writer = await asyncio.open_connection(host, CALLER_PORT)
        for _ in range(calls):
            self.numbers += 1
            writer.write(
                f"GET /{self.fleet.called}/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                f"X-Request-Id: c{self.numbers}\r\nX-Time-Left-Ms: 5000\r\n"
                "Accept: text/plain\r\nUser-Agent: measure\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                raise MeasureError(f"a call failed: {head!r}")
            await reader.readexactly(BODY_BYTES)
        writer.close()

    async def home_calls(self, calls: int) -> None:
        """Make calls to the upstream beside the node, as another entry does."""
        node = self.fleet.node
        address = (node.host, LINK_PORT)
        link = LinkClient(address, self.identity, self.spread, self.log, TcpDialer())
        await asyncio.gather(
            *(self.entry(link, calls // CALLERS) for _ in range(CALLERS))
        )
        link.close()

    async def entry(self, link: LinkClient, calls: int) -> None:
        """Send one call after the other over a link."""
        node = self.fleet.node
        for _ in range(calls):
            self.numbers += 1
            now = clock.now()
            headers = (("Host", HOST_NAME), ("X-Request-Id", f"c{self.numbers}"))
            request = Request("GET", f"/{node.service}/1", headers, b"")
            call = HomeCall(
                request, node.incarnation, node.service, 1, True, now + 5, now + TIMEOUT
            )
            told: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
            link.submit(call, told.set_result)
            outcome = await told
            if not isinstance(outcome, Answer) or outcome.status != 200:
                raise MeasureError(f"a call failed: {outcome}")

    async def idle(self) -> None:
        """Let the node be, but for its readers' confirmations."""
        begun = time.monotonic()
        while time.monotonic() < begun + IDLE_SECONDS:
            self.state.record_complete_as_of(clock.now())
            await asyncio.sleep(CONFIRM_SECONDS)

    async def endpoint_changes(self) -> None:
        """Change one endpoint after the other."""
        for number in range(CHANGES):
            endpoint = self.fleet.endpoint(number % self.fleet.peers)
            cold = replace(endpoint, cold_seconds=float(number))
            revision = self.state.revision + 1
            self.state.directory.put(cold, revision, clock.now())
            self.state.record_complete(revision, clock.now())
            await asyncio.sleep(CHANGE_GAP)

    async def config_changes(self) -> None:
        """Put one configuration after the other into force."""
        for version in range(3, 3 + VERSIONS):
            self.install(self.fleet.config(version, ROUTES))
            await asyncio.sleep(1.0)

    async def stop(self) -> None:
        """End the node and whatever is played."""
        if self.process.child is not None:
            self.process.kill()
        for home in self.homes:
            home.stop()
            for link in list(home.links):
                link.stream.close()
        for server in self.servers:
            server.close()

    async def measure(self, calls: int) -> Cost:
        """Measure everything once."""
        start = await self.start()
        await self.entry_calls(calls // 4)
        entry = await self.cost_of(lambda: self.entry_calls(calls), calls)
        await self.home_calls(calls // 4)
        home = await self.cost_of(lambda: self.home_calls(calls), calls)
        idle = await self.cost_of(self.idle, int(IDLE_SECONDS))
        endpoint = await self.cost_of(self.endpoint_changes, CHANGES)
        self.install(self.fleet.config(2, ROUTES))
        await asyncio.sleep(1.0)
        config = await self.cost_of(self.config_changes, VERSIONS)
        return Cost(self.fleet.peers, entry, home, idle, start, endpoint, config)


async def measure_cost(sizes: tuple[int, ...], calls: int) -> list[Cost]:
    """Measure a node in fleets of several sizes.

    Raises
    ------
    MeasureError
        A size cannot be played, the node ended, or a call failed.
    """
    found = []
    for peers in sizes:
        if not LEAST_PEERS <= peers <= MOST_PEERS:
            raise MeasureError(f"{peers} peers: from {LEAST_PEERS} to {MOST_PEERS}")
    for peers in sizes:
        with TemporaryDirectory() as folder:
            bench = CostBench(CostFleet(peers), folder)
            try:
                found.append(await bench.measure(calls))
            finally:
                await bench.stop()
    return found


def power(small: Cost, large: Cost, figure: str) -> float:
    """Return the power of the size by which a figure grows."""
    ratio = getattr(large, figure) / getattr(small, figure)
    return math.log(ratio) / math.log(large.peers / small.peers)
