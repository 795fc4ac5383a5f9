"""Tests of recognizing nested calls and of keeping slots free for them."""

import heapq
import random

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival, queue_rank
from sequoiaspoke.core.mesh.parents import RunningParents
from sequoiaspoke.core.mesh.reserve import NestedReserve

SECONDS = 20.0
ORDER_SECONDS, LOOKUP_SECONDS = 0.2, 0.02
LOOKUPS_PER_SECOND = 20.0


class RunningParentsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.parents = RunningParents()
        self.parents.begin("c1", "order")

    def test_a_call_that_extends_a_running_id_is_nested(self):
        # Callers and the upstream share an address, so all calls looked nested.
        self.assertEqual(self.parents.kind_of_parent("c1.9f"), "order")
        self.assertEqual(self.parents.kind_of_parent("c1.9f-2"), "order")

    def test_other_calls_are_fresh(self):
        # A fresh call that counts as nested would go ahead of more urgent ones.
        for call_id in ("c1", "c10.9f", "c2.9f", "9f.c1", "", "."):
            self.assertIsNone(self.parents.kind_of_parent(call_id))
        self.parents.end("c1")
        self.assertIsNone(self.parents.kind_of_parent("c1.9f"))

    def test_an_upstream_without_ids_makes_no_nested_calls(self):
        self.parents.begin("", "order")
        self.assertIsNone(self.parents.kind_of_parent(".9f"))


class ReserveTests(TestCase):
    def play(self, load_shedding):
        """Return the share of the lookups that start within two of their durations.

        Orders want more than both slots, lookups a fifth of what the slots do.
        """
        admission, rng = Admission(2), random.Random(4)
        admission.load_shedding = load_shedding
        events, arrived, waits, orders = [], {}, [], 0
        now = 0.0
        while now < SECONDS:
            now += rng.expovariate(LOOKUPS_PER_SECOND)
            heapq.heappush(events, (now, "lookup", 0))
        for number in range(int(SECONDS / 0.08)):
            heapq.heappush(events, (number * 0.08, "order", number))
        while events:
            now, what, number = heapq.heappop(events)
            if what == "end":
                admission.finish(number, True, now)
                orders += number[0] == "order"
            else:
                nested, ticket = what == "lookup", (what, now, number)
                arrived[ticket] = now
                rank = queue_rank(1, nested)
                arrival = Arrival(ticket, what, rank, now + 0.5, now + 2.0)
                admission.arrive(arrival, now)
            while (started := admission.next(now)[0]) is not None:
                ticket = started.ticket
                if ticket[0] == "lookup":
                    waits.append(now - arrived[ticket])
                mean = LOOKUP_SECONDS if ticket[0] == "lookup" else ORDER_SECONDS
                work = mean * rng.uniform(0.5, 1.5)
                heapq.heappush(events, (now + work, "end", ticket))
        return sum(each <= 2 * LOOKUP_SECONDS for each in waits) / len(waits), orders

    def test_lookups_find_a_slot_beside_orders_that_want_all(self):
        # Lookups behind orders ten times as long miss their deadlines, and the slots
        # of their parents are held meanwhile.
        (soon, orders), (soon_before, orders_before) = self.play(True), self.play(False)
        self.assertGreater(soon, soon_before + 0.2)
        self.assertGreater(orders, 0.75 * orders_before)

    def test_nothing_is_kept_where_no_nested_calls_come(self):
        # An idle slot beside waiting calls serves nobody.
        reserve = NestedReserve()
        for number in range(20):
            reserve.begin(number, False, 0.1 * number)
        self.assertFalse(reserve.holds(1, 2, 2.0))

    def test_an_idle_upstream_takes_fresh_calls(self):
        # Without a running call, no end of one would start the waiting calls.
        reserve = NestedReserve()
        for number in range(40):
            reserve.begin(number, True, 0.0)
        for number in range(40):
            reserve.end(number, 5.0)
        self.assertFalse(reserve.holds(2, 2, 5.0))
