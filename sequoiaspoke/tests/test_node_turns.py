"""Tests of pipelined requests at a node that stops."""

import asyncio

from sequoiaspoke.tests.nodeserver import ServerTestCase

ORDER = b"POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
ANSWER_END = b"done"


class LastTurnTests(ServerTestCase):
    def test_a_request_behind_the_last_answer_of_a_connection_is_not_run(self):
        # Its caller sent it again, as one that was not read, and it ran twice.
        async def scenario(reader, writer):
            writer.write(ORDER + ORDER)
            while not self.handler.begun:
                await asyncio.sleep(0.005)
            self.server.drain()
            (first,) = self.server.readers.values()
            self.handler.gate.set()
            seen = await reader.readuntil(ANSWER_END)
            self.assertIn(b"Connection: close", seen)
            while first in self.server.readers.values() or self.waits_for_head():
                await asyncio.sleep(0.005)
            (behind,) = self.server.readers.values()
            self.assertIsNone(behind.task)
            self.assertEqual(self.handler.begun, 1)

        self.play(scenario)

    def waits_for_head(self):
        """Return whether the request behind the answer has not been read."""
        return any(each.waiting for each in self.server.readers.values())
