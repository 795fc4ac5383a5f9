"""Tests of the measuring tool: its fleet, its processes and its figures."""

import asyncio
import tempfile
from pathlib import Path

from testtools import TestCase

from sequoiaspoke.core.snapshot.codec import DOCUMENT_LIMIT
from sequoiaspoke.errors import MeasureError
from sequoiaspoke.measure.bench import Totals
from sequoiaspoke.measure.bodies import PARTS, WAYS, WHOLE, BodyPlan, measure_bodies
from sequoiaspoke.measure.bodynode import make_config
from sequoiaspoke.measure.cost import measure_cost
from sequoiaspoke.measure.costreport import FIGURES, cost_plot, cost_table
from sequoiaspoke.measure.faults import Pause, make_fault
from sequoiaspoke.measure.percentiles import Percentiles
from sequoiaspoke.measure.plan import FleetPlan
from sequoiaspoke.measure.processes import Process
from sequoiaspoke.measure.slowlink import SlowLink
from sequoiaspoke.measure.spread import Rates, SpreadPlan, measure_spread
from sequoiaspoke.settings.load import parse_settings


class FleetPlanTests(TestCase):
    def test_each_version_changes_one_part_rules_and_endpoints_in_turn(self):
        plan = FleetPlan(12, 4, 13)
        for version in range(1, 12):
            before = plan.publication(version).head.parts
            after = plan.publication(version + 1).head.parts
            changed = [name for name in after if after[name] != before[name]]
            turn = (version + 1) // 2 - 1
            service = f"service/service-{turn % 4}"
            expected = ["rules"] if (version + 1) % 2 else [service]
            self.assertEqual(expected, changed)

    def test_the_large_configuration_stays_within_the_platforms_values(self):
        documents = FleetPlan(150, 200, 2000).publication(1).documents()
        self.assertEqual(202, len(documents))
        largest = max(len(data) for data in documents.values())
        self.assertLess(largest, DOCUMENT_LIMIT // 4)

    def test_every_vm_has_an_address_and_settings_of_its_own(self):
        plan = FleetPlan(150)
        self.assertEqual(150, len({vm.address for vm in plan.vms()}))
        settings = parse_settings(
            plan.node_settings(plan.vm(149), "http://127.0.0.1:1")
        )
        self.assertEqual(plan.vm(149).address, settings.node.address)

    def test_sizes_and_names_that_cannot_be_measured_are_refused(self):
        for plan in (FleetPlan(0), FleetPlan(3, 4, 3), FleetPlan(3, strategy="none")):
            self.assertRaises(MeasureError, plan.check)
        self.assertRaises(MeasureError, make_fault, "flood")


class FiguresTests(TestCase):
    def test_percentiles_are_of_the_values_taken(self):
        values = Percentiles(number / 1000 for number in range(1, 101))
        self.assertEqual((0.05, 0.1), (values.at(50), values.at(100)))
        self.assertIs(None, Percentiles().at(99))

    def test_rates_are_the_differences_over_the_time(self):
        before = Totals(10.0, 2, 100, 1.0, 5)
        rates = Rates(before, Totals(14.0, 2, 500, 1.2, 7))
        self.assertEqual((100.0, 0.5), (rates.bytes_per_s, rates.reads_per_s))
        self.assertAlmostEqual(5.0, rates.cpu_percent)


class MeasureSpreadTests(TestCase):
    def test_a_small_fleet_converges_and_its_paused_node_catches_up(self):
        fleet = FleetPlan(3, 1, 1)
        plan = SpreadPlan(fleet, 2, 0.1, 0.1, Pause.name, settle=0.0)
        report = asyncio.run(measure_spread(plan))
        self.assertEqual((0, 0), (report.behind, report.went_back))
        self.assertEqual((1, 0), (report.fault_nodes, report.fault_behind))
        self.assertGreater(report.convergence_p50_s, 0.0)
        self.assertGreater(report.control_bytes_per_node_per_s, 0.0)
        self.assertGreater(report.rss_mb_per_node, 0)


class MeasureCostTests(TestCase):
    def test_everything_is_measured_and_shown_for_each_size(self):
        # For correctness only: what it costs depends on the machine.
        found = asyncio.run(measure_cost((3, 7), 40))
        self.assertEqual([each.peers for each in found], [3, 7])
        for each in found:
            for name in FIGURES:
                self.assertTrue(getattr(each, name) > 0, name)
        lines = cost_table(found).splitlines()
        self.assertEqual([line.split()[0] for line in lines][1:], ["3", "7", "power"])
        self.assertEqual(cost_plot(found).count("<polyline"), len(FIGURES))

    def test_sizes_that_cannot_be_measured_are_refused(self):
        for sizes in ((0,), (2,), (4000,)):
            self.assertRaises(MeasureError, asyncio.run, measure_cost(sizes, 40))


class ProcessTests(TestCase):
    def test_a_process_starts_tells_its_ports_and_ends_as_it_is_told(self):
        async def test(path):
            process = Process(
                ["standin", "platform", "--port", "0", "--control-port", "0"],
                Path(path, "log"),
            )
            process.start()
            ports = await process.first_line()
            self.assertEqual({"port", "control_port"}, set(ports))
            self.assertGreater(process.usage().rss_bytes, 0)
            process.terminate()
            self.assertEqual(0, await process.ended(20))
            process.start()
            process.kill()
            self.assertEqual(-9, process.exit_code)

        with tempfile.TemporaryDirectory() as path:
            asyncio.run(test(path))

    def test_a_process_that_ends_at_its_start_is_an_error_with_its_log(self):
        async def test(path):
            words = ["standin", "platform", "--address", "192.0.2.1", "--port", "0"]
            process = Process(words, Path(path, "log"))
            process.start()
            try:
                await process.first_line()
            finally:
                process.kill()

        with tempfile.TemporaryDirectory() as path:
            error = self.assertRaises(MeasureError, asyncio.run, test(path))
        self.assertIn("address-in-use", str(error))


class SlowLinkTests(TestCase):
    def test_bytes_arrive_unchanged_in_both_directions(self):
        # Guards against a link that loses or mixes bytes: the figures of calls that
        # end with a broken link would pass for slow ones.
        data = bytes(range(256)) * 100

        async def echo(reader, writer):
            writer.write(await reader.readexactly(len(data)))
            await writer.drain()
            writer.close()

        async def exchange(port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            try:
                return await reader.read()
            finally:
                writer.close()

        async def test():
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            link = SlowLink(50.0, server.sockets[0].getsockname())
            try:
                async with asyncio.timeout(20):
                    return await asyncio.gather(*(exchange(link.port) for _ in "ab"))
            finally:
                await link.close()
                server.close()

        self.assertEqual([data, data], asyncio.run(test()))


class BodiesTests(TestCase):
    def test_uploads_have_large_bodies_and_run_once(self):
        # Guards against a comparison in which neither way sends parts.
        kinds = {
            each.name: (each.large_bodies, each.idempotent)
            for each in make_config().routes
        }
        upload = (True, False)
        expected = {"small": (False, True), "upload": upload, "batch": upload}
        self.assertEqual(expected, kinds)

    def test_every_way_and_the_memory_are_measured(self):
        # Guards against figures of calls that failed or were never made.
        report = asyncio.run(measure_bodies(BodyPlan((0.7,), 1.0, 3)))
        self.assertEqual(list(WAYS), [each.way for each in report.latency])
        self.assertEqual([WHOLE, PARTS], [each.way for each in report.memory])
        for each in report.latency:
            self.assertGreater(each.small.get("200", 0), 0)
            self.assertGreater(each.bodies.get("200", 0), 0)
        for each in report.memory:
            self.assertEqual({"200": 3}, each.answers)
            self.assertGreater(each.entry_before_mb, 0)
