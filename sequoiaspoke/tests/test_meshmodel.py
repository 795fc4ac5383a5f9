"""Tests of what callers get while zones are evacuated or cold, on a virtual clock.

Homes and entries decide as in the program; upstreams, callers and the clock are played.
"""

from testtools import TestCase

from sequoiaspoke.commands.measure import COMMANDS
from sequoiaspoke.errors import MeasureError
from sequoiaspoke.measure.meshmodel import COLD_SECONDS, SCENARIOS, play_mesh
from sequoiaspoke.measure.meshreport import measure_mesh, mesh_table

# Seconds after the cold ones by which service is back: a second to notice each change,
# as shares are told by whole seconds.
BACK_WITHIN = COLD_SECONDS + 1


class ZonePlayTests(TestCase):
    def play(self, name):
        scenario = SCENARIOS[name]
        (result,) = play_mesh(name, 1)
        self.assertEqual(result.misplaced, 0)
        back = result.back_after(int(scenario.begin), int(scenario.end))
        self.assertTrue(back is not None and back <= BACK_WITHIN, back)
        return scenario, result

    def test_a_zone_that_is_emptied_costs_no_caller_its_answer(self):
        # A third of the upstreams is taken out while they are 0.7 full, so that the
        # others are nearly full. Callers wait a little longer; nobody is turned away
        # for good, and no call reaches the empty zone.
        scenario, result = self.play("evacuated")
        self.assertTrue(result.total(result.served) > 0.99)
        self.assertTrue(result.busiest_cold <= scenario.most_cold)

    def test_a_cold_zone_beside_two_warm_ones_is_spared(self):
        # A zone comes back cold. Its callers find its upstreams idle and would crash
        # them; the others have room for what they may not get.
        scenario, result = self.play("cold-zone")
        self.assertTrue(result.total(result.served) > 0.99)
        self.assertTrue(0 < result.busiest_cold <= scenario.most_cold)

    def test_all_zones_cold_at_once_come_back_together(self):
        # Power is lost everywhere. What the upstreams bear is less than what callers
        # want for as long as they are cold, and all is back a second after that.
        scenario, result = self.play("all-cold")
        self.assertTrue(0 < result.busiest_cold <= scenario.most_cold)

    def test_without_the_bound_cold_upstreams_get_several_times_as_much(self):
        _, result = self.play("all-cold-unbounded")
        bound = SCENARIOS["all-cold"].most_cold
        self.assertTrue(result.busiest_cold > 2 * bound, result.busiest_cold)

    def test_one_seed_gives_one_play(self):
        one, other = play_mesh("calm", 1), play_mesh("calm", 1)
        self.assertEqual(one, other)


class MeshCommandTests(TestCase):
    def test_a_table_tells_each_scenario_that_was_asked_for(self):
        found = measure_mesh(["calm"], 2)
        self.assertEqual([each.seed for each in found], [0, 1])
        table = mesh_table(found).splitlines()
        self.assertEqual([line.split()[0] for line in table[1:]], ["calm"])

    def test_what_cannot_be_played_is_refused(self):
        self.assertRaises(MeasureError, measure_mesh, ["nowhere"], 1)
        self.assertRaises(MeasureError, measure_mesh, ["calm"], 0)
        self.assertIn("mesh", COMMANDS)
