"""Resolves addresses, which are IP numbers, without a thread."""

from __future__ import annotations

import socket
from typing import Any

from tornado.netutil import Resolver


class NumericResolver(Resolver):
    """Takes IP numbers as they are.

    The library's own resolver asks the operating system on a thread of a pool,
    also for numbers. Each thread costs memory and a start on the way of a call,
    and a node runs one loop on one thread.
    """

    async def resolve(
        self, host: str, port: int, family: int = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the one address that the number is."""
        if family == socket.AF_UNSPEC:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [(family, (host, port))]
