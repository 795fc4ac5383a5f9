"""The shell without decisions: what one hop costs before any of ours."""

from __future__ import annotations

import asyncio
import signal

from tornado.httputil import RequestStartLine

from sequoiaspoke.errors import AddressInUseError
from sequoiaspoke.listening import listen_on_all
from sequoiaspoke.node import headers as names
from sequoiaspoke.node.client import Address, Pool
from sequoiaspoke.node.pipe import ReplayableBody
from sequoiaspoke.node.server import CallHandler, CallServer, IncomingCall
from sequoiaspoke.settings.schema import LimitSettings

TIMEOUT = 10.0  # seconds


class BareProxy(CallHandler):
    """Pass every call on to one address."""

    def __init__(self, address: Address, limits: LimitSettings) -> None:
        self.limits = limits
        self.pool = Pool(address, limits)

    async def handle(self, call: IncomingCall) -> None:
        """Relay a call and its answer."""
        body = ReplayableBody(call.body, 0) if call.body else None
        start_line = RequestStartLine(call.method, call.uri, "HTTP/1.1")
        deadline = asyncio.get_running_loop().time() + TIMEOUT
        headers = names.end_to_end(call.headers)
        answer = await self.pool.call(start_line, headers, body, deadline)
        try:
            passed_on = names.end_to_end(answer.headers)
            await call.writer.relay(answer, passed_on, self.limits.idle)
        finally:
            answer.close()


async def run_bare_proxy(listening: Address, upstream: Address) -> None:
    """Serve until SIGTERM."""
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    limits = LimitSettings()
    server = CallServer(BareProxy(upstream, limits), limits)
    try:
        sockets = listen_on_all([(listening.host, listening.port)])
    except OSError as error:
        raise AddressInUseError(error.strerror) from error
    server.server.add_sockets(sockets)
    await stopping.wait()
    server.server.stop()
