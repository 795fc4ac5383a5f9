"""Tests of admission control: starting, queueing and refusing calls."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sequoiaspoke.core.admission.admission import Admission
from sequoiaspoke.core.admission.health import UpstreamHealth
from sequoiaspoke.core.admission.limit import AdaptiveLimit
from sequoiaspoke.core.admission.model import Arrival, RefusalReason, Refused, Started
from sequoiaspoke.core.admission.settings import AdmissionSettings
from sequoiaspoke.core.routing.model import Outcome, UpstreamState
from sequoiaspoke.core.rules.model import Priority
from sequoiaspoke.errors import DeadlineNotRunError, DrainingError, Ran

SETTINGS = AdmissionSettings(limit="fixed")


class AdmissionCase(TestCase):
    slots = 2

    def setUp(self):
        super().setUp()
        self.admission = Admission(SETTINGS, self.slots, Random(1))
        self.numbers = iter(range(1, 1000000))
        self.verdicts = {}

    def note(self, verdicts):
        for verdict in verdicts:
            self.verdicts[verdict.call] = verdict
        return [each.call for each in verdicts if isinstance(each, Started)]

    def arrive(self, now, caller="a", deadline=None, **how):
        call = next(self.numbers)
        deadline = now + 10.0 if deadline is None else deadline
        arrival = Arrival(call, caller, deadline, arrived=now, **how)
        self.note(self.admission.arrive(arrival, now))
        return call

    def release(self, call, now, outcome=Outcome.ANSWERED, latency=0.05):
        return self.note(self.admission.release(call, outcome, latency, now))

    def learn(self, seconds, kind="", times=20):
        for n in range(times):
            call = self.arrive(n * seconds, caller="learning", kind=kind)
            self.release(call, (n + 1) * seconds, latency=seconds)

    def started(self, call):
        return isinstance(self.verdicts[call], Started)

    def reason(self, call):
        verdict = self.verdicts[call]
        return verdict.reason if isinstance(verdict, Refused) else None


class SlotTests(AdmissionCase):
    def test_no_more_run_than_there_are_slots_and_grants(self):
        self.admission.reserved = 1
        first, second = self.arrive(0.0), self.arrive(0.0)
        self.assertTrue(self.started(first))
        self.assertFalse(self.started(second))
        self.assertEqual([second], self.release(first, 0.1))

    def test_a_cancelled_call_leaves_the_queue(self):
        calls = [self.arrive(0.0) for _ in range(4)]
        self.assertTrue(self.admission.cancel(calls[2]))
        self.assertEqual([calls[3]], self.release(calls[0], 0.1))

    def test_a_draining_target_takes_nothing_new_and_finishes_the_rest(self):
        """A drain begins while one call runs and one waits.

        Aborting either would make a planned restart lose calls.
        """
        calls = [self.arrive(0.0) for _ in range(3)]
        self.admission.drain()
        late = self.arrive(0.1)
        self.assertIsInstance(self.verdicts[late].error, DrainingError)
        self.assertEqual([calls[2]], self.release(calls[0], 0.2))
        self.assertIs(UpstreamState.LEAVING, self.admission.report(0.2).state)

    @settings(derandomize=True, deadline=None, max_examples=60, database=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3)), max_size=80))
    def test_each_call_gets_one_final_verdict(self, steps):
        admission = Admission(AdmissionSettings(queue_calls=3), 4, Random(1))
        final, running, now = Counter(), [], 0.0
        for number, (action, caller) in enumerate(steps):
            now += 0.05
            if action < 4:
                arrival = Arrival(number, str(caller), now + 0.4, arrived=now)
                verdicts = admission.arrive(arrival, now)
            elif running:
                call = running.pop(0)
                outcome = Outcome.ANSWERED if action == 4 else Outcome.REFUSED
                verdicts = admission.release(call, outcome, 0.05, now)
            else:
                verdicts = admission.tick(now)
            for verdict in verdicts:
                if isinstance(verdict, Refused):
                    final[verdict.call] += 1
                    self.assertIs(Ran.NOT_RUN, verdict.error.ran)
                if isinstance(verdict, Started):
                    final[verdict.call] += 1
                    running.append(verdict.call)
            self.assertTrue(len(running) <= 4)
        self.assertTrue(all(times == 1 for times in final.values()), final)


class HealthTests(TestCase):
    def test_states_follow_connections_and_answers(self):
        health = UpstreamHealth(SETTINGS)
        states = [health.state(0.0)]
        health.answered(1.0)
        states.append(health.state(1.0))
        states.append(health.state(1.0 + SETTINGS.warm_up))
        for _ in range(3):
            health.connection_refused()
        states.append(health.state(10.0))
        health.answered(11.0)
        states.append(health.state(11.0))
        health.upstream_draining(20.0)
        states.append(health.state(20.0))
        states.append(health.state(20.0 + SETTINGS.drain_memory))
        self.assertEqual(
            [
                UpstreamState.COLD,
                UpstreamState.COLD,
                UpstreamState.READY,
                UpstreamState.DOWN,
                UpstreamState.COLD,
                UpstreamState.LEAVING,
                UpstreamState.READY,
            ],
            states,
        )


class QueueTests(AdmissionCase):
    slots = 1

    def test_a_call_that_cannot_be_answered_in_time_is_refused_at_once(self):
        """A call has 60 ms left, calls take 50 ms, and another one waits already.

        If queued, it would run after its caller has gone and delay other calls.
        """
        self.learn(0.05)
        self.arrive(10.0, "b")
        self.arrive(10.0, "c")
        late = self.arrive(10.0, "c", deadline=10.06)
        self.assertEqual(RefusalReason.DEADLINE_TOO_CLOSE, self.reason(late))
        self.assertIsInstance(self.verdicts[late].error, DeadlineNotRunError)
        self.assertTrue(self.verdicts[late].error.retry_after >= 1.0)

    def test_a_call_past_its_deadline_is_not_started(self):
        late = self.arrive(5.0, deadline=5.0)
        self.assertEqual(RefusalReason.DEADLINE_TOO_CLOSE, self.reason(late))

    def test_a_waiting_call_is_refused_once_it_would_be_answered_late(self):
        self.learn(0.05)
        self.arrive(10.0)
        waiting = self.arrive(10.0, deadline=10.3)
        self.note(self.admission.tick(10.2))
        self.assertIsNone(self.reason(waiting))
        self.note(self.admission.tick(10.26))
        self.assertEqual(RefusalReason.EXPIRED, self.reason(waiting))

    def test_a_stream_is_not_refused_for_its_length(self):
        """A stream lasts a minute and its deadline for the response head is 10 s.

        If the deadline were compared with the duration of the stream, it would
        be refused whenever another call waits.
        """
        for n in range(5):
            stream = self.arrive(n * 60.0, kind="stream")
            self.release(stream, (n + 1) * 60.0, latency=0.05)
        running = self.arrive(400.0, kind="stream", priority=Priority.PATIENT)
        how = {"kind": "stream", "priority": Priority.PATIENT}
        waiting = self.arrive(400.0, deadline=410.0, **how)
        self.note(self.admission.tick(409.0))
        self.assertIsNone(self.reason(waiting))
        self.assertEqual([waiting], self.release(running, 409.5))

    def test_urgent_calls_are_refused_while_patient_ones_wait(self):
        """Calls of each priority wait for a slot that stays taken.

        A patient call may be answered late; an urgent one is worth more if it is
        refused early and goes to another target.
        """
        self.arrive(0.0)
        kinds = {each: self.arrive(0.0, priority=each) for each in Priority}
        self.note(self.admission.tick(0.5))
        urgent = kinds[Priority.URGENT]
        self.assertEqual(RefusalReason.WAITED_TOO_LONG, self.reason(urgent))
        self.note(self.admission.tick(1.5))
        self.assertIsNotNone(self.reason(kinds[Priority.ORDINARY]))
        self.note(self.admission.tick(9.0))
        self.assertIsNone(self.reason(kinds[Priority.PATIENT]))

    def test_patient_calls_are_not_starved_by_urgent_ones(self):
        """Urgent calls arrive continuously, so that one is always waiting.

        Under strict priority the patient call would never be served.
        """
        self.learn(0.05)
        running, now = self.arrive(10.0), 10.0
        page = self.arrive(now, "abroad", priority=Priority.PATIENT)
        for _ in range(30):
            self.arrive(now, "b", priority=Priority.URGENT)
            now += 0.05
            started = self.release(running, now)
            running = started[0]
        self.assertTrue(self.started(page))

    def test_under_persistent_overload_the_newest_go_first(self):
        """Calls arrive at twice the completion rate for seconds.

        In order of arrival, each would be answered about when its caller times out.
        """
        self.learn(0.05)
        running, now, waited = self.arrive(10.0), 10.0, []
        arrived = {running: now}
        while now < 13.0:
            for _ in range(2):
                arrived[self.arrive(now, "b")] = now
            now += 0.05
            started = self.release(running, now)
            running = started[0]
            waited.append(now - arrived[running])
        self.assertTrue(max(waited[-20:]) < 0.2, waited[-20:])


class FairnessTests(AdmissionCase):
    slots = 1

    def test_a_burst_costs_the_caller_that_sends_it(self):
        """One caller sends more calls than the queue holds.

        In order of arrival, callers with few calls would be refused as well.
        """
        self.learn(0.05)
        self.arrive(10.0, "script")
        flood = [self.arrive(10.0, "script") for _ in range(200)]
        member = self.arrive(10.0, "member")
        self.assertIsNone(self.reason(member))
        reasons = {self.reason(call) for call in flood} - {None}
        self.assertTrue(
            reasons <= {RefusalReason.OVER_SHARE, RefusalReason.WAIT_TOO_LONG}
        )
        self.assertEqual([member], self.release(1 + 20, 10.05))

    def test_a_hot_key_does_not_hold_up_other_keys(self):
        self.learn(0.05)
        running = self.arrive(10.0, "x", key="ceremony")
        for n in range(15):
            self.arrive(10.0, f"viewer-{n}", key="ceremony")
        other = self.arrive(10.0, "viewer-3", key="other")
        self.assertEqual([other], self.release(running, 10.05))

    def test_a_caller_is_charged_what_its_call_took(self):
        """A call takes twenty times as long as its kind's mean duration."""
        self.learn(0.05)
        how = {"priority": Priority.PATIENT}
        running = self.arrive(10.0, "slow", **how)
        again = self.arrive(10.0, "slow", **how)
        quick = [self.arrive(10.0, "quick", **how) for _ in range(3)]
        order = []
        for now in (11.0, 11.05, 11.1, 11.15):
            (running,) = self.release(running, now)
            order.append(running)
        self.assertEqual([*quick, again], order)

    def test_slot_time_is_shared_not_calls(self):
        self.learn(0.02, "quick")
        self.learn(0.2, "slow")
        now = 100.0
        running = self.arrive(now, "slow", kind="slow", priority=Priority.PATIENT)
        done = Counter()
        for _ in range(100):
            for who in ("quick", "slow"):
                how = {"kind": who, "priority": Priority.PATIENT}
                for _ in range(2):
                    self.arrive(now, who, **how)
            now += 0.02 if done["last"] == 1 else 0.2
            started = self.release(running, now)
            running = started[0]
            verdict = self.admission.running[running].arrival.caller
            done[verdict] += 1
            done["last"] = 1 if verdict == "quick" else 0
        self.assertTrue(done["quick"] > 4 * done["slow"], done)


class LongWorkTests(AdmissionCase):
    slots = 10

    def test_long_work_leaves_slots_for_short(self):
        """Long calls arrive while short calls are in use.

        They would hold all ten slots, and each short call would wait for one of
        them to finish.
        """
        self.learn(0.02, "portal", times=40)
        self.learn(2.0, "archive", times=8)
        self.release(self.arrive(99.9, kind="portal"), 99.92)
        for _ in range(20):
            self.arrive(100.0, "family", kind="archive", priority=Priority.PATIENT)
        short = self.arrive(100.0, "member", kind="portal")
        self.assertTrue(self.started(short))

    def test_without_short_work_long_work_has_every_slot(self):
        self.learn(0.02, "portal", times=40)
        self.learn(2.0, "archive", times=8)
        calls = [self.arrive(200.0, kind="archive") for _ in range(10)]
        self.assertTrue(all(self.started(call) for call in calls))


class AdaptiveLimitTests(TestCase):
    def drive(self, limit, latency, rounds=60, now=0.0):
        for _ in range(rounds):
            for _ in range(limit.current()):
                concurrency = limit.current()
                now += latency(concurrency) / concurrency
                limit.answered("k", latency(concurrency), concurrency, now)
        return now

    def test_a_target_that_is_not_overloaded_gets_its_slots(self):
        limit = AdaptiveLimit(SETTINGS, 10)
        self.drive(limit, lambda concurrency: 0.05)
        self.assertEqual(10, limit.current())

    def test_an_overloaded_target_runs_fewer(self):
        """A degraded VM can run four calls at once but publishes ten slots.

        With ten concurrent calls, it would answer all of them after their deadlines.
        """
        limit = AdaptiveLimit(SETTINGS, 10)
        self.drive(limit, lambda concurrency: 0.05 * max(1, concurrency / 4) ** 2)
        self.assertTrue(3 <= limit.value <= 7, limit.value)

    def test_a_slow_target_keeps_its_slots(self):
        """A dependency of the target becomes ten times slower.

        Lowering the limit would not speed it up but serve fewer callers.
        """
        limit = AdaptiveLimit(SETTINGS, 10)
        now = self.drive(limit, lambda concurrency: 0.05)
        self.drive(limit, lambda concurrency: 0.5, now=now)
        self.assertTrue(limit.value >= 9, limit.value)

    def test_shedding_lowers_the_limit_and_it_recovers_after_an_outage(self):
        limit = AdaptiveLimit(SETTINGS, 10)
        now = self.drive(limit, lambda concurrency: 0.05)
        for _ in range(40):
            limit.shed(limit.current(), now)
        self.assertEqual(2, limit.current())
        self.drive(limit, lambda concurrency: 0.05, rounds=6, now=now + 1.0)
        self.assertTrue(limit.value >= 9, limit.value)
