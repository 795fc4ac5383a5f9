"""Settings of routing, with the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class RoutingSettings:
    """Settings of routing."""

    policy: str = option(
        "power-of-two",
        "Policy that chooses a target; round-robin is a baseline for comparison.",
        choices=("power-of-two", "round-robin"),
    )
    report_half_life: float = option(
        2.0,
        "Half-life in seconds of the weight of a load report; calls take tens of "
        "milliseconds, so an older report is mostly noise.",
        0.05,
        60,
    )
    spill_start: float = option(
        0.7,
        "Utilisation of the own zone's slots at which calls begin to spill over to "
        "other zones; below it the extra 1 ms between zones has no benefit.",
        0,
        1,
    )
    spill_full: float = option(
        1.0, "Utilisation of the own zone's slots at which all spill over.", 0.01, 2
    )
    sticky_bound: float = option(
        1.25,
        "Load of a key's own target, as a multiple of the mean, above which its "
        "calls go to the next one.",
        1,
        10,
    )
    refusal_memory: float = option(
        0.5,
        "Seconds for which a target counts as full after it refused a call for load; "
        "otherwise a fast refusal would make it look idle.",
        0,
        60,
    )
    slow_start: float = option(
        10.0,
        "Seconds until a new or recovered target gets its full share; the caches and "
        "pools of the upstreams fill within that time.",
        0,
        600,
    )
    slow_start_least: float = option(
        0.1, "Part of its full share with which such a target starts.", 0.01, 1
    )
    eject_failures: int = option(
        5,
        "Consecutive failures that eject a target; if 1 in 100 calls is lost, five in "
        "a row occur about once in 10 billion.",
        1,
        1000,
    )
    eject_time: float = option(
        2.0, "Seconds of the first ejection; doubled each time.", 0.05, 600
    )
    eject_time_most: float = option(
        30.0, "Seconds of the longest ejection.", 0.05, 3600
    )
    eject_floor: float = option(
        0.3,
        "Part of a service's targets that always stays in use; 0.3 keeps one of three.",
        0,
        1,
    )
    state_memory: float = option(
        3.0,
        "Seconds for which a report that a target is down or cold is valid; each "
        "report renews it.",
        0.05,
        60,
    )
    leaving_memory: float = option(
        30.0,
        "Seconds for which a report that a target is leaving is valid; it expires so "
        "that a replacement of the same name is used again.",
        1,
        3600,
    )
    retry_ratio: float = option(
        0.08,
        "Retries that a service earns per call; keeps the added load of a retry storm "
        "under a tenth.",
        0,
        1,
    )
    retry_reserve: float = option(
        10.0,
        "Maximum retries in a service's budget; covers the calls in flight at one lost "
        "target.",
        0,
        10000,
    )
    retry_delay: float = option(
        0.02,
        "Maximum seconds of the jittered delay of the first retry after a refusal for "
        "load; doubled each time.",
        0,
        10,
    )
    retry_least: float = option(
        0.005, "Seconds that must remain until the deadline for a retry.", 0, 10
    )
    hop_margin: float = option(
        0.002,
        "Seconds subtracted from a deadline at each hop for the way back.",
        0,
        1,
    )
    depth_limit: int = option(
        24,
        "Maximum number of nodes that a call may pass in a chain; chains are 19 deep "
        "at most, so a deeper call is in a loop.",
        1,
        255,
    )
    grant_address: str = option(
        "",
        "IP number and TCP port, as 10.0.0.1:9000, at which other VMs reach this "
        "target's upstream; empty to grant no direct connections.",
    )
    grant_lease: float = option(
        1.0,
        "Seconds for which a granted connection may be used without renewal; after "
        "that, a leaving target gets no new direct calls.",
        0.1,
        10,
    )
    grant_slots: int = option(
        2, "Slots per grant; two serve 40 calls of 50 ms each second.", 1, 100
    )
    grant_share: float = option(
        0.5,
        "Part of the limit that may be granted; the rest goes through the queue, "
        "which shares it fairly.",
        0,
        1,
    )
    grant_pause: float = option(
        1.0, "Seconds without grants after a call had to wait.", 0, 60
    )
    grant_rate: float = option(
        10.0,
        "Calls per second to one target from which an entry requests a grant; below "
        "it, requests cost more than the hop.",
        0.1,
        10000,
    )
    grant_call: float = option(
        10.0,
        "Maximum seconds to the deadline of a direct call; a slot granted to an entry "
        "that died becomes free this long after its lease.",
        0.1,
        60,
    )
