"""Three availability zones in one process: platform, upstreams and nodes."""

from __future__ import annotations

import asyncio
import importlib.resources
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.idempotency.settings import IdempotencySettings
from sequoiaspoke.core.rules.model import Endpoint, Service
from sequoiaspoke.core.rules.parse import parse_declarations
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import Vm, VmList, VmState
from sequoiaspoke.core.snapshot.publish import VMS_DOCUMENT, make_publication
from sequoiaspoke.errors import NotConvergedError
from sequoiaspoke.node.app import Node
from sequoiaspoke.settings.schema import (
    LimitSettings,
    NodeSettings,
    PlatformSettings,
    Settings,
    UpstreamSettings,
)
from sequoiaspoke.standins.platform import PlatformStandin
from sequoiaspoke.standins.settings import (
    PlatformStandinSettings,
    UpstreamStandinSettings,
)
from sequoiaspoke.standins.upstream import UpstreamStandin

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Rule

LOOPBACK = "127.0.0.1"
ZONES = ("monza-sala", "bergamo-sala", "lecco-sala")
SERVICES = ("sportello", "cordoglio", "regia", "videoteca")
SERVICE_MS = 4.0
LOOK_SECONDS = 0.005
# A machine that is busy with other work may let this one process wait for seconds;
# with frequent questions and a longer window no home loses its lease for that.
STEADY_KEYS = IdempotencySettings(
    window=2.5, ask_every=0.25, clock_margin=0.25, linger=0
)


@dataclass
class Site:
    """One VM: its node, its upstream and what the platform says of it."""

    name: str
    zone: str
    service: str
    target: str
    node: Node
    upstream: UpstreamStandin
    leaving: bool = False

    def endpoint(self) -> Endpoint:
        """Return how other nodes reach the target."""
        port = self.node.ports["mesh"]
        return Endpoint(self.target, self.name, self.zone, LOOPBACK, port)

    def vm(self) -> Vm:
        """Return the VM's line in the platform's list."""
        ports = self.node.ports
        state = VmState.LEAVING if self.leaving else VmState.LIVE
        peer_port = ports.get("peer", 0)
        return Vm(self.name, self.zone, LOOPBACK, peer_port, ports["mesh"], state)


class Deployment:
    """The whole of it, started and stopped together."""

    def __init__(
        self,
        services: tuple[str, ...] = SERVICES,
        zones: tuple[str, ...] = ZONES,
        limits: LimitSettings | None = None,
        drain: float = 1.0,
        idempotency: IdempotencySettings = STEADY_KEYS,
    ) -> None:
        self.services = services
        self.zones = zones
        self.limits = limits or LimitSettings()
        self.drain = drain
        self.idempotency = idempotency
        self.platform = PlatformStandin(PlatformStandinSettings())
        self.sites: list[Site] = []
        self.version = 0

    async def start(self) -> None:
        """Start the platform, then an upstream and a node for each target."""
        self.platform.start()
        for service in self.services:
            for number, zone in enumerate(self.zones, start=1):
                await self.add(service, f"{service}-{number}", zone)

    async def add(self, service: str, target: str, zone: str) -> None:
        """Start one VM's upstream and node."""
        upstream = UpstreamStandin(
            UpstreamStandinSettings(target=target, service_ms=SERVICE_MS)
        )
        upstream.start()
        name = f"{zone}-{target}"
        settings = Settings(
            node=NodeSettings(
                name=name,
                zone=zone,
                call_port=0,
                mesh_port=0,
                peer_port=0,
                admin_port=0,
                drain=self.drain,
                grace=10.0,
            ),
            platform=PlatformSettings(url=self.platform.url),
            limits=self.limits,
            idempotency=self.idempotency,
            upstream=UpstreamSettings(
                port=upstream.port, target=target, service=service
            ),
        )
        node = Node(settings)
        # The VM is new and has vouched for nothing that it could have forgotten.
        node.keyed.witness.started -= 2 * self.idempotency.window
        await node.start()
        self.sites.append(Site(name, zone, service, target, node, upstream))

    def publish(self, rules: tuple[Rule, ...]) -> int:
        """Publish rules with the targets that are not leaving."""
        self.version += 1
        services = tuple(
            Service(
                service,
                tuple(
                    site.endpoint()
                    for site in self.sites
                    if site.service == service and not site.leaving
                ),
            )
            for service in self.services
        )
        publication = make_publication(self.version, rules, services)
        self.platform.publish(publication.documents())
        return self.version

    def publish_vms(self) -> None:
        """Publish the list of VMs."""
        vms = VmList(
            self.platform.revision(VMS_DOCUMENT) + 1,
            tuple(site.vm() for site in self.sites),
        )
        self.platform.publish({VMS_DOCUMENT: codec.encode_json(vms)})

    async def converged(self, version: int, timeout: float) -> None:
        """Wait until every node enforces a version.

        Raises
        ------
        NotConvergedError
            Some node does not within `timeout` seconds.
        """
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            versions = {site.node.config.holder.version for site in self.sites}
            if versions == {version}:
                return
            await asyncio.sleep(LOOK_SECONDS)
        raise NotConvergedError(f"version {version}: nodes are at {sorted(versions)}")

    async def keys_run(self, timeout: float) -> None:
        """Wait until every node's home runs new keys.

        Raises
        ------
        NotConvergedError
            Some home does not within `timeout` seconds.
        """
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all(site.node.keyed.ready() for site in self.sites):
                return
            await asyncio.sleep(LOOK_SECONDS)
        raise NotConvergedError("some home runs no new keys")

    async def stop(self) -> None:
        """Stop everything, nodes first."""
        await asyncio.gather(*(site.node.stop() for site in self.sites))
        for site in self.sites:
            await site.upstream.stop()
        await self.platform.stop()


def load_rules(name: str) -> tuple[Rule, ...]:
    """Read one of the session's rule files."""
    folder = importlib.resources.files("sequoiaspoke.demo") / "rules"
    text = (folder / name).read_text(encoding="utf-8")
    return parse_declarations({name: text}).rules
