"""Tests of recognizing the calls that an upstream makes while it runs others."""

from testtools import TestCase

from sequoiaspoke.core.mesh.parents import (
    ANSWERS_TO_KNOW,
    MAX_AT_ONCE,
    CallingKinds,
    RunningParents,
)


class SlicedId(str):
    """An id that counts its copied characters."""

    copied = 0

    def __getitem__(self, key):
        part = super().__getitem__(key)
        self.copied += len(part)
        return part


class RunningParentsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.parents = RunningParents()
        self.parents.begin("c1", "order")

    def test_a_call_that_extends_a_running_id_is_nested(self):
        # Callers and the upstream share an address, so all calls looked nested.
        self.assertEqual(self.parents.find_parent("c1.9f"), "c1")
        self.assertEqual(self.parents.find_parent("c1.9f-2"), "c1")
        self.assertEqual(self.parents.kinds["c1"], "order")

    def test_other_calls_are_fresh(self):
        # A fresh call that counts as nested would go ahead of more urgent ones.
        for call_id in ("c1", "c10.9f", "c2.9f", "9f.c1", "", "."):
            self.assertIsNone(self.parents.find_parent(call_id))
        self.parents.end("c1")
        self.assertIsNone(self.parents.find_parent("c1.9f"))

    def test_an_upstream_without_ids_makes_no_nested_calls(self):
        self.parents.begin("", "order")
        self.assertIsNone(self.parents.find_parent(".9f"))

    def test_the_time_to_find_a_parent_does_not_grow_with_the_square_of_an_id(self):
        # Ids that fill a head held up the event loop.
        self.parents.begin("c1", "order")
        call_id = SlicedId("-" * 16_000)
        self.assertIsNone(self.parents.find_parent(call_id))
        self.assertLessEqual(call_id.copied, len(call_id))

    def test_the_unanswered_calls_of_a_call_are_counted(self):
        self.parents.begin("c1", "order")
        self.assertEqual([1, 2], [self.parents.begin_nested("c1") for _ in range(2)])
        self.parents.end("c1")
        self.parents.end_nested("c1")
        self.assertEqual(self.parents.begin_nested("c1"), 2)
        for _ in range(2):
            self.parents.end_nested("c1")
        self.assertEqual(self.parents.nested, {})


class CallingKindsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.kinds = CallingKinds()

    def answer(self, count):
        for _ in range(count):
            self.kinds.record_answer("view")

    def test_a_kind_may_make_calls_until_its_answers_show_that_it_makes_none(self):
        self.answer(ANSWERS_TO_KNOW - 1)
        self.assertEqual(self.kinds.calls_at_once("view"), 1)
        self.answer(1)
        self.assertEqual(self.kinds.calls_at_once("view"), 0)
        self.assertEqual(self.kinds.calls_at_once("order"), 1)

    def test_a_kind_that_has_made_a_call_may_make_more(self):
        self.kinds.record_nested("view")
        self.answer(ANSWERS_TO_KNOW)
        self.assertEqual(self.kinds.calls_at_once("view"), 1)

    def test_a_kind_may_make_as_many_calls_at_once_as_it_has_made(self):
        for at_once in (1, 3, 2):
            self.kinds.record_nested("view", at_once)
        self.assertEqual(self.kinds.calls_at_once("view"), 3)

    def test_no_caller_makes_a_kind_need_many_connections(self):
        # Ids of callers may look like those of an upstream.
        self.kinds.record_nested("view", 500)
        self.assertEqual(self.kinds.calls_at_once("view"), MAX_AT_ONCE)
