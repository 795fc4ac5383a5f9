"""Tests of the credit that a home grants for announced bodies."""

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival, RefusalReason
from sequoiaspoke.core.mesh.slots import IDEMPOTENT_FIRST_SECONDS
from sequoiaspoke.core.mesh.transfers import (
    DEFAULT_WINDOW,
    MAX_WINDOW,
    MIN_WINDOW,
    PART_BYTES,
    STALL_SECONDS,
    UNLINKED_SECONDS,
    WINDOW_SECONDS,
    Grant,
    IncomingTransfers,
)
from sequoiaspoke.errors import MessageError

KB = 1 << 10
LINK_MBPS = 5.0
WINDOW = int(WINDOW_SECONDS * LINK_MBPS * 125_000)


class TransfersCase(TestCase):
    def setUp(self):
        super().setUp()
        self.transfers = IncomingTransfers()
        self.transfers.set_link_mbps(LINK_MBPS)

    def announce(self, *names, size=100 * KB, rank=2):
        for name in names:
            self.transfers.announce(name, "up", rank, size)

    def grant(self, now=0.0, order=None, bodies=3):
        order = list(self.transfers.transfers) if order is None else order
        return self.transfers.grant(order, bodies, now)

    def receive(self, name, now, size=PART_BYTES):
        offset = self.transfers.transfers[name].received
        return self.transfers.receive(name, offset, size, now)


class CreditTests(TransfersCase):
    def test_the_credit_of_all_bodies_is_bounded_by_the_window(self):
        # With credit for each entry, all bodies together would fill the link for
        # seconds, and nested calls would miss their deadlines behind them.
        self.announce("a", "b", "c")
        self.assertEqual(self.grant(), [Grant("a", 0, WINDOW)])
        self.assertEqual(self.grant(), [])
        self.receive("a", 0.01)
        self.assertEqual(
            self.grant(0.01), [Grant("a", PART_BYTES, WINDOW + PART_BYTES)]
        )

    def test_the_next_body_gets_what_the_end_of_the_first_leaves(self):
        # The link would idle for a round trip after each body.
        self.announce("a", size=10 * KB)
        self.announce("b")
        self.assertEqual(
            self.grant(), [Grant("a", 0, 10 * KB), Grant("b", 0, WINDOW - 10 * KB)]
        )

    def test_no_more_bodies_are_fetched_than_may_be_under_way(self):
        self.announce("a", "b", "c", size=2 * KB)
        self.assertEqual(len(self.grant(bodies=2)), 2)
        self.assertEqual(self.grant(bodies=0), [])

    def test_a_slow_entry_leaves_credit_to_the_next(self):
        # A home would receive no faster than the slowest of its entries.
        self.announce("a", "b")
        self.grant()
        self.receive("a", 0.2)
        self.assertEqual(self.grant(0.2), [Grant("b", 0, PART_BYTES)])

    def test_windows_follow_the_rate_within_their_bounds(self):
        windows = []
        for mbps in (0.0, 1.0, LINK_MBPS, 1000.0):
            self.transfers.set_link_mbps(mbps)
            windows.append(self.transfers.window)
        self.assertEqual(windows, [DEFAULT_WINDOW, MIN_WINDOW, WINDOW, MAX_WINDOW])

    def test_the_rate_is_corrected_downwards_only(self):
        # A wait that assumed the link's full rate would be too short while other
        # traffic uses it, and hopeless calls would be accepted.
        self.announce("a")
        self.grant()
        for number in range(5):
            self.receive("a", 0.05 * (number + 1))
            self.grant(0.05 * (number + 1))
        self.assertAlmostEqual(self.transfers.rate, PART_BYTES / 0.05, delta=1.0)
        self.transfers.set_link_mbps(0.5)
        self.assertEqual(self.transfers.rate, 62_500)


class FailureTests(TransfersCase):
    def test_the_credit_of_a_dropped_body_is_free_at_once(self):
        self.announce("a", "b")
        self.grant()
        self.assertTrue(self.transfers.drop("a"))
        self.assertFalse(self.transfers.drop("a"))
        self.assertEqual(self.grant(), [Grant("b", 0, WINDOW)])

    def test_a_body_without_parts_loses_its_credit_to_the_next(self):
        # An entry behind a cut would hold the credit of the whole home.
        self.announce("a", "b")
        self.grant()
        self.transfers.return_stalled(STALL_SECONDS - 0.01)
        self.assertEqual(self.grant(STALL_SECONDS - 0.01), [])
        self.transfers.return_stalled(STALL_SECONDS)
        self.assertEqual(self.grant(STALL_SECONDS), [Grant("b", 0, WINDOW)])
        self.transfers.drop("b")
        self.assertEqual(self.grant(STALL_SECONDS), [Grant("a", 0, WINDOW)])

    def test_parts_that_come_after_their_credit_was_returned_are_taken(self):
        # A cut that ends lets through what was sent into it.
        self.announce("a")
        self.grant()
        self.transfers.return_stalled(STALL_SECONDS)
        self.receive("a", 0.3)
        self.assertEqual(self.transfers.credit, 0)
        self.assertEqual(self.grant(0.3), [Grant("a", PART_BYTES, PART_BYTES + WINDOW)])

    def test_a_body_continues_on_a_new_link_at_the_offset_it_has(self):
        self.announce("a", "b")
        self.grant()
        self.receive("a", 0.01)
        self.transfers.unlink("a", 0.02)
        self.assertEqual(self.grant(0.02), [Grant("b", 0, WINDOW)])
        self.transfers.drop("b")
        self.transfers.resume("a", 100 * KB)
        self.assertEqual(
            self.grant(0.03), [Grant("a", PART_BYTES, PART_BYTES + WINDOW)]
        )

    def test_a_body_whose_entry_is_gone_is_abandoned_after_a_second(self):
        self.announce("a", "b")
        self.transfers.unlink("a", 1.0)
        self.assertEqual(self.transfers.abandoned(1.0 + UNLINKED_SECONDS / 2), [])
        self.assertEqual(self.transfers.abandoned(1.0 + UNLINKED_SECONDS), ["a"])

    def test_invalid_parts_are_refused(self):
        # A body with a gap or another call's bytes would be run by the upstream.
        self.announce("a")
        self.grant()
        for offset, size in ((1, 10), (-1, 10), (0, 0), (0, WINDOW + 1)):
            with self.subTest(offset=offset, size=size):
                self.assertRaises(
                    MessageError, self.transfers.receive, "a", offset, size, 0.1
                )
        self.assertRaises(MessageError, self.transfers.resume, "a", 7)

    def test_bytes_requested_on_an_earlier_link_are_refused_on_the_next(self):
        self.announce("a")
        self.grant()
        self.transfers.resume("a", 100 * KB)
        self.assertRaises(MessageError, self.receive, "a", 0.1)


class AdmissionTests(TransfersCase):
    def setUp(self):
        super().setUp()
        self.admission = Admission(2)
        self.admission.transfers = self.transfers

    def arrive(self, name, size=0, now=0.0, deadline=3.0, **how):
        if size:
            self.announce(name, size=size)
            self.admission.incomplete.add(name)
        arrival = Arrival(name, "up", 2, now + 3.0, now + deadline, False, **how)
        refused = self.admission.arrive(arrival, now)
        if refused is not None:
            self.transfers.drop(name)
        return refused and refused.reason

    def test_a_call_without_its_body_does_not_start(self):
        self.arrive("a", 100 * KB)
        self.arrive("b")
        self.assertEqual(self.admission.next(0.0)[0].ticket, "b")
        self.assertIsNone(self.admission.next(0.0)[0])
        self.admission.incomplete.discard("a")
        self.assertEqual(self.admission.next(0.0)[0].ticket, "a")

    def test_an_incomplete_order_does_not_start_the_wait_for_idempotent_calls(self):
        # The first order after a restart would be sent at once if its body took 0.2 s,
        # without the wait for an idempotent call.
        self.admission.upstream_slots.has_answered = False
        self.arrive("a", 100 * KB)
        self.assertIsNone(self.admission.next(0.0)[0])
        self.admission.incomplete.discard("a")
        self.assertIsNone(self.admission.next(IDEMPOTENT_FIRST_SECONDS)[0])
        later = 2 * IDEMPOTENT_FIRST_SECONDS
        self.assertEqual(self.admission.next(later)[0].ticket, "a")

    def test_a_body_that_cannot_arrive_in_time_is_refused_at_once(self):
        # 400 KB take 0.66 s. Accepted, the call would fill the link for nothing.
        self.assertEqual(
            self.arrive("a", 400 * KB, deadline=0.6), RefusalReason.NO_TIME
        )
        self.assertIsNone(self.arrive("b", 300 * KB, deadline=0.6))

    def test_the_slow_start_of_a_burst_refuses_no_body_that_can_arrive(self):
        # Nodes that are busy as a burst begins bring the first parts late. Bodies with
        # seconds left were refused by a rate of tens of milliseconds.
        self.transfers.set_link_mbps(1000.0)
        self.announce("first", size=400 * KB)
        self.grant()
        for number in range(4):
            self.receive("first", 0.02 * (number + 1))
            self.grant(0.02 * (number + 1))
        self.assertIsNone(self.arrive("a", 1600 * KB, now=0.08))
        for number in range(4, 16):
            self.receive("first", 0.02 * (number + 1))
            self.grant(0.02 * (number + 1))
        # By now the link is known to be slow.
        self.assertEqual(self.arrive("b", 1600 * KB, now=0.32), RefusalReason.NO_TIME)

    def test_busy_counts_the_bodies_ahead_and_not_the_own(self):
        # A slot request with a body would otherwise be refused everywhere.
        self.assertIsNone(self.arrive("a", 100 * KB, max_wait=0.0))
        self.assertEqual(self.arrive("b", 100 * KB, max_wait=0.0), RefusalReason.BUSY)
        self.assertIsNone(self.arrive("c", max_wait=0.0))

    def test_the_reported_wait_includes_the_link(self):
        # Entries would send all uploads to homes with free slots and full links.
        self.assertEqual(self.transfers.route_wait("up", 2), 0.0)
        self.arrive("a", 100 * KB)
        seconds = self.transfers.seconds_for(200 * KB)
        self.assertEqual(self.transfers.route_wait("up", 2), seconds)
        self.assertEqual(self.transfers.route_wait("other", 2), 0.0)
