"""Tests of load shedding at a home: nested calls and calls whose time runs out."""

import asyncio
from dataclasses import replace
from math import inf
from random import Random
from types import SimpleNamespace

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import (
    QUEUE_PER_SLOT,
    REFUSAL_LEAD,
    Admission,
    Arrival,
    RefusalReason,
    queue_rank,
)
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig
from sequoiaspoke.core.mesh.outcome import Request
from sequoiaspoke.core.mesh.slots import Load
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.app import Sidecar
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.settings import SidecarSettings
from sequoiaspoke.sidecar.upstreamreport import UpstreamReport
from sequoiaspoke.tests.meshsim import VirtualLoop
from sequoiaspoke.tests.test_sidecar_entry import NoItems, route
from sequoiaspoke.tests.test_sidecar_home import BlockingUpstream

ENDPOINT = Endpoint("i-1", "fleet", "10.0.0.1", 80, "akaki", 1)


class NestedAdmissionTests(TestCase):
    def setUp(self):
        super().setUp()
        self.admission = Admission(1)
        self.admission.load_shedding = True
        self.tickets = 0

    def arrive(self, priority, nested, on_time=9.0, deadline=9.0):
        self.tickets += 1
        rank = queue_rank(priority, nested)
        arrival = Arrival(self.tickets, "a", rank, on_time, deadline)
        return self.admission.arrive(arrival, 0.0)

    def test_a_nested_call_is_known_by_its_rank(self):
        for priority in range(4):
            for nested in (False, True):
                rank = queue_rank(priority, nested)
                self.assertEqual(Arrival(0, "a", rank, 1.0, 1.0).nested, nested)

    def test_a_late_nested_call_waits_and_a_late_fresh_one_is_refused(self):
        # The refusal of a nested call wastes the work of its parent.
        for nested, reason in ((True, None), (False, RefusalReason.OVERLOADED)):
            for _ in range(2):
                self.arrive(1, True)
            refused = self.arrive(1, nested, on_time=0.01)
            self.assertEqual(refused and refused.reason, reason)

    def test_a_nested_call_that_cannot_end_in_time_is_refused(self):
        # It would take a slot for an answer that its parent does not get.
        for _ in range(2):
            self.arrive(1, True)
        refused = self.arrive(1, True, deadline=0.2)
        self.assertEqual(refused.reason, RefusalReason.NO_TIME)

    def test_without_the_switch_a_late_nested_call_is_refused_as_before(self):
        self.admission.load_shedding = False
        for _ in range(2):
            self.arrive(1, True)
        refused = self.arrive(1, True, on_time=0.01)
        self.assertEqual(refused.reason, RefusalReason.OVERLOADED)

    def test_a_full_queue_drops_a_fresh_call_of_the_same_priority_first(self):
        # Also where the nested call is late and the fresh one is not.
        for priority in (1, 2):
            self.arrive(priority, False)
        for _ in range(QUEUE_PER_SLOT - 2):
            self.arrive(1, True, on_time=0.01)
        dropped = [self.arrive(1, True, on_time=0.01).arrival for _ in range(2)]
        self.assertEqual([each.ticket for each in dropped], [2, 1])


def make_home(load_shedding=True):
    """Return a home whose upstream answers when its gate is opened."""
    log = EventLog("x-request-id")
    log.allowed = lambda kind: False
    home = Home(BlockingUpstream(), Directory(), log)
    home.incarnation = ENDPOINT.incarnation
    home.admission.load_shedding = load_shedding
    return home


def submit(home, number, on_time, deadline, on_outcome):
    now, request = clock.now(), Request("GET", "/", (), b"")
    times = (now + on_time, now + deadline)
    call = HomeCall(request, home.incarnation, "r", 0, True, *times)
    home.submit(number, call, on_outcome)


class PaceReportTests(TestCase):
    def test_the_home_passes_calls_on_and_counts_what_it_drops(self):
        # Reported by the answer to a health check, when no call is answered.
        outcomes = []

        async def run():
            home = make_home()
            for number in range(2):
                submit(home, number, 0.4, 9.0, outcomes.append)
            for load in (Load(1, 0, 1, 1.0), Load(1, 0, 1, 3.0)):
                home.apply_health_report("i-1", UpstreamReport(load), 0.0)
            home.apply_health_report("", UpstreamReport(invalid_pace=True), 0.0)
            home.upstream.gate.set()
            await asyncio.sleep(0.01)
            return home.counts

        counts = asyncio.run(run())
        self.assertEqual(outcomes[0].reason, RefusalReason.BUSY)
        self.assertEqual((counts["passed-on"], counts["pace-dropped"]), (1, 1))


class OverdueTests(TestCase):
    def play(self, load_shedding):
        """Return the outcomes of three calls for one slot, and when they came."""
        loop, outcomes = VirtualLoop(), []
        self.patch(clock, "now", loop.time)
        begun = clock.now()

        async def run():
            home = make_home(load_shedding)
            for number, deadline in enumerate((9.0, 0.5, 0.3)):
                submit(home, number, inf, deadline, add)
            await asyncio.sleep(1.0)
            home.upstream.gate.set()
            await asyncio.sleep(0.1)

        def add(outcome):
            outcomes.append((outcome, clock.now() - begun))

        try:
            loop.run_until_complete(run())
        finally:
            loop.close()
        return outcomes

    def test_a_call_whose_time_runs_out_is_refused_before_its_deadline(self):
        # Found only at the next event, it would end as a timeout though it never ran.
        (first, first_at), (second, second_at), _ = self.play(True)
        self.assertEqual([first.reason, second.reason], ["no-time", "no-time"])
        self.assertAlmostEqual(first_at, 0.3 - 0.05, delta=0.003)
        self.assertAlmostEqual(second_at, 0.5 - 0.05, delta=0.003)

    def test_without_the_switch_there_is_no_timer(self):
        self.assertEqual(len([at for _, at in self.play(False) if at < 0.9]), 0)

    def test_a_short_call_is_refused_in_time_for_its_entry(self):
        # Half of its expected duration is less than the way to its entry takes.
        admission = Admission(1)
        admission.load_shedding = True
        admission.durations.overall = REFUSAL_LEAD
        self.assertEqual(admission.next_overdue(0.0), inf)
        admission.arrive(Arrival(1, "a", 0, 1.0, 1.0), 0.0)
        self.assertEqual(admission.next_overdue(0.0), 1.0 - REFUSAL_LEAD)


class SwitchTests(TestCase):
    def test_load_shedding_is_in_force_only_with_large_bodies(self):
        # All other deployments are served as before, also once the route has gone.
        async def run():
            address = ("10.0.0.1", 1)
            settings = SidecarSettings("n", "fleet", "akaki", *[address] * 5)
            store = SimpleNamespace(new_headers=None)
            return Sidecar(settings, store, NoItems(), None, None, Random(1))

        sidecar, found = asyncio.run(run()), []
        sidecar.peers.refresh = lambda: None
        sidecar.log.allowed = lambda kind: False
        large = replace(route("upload", False), large_bodies=True)
        for routes in ((), (large,), ()):
            sidecar.state.table = RouteTable(MeshConfig(1, routes, {}))
            sidecar.apply_change()
            found.append(sidecar.home.admission.load_shedding)
        self.assertEqual(found, [False, True, False])
