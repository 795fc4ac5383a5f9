"""Resolve numeric IP addresses without a thread."""

from __future__ import annotations

import socket
from typing import Any

from tornado.netutil import Resolver


class NumericResolver(Resolver):
    """Returns IP addresses unchanged; resolves no names.

    Tornado's default resolver calls the operating system on a pool of threads, even
    for numeric addresses. Each thread takes memory, starting it delays a call, and a
    node runs a single event loop on one thread.
    """

    async def resolve(
        self, host: str, port: int, family: int = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address itself with its family."""
        if family == socket.AF_UNSPEC:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(family, (host, port))]
