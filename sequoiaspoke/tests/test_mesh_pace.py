"""Tests of the pace that an upstream reports, and of what follows from it."""

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival, RefusalReason
from sequoiaspoke.core.mesh.durations import Durations
from sequoiaspoke.core.mesh.pace import MEAN_HALF_LIFE, Pace


class PaceTests(TestCase):
    def test_a_report_fades_to_the_mean_of_the_reports(self):
        # A machine that was slow when last heard of would get no further call.
        pace = Pace()
        pace.record(1.0, 0.0)
        pace.record(2.0, MEAN_HALF_LIFE)
        self.assertEqual(pace.mean, 1.5)
        seconds = (0.0, 1.0, 2.0, 3.0)
        found = [pace.current(MEAN_HALF_LIFE + each) for each in seconds]
        self.assertEqual(found, [2.0, 2.0, 1.75, 1.625])

    def test_only_a_rise_by_half_counts(self):
        # The first report after a start shows no change.
        pace = Pace()
        found = [pace.record(each, 0.0) for each in (2.5, 1.0, 1.4, 2.1, 1.0)]
        self.assertEqual(found, [False, False, False, True, False])


class DurationsPaceTests(TestCase):
    def setUp(self):
        super().setUp()
        self.durations = Durations()

    def answer(self, begun, seconds, pace):
        self.durations.begin(1, "a", begun)
        self.durations.pace.record(pace, begun + seconds)
        self.durations.end(1, True, begun + seconds)

    def test_the_expectation_follows_the_pace_within_one_answer(self):
        # A mean over seven calls would place calls by a pace that has passed.
        self.answer(0.0, 0.1, 1.0)
        self.answer(0.2, 0.175, 2.5)  # it became slow halfway through
        self.assertAlmostEqual(self.durations.expected("a", 0.4), 0.25)
        self.assertAlmostEqual(self.durations.expected("new", 0.4), 0.25)
        self.answer(0.4, 0.175, 1.0)
        self.assertAlmostEqual(self.durations.expected("a", 0.6), 0.1)

    def test_a_restart_ends_the_pace(self):
        # The next process may run on another machine.
        self.answer(0.0, 0.25, 2.5)
        self.durations.reset()
        self.assertEqual(self.durations.expected("a", 0.3), 0.1)


class PaceAdmissionTests(TestCase):
    def test_waits_and_refusals_use_the_pace(self):
        # Calls would be queued that a slow machine cannot answer in time.
        admission = Admission(1)
        admission.record_pace(1.0, 0.0)
        for number in range(2):
            admission.arrive(Arrival(number, "a", 0, 9.0, 9.0), 0.0)
        admission.next(0.0)
        self.assertAlmostEqual(admission.wait_for_rank(0, 0.0), 0.2)
        admission.record_pace(2.5, 0.0)
        self.assertAlmostEqual(admission.wait_for_rank(0, 0.0), 0.5)
        refused = admission.arrive(Arrival(2, "a", 0, 0.6, 0.6), 0.0)
        self.assertEqual(refused.reason, RefusalReason.NO_TIME)
