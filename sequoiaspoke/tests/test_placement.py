"""Tests of the comparison of slot requests with the choice by load reports."""

from testtools import TestCase

from sequoiaspoke.measure.meshreport import measure_mesh, mesh_table

# Largest share of late calls that the choice of homes may cause at 0.7 of the slots.
MAX_LATE = 0.08


class PlacementTests(TestCase):
    def test_slot_requests_make_fewer_calls_late_and_answers_faster(self):
        # Guards against a rule that is worse than the choice by load reports.
        names = ("2-slots-uneven", "2-slots-uneven-asking")
        found = measure_mesh(names, 1)
        reports, asking = found
        self.assertTrue(asking.late < min(reports.late, MAX_LATE), found)
        self.assertTrue(asking.seconds < reports.seconds, found)
        self.assertEqual((reports.requests, reports.busy), (0, 0))
        table = mesh_table(found).splitlines()
        self.assertEqual(tuple(line.split()[0] for line in table[1:]), names)

    def test_nested_calls_of_a_small_service_do_not_fail_more_often(self):
        # Guards against refused nested calls, each of which fails its parent.
        reports, asking = (
            next(each for each in measure_mesh([name], 1) if each.kind == "nested")
            for name in ("ingest-uneven", "ingest-uneven-asking")
        )
        self.assertTrue(asking.failed <= reports.failed, (reports, asking))
