"""Settings of the spread decisions, with the reason for each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option

STRATEGIES = ("spread", "flat-digests", "whole-snapshots", "watch-all")


@dataclass(frozen=True)
class SpreadSettings:
    """How versions are distributed from the platform to every node."""

    strategy: str = option(
        "spread",
        "How versions are distributed; the others exist for comparison.",
        choices=STRATEGIES,
    )
    watchers: int = option(
        2, "Nodes of a zone that watch the platform; two tolerate one death.", 1, 16
    )
    spare_watchers: int = option(
        2, "More nodes that watch while the watches of the watchers fail.", 0, 16
    )
    head_wait: float = option(
        4.0,
        "Seconds one watch of the head may wait; a silent connection is noticed "
        "this late, and two watchers cost half a read a second.",
        0.05,
        300,
    )
    vms_wait: float = option(
        20.0,
        "Seconds one watch of the VM list may wait; the list lags anyway.",
        0.05,
        300,
    )
    takeover: float = option(
        0.5,
        "Seconds of random delay, for each place in the order, before a node takes "
        "over the watch from silent nodes, so that few do so at once.",
        0,
        60,
    )
    zone_peers: int = option(
        2, "Links to nodes of the own zone, besides those of the watch order.", 0, 16
    )
    cross_zone_peers: int = option(1, "Links to nodes of other zones.", 0, 16)
    connections: int = option(
        64, "Links that other nodes may hold to this node.", 1, 1024
    )
    connects: float = option(
        4.0,
        "New links a second that a node opens; spreads the load of a mass restart.",
        0.1,
        100,
    )
    beat: float = option(
        4.0, "Seconds between heartbeats on a link; each carries the digest.", 0.05, 60
    )
    exchange: float = option(
        2.0, "Seconds within which a peer or the platform must answer.", 0.05, 60
    )
    reconnect: float = option(
        0.5, "Seconds of the longest random wait to reconnect; doubles.", 0.01, 60
    )
    reconnect_cap: float = option(
        20.0, "Seconds up to which the longest wait to reconnect doubles.", 0.05, 600
    )
    reads: float = option(
        40.0,
        "Reads of the platform a second by this node; with 44 watchers in 22 zones "
        "the whole fleet stays under 2,000.",
        0.1,
        2000,
    )
    answer_bytes: int = option(
        4_000_000,
        "Bytes of parts a second that this node sends in answers to peers.",
        1000,
        1 << 30,
    )
    start_jitter: float = option(
        1.0,
        "Seconds over which starting nodes spread their first read; 2,000 nodes that "
        "start at once then stay within the platform's rate.",
        0,
        60,
    )
    catch_up_peers: int = option(
        3, "Peers with a version to hear from before the first install.", 0, 16
    )
    catch_up_wait: float = option(
        2.0, "Seconds to wait for these peers before the first install.", 0, 60
    )
