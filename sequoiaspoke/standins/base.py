"""What the stand-ins share: a listening server that can fail on request."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any
from weakref import WeakSet

import tornado.httpserver
import tornado.netutil
import tornado.web

from sequoiaspoke.errors import AddressInUseError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tornado.iostream import IOStream

UNLIMITED = 1 << 20  # connections
LARGEST_BODY = 1 << 40  # bytes; bodies are drained, not held


class StandinServer(tornado.httpserver.HTTPServer):
    """An HTTP server that knows and limits its connections."""

    def initialize(self, *args: Any, connections: int = UNLIMITED, **kwargs: Any):
        """Take the limit on open connections besides the usual arguments."""
        super().initialize(*args, **kwargs)
        self.limit = connections
        self.streams: WeakSet[IOStream] = WeakSet()
        self.open = 0
        self.refused = 0

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a connection, or close it at once beyond the limit."""
        if self.open >= self.limit:
            self.refused += 1
            stream.close()
            return
        self.open += 1
        self.streams.add(stream)
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Count a connection out."""
        self.open -= 1
        super().on_close(server_conn)


class Listener(ABC):
    """Something that listens for HTTP on an address.

    Attributes
    ----------
    port : int
        TCP port once started; it stays the same over stops and starts.
    """

    def __init__(self, address: str, port: int, connections: int = UNLIMITED) -> None:
        self.address = address
        self.port = port
        self.connections = connections
        self.server: StandinServer | None = None

    @abstractmethod
    def routes(self) -> list[Any]:
        """Return the routes that are served."""

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}:{self.port}"

    def start(self) -> None:
        """Listen.

        Raises
        ------
        AddressInUseError
            The address cannot be bound.
        """
        application = tornado.web.Application(self.routes(), log_function=no_log)
        try:
            sockets = tornado.netutil.bind_sockets(self.port, self.address)
        except OSError as error:
            raise AddressInUseError(f"{self.address}:{self.port}: {error}") from error
        self.port = sockets[0].getsockname()[1]
        self.server = StandinServer(
            application, connections=self.connections, max_body_size=LARGEST_BODY
        )
        self.server.add_sockets(sockets)

    def close(self) -> None:
        """Refuse connections and break those that are open."""
        server, self.server = self.server, None
        if server is None:
            return
        server.stop()
        for stream in list(server.streams):
            stream.close()

    async def stop(self) -> None:
        """Stop listening and wait until every connection is closed."""
        server = self.server
        self.close()
        if server is not None:
            await server.close_all_connections()


class Standin(Listener):
    """A small server in place of a part of the surroundings.

    Attributes
    ----------
    silenced : WeakSet
        Connections that never answer again, while new ones work.
    """

    def __init__(self, address: str, port: int, connections: int = UNLIMITED) -> None:
        super().__init__(address, port, connections)
        self.silenced: WeakSet[IOStream] = WeakSet()

    @abstractmethod
    def report(self) -> dict[str, Any]:
        """Return what was counted, for JSON."""

    @abstractmethod
    def change_faults(self, given: Mapping[str, str]) -> None:
        """Replace the named faults."""

    @abstractmethod
    def actions(self) -> dict[str, Callable[[], None]]:
        """Return what the control port can order besides faults."""

    def silence(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        if self.server is not None:
            self.silenced.update(self.server.streams)


class StandinHandler(tornado.web.RequestHandler):
    """A request that notices when its client has gone."""

    def initialize(self, standin: Any) -> None:
        """Take the stand-in that serves the request."""
        self.standin = standin
        self.stream = self.request.connection.stream  # type: ignore[union-attr]
        self.gone = asyncio.get_running_loop().create_future()

    def on_connection_close(self) -> None:
        """Wake whoever waits for the client."""
        if not self.gone.done():
            self.gone.set_result(None)

    async def pause(self, seconds: float | None) -> bool:
        """Wait, and return whether the client is still there."""
        if seconds is None or seconds > 0:
            await asyncio.wait([self.gone], timeout=seconds)
        return not self.gone.done()

    async def hold_if_silenced(self) -> None:
        """Never answer on a connection that has gone silent."""
        if self.stream in self.standin.silenced:
            await self.pause(None)

    def break_connection(self) -> None:
        """Close the connection without an answer, or in the middle of one."""
        self.on_connection_close()
        self.stream.close()

    def compute_etag(self) -> None:
        """Send no entity tag: the platform has revisions instead."""


def no_log(_: tornado.web.RequestHandler) -> None:
    """Write no line per request."""
