"""Tests of routes that are restricted to regions, on a virtual clock."""

from dataclasses import replace
from functools import partial

from testtools import TestCase

from sequoiaspoke.sidecar.attempts import Attempts
from sequoiaspoke.sidecar.linkclient import LinkClient
from sequoiaspoke.tests.meshsim import MeshWorld, play_world

SEEDS = range(6)
ALLOWED, FORBIDDEN = "south", "north"


class RegionBoundMesh(MeshWorld):
    """A mesh of two zones in two regions; its routes are restricted to one."""

    regions = {"z0": ALLOWED, "z1": FORBIDDEN}
    bound = frozenset({ALLOWED})

    def route(self, name):
        return replace(super().route(name), regions=self.bound)


class UnservedRegionMesh(RegionBoundMesh):
    """A mesh whose routes are restricted to a region without zones."""

    bound = frozenset({"west"})


class RegionTests(TestCase):
    def setUp(self):
        super().setUp()
        self.sent_to = []
        submit = LinkClient.submit

        def recording_submit(link, call, tell):
            self.sent_to.append((link.identity.host, link.address[0]))
            return submit(link, call, tell)

        self.patch(LinkClient, "submit", recording_submit)

    def play(self, mesh, seed):
        """Run a mesh; return it and the regions where calls ran and were sent."""
        self.sent_to.clear()
        world = play_world(partial(mesh, seed), self)
        self.assertEqual((seed, world.problems), (seed, []))
        ran = {
            world.regions[world.endpoints[instance].zone]
            for arrivals in world.arrivals.values()
            for instance, _ in arrivals
        }
        sent = {world.regions[world.zone_of(host)] for _, host in self.sent_to}
        return world, ran, sent

    def test_calls_run_and_are_sent_only_in_allowed_regions(self):
        # Nodes are killed or cut off, and upstreams become slow, refuse calls and lose
        # answers. Another region has free slots, but the calls may not be sent there.
        for seed in SEEDS:
            world, ran, sent = self.play(RegionBoundMesh, seed)
            self.assertEqual((ran, sent), ({ALLOWED}, {ALLOWED}))
            self.assertTrue(any(a.status == 200 for a in world.answers.values()))

    def test_calls_without_an_allowed_region_are_refused_as_not_run(self):
        world, ran, sent = self.play(UnservedRegionMesh, 1)
        self.assertEqual((ran, sent), (set(), set()))
        self.assertEqual({a.status for a in world.answers.values()}, {503})

    def test_without_the_check_calls_run_in_other_regions(self):
        self.patch(Attempts, "allowed", lambda self, route, endpoint: True)
        _, ran, _ = self.play(RegionBoundMesh, 1)
        self.assertIn(FORBIDDEN, ran)
