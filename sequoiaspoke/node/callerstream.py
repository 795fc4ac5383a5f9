"""Connection of a caller that stays open when only the caller's input has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from sequoiaspoke.endedinput import EndedInput
from sequoiaspoke.listening import accept_waiting
from sequoiaspoke.node.openconnections import LimitedHTTPServer

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable

    from sequoiaspoke.endedinput import CallerEnd

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerStream(IOStream):
    """Stream that is closed at the end of its input only if a read waits for more.

    Tornado closes a stream at once, also while the caller waits for its answers. It has
    no public way to tell that the input has ended, or to stop polling it.

    Attributes
    ----------
    input_ended : bool
        Whether the caller sends no more.
    on_input_end : callable or None
        Called when the input ends while nothing is read.
    ended_input : EndedInput or None
        Finds out whether the caller has left, once that is asked.
    """

    def __init__(
        self, sock: socket.socket, max_buffer_size: int | None, chunk_size: int | None
    ) -> None:
        super().__init__(
            sock, max_buffer_size=max_buffer_size, read_chunk_size=chunk_size
        )
        self.input_ended = False
        self.on_input_end: Callable[[], None] | None = None
        self.ended_input: EndedInput | None = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived; the end of the input is no data at first."""
        size = super().read_from_fd(buf)
        if size != 0:
            return size
        if not self.input_ended:
            self.input_ended = True
            self.io_loop.add_callback(self.handle_input_end)
            return None
        # What had arrived before does not complete the read.
        return 0 if self.reading() else None

    def handle_input_end(self) -> None:
        """Close the stream if a read waits for more, else tell of the end."""
        if self.closed():
            return
        if self.reading():
            self.close()
        elif self.on_input_end is not None:
            self.on_input_end()

    def ask_caller(
        self, answering: bool, takes_interim: bool, on_left: Callable[[CallerEnd], None]
    ) -> None:
        """Find out whether a caller that sends no more has left.

        Parameters
        ----------
        answering : bool
            Whether its answer has begun, which it resets if it has left.
        takes_interim : bool
            Whether it may be sent an interim response before the answer.
        on_left : callable
            Called with how the connection has ended.
        """
        if self.ended_input is not None:
            return
        self.ended_input = EndedInput(self.socket, 1, on_left)
        if not answering and not takes_interim:
            self.ended_input.give_time()
            return
        if not answering and not self.writing():
            self.write(INTERIM)
        self.expect_reset()

    def expect_reset(self) -> None:
        """Report a caller that has left by its reset."""
        if self.ended_input is not None and not self.closed():
            self.ended_input.expect_reset()

    def close_fd(self) -> None:
        """Close the socket."""
        if self.ended_input is not None:
            self.ended_input.stop()
        super().close_fd()

    def _handle_events(self, fd: int, events: int) -> None:
        super()._handle_events(fd, events)
        # The end of an input is ready to be read for good.
        polled = self._state is not None and self._state & IOLoop.READ
        if self.input_ended and polled and not self.closed():
            self._state &= ~IOLoop.READ
            self.io_loop.update_handler(self.fileno(), self._state)

    def _maybe_add_error_listener(self) -> None:
        if not self.input_ended:
            super()._maybe_add_error_listener()


class CallerHTTPServer(LimitedHTTPServer):
    """HTTP server that answers callers who have ended their input.

    Attributes
    ----------
    listeners : list of socket.socket
        Sockets on which it accepts connections.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize the server; called by Tornado in place of `__init__`."""
        super().initialize(*args, **kwargs)
        self.listeners: list[socket.socket] = []

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listener in sockets:
            self.listeners.append(listener)
            super().add_sockets([listener])

    def stop(self) -> None:
        """Accept the connections that wait, and no more."""
        waiting = [each for sock in self.listeners for each in accept_waiting(sock)]
        super().stop()
        for sock, address in waiting:
            # Tornado has no public way to serve a connection that it did not accept.
            self._handle_connection(sock, address)

    def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        """Serve a new connection; called by Tornado."""
        if self.ssl_options is None:
            stream = CallerStream(
                stream.socket, self.max_buffer_size, self.read_chunk_size
            )
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Pass the end of a connection on, as Tornado does not; called by Tornado."""
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)
