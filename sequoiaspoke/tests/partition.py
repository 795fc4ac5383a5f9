"""A deployment on loopback whose availability zones can be cut off.

Every task that a node starts inherits the zone that it was started in, so the
one place where connections are opened can tell which zone is asking.
"""

import contextvars

from tornado.tcpclient import TCPClient

from sequoiaspoke.demo.deployment import Deployment

ZONE = contextvars.ContextVar("zone", default="")


class PartitionedDeployment(Deployment):
    """Cuts one zone off from all others and from the platform."""

    def __init__(self, test, *arguments):
        super().__init__(*arguments)
        self.cut_zone = ""
        self.zone_of_port = {}
        self.streams = []
        self.library_connect = TCPClient.connect
        test.patch(TCPClient, "connect", self.make_connect())

    async def add(self, service, target, zone):
        """Start one VM, and remember its zone for whoever connects."""
        token = ZONE.set(zone)
        await super().add(service, target, zone)
        ZONE.reset(token)
        ports = (*self.sites[-1].node.ports.values(), self.sites[-1].upstream.port)
        self.zone_of_port.update(dict.fromkeys(ports, zone))

    def make_connect(self):
        """Return the library's connect, which fails across a cut."""

        async def connect(client, host, port, *arguments, **options):
            ends = (ZONE.get(), self.zone_of_port.get(port, "platform"))
            if self.is_cut(ends):
                raise ConnectionRefusedError("cut off")
            stream = await self.library_connect(
                client, host, port, *arguments, **options
            )
            self.streams.append((ends, stream))
            return stream

        return connect

    def is_cut(self, ends):
        return self.cut_zone in ends and ends[0] != ends[1]

    def cut(self, zone):
        """Break every connection into or out of a zone, and let none begin."""
        self.cut_zone = zone
        for ends, stream in self.streams:
            if self.is_cut(ends):
                stream.close()

    def heal(self):
        self.cut_zone = "nowhere"
