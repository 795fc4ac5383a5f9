"""Tests of what a target's node lets in, keeps waiting and turns away."""

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
        """A planned stop begins while one call runs and one waits.

        Cutting either would lose a foreman's booking to a routine restart.
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
        """A mourner's page has 60 ms left and calls take 50 ms.

        Let in, it would wait, run for nobody, and delay the next in line.
        """
        self.learn(0.05)
        self.arrive(10.0, "b")
        self.arrive(10.0, "c")
        late = self.arrive(10.0, "c", deadline=10.06)
        self.assertEqual(RefusalReason.DEADLINE_TOO_CLOSE, self.reason(late))
        self.assertIsInstance(self.verdicts[late].error, DeadlineNotRunError)
        self.assertTrue(self.verdicts[late].error.retry_after >= 1.0)

    def test_a_call_whose_time_is_over_is_not_begun(self):
        late = self.arrive(5.0, deadline=5.0)
        self.assertEqual(RefusalReason.DEADLINE_TOO_CLOSE, self.reason(late))

    def test_a_waiting_call_is_given_up_on_as_soon_as_it_is_too_late(self):
        self.learn(0.05)
        self.arrive(10.0)
        waiting = self.arrive(10.0, deadline=10.3)
        self.note(self.admission.tick(10.2))
        self.assertIsNone(self.reason(waiting))
        self.note(self.admission.tick(10.26))
        self.assertEqual(RefusalReason.EXPIRED, self.reason(waiting))

    def test_a_stream_is_not_refused_for_its_length(self):
        """A family asks for a recording that plays for a minute.

        Its rule bounds the time to the answer's head to ten seconds. Held
        against that by its length, it would be refused whenever a call waits.
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
        """The portal is busy when an archive page is asked for abroad.

        The page may come late but must come; a start-of-stream command that
        waits is worth less than one that goes to another target at once.
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
        """Urgent calls come without a pause and there is always one waiting.

        Under strict priority the archive page would never be served.
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

    def test_under_standing_overload_the_newest_go_first(self):
        """Calls come twice as fast as they are answered, for seconds.

        Oldest first, each would be answered just as its caller gives up.
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

    def test_a_flood_costs_the_caller_that_makes_it(self):
        """One clerk's script sends as much as the queue holds.

        Every other member would be refused although they ask for little.
        """
        self.learn(0.05)
        self.arrive(10.0, "script")
        flood = [self.arrive(10.0, "script") for _ in range(200)]
        member = self.arrive(10.0, "member")
        self.assertIsNone(self.reason(member))
        given_up = {self.reason(call) for call in flood} - {None}
        self.assertTrue(
            given_up <= {RefusalReason.OVER_SHARE, RefusalReason.WAIT_TOO_LONG}
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
        """A call takes twenty times as long as others of its kind did."""
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
        """Archive pages that take seconds come in while the portal is used.

        They would hold all ten slots, and each look at the portal would wait
        for one of them to end.
        """
        self.learn(0.02, "portal", times=40)
        self.learn(2.0, "archive", times=8)
        self.release(self.arrive(99.9, kind="portal"), 99.92)
        for _ in range(20):
            self.arrive(100.0, "family", kind="archive", priority=Priority.PATIENT)
        look = self.arrive(100.0, "member", kind="portal")
        self.assertTrue(self.started(look))

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

    def test_a_target_that_is_not_crowded_gets_its_slots(self):
        limit = AdaptiveLimit(SETTINGS, 10)
        self.drive(limit, lambda concurrency: 0.05)
        self.assertEqual(10, limit.current())

    def test_a_crowded_target_runs_fewer(self):
        """A sick VM bears four calls at once but publishes ten slots.

        Given ten, it would answer each so late that all their callers are gone.
        """
        limit = AdaptiveLimit(SETTINGS, 10)
        self.drive(limit, lambda concurrency: 0.05 * max(1, concurrency / 4) ** 2)
        self.assertTrue(3 <= limit.value <= 7, limit.value)

    def test_a_slow_target_keeps_its_slots(self):
        """The service behind the target becomes ten times slower.

        Lowering the limit would not speed it up, only serve fewer callers.
        """
        limit = AdaptiveLimit(SETTINGS, 10)
        now = self.drive(limit, lambda concurrency: 0.05)
        self.drive(limit, lambda concurrency: 0.5, now=now)
        self.assertTrue(limit.value >= 9, limit.value)

    def test_shedding_lowers_the_limit_and_an_outage_is_soon_forgotten(self):
        limit = AdaptiveLimit(SETTINGS, 10)
        now = self.drive(limit, lambda concurrency: 0.05)
        for _ in range(40):
            limit.shed(limit.current(), now)
        self.assertEqual(2, limit.current())
        self.drive(limit, lambda concurrency: 0.05, rounds=6, now=now + 1.0)
        self.assertTrue(limit.value >= 9, limit.value)
