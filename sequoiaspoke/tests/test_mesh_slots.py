"""Tests of the slots of an upstream that resets the calls beyond them.

A non-idempotent call that is reset is lost, as it must not be retried.
"""

import heapq
import random

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival
from sequoiaspoke.core.mesh.slots import (
    CANCEL_SECONDS,
    FOREIGN_HALF_LIFE,
    IDEMPOTENT_FIRST_SECONDS,
    RESETTING_SECONDS,
    Load,
    Slots,
)

SEEDS = 40
SECONDS = 6.0
TICK_SECONDS = 0.1  # interval at which a home checks its queue
RATE = 60.0  # calls per second, more than six slots can serve


class FullUpstream:
    """An upstream of a few slots that resets further calls.

    Attributes
    ----------
    drops_cancelled : bool
        Whether it drops calls whose connection is closed, or runs them to the end.
    """

    def __init__(self, slots, drops_cancelled, reports_load=True):
        self.slots, self.drops_cancelled, self.reports_load = (
            slots,
            drops_cancelled,
            reports_load,
        )
        self.ends = {}
        self.resets = []

    def running(self, now):
        self.ends = {key: end for key, end in self.ends.items() if end > now}
        return len(self.ends)

    def take(self, key, seconds, now):
        """Return when a call will be answered, or None if it was reset."""
        if self.running(now) >= self.slots:
            self.resets.append(key)
            return None
        self.ends[key] = now + seconds
        return now + seconds

    def drop(self, key, now):
        if self.drops_cancelled:
            self.ends[key] = min(self.ends.get(key, now), now + 0.005)

    def load(self, now):
        running = self.running(now - 1e-9)
        return Load(running, 0, self.slots) if self.reports_load else None


class HomeSimulation:
    """A home that is killed and restarted beside a full upstream."""

    def __init__(
        self, seed, slots=6, drops_cancelled=True, unguarded=False, cancel_share=0.1
    ):
        self.rng = random.Random(seed)
        self.upstream = FullUpstream(slots, drops_cancelled)
        self.unguarded = unguarded
        self.events = []
        self.count = 0
        self.cancel_share = cancel_share
        self.start()

    def start(self):
        self.admission = Admission(self.upstream.slots)
        self.admission.upstream_slots.has_answered = self.unguarded
        self.epoch = self.count

    def at(self, when, what, *arguments):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what, arguments))

    def run(self):
        when = 0.0
        while when < SECONDS:
            when += self.rng.expovariate(RATE)
            self.at(when, self.arrive)
        self.at(SECONDS / 2, self.kill)
        while self.events:
            now, _, what, arguments = heapq.heappop(self.events)
            what(now, *arguments)

    def arrive(self, now):
        self.count += 1
        idempotent = self.rng.random() < 0.5
        arrival = Arrival(self.count, "a", 1, now + 0.6, now + 2.0, idempotent)
        self.admission.arrive(arrival, now)
        self.advance(now)

    def advance(self, now):
        while True:
            arrival, _ = self.admission.next(now)
            if arrival is None:
                return
            ticket, epoch = arrival.ticket, self.epoch
            seconds = self.rng.uniform(0.08, 0.25)
            if self.rng.random() < 0.01:
                seconds *= 5
            end = self.upstream.take((ticket, arrival.idempotent), seconds, now)
            if end is None:
                self.at(now + 0.001, self.on_reset, ticket, epoch)
                continue
            self.at(end, self.answered, ticket, epoch)
            if arrival.idempotent and self.rng.random() < self.cancel_share:
                left = now + self.rng.uniform(0.0, seconds)
                self.at(left, self.cancel, ticket, epoch)

    def on_reset(self, now, ticket, epoch):
        if epoch == self.epoch:
            if not self.unguarded:
                self.admission.record_reset(now)
            self.admission.finish(ticket, False, now)
            self.advance(now)
            self.at(now + TICK_SECONDS, self.advance)

    def answered(self, now, ticket, epoch):
        if epoch != self.epoch or ticket not in self.admission.durations.running:
            return
        self.admission.record_answer(self.upstream.load(now), now)
        self.admission.finish(ticket, True, now)
        self.advance(now)

    def cancel(self, now, ticket, epoch):
        if epoch != self.epoch or ticket not in self.admission.durations.running:
            return
        self.upstream.drop((ticket, True), now)
        self.admission.abandon(ticket, now)
        self.at(now + CANCEL_SECONDS, self.advance)

    def kill(self, now):
        """Restart the node beside the same upstream."""
        for key in list(self.upstream.ends):
            self.upstream.drop(key, now)
        self.start()

    def lost_calls(self):
        return sum(not idempotent for _, idempotent in self.upstream.resets)


class FullUpstreamTests(TestCase):
    def count_lost(self, **options):
        total = 0
        for seed in range(SEEDS):
            simulation = HomeSimulation(seed, **options)
            simulation.run()
            total += simulation.lost_calls()
        return total

    def test_no_call_is_lost_to_an_upstream_that_the_home_filled(self):
        # Calls arrive faster than they are served, callers cancel, and the node
        # restarts beside its upstream, which drops the calls of the previous process.
        self.assertEqual(self.count_lost(), 0)

    def test_no_call_is_lost_to_calls_of_a_previous_process(self):
        # The upstream does not notice that the node was killed and runs its calls to
        # the end. The new process does not know them; if it sent a full load beside
        # them, its first non-idempotent calls would be reset.
        self.assertEqual(self.count_lost(drops_cancelled=False, cancel_share=0.0), 0)
        self.assertTrue(
            self.count_lost(drops_cancelled=False, cancel_share=0.0, unguarded=True)
            > SEEDS
        )

    def test_no_call_is_lost_to_cancelled_calls_that_still_run(self):
        # One idempotent call in ten is cancelled, but the upstream runs it to the end.
        # Non-idempotent calls sent to its slot would be reset.
        self.assertEqual(self.count_lost(drops_cancelled=False), 0)
        self.assertTrue(self.count_lost(drops_cancelled=False, unguarded=True) > SEEDS)

    def test_no_call_is_lost_if_the_slots_shrink(self):
        simulation = HomeSimulation(3)
        simulation.at(1.0, lambda now: self.shrink(simulation, 3))
        simulation.run()
        self.assertEqual(simulation.lost_calls(), 0)

    def shrink(self, simulation, slots):
        """Publish fewer slots, and reduce them once the running calls have ended."""
        simulation.admission.upstream_slots.published = slots
        simulation.at(1.5, lambda now: setattr(simulation.upstream, "slots", slots))


class SlotsTests(TestCase):
    def test_after_a_start_an_idempotent_call_goes_first(self):
        # The first call to a full upstream may be reset; an idempotent one can be
        # retried.
        slots = Slots(6)
        slots.has_answered = False
        self.assertFalse(slots.admits(False, 0, 1.0))
        self.assertTrue(slots.admits(True, 0, 1.0))
        self.assertTrue(slots.admits(False, 0, 1.0 + IDEMPOTENT_FIRST_SECONDS))

    def test_the_first_answer_decides_on_non_idempotent_calls(self):
        for load, admitted in ((1, True), (6, False)):
            slots = Slots(6)
            slots.has_answered = False
            slots.record_answer(Load(load, 0, 6), 1, 1.0)
            self.assertEqual(slots.admits(False, 1, 1.0), admitted)

    def test_a_refusal_does_not_show_how_the_upstream_counts(self):
        # The load reported with a refusal never includes the refused call. If that were
        # assumed of answers too, one slot of six would stay idle.
        slots = Slots(6)
        slots.record_refusal(Load(0, 0, 6), 0, 1.0)
        slots.record_answer(Load(3, 0, 6), 3, 1.1)
        self.assertEqual(slots.free(2, 1.1), 4)
        slots.record_refusal(Load(5, 0, 6), 2, 1.2)
        self.assertEqual(slots.free(2, 1.2), 1)

    def test_a_reset_marks_the_upstream_as_full(self):
        slots = Slots(6)
        slots.record_reset(3, 1.0)
        self.assertEqual(slots.free(2, 1.0), 0)
        self.assertFalse(slots.admits(False, 2, 1.0))
        self.assertTrue(slots.resetting(1.0 + RESETTING_SECONDS / 2))
        slots.record_answer(Load(1, 0, 6), 1, 1.5)
        self.assertFalse(slots.resetting(1.5))

    def test_calls_that_would_be_reset_are_refused_as_not_run(self):
        # Non-idempotent calls wait or arrive while the upstream resets calls. If sent,
        # they would be lost; if queued, they would be refused too late for another
        # endpoint.
        admission = Admission(1)
        for ticket, idempotent in ((1, True), (2, False), (3, True)):
            admission.arrive(Arrival(ticket, "a", 1, 1.0, 4.0, idempotent), 0.0)
        self.assertEqual(admission.next(0.0)[0].ticket, 1)
        admission.record_reset(0.001)
        admission.finish(1, False, 0.001)
        (refused,) = admission.drop_overdue(0.001)
        self.assertEqual((refused.arrival.ticket, refused.reason), (2, "upstream-full"))
        late = admission.arrive(Arrival(4, "a", 1, 1.0, 4.0, False), 0.01)
        self.assertEqual(late.reason, "upstream-full")
        self.assertEqual(admission.next(0.1)[0].ticket, 3)
        admission.record_answer(Load(1, 0, 1), 0.2)
        admission.finish(3, True, 0.2)
        self.assertIsNone(admission.arrive(Arrival(5, "a", 1, 1.0, 4.0, False), 0.2))

    def test_the_lower_number_of_slots_applies(self):
        slots = Slots(6)
        slots.record_answer(Load(1, 0, 3), 1, 1.0)
        self.assertEqual(slots.count, 3)
        slots.record_answer(Load(1, 0, 8), 1, 2.0)
        self.assertEqual(slots.count, 6)
        slots.published = 2
        self.assertEqual(slots.count, 2)

    def test_foreign_calls_decay_gradually(self):
        slots = Slots(6)
        slots.record_answer(Load(6, 2), 1, 1.0)
        first = slots.free(1, 1.0)
        later = slots.free(1, 1.0 + FOREIGN_HALF_LIFE)
        self.assertTrue(first < later < slots.free(1, 1.0 + 9 * FOREIGN_HALF_LIFE) == 5)

    def test_cancelled_calls_occupy_slots_until_the_next_answer(self):
        # Two calls were cancelled. The upstream drops them as it notices the closed
        # connections, or runs them to the end; only its next answer shows which.
        for still_running, free in ((0, 3), (2, 1)):
            slots = Slots(4)
            slots.record_answer(Load(1, 0, 4), 1, 0.5)
            slots.abandon(1.0)
            slots.abandon(1.0)
            self.assertEqual(slots.free(1, 1.0 + CANCEL_SECONDS), 1)
            slots.record_answer(Load(1 + still_running, 0, 4), 1, 1.1)
            self.assertEqual(slots.free(1, 1.1), free)

    def test_cancelled_calls_expire_if_nothing_else_runs(self):
        slots = Slots(2)
        slots.record_answer(Load(1, 0, 2), 1, 0.5)
        slots.abandon(1.0)
        slots.abandon(1.0)
        self.assertEqual(slots.free(0, 1.0), 0)
        self.assertEqual(slots.free(0, 1.0 + CANCEL_SECONDS), 2)

    def test_a_restart_frees_every_slot(self):
        slots = Slots(4)
        slots.record_answer(Load(9, 0, 4), 1, 1.0)
        slots.abandon(1.0)
        slots.restarted()
        self.assertEqual(slots.free(0, 1.0), 4)
