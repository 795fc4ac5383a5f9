"""Tests of a node that starts while a port is taken, over loopback sockets."""

import asyncio
import contextlib
import socket
from dataclasses import replace

from sequoiaspoke import listening
from sequoiaspoke.errors import AddressInUseError
from sequoiaspoke.node.app import Node
from sequoiaspoke.tests.loopback import WAIT, LoopbackTestCase, until

LOOPBACK = "127.0.0.1"
TCP_PORTS = ("call_port", "mesh_port", "peer_port", "admin_port")


class TakenPortTests(LoopbackTestCase):
    """The port that a setting names is taken when the node starts."""

    def take(self, kind=socket.SOCK_STREAM):
        """Return a socket that has taken a port, and the port.

        A node listens on a port of datagrams for connections as well, which must not be
        the port of a connection of another process.
        """
        while True:
            taken = listening.bind(LOOPBACK, 0, kind)
            port = taken.getsockname()[1]
            if kind == socket.SOCK_STREAM:
                taken.listen()
                break
            with contextlib.suppress(OSError):
                listening.bind(LOOPBACK, port, socket.SOCK_STREAM).close()
                break
            taken.close()
        self.addCleanup(taken.close)
        return taken, port

    async def start(self, deployment, ports):
        """Return a node with some ports, and the task that starts it."""
        settings = deployment.sites[0].node.settings
        node = Node(replace(settings, node=replace(settings.node, **ports)))
        self.stopping = False
        return node, asyncio.ensure_future(node.start(lambda: self.stopping))

    async def serves_once_free(self, deployment, name, kind):
        """Check that a node waits for a port, and nobody is accepted meanwhile."""
        taken, port = self.take(kind)
        free, call_port = self.take()
        free.close()
        ports = {name: port} if name == "call_port" else {"call_port": call_port}
        node, starting = await self.start(deployment, ports | {name: port})
        await asyncio.sleep(2 * listening.TRY_SECONDS)
        self.assertFalse(starting.done(), name)
        if name != "call_port":
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection((LOOPBACK, call_port), WAIT)
        taken.close()
        async with asyncio.timeout(WAIT):
            self.assertTrue(await starting)
        for each in ("call", "mesh", "peer", "admin"):
            socket.create_connection((LOOPBACK, node.ports[each]), WAIT).close()
        await node.stop()

    def test_a_node_serves_once_its_port_is_free(self):
        # The process ended after one try; it listened on the ports before that one.
        async def test(deployment):
            for name in TCP_PORTS:
                await self.serves_once_free(deployment, name, socket.SOCK_STREAM)

        self.run_with(test)

    def test_the_port_of_the_witness_is_waited_for_as_well(self):
        async def test(deployment):
            await self.serves_once_free(deployment, "peer_port", socket.SOCK_DGRAM)

        self.run_with(test)

    def test_a_node_that_is_told_to_stop_while_it_waits_does_not_start(self):
        async def test(deployment):
            _, port = self.take()
            _, starting = await self.start(deployment, {"mesh_port": port})
            await asyncio.sleep(2 * listening.TRY_SECONDS)
            self.stopping = True
            async with asyncio.timeout(WAIT):
                self.assertFalse(await starting)

        self.run_with(test)

    def test_a_port_that_stays_taken_is_an_error_and_leaves_no_listener(self):
        self.patch(listening, "TAKEN_SECONDS", 0.0)

        async def test(deployment):
            _, port = self.take(socket.SOCK_DGRAM)
            free, call_port = self.take()
            free.close()
            ports = {"peer_port": port, "call_port": call_port}
            _, starting = await self.start(deployment, ports)
            with self.assertRaises(AddressInUseError):
                await starting
            await until(lambda: self.is_refused(call_port))

        self.run_with(test)

    def is_refused(self, port):
        """Return whether nobody listens on a port."""
        with contextlib.suppress(ConnectionRefusedError):
            socket.create_connection((LOOPBACK, port), WAIT).close()
            return False
        return True
