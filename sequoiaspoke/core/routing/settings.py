"""Settings of the routing decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option


@dataclass(frozen=True)
class RoutingSettings:
    """Settings of the routing decisions."""

    policy: str = option(
        "power-of-two",
        "How a target is chosen; round-robin is the baseline to compare with.",
        choices=("power-of-two", "round-robin"),
    )
    report_half_life: float = option(
        2.0,
        "Seconds after which a load report counts half; a report outlives many "
        "calls of tens of milliseconds, so an older one is mostly noise.",
        0.05,
        60,
    )
    spill_start: float = option(
        0.7,
        "Use of the own zone's slots at which calls begin to leave the zone; "
        "below it the 1 ms between zones buys nothing.",
        0,
        1,
    )
    spill_full: float = option(
        1.0, "Use of the own zone's slots at which the zone no longer counts.", 0.01, 2
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
        "Seconds that a target which refused a call for load counts as full; "
        "without it a fast refusal makes the target look idle.",
        0,
        60,
    )
    slow_start: float = option(
        10.0,
        "Seconds until a target that came or came back gets its whole share; "
        "caches and pools of the upstreams fill within that.",
        0,
        600,
    )
    slow_start_least: float = option(
        0.1, "Share with which such a target begins.", 0.01, 1
    )
    eject_failures: int = option(
        5,
        "Failures in a row that eject a target; at 1 in 100 lost calls five in a "
        "row come about once in 10 billion.",
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
        "Part of a service's targets that stay in use however they look; 0.3 "
        "keeps one of three.",
        0,
        1,
    )
    state_memory: float = option(
        3.0,
        "Seconds for which a target's word that it is down or cold holds; it is "
        "renewed by each report.",
        0.05,
        60,
    )
    leaving_memory: float = option(
        30.0,
        "Seconds for which a target's word that it is leaving holds; it ends so "
        "that one replaced under its name comes back.",
        1,
        3600,
    )
    retry_ratio: float = option(
        0.08,
        "Retries a service earns per call; keeps a retry storm under a tenth.",
        0,
        1,
    )
    retry_reserve: float = option(
        10.0,
        "Retries a service may save up; covers the calls in flight at one lost target.",
        0,
        10000,
    )
    retry_delay: float = option(
        0.02,
        "Seconds of the first retry's longest jittered delay after a refusal for "
        "load; doubled each time.",
        0,
        10,
    )
    retry_least: float = option(
        0.005, "Seconds that must remain for a retry to be worth it.", 0, 10
    )
    hop_margin: float = option(
        0.002,
        "Seconds taken off a deadline at each hop for the way back.",
        0,
        1,
    )
    depth_limit: int = option(
        24,
        "Nodes a call may enter in a chain; calls are 19 deep at most, so more is "
        "a loop.",
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
        "Seconds a granted connection may be used without renewal; a leaving "
        "target has no new work from entries after that.",
        0.1,
        10,
    )
    grant_slots: int = option(
        2, "Slots granted to one entry; two carry 40 calls of 50 ms a second.", 1, 100
    )
    grant_share: float = option(
        0.5,
        "Part of the limit that may be granted; the rest stays with the queue, "
        "which alone can share it fairly.",
        0,
        1,
    )
    grant_pause: float = option(
        1.0, "Seconds without grants after a call had to wait.", 0, 60
    )
    grant_rate: float = option(
        10.0,
        "Calls a second to one target from which an entry asks; below, asking "
        "costs more than the hop.",
        0.1,
        10000,
    )
    grant_call: float = option(
        10.0,
        "Longest deadline, in seconds, of a call that goes directly; a slot lent "
        "to an entry that died comes back that long after its lease.",
        0.1,
        60,
    )
