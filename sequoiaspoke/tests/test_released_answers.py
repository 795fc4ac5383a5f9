"""Tests that calls which have ended hold no memory."""

import asyncio
import gc
import weakref

from testtools import TestCase

from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar.pending import PendingCall
from sequoiaspoke.tests.test_sidecar_entry import LOST, make_entry, request


class Waiting:
    """What waits for the outcome of a call."""


class ReleasedAnswerTests(TestCase):
    """Answers leave the memory with their calls, not with the garbage collector."""

    def setUp(self):
        super().setUp()
        gc.disable()
        self.addCleanup(gc.enable)

    def test_an_answer_is_released_with_its_call(self):
        # The attempts of a call referred to each other. A node kept all large answers
        # of some seconds, and exceeded its memory.
        async def run(script):
            entry = make_entry(script)
            kept = weakref.ref(await entry.handle(request("read")))
            for _ in range(3):
                await asyncio.sleep(0)
            return kept()

        for script in ({"a": "z"}, {"a": "z", "b": LOST}):
            script = {
                name: Answer(200, (), b"z") if outcome == "z" else outcome
                for name, outcome in script.items()
            }
            made = weakref.ref(script["a"])
            self.assertIs(asyncio.run(run(script)), script["a"])
            script.clear()
            self.assertIsNone(made())

    def test_a_call_to_another_node_is_released_with_its_outcome(self):
        for end in (lambda pending: pending.resolve(LOST), PendingCall.drop):
            waiting = Waiting()
            waiting.pending = PendingCall(1, None, lambda _, waiting=waiting: waiting)
            kept = weakref.ref(waiting)
            end(waiting.pending)
            del waiting
            self.assertIsNone(kept())
