"""Settings of the stand-ins."""

from __future__ import annotations

from dataclasses import dataclass

from sequoiaspoke.core.snapshot.codec import DOCUMENT_LIMIT


@dataclass(frozen=True)
class PlatformStandinSettings:
    """Where the platform's stand-in listens and what it allows.

    Attributes
    ----------
    port : int
        TCP port; 0 picks a free one.
    rate : int
        Calls in any second over all readers; a waiting watch is one.
    value_limit : int
        Bytes of the largest document.
    seed : int
        Seed of the delays that put answers out of order.
    """

    address: str = "127.0.0.1"
    port: int = 0
    rate: int = 2000
    value_limit: int = DOCUMENT_LIMIT
    seed: int = 0


@dataclass(frozen=True)
class UpstreamStandinSettings:
    """Where the upstream's stand-in listens and how it works.

    Attributes
    ----------
    port : int
        TCP port; 0 picks a free one.
    target : str
        Name of the target, told in each answer.
    slots : int
        Calls that run at once.
    queue : int
        Calls that wait for a slot before the rest is shed.
    connections : int
        Connections that are accepted at once.
    service_ms, long_ms : float
        Median service time of short and of long calls.
    long_share : float
        Share of the calls that are long, 0 to 1.
    spread : float
        Sigma of the log-normal service times; 0 makes them all equal.
    cold_s : float
        Seconds after the start during which the target is cold.
    cold_factor : float
        How much longer a call takes at a cold target.
    answer_bytes : int
        Least bytes of an ordinary answer's body.
    seed : int
        Seed of the service times.
    """

    address: str = "127.0.0.1"
    port: int = 0
    target: str = "target"
    slots: int = 10
    queue: int = 5
    connections: int = 110
    service_ms: float = 5.0
    long_ms: float = 200.0
    long_share: float = 0.0
    spread: float = 0.25
    cold_s: float = 0.0
    cold_factor: float = 4.0
    answer_bytes: int = 200
    seed: int = 0
