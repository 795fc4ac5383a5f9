"""Tests of what callers get from an overloaded home, and of its parts."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival
from sequoiaspoke.core.mesh.returns import HORIZON_SECONDS, ReturnSchedule
from sequoiaspoke.core.mesh.shortage import (
    ADMIT_EVERY,
    DOUBT_SECONDS,
    MIN_ATTRIBUTED,
    MIN_OUTCOMES,
    WINDOW_SECONDS,
    NestedRoom,
)
from sequoiaspoke.tests.sheddingsim import KINDS, SheddingSim
from sequoiaspoke.tests.test_sidecar_entry import SERVED, SHED, make_entry, request

LOADS = [(overload, slots) for overload in (1.3, 1.6) for slots in (2, 5)]


class OverloadTests(TestCase):
    def plays(self):
        return [SheddingSim(*load, seed).play() for load in LOADS for seed in range(3)]

    def test_the_time_of_the_slots_ends_in_answers_on_time(self):
        # Slots that work on late answers serve nobody.
        for play in self.plays():
            self.assertGreaterEqual(play.useful, 0.95)

    def test_no_kind_is_served_less_often_than_a_less_urgent_one(self):
        # A home that refuses whoever comes last fails parents for the sake of reads.
        for play in self.plays():
            shares = [play.served[kind.name] / play.asked[kind.name] for kind in KINDS]
            for more, less in zip(shares, shares[1:], strict=False):
                self.assertGreater(more, less - 0.05)

    def test_callers_that_return_when_they_were_told_are_served(self):
        # Callers that are told a time at which there is no room wait for nothing.
        plays = self.plays()
        told = sum(play.told for play in plays)
        self.assertGreater(sum(play.told_served for play in plays) / told, 0.8)


class ParentsOverloadTests(TestCase):
    """Half of the calls make a nested call to a service without room for 4 s."""

    def play(self, load_shedding):
        """Return the shares of plain calls on time and of parents served later."""
        admission, rng = Admission(5), random.Random(1)
        admission.load_shedding = load_shedding
        running, asked, on_time = {}, Counter(), Counter()
        for step in range(2000):
            now = step * 0.005
            short = 2.0 < now <= 6.0
            for ticket in [each for each, end in running.items() if end <= now]:
                del running[ticket]
                kind, begun, phase = ticket
                if kind == "parent":
                    admission.nested_room.record("lookup", short, now)
                admission.finish(ticket, True, now)
                on_time[kind, phase] += now <= begun + 0.5 and not (
                    kind == "parent" and short
                )
            if step % 4 == 0:
                kind = rng.choice(("parent", "plain"))
                ticket = (kind, now, "short" if short else now > 8.0)
                asked[kind, ticket[2]] += 1
                admission.arrive(Arrival(ticket, kind, 2, now + 0.5, now + 2.0), now)
            while (arrival := admission.next(now)[0]) is not None:
                seconds = 0.485 if short and arrival.route == "parent" else 0.08
                running[arrival.ticket] = now + seconds * rng.uniform(0.7, 1.0)
        counted = [("plain", "short"), ("parent", True)]
        return [on_time[each] / asked[each] for each in counted]

    def test_calls_without_nested_ones_are_served_and_parents_after_the_shortage(self):
        # Parents would hold all slots for answers that are errors.
        plain, parents = self.play(load_shedding=True)
        self.assertGreater(plain, 0.9)
        self.assertGreater(parents, 0.95)
        self.assertLess(self.play(load_shedding=False)[0], plain - 0.1)


class ReturnScheduleTests(TestCase):
    def test_no_time_is_given_twice(self):
        # Callers that are told the same time return together and are refused again.
        schedule = ReturnSchedule()
        times = [schedule.next_time(0.5, 0.25, 0.0) for _ in range(4)]
        self.assertEqual(times, [0.5, 0.75, 1.0, 1.25])
        self.assertEqual(schedule.next_time(3.0, 0.25, 2.0), 3.0)

    def test_no_place_is_kept_beyond_the_horizon(self):
        # Hasty callers would push the times of all others further and further away.
        schedule = ReturnSchedule()
        times = [schedule.next_time(0.0, 0.5, 0.0) for _ in range(9)]
        self.assertEqual(times[-2:], [HORIZON_SECONDS + 0.5] * 2)


class NestedRoomTests(TestCase):
    def setUp(self):
        super().setUp()
        self.room = NestedRoom()

    def run_call(self, kind, *nested, failed=False, now=0.0):
        self.room.begin(kind, kind)
        for service in nested:
            self.room.record(service, failed, now)
        self.room.end(kind, True, now)

    def fail(self, service, now):
        for _ in range(MIN_OUTCOMES):
            self.room.record(service, True, now)

    def refusals(self, kind, now, count=20):
        return sum(self.room.refuses(kind, now) for _ in range(count))

    def test_parents_are_refused_while_their_nested_calls_fail(self):
        # They hold slots in which calls without nested ones could be served.
        for _ in range(MIN_ATTRIBUTED):
            self.run_call("parent", "short")
            self.run_call("plain")
        self.fail("short", 2.0)
        self.assertEqual(self.refusals("parent", 2.0), 20 - 20 // ADMIT_EVERY)
        self.assertEqual(self.refusals("parent", 2.0 + WINDOW_SECONDS), 0)

    def test_a_kind_without_nested_calls_is_not_refused(self):
        # It runs beside parents, and would be taken for one by the time of its runs.
        for _ in range(MIN_ATTRIBUTED):
            self.room.begin("plain run", "plain")
            self.run_call("parent", "short", failed=True, now=2.0)
            self.room.end("plain run", True, 2.0)
        self.run_call("plain")
        self.fail("short", 2.0)
        self.assertEqual(self.refusals("plain", 2.0), 0)

    def test_nested_calls_of_a_cancelled_call_are_not_attributed(self):
        # Its upstream may run it on while only calls of another kind are known to run.
        for number in range(MIN_ATTRIBUTED):
            now = DOUBT_SECONDS * number
            self.room.begin("parent", "parent")
            self.room.end("parent", False, now)
            self.run_call("plain", "short", failed=True, now=now)
        self.fail("short", now)
        self.assertEqual(self.refusals("plain", now), 0)

    def test_only_parents_of_the_short_service_are_refused(self):
        for service in ("short", "other"):
            for _ in range(MIN_ATTRIBUTED):
                self.run_call(f"parent of {service}", service)
        self.fail("short", 2.0)
        self.assertEqual(self.refusals("parent of other", 2.0), 0)

    def test_a_kind_that_no_longer_makes_nested_calls_is_served_again(self):
        for _ in range(MIN_ATTRIBUTED):
            self.run_call("parent", "short")
        for _ in range(60):
            self.run_call("parent")
        self.fail("short", 2.0)
        self.assertEqual(self.refusals("parent", 2.0), 0)


class NestedOutcomeTests(TestCase):
    def outcomes(self, script, nested):
        """Return what the node learns from the outcome of one call."""

        async def run():
            entry = make_entry(script)
            entry.state.table.has_large_bodies = True
            home = entry.attempts.home
            home.parents.begin("parent" if nested else "other", ("parents", False))
            call = request("order")
            headers = (("X-Request-Id", "parent.1"), *call.headers)
            await entry.handle(replace(call, headers=headers))
            return entry.attempts.home.nested_room.outcomes

        found = asyncio.run(run())
        return [failed for _, failed in found["fleet"]]

    def test_the_entry_records_nested_calls_that_were_refused(self):
        # Fresh calls through the same node say nothing of its upstream's own calls.
        self.assertEqual(self.outcomes({"a": SHED}, nested=True), [True])
        self.assertEqual(self.outcomes({"a": SERVED}, nested=True), [False])
        self.assertEqual(self.outcomes({"a": SHED}, nested=False), [])
