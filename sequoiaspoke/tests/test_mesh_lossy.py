"""Tests of nodes whose links, and whose way to the store, lose packets or are slow."""

from functools import partial

from testtools import TestCase

from sequoiaspoke.tests.meshsim import MeshWorld, play_world
from sequoiaspoke.tests.spreadsim import SpreadWorld

SEEDS = range(6)
# Share of packets that are lost, and seconds until one is sent again.
LOSS_RATE, RESEND_DELAY = 0.03, 0.25
# Seconds of an answer of a store that is sixty times slower than usual.
SLOW_DELAY = 0.24


class LossyMesh(MeshWorld):
    """A mesh in which what follows a lost packet waits until it is sent again."""

    def delay(self):
        return super().delay() + (
            RESEND_DELAY if self.rng.random() < LOSS_RATE else 0.0
        )


class LossySpread(SpreadWorld):
    """The same for nodes that follow the store."""

    def delay(self):
        return super().delay() + (
            RESEND_DELAY if self.rng.random() < LOSS_RATE else 0.0
        )


class SlowSpread(SpreadWorld):
    """Nodes whose store, and links, take long for each answer."""

    def delay(self):
        return super().delay() + SLOW_DELAY

    def is_relevant(self, problem):
        """Return whether a problem is one beyond being told late."""
        return "not acted on" not in problem


class LossyLinksTests(TestCase):
    def test_callers_are_told_the_truth_over_links_that_lose_packets(self):
        # One packet in thirty is lost, and all behind it on its link waits for a
        # quarter of a second. A home that took this for the end of a link, or an entry
        # that took it for a refusal, would run an order twice or tell it as not run.
        for seed in SEEDS:
            world = play_world(partial(LossyMesh, seed), self)
            self.assertEqual((seed, world.problems), (seed, []))
            served = sum(a.status == 200 for a in world.answers.values())
            self.assertTrue(served > len(world.answers) / 2, served)

    def test_changes_are_acted_on_in_time_over_links_that_lose_packets(self):
        # A reader's confirmation comes late now and then. Nodes that took their readers
        # for dead at once would all read the store.
        for seed in SEEDS:
            world = play_world(partial(LossySpread, seed), self)
            self.assertEqual((seed, world.problems), (seed, []))


class SlowStoreTests(TestCase):
    def test_a_slow_store_takes_no_node_back_and_leaves_none_behind(self):
        # Each answer of the store takes a quarter of a second for the whole history. A
        # change may be acted on late; an older version, or another end, is never right.
        for seed in SEEDS:
            world = play_world(partial(SlowSpread, seed), self)
            relevant = [each for each in world.problems if world.is_relevant(each)]
            self.assertEqual((seed, relevant), (seed, []))
