"""A fleet of real nodes with the platform's stand-in, on loopback."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any

from sequoiaspoke.commands.nodestatus import ask_nodes
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.publish import VMS_DOCUMENT
from sequoiaspoke.errors import MeasureError
from sequoiaspoke.measure.client import StandinClient
from sequoiaspoke.measure.plan import ADMIN_PORT, FIRST_NETWORK
from sequoiaspoke.measure.processes import Process

if TYPE_CHECKING:
    from sequoiaspoke.core.snapshot.model import Vm
    from sequoiaspoke.measure.plan import FleetPlan

ANSWER_SECONDS = 10.0  # for a status page or the control port
LAST_NETWORK = 250
RESERVATION_PORT = 8079
POLL = 0.5  # seconds between two looks at the nodes that are behind
START_GAP = 0.1  # seconds between two starts, so that the machine keeps up
START_SECONDS = 120.0  # for a whole fleet to hold the first version
STOP_SECONDS = 20.0


@dataclass(frozen=True)
class NodeStatus:
    """What a node's status page says of its configuration."""

    name: str
    version: int
    installed_at: float
    control_bytes: int
    platform_reads: int
    started_at: float


@dataclass(frozen=True)
class Change:
    """A published version; it counts as accepted before its head is written."""

    version: int
    accepted_at: float


@dataclass(frozen=True)
class Totals:
    """What the running nodes and the platform have used up to a moment."""

    at: float
    nodes: int
    control_bytes: int
    cpu_seconds: float
    platform_calls: int


def read_page(page: dict[str, Any]) -> NodeStatus:
    """Read what the measurement needs of a status page."""
    return NodeStatus(
        page["name"],
        page["version"],
        page["installed_at"] or 0.0,
        page["control_bytes_sent"] + page["control_bytes_received"],
        page["platform_reads"],
        page["started_at"],
    )


def reserve_network() -> tuple[socket.socket, int]:
    """Pick addresses that no other run on this machine uses.

    Fleets listen on the same ports, each on addresses of its own. Without a
    reservation two runs at once would answer each other's requests.

    Raises
    ------
    MeasureError
        Every network is taken.
    """
    for network in range(FIRST_NETWORK, LAST_NETWORK + 1):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.0.1", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return reservation, network
    raise MeasureError("too many measurements run at once")


class Bench:
    """Start a fleet, publish versions to it and read its nodes' status.

    Attributes
    ----------
    nodes, upstreams : dict
        Processes by the name of their VM.
    control : StandinClient
        The platform's control port.
    went_back : int
        Times that a node told a lower version than before.
    """

    def __init__(self, plan: FleetPlan, node_settings: str = "") -> None:
        plan.check()
        self.reservation, network = reserve_network()
        self.plan = dataclasses.replace(plan, network=network)
        self.node_settings = node_settings
        self.directory = TemporaryDirectory(prefix="sequoiaspoke-")
        self.platform = Process(
            ["standin", "platform", "--port", "0", "--control-port", "0"],
            self.path("platform.log"),
        )
        self.vms = {vm.name: vm for vm in self.plan.vms()}
        self.nodes: dict[str, Process] = {}
        self.upstreams: dict[str, Process] = {}
        self.upstream_controls: dict[str, StandinClient] = {}
        self.control = StandinClient("")
        self.platform_url = ""
        self.version = 0
        self.seen: dict[tuple[str, float], int] = {}
        self.went_back = 0

    def path(self, name: str) -> Path:
        """Return a file of the run."""
        return Path(self.directory.name, name)

    async def __aenter__(self) -> Bench:
        """Start the platform and the nodes and wait for the first version."""
        try:
            await self.start()
        except BaseException:
            self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop every process that was started."""
        for process in self.nodes.values():
            process.resume()
            process.terminate()
        try:
            for process in self.nodes.values():
                await process.ended(STOP_SECONDS)
        except MeasureError:
            pass
        self.close()

    def close(self) -> None:
        """End what still runs and remove the files."""
        standins = (*self.upstreams.values(), self.platform)
        for process in (*self.nodes.values(), *standins):
            process.kill()
        self.reservation.close()
        for control in (*self.upstream_controls.values(), self.control):
            control.close()
        self.directory.cleanup()

    async def start(self) -> None:
        """Start the platform, publish, start the nodes, wait for them."""
        self.platform.start()
        ports = await self.platform.first_line()
        self.platform_url = f"http://127.0.0.1:{ports['port']}"
        self.control.url = f"http://127.0.0.1:{ports['control_port']}"
        await self.control.publish(VMS_DOCUMENT, codec.encode_json(self.plan.vm_list()))
        change = await self.publish()
        for vm in self.plan.vms():
            self.start_node(vm)
            await asyncio.sleep(START_GAP)
        behind = await self.behind(change.version, START_SECONDS)
        if behind:
            name = min(behind)
            tail = self.nodes[name].log_tail() or "nothing was logged"
            raise MeasureError(
                f"{len(behind)} of {self.plan.nodes} nodes hold no version after "
                f"{START_SECONDS:g} s; log of {name}: {tail}"
            )

    def start_node(self, vm: Vm) -> None:
        """Start the node of a VM."""
        settings = self.path(f"{vm.name}.ini")
        text = self.plan.node_settings(vm, self.platform_url, self.node_settings)
        settings.write_text(text)
        process = Process(["node", str(settings)], self.path(f"{vm.name}.log"))
        self.nodes[vm.name] = process
        process.start()

    async def start_upstream(self, vm: Vm, service_ms: float = 5.0) -> None:
        """Start an upstream in a VM; a call takes it `service_ms`."""
        words = ["standin", "upstream", "--address", vm.address, "--target", vm.name]
        words += ["--service-ms", f"{service_ms:g}"]
        process = Process(words, self.path(f"{vm.name}-upstream.log"))
        self.upstreams[vm.name] = process
        process.start()
        ports = await process.first_line()
        control = StandinClient(f"http://{vm.address}:{ports['control_port']}")
        self.upstream_controls[vm.name] = control

    async def publish(self) -> Change:
        """Publish the next version: the parts that are new, then the head."""
        before = self.plan.publication(self.version).parts if self.version else {}
        self.version += 1
        publication = self.plan.publication(self.version)
        documents = publication.documents()
        *parts, head = documents
        for name in parts:
            if name.rpartition("/")[2] not in before:
                await self.control.publish(name, documents[name])
        accepted_at = time.time()
        await self.control.publish(head, documents[head])
        return Change(self.version, accepted_at)

    def note(self, status: NodeStatus) -> None:
        """Count a version that is lower than one this process told before."""
        key = (status.name, status.started_at)
        if status.version < self.seen.get(key, 0):
            self.went_back += 1
        self.seen[key] = status.version

    async def statuses(self, names: set[str] | None = None) -> list[NodeStatus]:
        """Return the status of each node that answers."""
        asked = sorted(self.nodes if names is None else names)
        addresses = tuple(f"{self.vms[name].address}:{ADMIN_PORT}" for name in asked)
        pages = await ask_nodes(addresses, ANSWER_SECONDS)
        told = [read_page(each.page) for each in pages if not each.fault]
        for status in told:
            self.note(status)
        return told

    async def behind(
        self,
        version: int,
        seconds: float,
        names: set[str] | None = None,
        found: dict[str, NodeStatus] | None = None,
    ) -> set[str]:
        """Wait until nodes hold a version; return those that never did.

        Parameters
        ----------
        seconds : float
            How long to wait.
        names : set of str or None
            The nodes that are waited for; None for all.
        found : dict or None
            Takes the status in which each node first showed the version.
        """
        waiting = set(self.nodes) if names is None else set(names)
        end = time.monotonic() + seconds
        while waiting:
            for status in await self.statuses(waiting):
                if status.version >= version:
                    waiting.discard(status.name)
                    if found is not None:
                        found[status.name] = status
            alive = any(self.nodes[name].running for name in waiting)
            if not alive or time.monotonic() > end:
                break
            await asyncio.sleep(POLL)
        return waiting

    async def totals(self) -> Totals:
        """Return what the running nodes have used so far."""
        statuses = await self.statuses()
        usages = [node.usage() for node in self.nodes.values() if node.running]
        calls = await self.control.report()
        return Totals(
            time.monotonic(),
            len(statuses),
            sum(status.control_bytes for status in statuses),
            sum(usage.cpu_seconds for usage in usages),
            calls["reads"] + calls["watches"] + calls["refused"] + calls["failed"],
        )

    def memory(self) -> list[int]:
        """Return the resident bytes of each running node."""
        return [node.usage().rss_bytes for node in self.nodes.values() if node.running]
