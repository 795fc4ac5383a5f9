"""Settings of the spread decisions, with the reason of each default."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.settings.option import option

STRATEGIES = ("spread", "flat-digests", "whole-snapshots", "watch-all")


@dataclass(frozen=True)
class SpreadSettings:
    """How versions get from the platform to every node."""

    strategy: str = option(
        "spread",
        "How versions spread; the others are there to be measured against.",
        choices=STRATEGIES,
    )
    watchers: int = option(
        2, "Nodes of a zone that watch the platform; two outlive one death.", 1, 16
    )
    spare_watchers: int = option(
        2, "More that try while the watchers' own watches fail.", 0, 16
    )
    head_wait: float = option(
        4.0,
        "Seconds one watch of the head may wait; a connection that went silent is "
        "noticed this late, and two watchers cost half a read a second.",
        0.05,
        300,
    )
    vms_wait: float = option(
        20.0, "Seconds one watch of the VM list may wait; it lags anyway.", 0.05, 300
    )
    takeover: float = option(
        0.5,
        "Seconds of random delay, for each place in the order, before a node takes "
        "over the watch of silent ones, so that few do at once.",
        0,
        60,
    )
    zone_peers: int = option(
        2, "Links to nodes of the own zone, beside those of the watch order.", 0, 16
    )
    cross_zone_peers: int = option(1, "Links to nodes of other zones.", 0, 16)
    connections: int = option(64, "Links that others may hold to this node.", 1, 1024)
    connects: float = option(
        4.0,
        "New links a second that a node tries, so that a herd's return is spread.",
        0.1,
        100,
    )
    beat: float = option(
        4.0, "Seconds between heartbeats on a link; each carries the digest.", 0.05, 60
    )
    exchange: float = option(
        2.0, "Seconds until a peer or the platform must have answered.", 0.05, 60
    )
    reconnect: float = option(
        0.5, "Seconds that the first reconnection is spread over; doubles.", 0.01, 60
    )
    reconnect_cap: float = option(
        20.0, "Seconds that the spread of reconnections grows to.", 0.05, 600
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
        "Bytes of parts a second that this node answers peers.",
        1000,
        1 << 30,
    )
    start_jitter: float = option(
        1.0,
        "Seconds over which starting nodes spread their first read; 2,000 that "
        "start at once then stay within the platform's rate.",
        0,
        60,
    )
    catch_up_peers: int = option(
        3, "Peers with a version to hear before the first install.", 0, 16
    )
    catch_up_wait: float = option(
        2.0, "Seconds to wait for those before starting with what was heard.", 0, 60
    )
