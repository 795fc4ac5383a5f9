"""Tests of recognizing the calls that an upstream makes while it runs others."""

from testtools import TestCase

from sequoiaspoke.core.mesh.parents import RunningParents


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
