"""The metrics page of a sidecar.

Calls only increment plain counters. The library that publishes them is imported at the
first request of the page, so that a node without a collector saves its memory and its
import time at the start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.memorylog import resident_bytes

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.ratelimit import RateLimit
    from sequoiaspoke.node.metrics import Metrics
    from sequoiaspoke.sidecar.app import Sidecar
    from sequoiaspoke.sidecar.logs import DroppingOutput


PREFIX = "sequoiaspoke_sidecar"
# Meaning and label of each counter.
COUNTERS = {
    "reasons": ("failed attempts, refusals and second attempts", "reason"),
    "home": ("what became of calls at the home", "outcome"),
    "state": ("versions taken, items refused, failures of the store", "event"),
}
LATENCY = ("call_seconds", "time to the final answer, as quantiles")
GAUGES = {
    "running": "calls at the upstream",
    "waiting": "calls that wait for a slot",
    "bodies_waiting": "announced bodies that are not complete",
    "body_bytes_to_come": "bytes of these bodies that have not arrived",
    "config_version": "version in force, 0 without one",
    "state_age_seconds": "age of what is known of the platform",
    "endpoints": "upstreams known",
    "evacuated": "1 while the upstream gets no calls as its zone is evacuated",
    "evacuated_zones": "zones that are evacuated as far as this node knows",
    "cold": "1 while the upstream is taken for cold and its calls are bounded",
    "rate_limit": "calls a second that the upstream takes, -1 without a limit",
    "pace": "how long work takes at the upstream at this moment, 1 as usual",
    "suspected": "requests that may have crashed an upstream",
    "held": "requests that are held back as they crash upstreams",
    "reads_store": "1 if this node reads the store, for others or for itself",
    "subscribers": "nodes that this one tells of changes",
    "links": "links to other nodes that stand",
    "memory_held": "bytes held for requests and unread answers",
    "upstream_unsent": "bytes of running calls that the upstream has not read",
    "resident_bytes": "resident memory of the process, 0 if not known",
    "loop_delay_seconds": "how much too late the last look at the clock came",
    "store_reads": "reads of the store so far",
    "upstream_connects": "connections opened to the upstream so far",
    "log_lines_dropped": "lines that nobody read",
}


def rate_limit_gauge(limit: RateLimit) -> float:
    """Return the calls a second that an upstream takes, -1 without a limit."""
    return -1.0 if limit.rate is None else limit.rate


class SidecarMetrics:
    """Publishes counters and gauges of a sidecar's parts."""

    def __init__(self, sidecar: Sidecar, output: DroppingOutput) -> None:
        self.sidecar = sidecar
        self.output = output
        self.metrics: Metrics | None = None

    def page(self) -> bytes:
        """Return the page in the text format of the collectors."""
        if self.metrics is None:
            self.metrics = self.build()
        return self.metrics.page()

    def build(self) -> Metrics:
        """Register all counters, quantiles and gauges under their names."""
        from sequoiaspoke.node.metrics import Metrics

        metrics = Metrics()
        node = self.sidecar
        home, entry, state = node.home, node.entry, node.state
        counters = {
            "reasons": entry.reasons,
            "home": home.counts,
            "state": state.counts,
        }
        for name, counter in counters.items():
            meaning, label = COUNTERS[name]
            metrics.count(f"{PREFIX}_{name}", meaning, label, counter)
        name, meaning = LATENCY
        metrics.latencies(f"{PREFIX}_{name}", meaning, entry.latency)
        gauges = {
            "running": lambda: home.admission.running,
            "waiting": lambda: home.admission.waiting,
            "bodies_waiting": lambda: len(home.bodies.bodies),
            "body_bytes_to_come": lambda: home.admission.transfers.bytes_to_come,
            "config_version": lambda: state.version,
            "state_age_seconds": lambda: state.age(clock.now()),
            "endpoints": lambda: len(state.directory.records),
            "evacuated": lambda: int(home.evacuated),
            "evacuated_zones": lambda: len(state.evacuations.zones),
            "cold": lambda: int(home.admission.cold_start.cold(clock.now())),
            "rate_limit": lambda: rate_limit_gauge(home.admission.rate_limit),
            "pace": lambda: home.admission.durations.pace.current(clock.now()),
            "suspected": lambda: len(home.crash_guard.quarantine.crashes.by_request),
            "held": lambda: len(home.crash_guard.quarantine.held_requests(clock.now())),
            "reads_store": lambda: int(node.duty.must_read(clock.now())),
            "subscribers": lambda: len(node.spread.subscribers),
            "links": lambda: sum(x.established for x in node.peers.links.values()),
            "memory_held": lambda: node.memory.held,
            "upstream_unsent": node.upstream.unsent_bytes,
            "resident_bytes": resident_bytes,
            "loop_delay_seconds": lambda: node.loop_delay,
            "store_reads": lambda: node.follower.store.request_count,
            "upstream_connects": lambda: node.upstream.connects,
            "log_lines_dropped": lambda: self.output.dropped,
        }
        for name, read in gauges.items():
            metrics.gauge(f"{PREFIX}_{name}", GAUGES[name], read)
        return metrics
