"""A server of a node with a gated handler, for tests over real sockets."""

import asyncio

from testtools import TestCase
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from sequoiaspoke.node.server import CallHandler, CallServer
from sequoiaspoke.settings.schema import LimitSettings
from sequoiaspoke.tests.loopback import WAIT


class GatedHandler(CallHandler):
    """A handler that answers once its gate is open."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.begun = self.cancelled = 0

    async def handle(self, call):
        self.begun += 1
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        while call.body and await call.body.get():
            pass
        call.writer.write_complete(200, HTTPHeaders(), b"done")


class ServerTestCase(TestCase):
    """Runs a server with a gated handler, and one connection to it."""

    def play(self, scenario):
        async def run():
            self.handler = GatedHandler()
            self.server = CallServer(self.handler, LimitSettings())
            (listening,) = bind_sockets(0, "127.0.0.1")
            self.port = listening.getsockname()[1]
            self.server.server.add_sockets([listening])
            try:
                async with asyncio.timeout(WAIT):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self.port
                    )
                    await scenario(reader, writer)
                    writer.close()
            finally:
                self.server.server.stop()
                self.server.cut_off()
                await self.server.server.close_all_connections()

        asyncio.run(run())
