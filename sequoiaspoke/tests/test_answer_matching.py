"""Tests that an upstream's answer is used only for the call that it belongs to."""

import asyncio
from dataclasses import dataclass

from testtools import TestCase

from sequoiaspoke.core.mesh.outcome import NotRun, Request, Unknown
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.tests.test_sidecar_upstream import STAMP, answer

TIMEOUT = 20.0  # seconds; only a failing test takes so long
HEALTH_CHECK = "health-check"
NO_ID = ""


@dataclass(frozen=True)
class Exchange:
    """A request and how the upstream answers it.

    Attributes
    ----------
    call_id : str
        Id of the call; NO_ID for one without an id, or HEALTH_CHECK.
    late : bytes
        Second answer, sent when the next request arrives on the connection.
    """

    call_id: str
    answer: bytes
    late: bytes = b""


def refusal(call_id):
    """Return an answer that says that a call has not run."""
    return answer(call_id, status=503, headers="X-Not-Run: 1\r\n")


def without_id(status, headers=""):
    """Return an answer that has no call id."""
    return f"HTTP/1.1 {status} x\r\n{headers}Content-Length: 0\r\n\r\n".encode()


class SecondAnswers:
    """An upstream that sends second answers late.

    Attributes
    ----------
    connections : list of int
        Number of the connection of each request.
    """

    def __init__(self, exchanges):
        self.exchanges = list(exchanges)
        self.opened = 0
        self.connections = []
        self.writers = []

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.opened += 1
        number, late = self.opened, b""
        self.writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.connections.append(number)
                exchange = self.exchanges.pop(0)
                writer.write(late + exchange.answer)
                late = exchange.late
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class MatchingCase(TestCase):
    """Makes requests one after the other and returns the outcomes of the calls."""

    def play(self, *exchanges, idempotent=False):
        async def run():
            self.server = SecondAnswers(exchanges)
            server = await asyncio.start_server(self.server.serve, "127.0.0.1", 0)
            self.upstream = Upstream(*server.sockets[0].getsockname(), HeaderNames())
            outcomes = []
            async with asyncio.timeout(TIMEOUT):
                for exchange in exchanges:
                    outcomes.append(await self.request(exchange.call_id, idempotent))
            self.upstream.close_idle_connections()
            server.close()
            for writer in self.server.writers:
                writer.transport.abort()
            # The event loop needs two iterations to close the connections.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return outcomes

        return asyncio.run(run())

    async def request(self, call_id, idempotent):
        """Make a call or a health check."""
        deadline = clock.now() + TIMEOUT
        if call_id == HEALTH_CHECK:
            return await self.upstream.check_health("/health", deadline)
        headers = (("X-Request-Id", call_id),) if call_id else ()
        request = Request("POST", "/a", headers, b"")
        return await self.upstream.call(
            request, "i-1", deadline, idempotent, on_send=lambda: None
        )


class LateAnswerTests(MatchingCase):
    def test_a_late_refusal_of_an_attempt_is_not_taken_for_that_of_the_next_one(self):
        # Both attempts have the same id. The second one ran, and its caller was told
        # that it had not.
        first, second = self.play(
            Exchange("c", refusal("c"), late=refusal("c")),
            Exchange("c", answer("c", "mine")),
        )
        self.assertEqual(first, NotRun("upstream-refused", from_upstream=True))
        self.assertEqual(second.body, b"mine")

    def test_other_calls_reuse_the_connection_of_a_refused_one(self):
        self.play(
            Exchange("c0", refusal("c0")),
            Exchange("c1", answer("c1")),
            Exchange("c0", answer("c0")),
            Exchange("c2", answer("c2")),
        )
        self.assertEqual(self.server.connections, [1, 1, 2, 2])


class AnswersWithoutIdTests(MatchingCase):
    def test_an_answer_without_an_id_does_not_refuse_a_call_that_runs(self):
        # Stray bytes after an earlier answer were told as the refusal of the next call.
        for mark in ("X-Not-Run: 1\r\n", ""):
            _, second = self.play(
                Exchange("c0", answer("c0"), late=without_id(503, mark)),
                Exchange("c1", answer("c1", "mine")),
            )
            self.assertEqual(second.body, b"mine")

    def test_a_late_answer_to_a_health_check_does_not_refuse_a_call_that_runs(self):
        # An upstream that becomes healthy answers a check twice, first 503, then 200.
        _, second = self.play(
            Exchange(HEALTH_CHECK, without_id(200), late=without_id(503)),
            Exchange("c", answer("c", "mine")),
        )
        self.assertEqual(second.body, b"mine")

    def test_an_upstream_that_repeats_no_ids_fails_at_once(self):
        # Waiting for another answer would take until the deadline.
        outcomes = self.play(
            Exchange("c0", without_id(200, STAMP)), Exchange("c1", without_id(503))
        )
        self.assertEqual(outcomes, [Unknown("answer-without-id")] * 2)
        self.assertEqual(self.server.connections, [1, 2])

    def test_a_call_without_an_id_reuses_no_connection(self):
        # Nothing tells a late answer from its own.
        outcomes = self.play(
            Exchange(HEALTH_CHECK, without_id(200), late=without_id(503)),
            Exchange(NO_ID, without_id(400, "X-Not-Run: 1\r\n")),
        )
        self.assertEqual(outcomes[1], NotRun("upstream-refused", from_upstream=True))
        self.assertEqual(self.server.connections, [1, 2])


class UnmarkedRefusalTests(MatchingCase):
    def test_an_unmarked_refusal_of_an_order_is_an_unknown_outcome(self):
        # An upstream ran an order and answered 503 by itself; its caller was told that
        # the order had not run.
        for status in (408, 429, 503):
            (outcome,) = self.play(Exchange("c", answer("c", status=status)))
            self.assertEqual(outcome, Unknown("refusal-unmarked"))

    def test_an_unmarked_refusal_of_a_read_is_passed_on(self):
        (outcome,) = self.play(Exchange("c", answer("c", status=503)), idempotent=True)
        self.assertEqual(outcome.status, 503)

    def test_a_refusal_by_another_instance_needs_no_mark(self):
        (outcome,) = self.play(Exchange("c", answer("c", status=421, headers="")))
        self.assertEqual(outcome, NotRun("instance-replaced", from_upstream=True))
