"""Tests of crowds of clients of the product's node, which send much or nothing."""

import asyncio

from tornado.httpclient import HTTPError

from sequoiaspoke.measure.plan import ADMIN_PORT, CALL_PORT, MESH_PORT, PEER_PORT
from sequoiaspoke.tests.crowds import (
    SHORT_LINE,
    STAYING,
    Crowd,
    chunked,
    chunks,
    crowds_alone,
    descriptors_limited,
    filled,
    head,
    limit_descriptors,
    open_descriptors,
    peak_mb,
    stay,
)
from sequoiaspoke.tests.test_processes import CallPlan, ProcessTestCase

# Memory that a machine has for the node; one without calls takes 50 MB.
MEMORY_MB = 100
HEAD_BYTES = 15_000
SETTINGS = "[limits]\nhead_bytes = 16384\nbody_bytes = 1048576\n"
# Descriptors that a process may have open where that is limited, and seconds for which
# a call may wait then.
DESCRIPTORS, PATIENCE = 300, 8.0
PATH = "/service-0/1"
REQUEST = head(filled(SHORT_LINE, HEAD_BYTES), target=PATH)
UNFINISHED = REQUEST.removesuffix(b"\r\n\r\n")
# Number of connections, and what each of them sends.
CROWDS = {
    "trailers": (
        30,
        chunked(chunks(1000, 1000) + b"0\r\n", PATH),
        100_000 * SHORT_LINE,
    ),
    "trailers behind a large body": (
        30,
        chunked(chunks(1 << 20, 1 << 20) + b"0\r\n", PATH),
        filled(SHORT_LINE, 7 << 20),
    ),
    "requests of short lines": (100, 4 * REQUEST),
    "heads without end": (300, UNFINISHED),
    "large heads": (100, head(filled(SHORT_LINE, 250_000), target=PATH)),
    "chunks of two bytes": (40, chunked(chunks(64 << 10, 2), PATH)),
    "chunk extensions": (40, chunked(chunks(64 << 10, 2, b";a=b"), PATH)),
}


class NodeCrowdCase(ProcessTestCase):
    def run_node(self, scenario, limited=False):
        """Play a scenario with a node that has an upstream.

        Parameters
        ----------
        limited : bool
            Whether the node may have few descriptors open.
        """

        async def test(bench, vms):
            (vm,) = vms
            process = bench.nodes[vm.name]
            if limited:
                process.kill()
                with descriptors_limited(DESCRIPTORS):
                    process.start()
                limit_descriptors(process.child.pid, DESCRIPTORS)
            while not await self.served(vm):
                await asyncio.sleep(0.02)
            await scenario(vm, process.child.pid)
            while not await self.served(vm):
                await asyncio.sleep(0.02)
            self.assertTrue(process.running)
            peak = peak_mb(process.child.pid)
            print(f"{self.id()}: {peak:.0f} MB")
            self.assertTrue(peak < MEMORY_MB, f"{peak:.0f} MB")
            # A planned stop would wait for callers to move.
            process.kill()

        with crowds_alone():
            self.run_with(CallPlan(1), test, SETTINGS)

    async def served(self, vm):
        """Return whether a call is served."""
        return await self.status(vm) == 200

    async def status(self, vm):
        """Return the status of a call, 0 without an answer."""
        try:
            return (await self.call(vm, PATH)).code
        except (OSError, HTTPError):
            return 0

    def play_crowd(self, port, name):
        async def scenario(vm, pid):
            count, *parts = CROWDS[name]
            async with Crowd(vm.address, port, count, parts):
                during = asyncio.ensure_future(self.status(vm))
                await stay(pid)
                self.assertTrue(await during, "no answer during the crowd")

        self.run_node(scenario)


class NodeCallerCrowdTests(NodeCrowdCase):
    """Crowds at the port for callers."""

    def test_trailers(self):
        self.play_crowd(CALL_PORT, "trailers")

    def test_trailers_behind_a_large_body(self):
        self.play_crowd(CALL_PORT, "trailers behind a large body")

    def test_requests_of_short_lines(self):
        self.play_crowd(CALL_PORT, "requests of short lines")

    def test_heads_without_end(self):
        self.play_crowd(CALL_PORT, "heads without end")

    def test_large_heads(self):
        self.play_crowd(CALL_PORT, "large heads")

    def test_chunks_of_two_bytes(self):
        self.play_crowd(CALL_PORT, "chunks of two bytes")

    def test_chunk_extensions(self):
        self.play_crowd(CALL_PORT, "chunk extensions")


class NodeOtherPortsCrowdTests(NodeCrowdCase):
    """Crowds at the ports for other nodes and operators."""

    def test_requests_of_short_lines_at_the_port_for_nodes(self):
        self.play_crowd(MESH_PORT, "requests of short lines")

    def test_requests_of_short_lines_at_the_operators_port(self):
        self.play_crowd(ADMIN_PORT, "requests of short lines")

    def test_heads_without_end_at_the_operators_port(self):
        self.play_crowd(ADMIN_PORT, "heads without end")

    def test_heads_without_end_at_the_port_of_links(self):
        self.play_crowd(PEER_PORT, "heads without end")


class NodeDescriptorTests(NodeCrowdCase):
    """More silent connections than a node may have descriptors."""

    def play_silent(self, port, *parts):
        async def scenario(vm, pid):
            async with Crowd(vm.address, port, 500, parts):
                await asyncio.sleep(STAYING)
                used = open_descriptors(pid)
                try:
                    code = await asyncio.wait_for(self.status(vm), PATIENCE)
                except TimeoutError:
                    code = 0
            self.assertTrue(code, "no answer during the crowd")
            self.assertTrue(used < DESCRIPTORS, used)

        self.run_node(scenario, limited=True)

    def test_callers_that_send_nothing(self):
        self.play_silent(CALL_PORT)

    def test_callers_that_send_half_a_head(self):
        self.play_silent(CALL_PORT, b"GET / HTTP/1.1\r\nHo")

    def test_operators_that_send_nothing(self):
        self.play_silent(ADMIN_PORT)

    def test_callers_that_stay_after_a_call(self):
        self.play_silent(CALL_PORT, head(b"", target=PATH))

    def test_nodes_that_send_nothing(self):
        self.play_silent(MESH_PORT)

    def test_links_that_send_nothing(self):
        self.play_silent(PEER_PORT)
