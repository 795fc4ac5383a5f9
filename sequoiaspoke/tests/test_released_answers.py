"""Tests that calls which have ended hold no memory."""

import asyncio
import gc
import weakref
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request
from sequoiaspoke.sidecar.pending import PendingCall
from sequoiaspoke.tests.test_sidecar_entry import LOST, make_entry, request

MARK = b"the body of the requests of these tests"


class Waiting:
    """What waits for the outcome of a call."""


class ReleasedAnswerTests(TestCase):
    """Answers leave the memory with their calls, not with the garbage collector."""

    def setUp(self):
        super().setUp()
        # What other tests have left is no request of this one.
        gc.collect()
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

    def test_a_request_is_released_with_its_call(self):
        # Each attempt but the last kept its request. A node that tried large bodies at
        # several homes held three times its memory account.
        async def run(script, name, left):
            entry = make_entry(script)
            answer = await entry.handle(replace(request(name, left), body=MARK))
            for _ in range(3):
                await asyncio.sleep(0)
            requests = [x for x in gc.get_objects() if isinstance(x, Request)]
            return answer.status, sum(each.body is MARK for each in requests)

        refused = NotRun("overloaded", 0.2)
        for outcomes, name, left, status in (
            ((refused, refused, refused), "order", 4000, 503),
            ((refused, refused, LOST), "order", 4000, 502),
            ((LOST, LOST), "read", 4000, 502),
            ((None,), "order", 100, 504),
        ):
            script = dict(zip("abc", outcomes, strict=False))
            self.assertEqual(asyncio.run(run(script, name, left)), (status, 0))

    def test_a_call_to_another_node_is_released_with_its_outcome(self):
        for end in (lambda pending: pending.resolve(LOST), PendingCall.drop):
            waiting = Waiting()
            waiting.pending = PendingCall(1, None, lambda _, waiting=waiting: waiting)
            kept = weakref.ref(waiting)
            end(waiting.pending)
            del waiting
            self.assertIsNone(kept())
