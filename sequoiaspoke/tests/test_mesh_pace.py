"""Tests of the pace that an upstream reports, and of what follows from it."""

import random
from statistics import mean

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


class PassingOnTests(TestCase):
    def setUp(self):
        super().setUp()
        self.admission = Admission(1)
        self.admission.load_shedding = True
        self.admission.record_pace(1.0, 0.0)

    def queue(self, ticket, on_time=0.35, deadline=2.0):
        arrival = Arrival(ticket, "a", 0, on_time, deadline)
        self.assertIsNone(self.admission.arrive(arrival, 0.0))

    def rise(self, pace=2.5):
        passed = self.admission.record_pace(pace, 0.0)
        self.assertEqual({each.reason for each in passed} - {RefusalReason.BUSY}, set())
        return [each.arrival.ticket for each in passed]

    def test_calls_that_would_now_be_late_are_passed_on(self):
        # They would wait for a slow upstream while others are as fast as usual.
        self.queue("running")
        self.admission.next(0.0)
        self.queue("late")
        self.queue("without time", deadline=0.45)
        self.queue("patient", on_time=9.0)
        self.assertEqual(self.rise(pace=1.4), [])
        self.assertEqual(self.rise(), ["late"])
        self.assertEqual(list(self.admission.queue), ["without time", "patient"])

    def test_each_call_is_passed_on_once(self):
        # With all homes slow, it would be passed around until its deadline.
        self.queue("first attempt")
        self.assertEqual(self.rise(pace=4.0), ["first attempt"])
        self.admission.record_pace(1.0, 0.0)
        self.queue("second attempt")
        self.queue("other call", on_time=0.34)
        self.assertEqual(self.rise(pace=4.0), ["other call"])

    def test_without_the_switch_no_call_is_passed_on(self):
        self.admission.load_shedding = False
        self.queue("late")
        self.assertEqual(self.rise(pace=4.0), [])


class UnevenSpeedTests(TestCase):
    """Four homes, two of which are 2.5 times as slow for 0.15 of the time."""

    def play(self, reported, seed):
        """Return the share of calls answered on time by the home expected first."""
        rng, homes = random.Random(seed), [Admission(2) for _ in range(4)]
        paces, calls, on_time, asked = [1.0] * 4, {}, 0, 0
        for home in homes:
            home.load_shedding = True
        for step in range(8000):
            now = step * 0.005
            if step % 120 == 0:
                paces[:2] = [2.5 if rng.random() < 0.15 else 1.0 for _ in range(2)]
            waiting = [now] if rng.random() < 0.28 else []
            asked += len(waiting)
            for number, home in enumerate(homes):
                ended = [each for each, end in calls.items() if end == (number, step)]
                for ticket in ended:
                    del calls[ticket]
                    if reported:
                        passed = home.record_pace(paces[number], now)
                        waiting += [each.arrival.on_time - 0.4 for each in passed]
                    home.finish(ticket, True, now)
                    on_time += now <= ticket[0] + 0.4
            for begun in waiting:
                home = min(homes, key=lambda each: self.seconds(each, now))
                ticket = (begun, rng.random())
                home.arrive(Arrival(ticket, "a", 0, begun + 0.4, begun + 2.4), now)
            for number, home in enumerate(homes):
                while (arrival := home.next(now)[0]) is not None:
                    work = 0.13 * paces[number] * rng.uniform(0.7, 1.3)
                    calls[arrival.ticket] = (number, step + 1 + int(work / 0.005))
        return on_time / asked

    def seconds(self, home, now):
        return home.wait_for_rank(0, now) + home.durations.expected("a", now)

    def test_calls_avoid_an_upstream_that_reports_to_be_slow(self):
        # Placed by a mean over seven calls, they arrive there when it is slow.
        with_pace, without = (
            mean(self.play(reported, seed) for seed in range(6))
            for reported in (True, False)
        )
        self.assertGreater(with_pace, without + 0.01)
