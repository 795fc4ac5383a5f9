"""Tests of recognizing the calls that an upstream makes while it runs others."""

from testtools import TestCase

from sequoiaspoke.core.mesh.parents import (
    ANSWERS_TO_KNOW,
    CallingKinds,
    RunningParents,
)


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


class CallingKindsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.kinds = CallingKinds()

    def answer(self, count):
        for _ in range(count):
            self.kinds.record_answer("view")

    def test_a_kind_may_make_calls_until_its_answers_show_that_it_makes_none(self):
        self.answer(ANSWERS_TO_KNOW - 1)
        self.assertTrue(self.kinds.may_call("view"))
        self.answer(1)
        self.assertFalse(self.kinds.may_call("view"))
        self.assertTrue(self.kinds.may_call("order"))

    def test_a_kind_that_has_made_a_call_may_make_more(self):
        self.kinds.record_nested("view")
        self.answer(ANSWERS_TO_KNOW)
        self.assertTrue(self.kinds.may_call("view"))
