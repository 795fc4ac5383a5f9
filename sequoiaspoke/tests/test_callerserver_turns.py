"""Tests of pipelined requests at a node that stops."""

import asyncio

from sequoiaspoke.core.mesh.outcome import Answer
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.bodypolicy import ReadAllBodies
from sequoiaspoke.tests.test_callerserver import CallerServerTestCase

SLOW, QUICK = (b"GET /%s HTTP/1.1\r\nHost: x\r\n\r\n" % x for x in (b"slow", b"quick"))
# Its second half is missing.
UPLOAD = (
    b"POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
    b"Expect: 100-continue\r\n\r\nbo"
)
MALFORMED = b"GET / HTTP/1.1\r\nHost x\r\n\r\n"
CLOSE = b"Connection: close"


class UnreadPolicy(ReadAllBodies):
    """Records the requests that count as not read."""

    def __init__(self):
        self.unread = []

    def call_unread(self, head):
        self.unread.append(head.target)


class StoppingTestCase(CallerServerTestCase):
    """Serves slow requests once the gate is open, and any others at once."""

    def play(self, scenario):
        async def recorded(reader, writer):
            self.server.handle = self.handle
            self.policy = self.server.policy = UnreadPolicy()
            await scenario(reader, writer)

        super().play(recorded)

    async def handle(self, request):
        if request.target == "/slow":
            return await self.handler.handle(request)
        self.handler.begun.append(request)
        return Answer(200, (), request.target.encode())

    @property
    def begun(self):
        """Return the targets of the requests that were passed on."""
        return [request.target for request in self.handler.begun]

    async def send(self, writer, data, begun):
        """Send requests, and wait until a number of them has been passed on."""
        writer.write(data)
        await self.until(lambda: len(self.begun) == begun)

    async def stop_accepting(self):
        """Do what a stopping node does once callers had time to leave."""
        self.server.closing = True
        self.server.stop_accepting()
        self.server.close_idle()


class LateTurnTests(StoppingTestCase):
    def test_a_request_behind_another_is_not_passed_on_after_callers_had_left(self):
        # Its answer waited for a slower one, and was lost if the process was killed.
        async def scenario(reader, writer):
            await self.send(writer, SLOW, 1)
            await self.stop_accepting()
            (connection,) = self.server.connections
            active = connection.last_active
            writer.write(QUICK + QUICK)
            await self.until(lambda: connection.last_active > active)
            self.handler.gate.set()
            seen = await reader.read()
            self.assertEqual(self.begun, ["/slow"])
            self.assertIn(CLOSE, seen)
            self.assertTrue(seen.endswith(b"/slow"), seen)
            self.assertEqual(self.policy.unread, ["/quick"])

        self.play(scenario)

    def test_requests_that_were_passed_on_before_are_answered(self):
        async def scenario(reader, writer):
            await self.send(writer, SLOW + QUICK, 2)
            await self.stop_accepting()
            self.handler.gate.set()
            seen = await reader.read()
            self.assertEqual(seen.count(b"HTTP/1.1 200"), 2)
            self.assertEqual(seen.count(CLOSE), 1)
            self.assertTrue(seen.endswith(b"/quick"), seen)

        self.play(scenario)

    def test_a_body_behind_a_call_is_not_read(self):
        # It would take memory until the call has ended.
        async def scenario(reader, writer):
            await self.send(writer, SLOW, 1)
            await self.stop_accepting()
            held = self.memory.held
            writer.write(UPLOAD)
            await self.until(lambda: self.policy.unread)
            self.assertEqual(self.memory.held, held)
            self.handler.gate.set()
            seen = await reader.read()
            self.assertNotIn(b" 100 ", seen)
            self.assertTrue(seen.endswith(b"/slow"), seen)

        self.play(scenario)

    def test_a_body_that_was_arriving_before_is_read(self):
        async def scenario(reader, writer):
            await self.send(writer, SLOW + UPLOAD, 1)
            (connection,) = self.server.connections
            await self.until(lambda: connection.body_size)
            await self.stop_accepting()
            writer.write(b"dy")
            await self.until(lambda: len(self.begun) == 2)
            self.handler.gate.set()
            self.assertTrue((await reader.read()).endswith(b"/upload"))

        self.play(scenario)


class FinishedAnswerTests(StoppingTestCase):
    """A finished answer behind a slow call was lost if the process was killed."""

    # Long after all requests of a test.
    LATE = 60.0

    async def until_finished(self, writer):
        """Send a slow request and a quick one, and wait until that is finished."""
        await self.send(writer, SLOW + QUICK, 2)
        (connection,) = self.server.connections
        await self.until(lambda: connection.pending[-1].answer)

    def test_it_is_sent_and_the_call_before_it_broken_off(self):
        async def scenario(reader, writer):
            await self.until_finished(writer)
            self.server.closing = True
            self.server.send_finished(clock.now())
            seen = await reader.read()
            self.assertTrue(seen.startswith(b"HTTP/1.1 502"), seen)
            self.assertTrue(seen.endswith(b"/quick"), seen)
            self.assertEqual(self.handler.cancelled, ["/slow"])

        self.play(scenario)

    def test_one_that_is_finished_later_is_sent_as_well(self):
        async def scenario(reader, writer):
            await self.send(writer, SLOW, 1)
            self.server.closing = True
            self.server.send_finished(clock.now() + self.LATE)
            await self.send(writer, QUICK, 2)
            self.assertTrue((await reader.read()).endswith(b"/quick"))

        self.play(scenario)

    def test_a_call_that_has_ended_as_well_is_answered(self):
        # It was broken off if both answers were read together, the later one first.
        async def scenario(reader, writer):
            ends = {}

            async def handle(request):
                ends[request.target] = asyncio.get_running_loop().create_future()
                return await ends[request.target]

            self.server.handle = handle
            writer.write(SLOW + QUICK)
            await self.until(lambda: len(ends) == 2)
            self.server.closing = True
            self.server.send_finished(clock.now())
            for target in ("/quick", "/slow"):
                ends[target].set_result(Answer(200, (), target.encode()))
            seen = await reader.read()
            self.assertEqual(seen.count(b"HTTP/1.1 200"), 2, seen)

        self.play(scenario)

    def test_a_call_goes_on_for_which_no_answer_waits(self):
        async def scenario(reader, writer):
            await self.send(writer, SLOW + SLOW, 2)
            self.server.closing = True
            self.server.send_finished(clock.now())
            self.handler.gate.set()
            seen = await reader.read()
            self.assertEqual(seen.count(b"HTTP/1.1 200"), 2)

        self.play(scenario)

    def test_a_call_goes_on_if_only_a_refusal_waits_for_it(self):
        # A request that was not passed on is not lost.
        async def scenario(reader, writer):
            await self.send(writer, SLOW, 1)
            writer.write(MALFORMED)
            (connection,) = self.server.connections
            await self.until(lambda: len(connection.pending) == 2)
            self.server.closing = True
            self.server.send_finished(clock.now())
            self.handler.gate.set()
            seen = await reader.read()
            self.assertTrue(seen.startswith(b"HTTP/1.1 200"), seen)
            self.assertIn(b"HTTP/1.1 400", seen)

        self.play(scenario)

    def test_a_call_that_came_late_is_not_broken_off(self):
        # It was taken because it ends in time.
        async def scenario(reader, writer):
            earlier = clock.now() - self.LATE
            await self.until_finished(writer)
            self.server.closing = True
            self.server.send_finished(earlier)
            self.handler.gate.set()
            seen = await reader.read()
            self.assertEqual(seen.count(b"HTTP/1.1 200"), 2)

        self.play(scenario)
