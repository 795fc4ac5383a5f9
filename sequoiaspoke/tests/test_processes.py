"""Tests of calls and versions with real processes and signals."""

import asyncio
import contextlib
from dataclasses import dataclass

from testtools import TestCase
from tornado.httpclient import AsyncHTTPClient

from sequoiaspoke.core.rules.model import (
    CallPolicy,
    Comparison,
    Condition,
    Field,
    RouteTo,
    Rule,
)
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.publish import HEAD_DOCUMENT
from sequoiaspoke.measure.bench import Bench
from sequoiaspoke.measure.plan import CALL_PORT, FleetPlan

TIMEOUT = 60.0  # seconds; generous for a busy machine, no assertion depends on it
HOLD_HEADERS = {
    "Standin-Hold": "yes"
}  # the upstream holds the call until it is released


@dataclass(frozen=True)
class CallPlan(FleetPlan):
    """A fleet with one service and a path whose calls are not idempotent."""

    services: int = 1
    endpoints: int = 1

    def rules(self, version):
        once = Rule(
            "once",
            (Condition(Field.PATH, Comparison.PREFIX, ("/once/",)),),
            RouteTo((WeightedService("service-0"),)),
            CallPolicy(timeout=TIMEOUT, idempotent=False),
        )
        return (once, *super().rules(version))


class ProcessTestCase(TestCase):
    def run_with(self, plan, test, node_settings=""):
        async def body():
            limit = asyncio.timeout(4 * TIMEOUT)
            async with limit, Bench(plan, node_settings) as bench:
                vms = bench.plan.vms()
                for vm in vms[: plan.endpoints]:
                    await bench.start_upstream(vm)
                await test(bench, vms)

        asyncio.run(body())

    async def call(self, vm, path, headers=None):
        client = AsyncHTTPClient(force_instance=True)
        try:
            url = f"http://{vm.address}:{CALL_PORT}{path}"
            return await client.fetch(
                url, headers=headers, request_timeout=TIMEOUT, raise_error=False
            )
        finally:
            client.close()

    async def wait_until_running(self, bench, vms):
        """Wait until an upstream runs a call; return its VM and another one."""
        while True:
            for vm in vms:
                if (await self.runs(bench, vm))["runs_total"]:
                    return vm, next((each for each in vms if each != vm), None)
            await asyncio.sleep(0.02)

    async def wait_until_draining(self, vm):
        """Wait until a node refuses new calls."""
        with contextlib.suppress(OSError):  # the listener is already closed
            while (await self.call(vm, "/service-0/2")).code == 200:
                await asyncio.sleep(0.02)

    async def runs(self, bench, vm):
        return await bench.upstream_controls[vm.name].report()

    async def status(self, bench, vm):
        (status,) = await bench.statuses({vm.name})
        return status


class PlannedStopTests(ProcessTestCase):
    def test_a_stop_of_both_nodes_cuts_no_call_in_flight(self):
        """Both nodes get SIGTERM while a call passes through them.

        Without draining, the caller would see a broken connection for a call that
        ran. Nodes get SIGTERM whenever operators replace their VMs.
        """

        async def test(bench, vms):
            home, entry = vms
            call = asyncio.ensure_future(self.call(entry, "/once/1", HOLD_HEADERS))
            await self.wait_until_running(bench, [home])
            bench.nodes[home.name].terminate()
            bench.nodes[entry.name].terminate()
            await self.wait_until_draining(entry)
            await bench.upstream_controls[home.name].order("release")
            answer = await call
            self.assertEqual(
                (200, "ran"), (answer.code, answer.headers["Sequoiaspoke-Ran"])
            )
            for name in bench.nodes:
                self.assertEqual(0, await bench.nodes[name].ended(TIMEOUT))
            report = await self.runs(bench, home)
            self.assertEqual(0, report["cancelled"])

        self.run_with(CallPlan(2), test)


class NodeCrashTests(ProcessTestCase):
    async def kill_home(self, bench, vms, path):
        """Kill the home that runs a call; return the answer, its VM and the other."""
        *homes, entry = vms
        call = asyncio.ensure_future(self.call(entry, path, HOLD_HEADERS))
        home, other = await self.wait_until_running(bench, homes)
        await bench.upstream_controls[other.name].order("release")
        bench.nodes[home.name].kill()
        return await call, home, other

    def test_an_idempotent_call_of_a_killed_node_is_answered_by_another(self):
        """A home is killed while its upstream runs an idempotent call.

        The entry sees the connection break, and must retry the call on another
        target.
        """

        async def test(bench, vms):
            answer, _, other = await self.kill_home(bench, vms, "/service-0/1")
            self.assertEqual(200, answer.code)
            self.assertIn(f'"target": "{other.name}"'.encode(), answer.body)

        self.run_with(CallPlan(3, 1, 2), test)

    def test_a_call_that_may_not_be_retried_ends_with_an_unknown_outcome(self):
        """A home is killed while its upstream runs a call that is not idempotent.

        A retry could run the call twice, and nobody knows whether it ran, so the
        caller must not be told "not run" but that the outcome is unknown.
        """

        async def test(bench, vms):
            answer, home, other = await self.kill_home(bench, vms, "/once/1")
            self.assertEqual(
                (502, "outcome-unknown"),
                (answer.code, answer.headers["Sequoiaspoke-Ran"]),
            )
            self.assertEqual(1, (await self.runs(bench, home))["runs_total"])
            self.assertEqual(0, (await self.runs(bench, other))["runs_total"])

        self.run_with(CallPlan(3, 1, 2), test)


class PausedNodeTests(ProcessTestCase):
    def test_a_resumed_node_ignores_an_older_head(self):
        """A VM is paused and resumes with its old state and connections.

        During the pause, the platform fell back to an older head. A node that
        installed it would revert the operators' change for its callers.
        """

        async def test(bench, vms):
            (vm,) = vms
            older = codec.encode_head(bench.plan.publication(1).head)
            held = await bench.publish()
            self.assertEqual(set(), await bench.behind(held.version, TIMEOUT))
            reads = (await self.status(bench, vm)).platform_reads
            bench.nodes[vm.name].pause()
            await bench.control.publish(HEAD_DOCUMENT, older)
            bench.nodes[vm.name].resume()
            while (status := await self.status(bench, vm)).platform_reads <= reads:
                await asyncio.sleep(0.02)
            self.assertEqual(held.version, status.version)
            newer = await bench.publish()
            self.assertEqual(set(), await bench.behind(newer.version, TIMEOUT))
            self.assertEqual(0, bench.went_back)

        self.run_with(FleetPlan(1, 1, 1), test)

    def test_a_resumed_node_that_missed_versions_installs_the_newest(self):
        """A node misses several versions while it is paused.

        After it resumes, it must install the newest one without any new change.
        """

        async def test(bench, vms):
            paused = bench.nodes[vms[0].name]
            others = {vm.name for vm in vms[1:]}
            paused.pause()
            for _ in range(3):
                change = await bench.publish()
                self.assertEqual(
                    set(), await bench.behind(change.version, TIMEOUT, others)
                )
            paused.resume()
            self.assertEqual(set(), await bench.behind(change.version, TIMEOUT))
            self.assertEqual(0, bench.went_back)

        self.run_with(FleetPlan(3, 1, 1), test)


class FreshNodeTests(ProcessTestCase):
    def test_a_node_that_starts_with_a_stale_platform_installs_the_newest(self):
        """A VM is replaced, so its node starts without any configuration.

        The platform answers with an older state for a long time. A node that served
        calls by that state would apply outdated rules.
        """

        async def test(bench, vms):
            await bench.control.order("keep")
            newest = await bench.publish()
            self.assertEqual(set(), await bench.behind(newest.version, TIMEOUT))
            await bench.control.fault("stale=yes")
            bench.nodes[vms[0].name].kill()
            bench.start_node(vms[0])
            await bench.behind(1, TIMEOUT, {vms[0].name})
            status = await self.status(bench, vms[0])
            self.assertEqual(newest.version, status.version)

        # Peers may be slow to answer on a busy machine. The wait is long, so that the
        # test does not depend on the machine's speed.
        settings = f"[spread]\ncatch_up_wait = {TIMEOUT}\n"
        self.run_with(FleetPlan(4, 1, 1), test, settings)
