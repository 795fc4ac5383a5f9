"""Tests of a store that comes back from an older copy of itself."""

import os
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.evacuation import Evacuation, Evacuations
from sequoiaspoke.core.mesh.model import Departure, Endpoint, PublishedEndpoint
from sequoiaspoke.core.mesh.revision import (
    MAX_ERA,
    MAX_REVISION,
    describe,
    era_of,
    is_copied,
    join,
    number_of,
)
from sequoiaspoke.tests import spreadsim
from sequoiaspoke.tests.spreadsim import RestoreWorld, simulate

SEEDS = range(int(os.environ.get("RESTORE_SEEDS", "6")))
ENDPOINT = Endpoint("i-1", "fleet", "10.0.0.1", 80, "akaki", 4)


class RevisionTests(TestCase):
    def test_revisions_are_ordered_by_era_first(self):
        ordered = [join(0, 1), join(0, MAX_REVISION), join(1, 0), join(1, 9)]
        self.assertEqual(ordered, sorted(ordered))

    def test_era_and_number_are_kept(self):
        for era, number in ((0, 7), (3, 0), (MAX_ERA, MAX_REVISION)):
            revision = join(era, number)
            self.assertEqual((era_of(revision), number_of(revision)), (era, number))
            self.assertTrue(revision < 1 << 63)

    def test_a_store_without_eras_has_plain_revisions(self):
        self.assertEqual((join(0, 12), describe(12)), (12, "12"))
        self.assertEqual(describe(join(2, 12)), "2:12")

    def test_only_a_number_that_was_given_out_before_may_be_copied(self):
        self.assertTrue(is_copied(join(1, 5), join(0, 5)))
        self.assertFalse(is_copied(join(1, 6), join(0, 5)))
        self.assertFalse(is_copied(join(1, 5), join(1, 5)))


class RestoredDirectoryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()
        self.directory.put(ENDPOINT, join(1, 5), 0.0)

    def serving(self):
        return [each.instance for each in self.directory.serving("fleet")]

    def test_an_upstream_that_left_is_not_restored_from_the_copy(self):
        # Guards against calls to an upstream whose removal the store has lost.
        self.directory.remove("i-1", join(1, 9), 0.0)
        self.assertFalse(self.directory.put(ENDPOINT, join(2, 5), 1.0))
        self.directory.apply_departure(Departure("i-1", 0, join(1, 9)), 1.0)
        self.assertFalse(self.directory.put(ENDPOINT, join(2, 5), 1.0))
        self.assertEqual(self.serving(), [])

    def test_an_upstream_that_registers_again_serves(self):
        self.directory.remove("i-1", join(1, 9), 0.0)
        self.assertTrue(self.directory.put(ENDPOINT, join(2, 6), 1.0))
        self.assertEqual(self.serving(), ["i-1"])

    def test_an_upstream_that_registers_again_in_the_era_of_its_removal_serves(self):
        # Guards against a refusal by the number of a write of an earlier era.
        self.directory.remove("i-1", join(2, 3), 0.0)
        self.assertTrue(self.directory.put(ENDPOINT, join(2, 4), 1.0))

    def test_a_drain_that_the_store_has_lost_counts(self):
        self.directory.put(replace(ENDPOINT, draining=True), join(1, 9), 0.0)
        self.directory.put(ENDPOINT, join(2, 5), 1.0)
        self.assertEqual(self.serving(), [])

    def test_a_removal_after_the_store_came_back_counts(self):
        # Guards against a removal with a lower number than that of the entry.
        listed = [PublishedEndpoint(ENDPOINT, join(2, 3))]
        self.directory.reconcile(listed, join(2, 4), 1.0)
        self.assertTrue(self.directory.remove("i-1", join(2, 5), 1.0))

    def test_a_copied_entry_does_not_make_an_upstream_cold_again(self):
        # Guards against the remaining cold time of a copy, which is from before.
        cold = replace(ENDPOINT, cold_seconds=5.0)
        self.directory.put(cold, join(1, 6), 0.0)
        self.directory.put(cold, join(2, 6), 20.0)
        self.assertFalse(self.directory.is_cold("i-1", 20.0))

    def test_a_lagging_node_does_not_restore_entries_of_an_earlier_era(self):
        self.directory.complete_to = join(2, 2)
        other = replace(ENDPOINT, instance="i-2")
        self.assertFalse(self.directory.put(other, join(1, 90), 1.0, from_peer=True))


class RestoredEvacuationTests(TestCase):
    def setUp(self):
        super().setUp()
        self.evacuations = Evacuations()
        self.evacuations.apply(Evacuation("akaki", join(1, 9)))
        self.evacuations.keep_until = 10.0
        self.evacuations.end_missing([], join(2, 4), 8.0)

    def test_an_order_that_the_store_has_lost_is_kept_until_it_is_written_again(self):
        # Guards against calls to an evacuated zone while its order is missing.
        self.assertEqual(self.evacuations.zones, {"akaki"})
        self.evacuations.apply(Evacuation("akaki", join(2, 5)))
        self.assertFalse(self.evacuations.end_kept(11.0))
        self.assertEqual(self.evacuations.zones, {"akaki"})

    def test_an_order_that_is_not_written_again_ends(self):
        self.assertFalse(self.evacuations.end_kept(9.9))
        self.assertTrue(self.evacuations.end_kept(10.0))
        self.assertEqual(self.evacuations.zones, frozenset())

    def test_an_order_of_the_current_era_ends_at_once(self):
        self.evacuations.apply(Evacuation("akaki", join(2, 5)))
        self.evacuations.end_missing([], join(2, 6), 9.0)
        self.assertEqual(self.evacuations.zones, frozenset())


class RestoredStoreSimulationTests(TestCase):
    def test_changes_after_a_restore_are_acted_on(self):
        # Guards against nodes that take the changes of a restored store for old ones.
        for seed in SEEDS:
            world = simulate(seed, self, RestoreWorld)
            self.assertEqual((seed, world.problems), (seed, []))
            self.assertTrue(world.store.era > 1)

    def test_without_eras_some_simulation_fails(self):
        self.patch(spreadsim, "join", lambda era, number: number)
        self.assertTrue(
            any(simulate(seed, self, RestoreWorld).problems for seed in SEEDS)
        )
