"""Apply changes of the configuration to admission, balancing and retries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot.model import VmState

if TYPE_CHECKING:
    from sequoiaspoke.core.routing.grants_home import GrantHome
    from sequoiaspoke.core.rules.model import Endpoint
    from sequoiaspoke.core.snapshot.model import Snapshot, VmList
    from sequoiaspoke.node.config import ConfigSource
    from sequoiaspoke.node.entry import Entry
    from sequoiaspoke.node.home import Home
    from sequoiaspoke.node.metrics import Metrics
    from sequoiaspoke.settings.schema import Settings

# Leaving targets must stop getting new calls within seconds, and the list of VMs
# takes most of that time to arrive.
POLL_SECONDS = 0.5


class ConfigPoller:
    """Applies the version in force and the list of VMs at regular intervals."""

    def __init__(
        self, settings: Settings, config: ConfigSource, entry: Entry, home: Home
    ) -> None:
        self.settings = settings
        self.config = config
        self.entry = entry
        self.home = home
        self.timer: asyncio.TimerHandle | None = None
        self.applied: Snapshot | None = None

    def start(self) -> None:
        """Apply changes now and at each interval until stopped."""
        self.apply_changes()
        self.timer = asyncio.get_running_loop().call_later(POLL_SECONDS, self.start)

    def stop(self) -> None:
        """Stop the timer."""
        if self.timer:
            self.timer.cancel()

    def apply_changes(self) -> None:
        """Apply the list of VMs, and a new version if there is one."""
        self.entry.attempts.balancer.set_leaving(leaving_vms(self.config.vms))
        snapshot = self.config.current
        if snapshot is None or snapshot is self.applied:
            return
        self.applied = snapshot
        endpoint = find_endpoint(snapshot, self.settings)
        if endpoint:
            slots = min(endpoint.slots, endpoint.connections)
            self.home.gate.admission.limit.resize(slots)
        rules = frozenset(rule.name for rule in snapshot.rules)
        self.entry.splitter.retain(rules)
        self.entry.attempts.retain(snapshot)


def leaving_vms(vms: VmList) -> frozenset[str]:
    """Return the names of the VMs that are listed as leaving."""
    return frozenset(vm.name for vm in vms.vms if vm.state is VmState.LEAVING)


def find_endpoint(snapshot: Snapshot, settings: Settings) -> Endpoint | None:
    """Return the endpoint of this node's target in a snapshot."""
    service = snapshot.services.get(settings.upstream.service)
    endpoints = service.endpoints if service else ()
    for endpoint in endpoints:
        if endpoint.target == settings.upstream.target:
            return endpoint
    return None


def publish_load_metrics(
    metrics: Metrics, entry: Entry, home: Home, grants: GrantHome
) -> None:
    """Register the metrics of admission, balancing, grants and retries."""
    admission = home.gate.admission
    balancer, retries = entry.attempts.balancer, entry.attempts.retries
    counters = (
        ("admission_refused", "Calls refused at the home", admission.refused),
        ("choices", "Targets chosen", balancer.chosen),
        ("grants_denied", "Grants denied or not renewed", grants.denied),
        ("ways", "Calls to other VMs by their way", entry.attempts.direct.core.ways),
        ("retries", "Further attempts", retries.retried),
        ("retries_given_up", "Failures not tried again", retries.given_up),
    )
    for name, doc, counter in counters:
        label = "way" if name == "ways" else "reason"
        metrics.count(f"sequoiaspoke_{name}", doc, label, counter)
    gauges = (
        ("granted", "Slots lent to entries", lambda: grants.reserved),
        ("limit", "Calls run at once", lambda: admission.limit.current()),
        ("queued", "Calls waiting for a slot", lambda: len(admission.queue)),
        ("ejections", "Targets ejected so far", lambda: balancer.ejector.ejections),
        ("probes", "Recovery probes so far", lambda: balancer.ejector.probes),
    )
    for name, doc, value in gauges:
        metrics.gauge(f"sequoiaspoke_{name}", doc, value)
