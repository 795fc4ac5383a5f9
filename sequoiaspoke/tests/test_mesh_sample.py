"""Tests of the random sample of endpoints of a large service."""

import heapq
import random
from collections import Counter

from testtools import TestCase

from sequoiaspoke.core.mesh.balancer import Balancer, LoadReport
from sequoiaspoke.core.mesh.model import Endpoint, Route
from sequoiaspoke.core.mesh.sample import (
    ANY_ZONE_DRAWS,
    FULL_COMPARISON_LIMIT,
    SAME_ZONE_DRAWS,
    Sampler,
)
from sequoiaspoke.core.rules.weights import WeightedService

ROUTE = Route("r", "x", "/r/", True, 4.0, 0.7, 1, 2, (WeightedService("s"),))
SLOTS = 4
# Seconds per call of fast, medium and slow upstreams of one service.
SPEEDS = (0.16, 0.23, 0.38)
OBJECTIVE = 0.7


def endpoints(count, zones=5):
    """Return the endpoints of a service, distributed over zones."""
    return [
        Endpoint(f"i-{n}", "s", f"h{n}", 80, f"z{n % zones}", SLOTS)
        for n in range(count)
    ]


def always(endpoint):
    return True


class SampleTests(TestCase):
    def setUp(self):
        super().setUp()
        self.sample = Sampler(random.Random(1))
        self.all = endpoints(70)
        self.near = [each for each in self.all if each.zone == "z0"]

    def test_all_endpoints_of_a_small_service_are_compared(self):
        few = self.all[:FULL_COMPARISON_LIMIT]
        self.assertEqual(self.sample.candidates(few, few[:2], always), few)

    def test_a_few_endpoints_of_a_large_service_are_drawn(self):
        found = self.sample.candidates(self.all, self.near, always)
        self.assertTrue(
            SAME_ZONE_DRAWS <= len(found) <= SAME_ZONE_DRAWS + ANY_ZONE_DRAWS
        )
        self.assertTrue(sum(each.zone == "z0" for each in found) >= SAME_ZONE_DRAWS)

    def test_only_eligible_endpoints_are_drawn(self):
        is_eligible = self.near[3:].__contains__
        for _ in range(200):
            found = self.sample.candidates(self.all, self.near, is_eligible)
            self.assertTrue(found)
            self.assertTrue(all(map(is_eligible, found)))

    def test_the_only_eligible_endpoint_is_found(self):
        # All VMs of a service but one are unreachable. A call must not be refused
        # because that one was not drawn.
        last = self.all[-1]
        for _ in range(50):
            found = self.sample.candidates(self.all, self.near, last.__eq__)
            self.assertEqual(set(found), {last})

    def test_nothing_is_drawn_without_eligible_endpoints(self):
        found = self.sample.candidates(self.all, self.near, lambda each: False)
        self.assertEqual(found, [])


class FleetSimulation:
    """Many entries that call one service and get load reports with the answers.

    Homes have first-in, first-out queues. Only the choice of endpoints is real code.
    """

    def __init__(self, compare_all, entries=100, homes=36, load=0.65, seconds=12.0):
        self.rng = random.Random(5)
        self.endpoints = endpoints(homes, zones=1)
        self.speed = {e.instance: SPEEDS[n % 3] for n, e in enumerate(self.endpoints)}
        self.entries = [Balancer("z0") for _ in range(entries)]
        self.sample = Sampler(random.Random(6))
        self.compare_all = compare_all
        self.free = {e.instance: [0.0] * SLOTS for e in self.endpoints}
        capacity = sum(SLOTS / each for each in self.speed.values())
        self.rate, self.seconds = load * capacity, seconds
        self.times = []
        self.calls = Counter()

    def play(self):
        """Return the on-time share, and the busiest home's calls over the mean."""
        now, answers = 0.0, []
        while now < self.seconds:
            now += self.rng.expovariate(self.rate)
            while answers and answers[0][0] <= now:
                self.answer(*heapq.heappop(answers)[2:], now)
            entry = self.rng.choice(self.entries)
            heapq.heappush(answers, self.call(entry, now, len(self.times)))
        on_time = sum(each <= OBJECTIVE for each in self.times) / len(self.times)
        mean = len(self.times) / len(self.endpoints)
        return on_time, max(self.calls.values()) / mean

    def call(self, entry, now, number):
        drawn = self.endpoints
        if not self.compare_all:
            drawn = self.sample.candidates(self.endpoints, self.endpoints, always)
        chosen = entry.choose(ROUTE, drawn, lambda name: False, now, OBJECTIVE)
        entry.begin(chosen.incarnation)
        self.calls[chosen.instance] += 1
        slots = self.free[chosen.instance]
        work = self.speed[chosen.instance] * self.rng.uniform(0.5, 1.5)
        begin = max(now, heapq.heappop(slots))
        heapq.heappush(slots, begin + work)
        self.times.append(begin + work - now)
        return (begin + work, number, entry, chosen, work)

    def answer(self, entry, chosen, work, now):
        start = chosen.incarnation
        entry.end(start)
        wait = max(0.0, min(self.free[chosen.instance]) - now)
        report = LoadReport(1.0, self.speed[chosen.instance], wait)
        entry.record_load(start, ROUTE.name, report, now)
        entry.record_answer(ROUTE.name, start, work, 500)


class LargeServiceTests(TestCase):
    def test_many_entries_do_not_overload_the_same_few_homes(self):
        # A hundred entries call a service at two thirds of its capacity, and each gets
        # a report of a home every few seconds. If they compare all endpoints, they
        # agree on the same homes, first untried and then fast ones, and calls queue
        # there while others are idle: 0.29 of the calls are on time, and the busiest
        # home gets 2.6 times the mean. With a sample it is 0.91, and 1.4 times the
        # mean.
        all_on_time, all_most = FleetSimulation(compare_all=True).play()
        on_time, most = FleetSimulation(compare_all=False).play()
        self.assertTrue(on_time > 0.85 > all_on_time, (on_time, all_on_time))
        self.assertTrue(most < all_most, (most, all_most))
