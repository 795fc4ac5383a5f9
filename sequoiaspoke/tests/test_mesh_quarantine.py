"""Tests of crash reports and of the quarantine of requests."""

import itertools
import random
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh import crashes
from sequoiaspoke.core.mesh.admission import Admission, Arrival, RefusalReason
from sequoiaspoke.core.mesh.crashes import (
    KEEP_SECONDS,
    PROVEN_KEEP_SECONDS,
    Crash,
    Crashes,
)
from sequoiaspoke.core.mesh.quarantine import HOLD_SECONDS, Quarantine, find_proven
from sequoiaspoke.errors import MessageError
from sequoiaspoke.sidecar.crashwire import pack_crash, unpack_crash

SERVICE, NOW = "fleet", 1000.0


def crash(number, suspects="ab", proven="", cleared="", at=NOW):
    return Crash(
        f"i-{number}@1",
        f"i-{number}",
        SERVICE,
        at,
        frozenset(suspects),
        frozenset(proven),
        frozenset(cleared),
    )


class CrashesTests(TestCase):
    def test_merging_reports_is_commutative_and_idempotent(self):
        # Guards against nodes that disagree after a network partition.
        rng = random.Random(5)
        reports = [
            crash(number, *(rng.sample("abcd", rng.randrange(5)) for _ in range(3)))
            for number in range(3)
            for _ in range(3)
        ]
        sums = set()
        for order in itertools.islice(itertools.permutations(reports), 0, None, 5000):
            known = Crashes()
            for each in (*order, *rng.sample(order, 4)):
                known.add(each, NOW)
            sums.add(known.checksum)
        self.assertEqual(len(sums), 1)

    def test_a_repeated_report_changes_nothing(self):
        # Guards against two nodes that send each other the same report forever.
        known = Crashes()
        self.assertIsNotNone(known.add(crash(1), NOW))
        self.assertIsNone(known.add(crash(1, at=NOW + 1), NOW))
        self.assertIsNone(known.add(crash(1, suspects="a"), NOW))

    def test_an_old_report_does_not_revert_a_clearance(self):
        # Guards against a report that arrives late.
        known = Crashes()
        known.add(crash(1), NOW)
        known.clear(SERVICE, "a")
        known.add(crash(1), NOW)
        self.assertEqual(known.for_request(SERVICE, "a"), [])
        self.assertEqual(len(known.for_request(SERVICE, "b")), 1)

    def test_an_answer_clears_only_earlier_crashes(self):
        # Guards against one answer that also clears later crashes.
        known = Crashes()
        known.add(crash(1), NOW)
        known.clear(SERVICE, "a")
        known.add(crash(2), NOW)
        self.assertEqual(len(known.for_request(SERVICE, "a")), 1)

    def test_crashes_are_forgotten_after_a_time(self):
        known = Crashes()
        known.add(crash(1), NOW)
        known.add(crash(2, proven="a"), NOW)
        known.expire(NOW + KEEP_SECONDS + 1)
        self.assertEqual(list(known.by_name), ["i-2@1"])
        known.expire(NOW + PROVEN_KEEP_SECONDS + 1)
        self.assertEqual((known.by_name, known.by_request), ({}, {}))
        self.assertIsNone(known.add(crash(1), NOW + KEEP_SECONDS + 1))

    def test_the_number_of_crashes_is_limited(self):
        # Guards against a caller that sends any number of different requests.
        self.patch(crashes, "MAX_CRASHES", 50)
        known = Crashes()
        known.add(crash("proven", proven="a", at=NOW - 1), NOW)
        for number in range(2000):
            known.add(crash(number, suspects=(f"x{number}",), at=NOW + number), NOW)
        self.assertEqual(len(known.by_name), 50)
        self.assertEqual(len(known.by_request), 51)
        self.assertIn("i-proven@1", known.by_name)

    def test_a_report_keeps_its_age_when_packed(self):
        packed = pack_crash(crash(1, proven="a", cleared="b"), NOW + 4)
        self.assertEqual(
            unpack_crash(packed, 70.0), crash(1, proven="a", cleared="b", at=66.0)
        )

    def test_a_report_with_a_missing_field_is_an_error(self):
        for part in ("name", "instance", "service_name", "age", "suspects", "cleared"):
            packed = pack_crash(crash(1), NOW)
            setattr(packed, part, None)
            with self.assertRaises(MessageError):
                unpack_crash(packed, NOW)


class QuarantineTests(TestCase):
    def test_one_of_several_suspects_is_never_held_back(self):
        # Guards against a popular request that happens to run at every crash and is
        # held back for that.
        quarantine = Quarantine()
        for number in range(20):
            quarantine.add(crash(number), NOW)
        self.assertTrue(quarantine.is_suspect(SERVICE, "a"))
        self.assertEqual(quarantine.held_requests(NOW), {})

    def test_each_proven_crash_extends_the_hold(self):
        quarantine = Quarantine()
        for number, seconds in enumerate((*HOLD_SECONDS, HOLD_SECONDS[-1])):
            quarantine.add(crash(number, proven="a"), NOW)
            self.assertEqual(quarantine.held_requests(NOW), {(SERVICE, "a"): seconds})
            self.assertEqual(quarantine.held_requests(NOW + seconds), {})

    def test_an_answer_ends_a_hold(self):
        quarantine = Quarantine()
        quarantine.add(crash(1, proven="a"), NOW)
        quarantine.clear(SERVICE, "a")
        self.assertEqual(quarantine.held_requests(NOW), {})
        self.assertFalse(quarantine.is_suspect(SERVICE, "a"))

    def test_a_hold_applies_to_one_service(self):
        # Guards against a route that is moved to another service and refused there.
        quarantine = Quarantine()
        quarantine.add(crash(1, proven="a"), NOW)
        self.assertEqual(quarantine.held_seconds("other", "a", NOW), 0.0)

    def test_an_operator_can_release_a_request(self):
        quarantine = Quarantine()
        quarantine.add(crash(1, proven="a"), NOW)
        quarantine.add(replace(crash(2, proven="a"), service="other"), NOW)
        self.assertEqual(len(quarantine.release("a")), 2)
        self.assertEqual(quarantine.held_requests(NOW), {})
        self.assertEqual(quarantine.release("a"), [])

    def test_a_crash_proves_the_only_earlier_suspect(self):
        self.assertEqual(find_proven({"a": True, "b": False}), frozenset("a"))
        self.assertEqual(find_proven({"a": True, "b": True}), frozenset())
        self.assertEqual(find_proven({"a": False}), frozenset())


class QueuedSuspectsTests(TestCase):
    def arrive(self, admission, ticket, deadline=NOW + 9):
        arrival = Arrival(ticket, "r", 1, NOW + 5, deadline)
        return admission.arrive(arrival, NOW)

    def started(self, admission):
        """Return the tickets that are handed over now."""
        tickets = []
        while (arrival := admission.next(NOW)[0]) is not None:
            tickets.append(arrival.ticket)
        return tickets

    def test_one_suspect_runs_at_a_time_and_delays_no_other_call(self):
        # Guards against two suspects at one upstream: after a crash it would be unknown
        # which of them caused it.
        admission = Admission(4)
        admission.suspects = {"s1", "s2"}
        for ticket in ("s1", "s2", "x", "y"):
            self.assertIsNone(self.arrive(admission, ticket))
        self.assertEqual(self.started(admission), ["s1", "x", "y"])
        admission.finish("x", True, NOW)
        self.assertEqual(self.started(admission), [])
        admission.finish("s1", True, NOW)
        self.assertEqual(self.started(admission), ["s2"])

    def test_a_suspect_that_cannot_run_in_time_is_refused_at_once(self):
        # Guards against callers that wait although their call cannot run in time.
        admission = Admission(4)
        admission.suspects = {str(number) for number in range(50)}
        refused = [
            self.arrive(admission, str(number), NOW + 1.0) for number in range(50)
        ]
        reasons = {each.reason for each in refused if each is not None}
        self.assertEqual(reasons, {RefusalReason.NO_TIME})
