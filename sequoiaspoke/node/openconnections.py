"""Limit the open connections of an HTTP server."""

from __future__ import annotations

import asyncio
from itertools import chain
from math import inf
from typing import TYPE_CHECKING, Any

from loguru import logger as log
from tornado.httpserver import HTTPServer

from sequoiaspoke.descriptors import NEW_SHARE
from sequoiaspoke.socketqueues import count_waiting_bytes

if TYPE_CHECKING:
    from tornado.httputil import HTTPMessageDelegate
    from tornado.iostream import IOStream

# Seconds in which at most one line tells of closed connections.
REPORT_SECONDS = 1.0


class OpenConnections:
    """The open connections of a server, in the order in which they fell silent.

    Attributes
    ----------
    limit : float
        Number beyond which one without a call is closed.
    new, idle : dict of IOStream to None
        Connections without a call that have not brought a request, and that have.
    in_use : set of IOStream
        Connections with a call in progress.
    """

    def __init__(self) -> None:
        self.limit = inf
        self.new: dict[IOStream, None] = {}
        self.idle: dict[IOStream, None] = {}
        self.in_use: set[IOStream] = set()

    def __len__(self) -> int:
        return len(self.new) + len(self.idle) + len(self.in_use)

    def add(self, stream: IOStream) -> int:
        """Add a new connection, and return how many were closed for it."""
        self.new[stream] = None
        closed = 0
        while len(self) > self.limit:
            surplus = self.first_to_close(stream)
            self.remove(surplus)
            if not surplus.closed():
                surplus.close()
                closed += 1
        return closed

    def first_to_close(self, newest: IOStream) -> IOStream:
        """Return the connection without a call that is closed first.

        Callers expect that an idle connection may be closed, but not one whose request
        has arrived; such a one is closed only if it is the newest.
        """
        many_new = len(self.new) > max(1, NEW_SHARE * self.limit)
        order = (self.new, self.idle) if many_new else (self.idle, self.new)
        silent = (each for each in chain(*order) if not has_bytes(each))
        return next(silent, newest)

    def begin_call(self, stream: IOStream) -> None:
        """Note that the head of a request has been read."""
        if stream in self.new or stream in self.idle:
            self.remove(stream)
            self.in_use.add(stream)

    def end_call(self, stream: IOStream) -> None:
        """Note that a connection waits for a request, its first or another."""
        if stream in self.in_use:
            self.in_use.remove(stream)
            self.idle[stream] = None

    def remove(self, stream: IOStream) -> None:
        """Forget a connection."""
        self.new.pop(stream, None)
        self.idle.pop(stream, None)
        self.in_use.discard(stream)


def has_bytes(stream: IOStream) -> bool:
    """Return whether bytes have arrived that have not been read from the socket."""
    return not stream.closed() and count_waiting_bytes(stream.fileno()) > 0


class LimitedHTTPServer(HTTPServer):
    """HTTP server whose handlers tell when the head of a request has been read.

    Attributes
    ----------
    name : str
        Name of its port in log lines.
    connections : OpenConnections
        Its open connections.
    closed : int
        Connections closed beyond the limit since the last log line.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; called by Tornado in place of `__init__`."""
        super().initialize(*args, **kwargs)
        self.name = ""
        self.connections = OpenConnections()
        self.closed = 0

    def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        """Serve a new connection; called by Tornado."""
        super().handle_stream(stream, address)
        closed = self.connections.add(stream)
        if closed and not self.closed:
            asyncio.get_running_loop().call_later(REPORT_SECONDS, self.report)
        self.closed += closed

    def start_request(self, server_conn: Any, request_conn: Any) -> HTTPMessageDelegate:
        """Return the reader of the next request; called by Tornado."""
        self.connections.end_call(server_conn.stream)
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: Any) -> None:
        """Forget a connection that has ended; called by Tornado."""
        super().on_close(server_conn)
        self.connections.remove(server_conn.stream)

    def report(self) -> None:
        """Log how many connections were closed beyond the limit."""
        log.warning(
            "connections-limited",
            port=self.name,
            limit=self.connections.limit,
            closed=self.closed,
        )
        self.closed = 0
