"""What a measured fleet looks like: its VMs, settings and documents."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from sequoiaspoke.core.rules.model import (
    Comparison,
    Condition,
    Endpoint,
    Field,
    RouteTo,
    Rule,
    Service,
)
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.core.snapshot.model import Vm, VmList
from sequoiaspoke.core.snapshot.publish import Publication, make_publication
from sequoiaspoke.core.spread.settings import SpreadSettings
from sequoiaspoke.errors import MeasureError
from sequoiaspoke.settings.option import rule_of

ZONES = ("akaki", "bole", "kality")
CALL_PORT, MESH_PORT, PEER_PORT, ADMIN_PORT = 8080, 8081, 8082, 8083
UPSTREAM_PORT = 9000
FIRST_NETWORK = 16
LARGEST_FLEET = 300  # processes on one machine
VMS_IN_ZONE = 250  # addresses in the last number


def strategies() -> tuple[str, ...]:
    """Return the strategies that a node's settings allow."""
    declared = {each.name: each for each in dataclasses.fields(SpreadSettings)}
    if "strategy" not in declared:
        return ()
    return rule_of(declared["strategy"]).choices


@dataclass(frozen=True)
class FleetPlan:
    """Sizes of a measured fleet.

    Attributes
    ----------
    services, endpoints : int
        Of the configuration; endpoints beyond the nodes are named only.
    strategy : str
        How versions spread; empty for the node's own default.
    network : int
        Second number of the nodes' addresses on loopback.
    """

    nodes: int
    services: int = 4
    endpoints: int = 13
    strategy: str = ""
    network: int = FIRST_NETWORK

    def check(self) -> None:
        """Refuse sizes that cannot be measured here.

        Raises
        ------
        MeasureError
            A size is out of bounds or the nodes lack the strategy.
        """
        if not 1 <= self.nodes <= LARGEST_FLEET:
            raise MeasureError(f"nodes: found {self.nodes}; allowed: 1-{LARGEST_FLEET}")
        if not 1 <= self.services <= self.endpoints:
            raise MeasureError("there must be a service, and an endpoint for each")
        known = strategies()
        if self.strategy and self.strategy not in known:
            allowed = ", ".join(known) or "none yet"
            raise MeasureError(f"strategy: found {self.strategy}; allowed: {allowed}")

    def vm(self, index: int) -> Vm:
        """Return the VM of a node."""
        zone = index % len(ZONES)
        place = index // len(ZONES) + 1
        address = f"127.{self.network}.{zone + 1}.{place}"
        return Vm(f"{ZONES[zone]}-{place}", ZONES[zone], address, PEER_PORT, MESH_PORT)

    def vms(self) -> tuple[Vm, ...]:
        """Return the VMs of the nodes that run."""
        return tuple(self.vm(index) for index in range(self.nodes))

    def vm_list(self) -> VmList:
        """Return the platform's list of VMs."""
        return VmList(1, self.vms())

    def node_settings(self, vm: Vm, platform_url: str, more: str = "") -> str:
        """Return the settings file of a node."""
        strategy = f"[spread]\nstrategy = {self.strategy}\n" if self.strategy else ""
        return (
            f"[node]\nname = {vm.name}\nzone = {vm.zone}\naddress = {vm.address}\n"
            f"call_port = {CALL_PORT}\nmesh_port = {vm.mesh_port}\n"
            f"peer_port = {vm.peer_port}\n"
            f"admin_address = {vm.address}\nadmin_port = {ADMIN_PORT}\n"
            f"[platform]\nurl = {platform_url}\n"
            f"[upstream]\naddress = {vm.address}\nport = {UPSTREAM_PORT}\n"
            f"target = {vm.name}\nservice = service-0\n"
            f"[log]\nlevel = WARNING\n{strategy}{more}"
        )

    def publication(self, version: int) -> Publication:
        """Return a version; odd ones change the rules, even ones an endpoint."""
        services = tuple(self.service(index, version) for index in range(self.services))
        return make_publication(version, self.rules(version), services)

    def rules(self, version: int) -> tuple[Rule, ...]:
        """Return the rules of a version, one for each service."""
        return tuple(self.rule(index, version) for index in range(self.services))

    def rule(self, index: int, version: int) -> Rule:
        """Return a service's rule; the first one tells the last rules change."""
        paths = [f"/service-{index}/"]
        if index == 0:
            paths.append(f"/since-{(version + 1) // 2}/")
        condition = Condition(Field.PATH, Comparison.PREFIX, tuple(paths))
        route = RouteTo((WeightedService(f"service-{index}"),))
        return Rule(f"to-service-{index}", (condition,), route)

    def service(self, index: int, version: int) -> Service:
        """Return a service; each even version changes the slots of one."""
        changed = (version // 2 - index + self.services - 1) // self.services
        slots = 10 + changed % 10
        endpoints = tuple(
            self.endpoint(number, slots)
            for number in range(index, self.endpoints, self.services)
        )
        return Service(f"service-{index}", endpoints)

    def endpoint(self, number: int, slots: int) -> Endpoint:
        """Return an endpoint; its VM runs only if the fleet has that many."""
        vm = self.vm(number)
        if number >= self.nodes:
            place = divmod(number, VMS_IN_ZONE)
            address = f"10.{self.network}.{place[0]}.{place[1] + 1}"
            vm = dataclasses.replace(vm, address=address)
        return Endpoint(vm.name, vm.name, vm.zone, vm.address, vm.mesh_port, slots)
