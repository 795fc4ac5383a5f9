"""Tests of grants of direct connections at home and entry, without network."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sequoiaspoke.core.routing.grants import (
    Ask,
    Denied,
    DenyReason,
    Granted,
    Returned,
)
from sequoiaspoke.core.routing.grants_entry import GrantEntry
from sequoiaspoke.core.routing.grants_home import Capacity, GrantHome
from sequoiaspoke.core.routing.settings import RoutingSettings

SETTINGS = RoutingSettings()
IDLE = Capacity(limit=10, free=10, waiting=0)
BUSY = Capacity(limit=10, free=0, waiting=3)


class GrantCase(TestCase):
    def setUp(self):
        super().setUp()
        self.home = GrantHome(SETTINGS)
        self.entry = GrantEntry(SETTINGS, "entry")

    def call(self, now, seconds=1.0):
        return self.entry.take("t", now + seconds, now)

    def granted(self, now=0.0):
        for _ in range(12):
            self.call(now)
        self.exchange(now, IDLE)
        return self.call(now + 0.01)

    def exchange(self, now, room):
        """Deliver the entry's messages to the home and the answers back."""
        for question in self.entry.due_questions(now):
            self.tell(question, room, now)

    def tell(self, question, room, now):
        if question is None:
            return
        if isinstance(question.message, Returned):
            self.home.returned(question.message)
            return
        answer = self.home.ask(question.message, room, now)
        self.tell(self.entry.answered(question, answer), room, now)


class EntryTests(GrantCase):
    def test_steady_use_gets_a_grant_and_renews_it_while_used(self):
        now = 0.0
        self.assertTrue(self.granted(now) > 0)
        self.entry.done("t", 1)
        for _ in range(30):
            now += 0.1
            grant = self.call(now)
            self.assertTrue(grant > 0, now)
            self.entry.done("t", grant)
            self.exchange(now, IDLE)

    def test_rare_use_requests_no_grant(self):
        for now in range(10):
            self.call(float(now))
            self.assertEqual([], self.entry.due_questions(now + 0.5))

    def test_an_unused_grant_is_given_back(self):
        self.entry.done("t", self.granted())
        self.exchange(0.6, IDLE)  # renewed: it was used
        self.exchange(1.2, IDLE)
        self.assertEqual(0, self.home.reserved)
        self.assertEqual(0, self.call(1.3))

    def test_the_lease_counts_from_the_question(self):
        """The home's answer is late, or the entry's process was paused.

        If the lease were counted from the arrival of the answer, it would outlast
        the home's, and a leaving target would get new calls.
        """
        for _ in range(12):
            self.call(0.0)
        (question,) = self.entry.due_questions(0.0)
        answer = self.home.ask(question.message, IDLE, 0.1)
        self.entry.answered(question, answer)  # at 5.0, long after
        self.assertEqual(0, self.call(5.0))

    def test_a_late_answer_to_a_failed_question_is_not_used(self):
        """An answer arrives after its question failed and was sent again.

        If it were applied to the newer question, its lease would last too long.
        """
        for now in (0.0, 2.1):
            for _ in range(12):
                self.call(now)
            if now == 0.0:
                (first,) = self.entry.due_questions(now)
                answer = self.home.ask(first.message, IDLE, now)
                self.entry.failed("t")
        self.entry.due_questions(2.1)
        self.tell(self.entry.answered(first, answer), IDLE, 2.2)
        self.assertEqual(0, self.call(2.2))
        self.assertEqual(0, self.home.reserved)

    def test_long_calls_go_through_the_home(self):
        self.granted()
        self.assertEqual(0, self.call(0.1, seconds=SETTINGS.grant_call + 1))

    def test_no_more_at_once_than_granted(self):
        grant = self.granted()
        taken = [self.call(0.1) for _ in range(4)]
        self.assertEqual(SETTINGS.grant_slots - 1, taken.count(grant))


class HomeTests(GrantCase):
    def test_a_waiting_call_ends_granting_and_idle_slots_are_returned(self):
        """Another entry's calls have to wait while this one holds idle slots.

        Without a recall they would wait although slots are free.
        """
        self.entry.done("t", self.granted())
        self.assertTrue(self.home.must_recall(BUSY, 0.6))
        self.exchange(0.6, BUSY)
        self.assertEqual(0, self.home.reserved)
        self.assertEqual(0, self.call(0.7))
        asked = self.home.ask(Ask("other"), IDLE, 0.8)
        self.assertEqual(Denied(DenyReason.CONTENTION), asked)

    def test_a_drain_aborts_no_direct_call_and_starts_none(self):
        """A drain begins while a direct call runs.

        Its slot stays counted until it ends, and no further direct call starts.
        """
        grant = self.granted()
        self.home.close()
        self.exchange(0.6, IDLE)
        self.assertEqual(0, self.call(0.7))
        self.assertEqual(1, self.home.reserved)
        self.tell(self.entry.done("t", grant), IDLE, 0.9)
        self.assertEqual(0, self.home.reserved)

    def test_slots_granted_to_an_entry_that_died_become_free(self):
        self.granted()
        self.home.expire(SETTINGS.grant_lease + SETTINGS.grant_call - 0.1)
        self.assertEqual(SETTINGS.grant_slots, self.home.reserved)
        self.home.expire(SETTINGS.grant_lease + SETTINGS.grant_call + 0.1)
        self.assertEqual(0, self.home.reserved)

    def test_calls_started_while_a_renewal_waited_stay_counted(self):
        """The home delays its answer to a renewal and then recalls the grant.

        The number of calls in flight in the request is outdated by then.
        """
        grant = self.granted()
        (question,) = self.entry.due_questions(0.6)
        self.assertEqual(grant, self.call(0.7))
        answer = self.home.ask(question.message, BUSY, 0.9)
        self.assertEqual(2, self.home.reserved)
        self.tell(self.entry.answered(question, answer), BUSY, 0.9)
        self.assertEqual(2, self.home.reserved)
        self.tell(self.entry.done("t", grant), BUSY, 1.0)
        self.assertEqual(1, self.home.reserved)

    def test_at_most_half_of_the_slots_are_granted(self):
        for n in range(20):
            free = 10 - self.home.reserved
            answer = self.home.ask(Ask(f"entry-{n}"), Capacity(10, free, 0), 0.0)
            self.assertIsInstance(answer, Granted if n < 3 else Denied)
        self.assertEqual(5, self.home.reserved)

    def test_another_entry_cannot_renew_or_return_a_grant(self):
        self.home.ask(Ask("entry"), IDLE, 0.0)
        answer = self.home.ask(Ask("other", grant=1), IDLE, 0.1)
        self.assertEqual(Denied(DenyReason.UNKNOWN), answer)
        self.home.returned(Returned("other", 1))
        self.assertEqual(SETTINGS.grant_slots, self.home.reserved)

    @settings(derandomize=True, deadline=None, max_examples=150, database=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("ccdaaltqr"), st.booleans()),
            min_size=10,
            max_size=80,
        ),
    )
    def test_the_home_counts_every_direct_call_in_flight(self, steps):
        """Messages are lost or late, the target drains, and time jumps.

        A direct call that the home does not count could overload the upstream. One
        that starts after the lease could reach a target that has left.
        """
        self.home, self.entry = GrantHome(SETTINGS), GrantEntry(SETTINGS, "entry")
        now, closed_at, late = 0.0, float("inf"), []
        running = [(self.granted(), now)]
        for step, flag in steps:
            now += 0.05
            if step == "c":
                for _ in range(6):
                    grant = self.call(now, seconds=5.0)
                    if grant:
                        running.append((grant, now))
                        self.assertTrue(now <= closed_at + SETTINGS.grant_lease)
            elif step == "d" and running:
                question = self.entry.done("t", running.pop(0)[0])
                self.tell(question, IDLE, now)
            elif step == "a":
                self.exchange(now, BUSY if flag else IDLE)
            elif step == "l":
                for question in self.entry.due_questions(now):
                    if flag and isinstance(question.message, Ask):
                        answer = self.home.ask(question.message, IDLE, now)
                        late.append((question, answer))
                    self.tell(self.entry.failed("t"), IDLE, now)
            elif step == "q" and late:
                self.tell(self.entry.answered(*late.pop(0)), IDLE, now)
            elif step == "t":
                now += 0.7
            elif step == "r" and flag and closed_at == float("inf"):
                self.home.close()
                closed_at = now
            running = [each for each in running if now - each[1] < 5.0]
            self.home.expire(now)
            self.assertTrue(len(running) <= self.home.reserved, (running, now))
