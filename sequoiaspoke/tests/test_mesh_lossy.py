"""Tests with links between nodes and to the store that lose packets or are slow."""

from functools import partial

from testtools import TestCase

from sequoiaspoke.tests.meshsim import MeshWorld, play_world
from sequoiaspoke.tests.spreadsim import SpreadWorld

SEEDS = range(6)
# Share of lost packets, and seconds until a lost packet is sent again.
LOSS_RATE, RESEND_DELAY = 0.03, 0.25
# Response time in seconds of a store that is sixty times slower than usual.
SLOW_DELAY = 0.24


class LossyMesh(MeshWorld):
    """A mesh in which a lost packet delays those behind it until it is resent."""

    def delay(self):
        return super().delay() + (
            RESEND_DELAY if self.rng.random() < LOSS_RATE else 0.0
        )


class LossySpread(SpreadWorld):
    """Nodes that follow the store over links that lose packets."""

    def delay(self):
        return super().delay() + (
            RESEND_DELAY if self.rng.random() < LOSS_RATE else 0.0
        )


class SlowSpread(SpreadWorld):
    """Nodes whose store and links respond slowly."""

    def delay(self):
        return super().delay() + SLOW_DELAY

    def is_relevant(self, problem):
        """Return whether a problem is other than a late change."""
        return "not acted on" not in problem


class LossyLinksTests(TestCase):
    def test_guarantees_hold_over_links_that_lose_packets(self):
        # One packet in thirty is lost, which delays those behind it on its link by a
        # quarter of a second. If a home took this for the end of the link, or an entry
        # for a refusal, a non-idempotent call could run twice or be reported as not
        # run.
        for seed in SEEDS:
            world = play_world(partial(LossyMesh, seed), self)
            self.assertEqual((seed, world.problems), (seed, []))
            served = sum(a.status == 200 for a in world.answers.values())
            self.assertTrue(served > len(world.answers) / 2, served)

    def test_changes_arrive_in_time_over_links_that_lose_packets(self):
        # Confirmations of a reader are sometimes late. If nodes took their readers for
        # dead at once, all would read the store.
        for seed in SEEDS:
            world = play_world(partial(LossySpread, seed), self)
            self.assertEqual((seed, world.problems), (seed, []))


class SlowStoreTests(TestCase):
    def test_a_slow_store_only_delays_changes(self):
        # Each answer of the store takes a quarter of a second. Changes may be applied
        # late, but no node may return to an older version or end in a different state.
        for seed in SEEDS:
            world = play_world(partial(SlowSpread, seed), self)
            relevant = [each for each in world.problems if world.is_relevant(each)]
            self.assertEqual((seed, relevant), (seed, []))
