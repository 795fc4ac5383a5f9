"""Divide the descriptors of a process among what it accepts.

Without a limit, callers that stay silent take all of them. The process can then open
neither a connection to its upstream or to another node nor accept one, and the kernel
lets new callers wait.
"""

from __future__ import annotations

import resource
from dataclasses import dataclass

# Share of the descriptors for the connections of callers. The rest is for links, the
# upstream, the store and files.
CALLERS_SHARE = 0.5
# Share for the connections on which other nodes bring calls.
NODES_SHARE = 0.25
# Share for links whose nodes have not said who they are, and for connections to the
# health address; bound of each.
SMALL_SHARE, MAX_SMALL = 1 / 16, 64
# Share of the kept connections that new ones may take from idle ones. Without it,
# callers that stay idle after a request would keep all others out.
NEW_SHARE = 1 / 8
# Descriptors of the platform's limit that are reserved for files.
RESERVED_FOR_FILES = 200
# Descriptors where nothing limits them.
UNLIMITED = 1 << 20


@dataclass(frozen=True)
class ConnectionLimits:
    """The connections that a process keeps open.

    Attributes
    ----------
    callers, nodes, health : int
        Connections of callers, of other nodes that bring calls, and to the health
        address.
    unknown_links : int
        Links from nodes that have not said who they are.
    """

    callers: int
    nodes: int
    health: int
    unknown_links: int


def available_descriptors(platform_limit: float) -> int:
    """Return how many descriptors the process may have open.

    Parameters
    ----------
    platform_limit : float
        What the platform allows, 0 if unknown.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [] if soft == resource.RLIM_INFINITY else [soft]
    if platform_limit > RESERVED_FOR_FILES:
        limits.append(int(platform_limit) - RESERVED_FOR_FILES)
    return min(limits, default=UNLIMITED)


def limit_connections(descriptors: int) -> ConnectionLimits:
    """Return the limits for a process that may have some descriptors open."""
    small = max(1, min(MAX_SMALL, int(SMALL_SHARE * descriptors)))
    callers, nodes = (
        max(1, int(share * descriptors)) for share in (CALLERS_SHARE, NODES_SHARE)
    )
    return ConnectionLimits(callers, nodes, small, small)
