"""The status page of a sidecar, read by the `status` command."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

from sequoiaspoke.sidecar import clock

if TYPE_CHECKING:
    from sequoiaspoke.core.mesh.quarantine import Quarantine
    from sequoiaspoke.sidecar.app import Sidecar


def status_page(node: Sidecar) -> bytes:
    """Return the status as JSON, with the keys that the `status` command reads."""
    state, home, entry = node.state, node.home, node.entry
    now = clock.now()
    cold = home.admission.cold_start
    page = {
        "name": node.settings.node,
        "zone": node.settings.zone,
        "target": node.settings.service,
        "version": state.version,
        "installed_at": time.time() - (now - state.installed_at),
        "learnt_from": "store" if node.duty.must_read(now) else "readers",
        "in_flight": home.admission.running,
        "queued": home.admission.waiting,
        "limit": home.admission.slots,
        "ledger": len(home.ledger.calls),
        "draining": node.stopping,
        "verified": not state.stale(now),
        "calls": {
            f"{service or 'no-route'}-{status}": count
            for (service, status), count in entry.counts.items()
        },
        "refused": dict(entry.reasons),
        "held": held_requests(home.crash_guard.quarantine, now),
        "details": {
            "age": f"{min(state.age(now), 1e6):.1f}s",
            "endpoints": len(state.directory.records),
            "evacuated-zones": sorted(state.evacuations.zones),
            "suspected": len(home.crash_guard.quarantine.crashes.by_request),
            "cold": f"{max(0.0, cold.cold_until - now):.1f}s",
            "cold-in-doubt": cold.assumed_cold(now),
            "cold-bound": cold.max_calls,
            "readers": list(node.duty.readers),
            "links": sum(link.established for link in node.peers.links.values()),
            "store-reads": node.follower.store.request_count,
        },
    }
    return json.dumps(page, indent=2).encode()


def held_requests(quarantine: Quarantine, now: float) -> list[dict[str, object]]:
    """Return the requests in quarantine, their seconds left and their crashes."""
    return [
        {
            "fingerprint": fingerprint,
            "service": service,
            "seconds_left": round(seconds, 1),
            "crashes": [
                {
                    "instance": crash.instance,
                    "seconds_ago": round(now - crash.at, 1),
                    "alone": fingerprint in crash.uncleared_proven,
                }
                for crash in quarantine.crashes.for_request(service, fingerprint)
            ],
        }
        for (service, fingerprint), seconds in quarantine.held_requests(now).items()
    ]
