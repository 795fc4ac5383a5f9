"""Tests of what is remembered of crashes and what follows for requests."""

import itertools
import random
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh import crashes
from sequoiaspoke.core.mesh.admission import Admission, Arrival, RefusalReason
from sequoiaspoke.core.mesh.crashes import (
    KEPT_PROVEN_SECONDS,
    KEPT_SECONDS,
    Crash,
    Crashes,
)
from sequoiaspoke.core.mesh.quarantine import HOLD_SECONDS, Quarantine, blame
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
    def test_reports_add_up_to_the_same_in_any_order_and_told_twice(self):
        # Guards against nodes that know different things after a cut.
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
                known.take(each, NOW)
            sums.add(known.checksum)
        self.assertEqual(len(sums), 1)

    def test_what_is_told_again_is_no_news(self):
        # Guards against two nodes that tell each other the same for ever.
        known = Crashes()
        self.assertIsNotNone(known.take(crash(1), NOW))
        self.assertIsNone(known.take(crash(1, at=NOW + 1), NOW))
        self.assertIsNone(known.take(crash(1, suspects="a"), NOW))

    def test_a_request_that_was_cleared_is_not_suspected_by_an_old_report(self):
        # Guards against a report that was long on its way.
        known = Crashes()
        known.take(crash(1), NOW)
        known.clear(SERVICE, "a")
        known.take(crash(1), NOW)
        self.assertEqual(known.of(SERVICE, "a"), [])
        self.assertEqual(len(known.of(SERVICE, "b")), 1)

    def test_an_answer_clears_only_of_crashes_that_were_known(self):
        # Guards against one answer that makes up for all crashes that follow.
        known = Crashes()
        known.take(crash(1), NOW)
        known.clear(SERVICE, "a")
        known.take(crash(2), NOW)
        self.assertEqual(len(known.of(SERVICE, "a")), 1)

    def test_crashes_are_forgotten_after_a_time(self):
        known = Crashes()
        known.take(crash(1), NOW)
        known.take(crash(2, proven="a"), NOW)
        known.expire(NOW + KEPT_SECONDS + 1)
        self.assertEqual(list(known.known), ["i-2@1"])
        known.expire(NOW + KEPT_PROVEN_SECONDS + 1)
        self.assertEqual((known.known, known.by_request), ({}, {}))
        self.assertIsNone(known.take(crash(1), NOW + KEPT_SECONDS + 1))

    def test_thousands_of_crashes_leave_the_memory_bounded(self):
        # Guards against a caller that makes up new requests without end.
        self.patch(crashes, "MOST_CRASHES", 50)
        known = Crashes()
        known.take(crash("proven", proven="a", at=NOW - 1), NOW)
        for number in range(2000):
            known.take(crash(number, suspects=(f"x{number}",), at=NOW + number), NOW)
        self.assertEqual(len(known.known), 50)
        self.assertEqual(len(known.by_request), 51)
        self.assertIn("i-proven@1", known.known)

    def test_a_report_keeps_its_age_on_its_way(self):
        told = pack_crash(crash(1, proven="a", cleared="b"), NOW + 4)
        self.assertEqual(
            unpack_crash(told, 70.0), crash(1, proven="a", cleared="b", at=66.0)
        )

    def test_a_report_without_a_part_is_a_broken_message(self):
        for part in ("name", "instance", "service_name", "age", "suspects", "cleared"):
            told = pack_crash(crash(1), NOW)
            setattr(told, part, None)
            with self.assertRaises(MessageError):
                unpack_crash(told, NOW)


class QuarantineTests(TestCase):
    def test_a_suspect_is_not_held_back_however_often_it_was_one_of_many(self):
        # Guards against a wanted page that runs at every crash and is blamed.
        quarantine = Quarantine()
        for number in range(20):
            quarantine.take(crash(number), NOW)
        self.assertTrue(quarantine.suspected(SERVICE, "a"))
        self.assertEqual(quarantine.held(NOW), {})

    def test_each_proof_holds_a_request_back_for_longer(self):
        quarantine = Quarantine()
        for number, seconds in enumerate((*HOLD_SECONDS, HOLD_SECONDS[-1])):
            quarantine.take(crash(number, proven="a"), NOW)
            self.assertEqual(quarantine.held(NOW), {(SERVICE, "a"): seconds})
            self.assertEqual(quarantine.held(NOW + seconds), {})

    def test_an_answer_ends_it(self):
        quarantine = Quarantine()
        quarantine.take(crash(1, proven="a"), NOW)
        quarantine.answered(SERVICE, "a")
        self.assertEqual(quarantine.held(NOW), {})
        self.assertFalse(quarantine.suspected(SERVICE, "a"))

    def test_it_holds_for_the_service_whose_upstreams_crashed(self):
        # Guards against a route that is moved away and refused all the same.
        quarantine = Quarantine()
        quarantine.take(crash(1, proven="a"), NOW)
        self.assertEqual(quarantine.held_seconds("other", "a", NOW), 0.0)

    def test_an_operator_can_let_go_of_it(self):
        quarantine = Quarantine()
        quarantine.take(crash(1, proven="a"), NOW)
        quarantine.take(replace(crash(2, proven="a"), service="other"), NOW)
        self.assertEqual(len(quarantine.release("a")), 2)
        self.assertEqual(quarantine.held(NOW), {})
        self.assertEqual(quarantine.release("a"), [])

    def test_a_crash_proves_the_only_one_that_was_suspected_before(self):
        self.assertEqual(blame({"a": True, "b": False}), frozenset("a"))
        self.assertEqual(blame({"a": True, "b": True}), frozenset())
        self.assertEqual(blame({"a": False}), frozenset())


class SuspectsInTheQueueTests(TestCase):
    def arrive(self, admission, ticket, deadline=NOW + 9):
        arrival = Arrival(ticket, "r", 1, NOW + 5, deadline)
        return admission.arrive(arrival, NOW)

    def started(self, admission):
        """Return what is handed over now."""
        tickets = []
        while (arrival := admission.next(NOW)[0]) is not None:
            tickets.append(arrival.ticket)
        return tickets

    def test_one_suspect_runs_at_a_time_and_holds_up_nobody_else(self):
        # Guards against two suspects of which nobody can tell which one crashes.
        admission = Admission(4)
        admission.suspects = {"s1", "s2"}
        for ticket in ("s1", "s2", "x", "y"):
            self.assertIsNone(self.arrive(admission, ticket))
        self.assertEqual(self.started(admission), ["s1", "x", "y"])
        admission.finish("x", True, NOW)
        self.assertEqual(self.started(admission), [])
        admission.finish("s1", True, NOW)
        self.assertEqual(self.started(admission), ["s2"])

    def test_a_suspect_that_cannot_have_its_turn_in_time_is_refused_at_once(self):
        # Guards against callers who wait for a turn that comes too late.
        admission = Admission(4)
        admission.suspects = {str(number) for number in range(50)}
        refused = [
            self.arrive(admission, str(number), NOW + 1.0) for number in range(50)
        ]
        reasons = {each.reason for each in refused if each is not None}
        self.assertEqual(reasons, {RefusalReason.NO_TIME})
