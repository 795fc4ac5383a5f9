"""`sequoiaspoke standin`: stand-ins for the platform and an upstream."""

from __future__ import annotations

import asyncio

from sequoiaspoke.standins.program import run_platform, run_upstream
from sequoiaspoke.standins.settings import (
    PlatformStandinSettings,
    UpstreamStandinSettings,
)


def platform(
    *,
    address: str = "127.0.0.1",
    port: int = 8500,
    control_port: int = 8501,
    rate: int = 2000,
    documents: str = "",
    seed: int = 0,
) -> None:
    """Serve documents as the platform does.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port of readers; 0 picks a free one.
    control_port : int
        TCP port for PUT /documents/NAME, POST /fault?NAME=VALUE,
        POST /do/ACTION and GET /calls; 0 picks a free one.
    rate : int
        Limit of calls per second over all readers; a waiting watch counts as one.
    documents : str
        Directory that `render` wrote; published again when its files change.
    seed : int
        Seed of the delays that put answers out of order.
    """
    settings = PlatformStandinSettings(address, port, rate, seed=seed)
    asyncio.run(run_platform(settings, control_port, documents))


def upstream(
    *,
    address: str = "127.0.0.1",
    port: int = 9000,
    control_port: int = 9001,
    target: str = "target",
    slots: int = 10,
    queue: int = 5,
    connections: int = 110,
    service_ms: float = 5.0,
    long_ms: float = 200.0,
    long_share: float = 0.0,
    cold_s: float = 0.0,
    seed: int = 0,
) -> None:
    """Serve calls as an upstream does.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port of calls; 0 picks a free one.
    control_port : int
        TCP port for POST /fault?NAME=VALUE, POST /do/ACTION and GET /runs;
        0 picks a free one.
    target : str
        Name of the target, sent in each answer.
    slots : int
        Calls that run concurrently.
    queue : int
        Calls that may wait for a slot; further ones are shed.
    connections : int
        Connections that are accepted concurrently.
    service_ms : float
        Median service time of short calls.
    long_ms : float
        Median service time of long calls.
    long_share : float
        Share of the calls that are long, 0 to 1.
    cold_s : float
        Seconds after the start during which calls take longer.
    seed : int
        Seed of the service times.
    """
    settings = UpstreamStandinSettings(
        address,
        port,
        target,
        slots,
        queue,
        connections,
        service_ms,
        long_ms,
        long_share,
        cold_s=cold_s,
        seed=seed,
    )
    asyncio.run(run_upstream(settings, control_port))


COMMANDS = {"platform": platform, "upstream": upstream}
