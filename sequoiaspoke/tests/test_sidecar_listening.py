"""Tests of a sidecar that starts while an address is taken, over loopback sockets."""

import asyncio
import contextlib
import socket
from functools import partial
from random import Random

import uvloop
from testtools import TestCase

from sequoiaspoke import listening
from sequoiaspoke.errors import AddressInUseError
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.app import PAUSE_SECONDS, Sidecar
from sequoiaspoke.sidecar.settings import SidecarSettings
from sequoiaspoke.tests.test_sidecar_entry import NoItems
from sequoiaspoke.tests.test_sidecar_exit import WAIT, IdleStore, free_addresses

# Positions of the addresses in the settings that the node listens on.
LISTENED = (1, 2, 3)


def is_refused(address):
    """Return whether nobody listens on an address."""
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection(address, WAIT).close()
        return False
    return True


class TakenAddressTestCase(TestCase):
    """Starts a sidecar while another socket has one of its addresses."""

    def setUp(self):
        super().setUp()
        self.events, self.skipped = [], 0.0
        steady = clock.now
        self.patch(clock, "now", lambda: steady() + self.skipped)

    def play(self, position, scenario):
        """Run a sidecar with the address at a position taken, and a scenario."""

        async def main():
            self.addresses = free_addresses(5)
            self.taken = socket.create_server(self.addresses[position])
            self.addCleanup(self.taken.close)
            settings = SidecarSettings("n", "fleet", "akaki", *self.addresses)
            self.sidecar = Sidecar(
                settings, IdleStore(), NoItems(), None, None, Random(1)
            )
            self.sidecar.log.event = self.record
            running = asyncio.ensure_future(self.sidecar.run())
            try:
                async with asyncio.timeout(WAIT):
                    await scenario(running)
            finally:
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)
                sidecar = self.sidecar
                for server in (sidecar.callers, sidecar.links, sidecar.health):
                    server.stop()

        uvloop.run(main())

    def record(self, kind, **pairs):
        """Record the kind of an event."""
        self.events.append(kind)

    async def until_logged(self, kind):
        """Wait until an event of a kind is logged."""
        while kind not in self.events:
            await asyncio.sleep(0.005)

    def free(self):
        """Return the addresses that no other socket has taken."""
        return [
            each
            for each in (self.addresses[position] for position in LISTENED)
            if each != self.taken.getsockname()
        ]


class TakenAddressTests(TakenAddressTestCase):
    def test_a_node_serves_once_its_address_is_free(self):
        # The process ended after one try.
        async def scenario(running):
            await self.until_logged("address-taken")
            self.taken.close()
            await self.until_logged("start")
            for position in LISTENED:
                self.assertFalse(is_refused(self.addresses[position]))

        for position in LISTENED:
            self.events.clear()
            self.play(position, scenario)

    def test_nobody_is_accepted_before_all_addresses_are_free(self):
        # A connection that waited to be accepted was reset with the process.
        async def scenario(running):
            await self.until_logged("address-taken")
            self.assertEqual([True, True], [is_refused(x) for x in self.free()])

        for position in LISTENED:
            self.events.clear()
            self.play(position, scenario)

    def test_a_wait_is_logged_once_and_so_is_its_end(self):
        async def scenario(running):
            await self.until_logged("address-taken")
            await asyncio.sleep(3 * listening.TRY_SECONDS)
            self.taken.close()
            await self.until_logged("start")
            self.assertEqual(1, self.events.count("address-taken"))
            self.assertEqual(1, self.events.count("address-free"))

        self.play(1, scenario)

    def test_a_node_that_is_told_to_stop_while_it_waits_ends(self):
        async def scenario(running):
            await self.until_logged("address-taken")
            self.sidecar.stop()
            await running
            self.assertIn("stopped-early", self.events)
            self.assertNotIn("start", self.events)

        self.play(2, scenario)

    def test_the_wait_is_not_taken_for_a_pause_of_the_process(self):
        async def scenario(running):
            await self.until_logged("address-taken")
            self.skipped += 2 * PAUSE_SECONDS
            self.taken.close()
            await self.until_logged("start")
            while not self.sidecar.tick_interval:
                await asyncio.sleep(0.005)
            self.assertNotIn("pause", self.events)

        self.play(3, scenario)

    def test_an_address_that_stays_taken_ends_the_process_with_its_error(self):
        async def scenario(running):
            with self.assertRaises(AddressInUseError) as raised:
                await running
            host, port = self.taken.getsockname()
            self.assertIn(f"{host}:{port}", str(raised.exception))
            for address in self.free():
                socket.create_server(address).close()

        self.patch(listening, "TAKEN_SECONDS", 0.0)
        self.play(2, scenario)


class ForeignAddressTests(TestCase):
    def test_an_address_of_another_host_is_refused_at_once(self):
        # Waiting would not help.
        listen = partial(listening.listen_on_all, [("192.0.2.1", 1)])
        with self.assertRaises(AddressInUseError):
            asyncio.run(listening.open_when_free(listen, None, None, None))
