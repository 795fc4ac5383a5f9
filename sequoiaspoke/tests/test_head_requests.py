"""Tests of HEAD requests to upstreams (RFC 9110, section 9.3.2)."""

from sequoiaspoke.core.mesh.outcome import Answer, Request
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.upstream import Upstream
from sequoiaspoke.tests.test_invalid_statuses import (
    DEADLINE,
    NAMES,
    InvalidStatusCase,
    RawServer,
)

START = f"HTTP/1.1 200 OK\r\n{NAMES.stamp}: s\r\n"
FRAMINGS = (
    "Content-Length: 5\r\n",
    "Content-Length: 0\r\n",
    "",
    "Connection: close\r\n",
)
CHUNKED = "Transfer-Encoding: chunked\r\n"


class HeadTests(InvalidStatusCase):
    def call(self, *answers, method="HEAD"):
        """Return the outcomes of one call for each answer, and the idle connections."""

        async def scenario():
            async with RawServer(*answers) as server:
                upstream = Upstream(*server.address, NAMES)
                outcomes = []
                for number in range(len(answers)):
                    last = number == len(answers) - 1
                    headers = (("Host", "x"), (NAMES.call_id, f"c{number}"))
                    request = Request(method if last else "GET", "/a", headers, b"")
                    outcomes.append(
                        await upstream.call(
                            request, "i", clock.now() + DEADLINE, True, lambda: None
                        )
                    )
                idle = len(upstream.idle)
                upstream.close_idle_connections()
                return outcomes, idle

        return self.run_bounded(scenario)

    def test_an_answer_ends_with_its_head(self):
        # The node waited for the body that its length announces, until the deadline.
        for framing in (*FRAMINGS, CHUNKED):
            (outcome,), idle = self.call(f"{START}{{echo}}{framing}\r\n")
            self.assertIsInstance(outcome, Answer)
            self.assertEqual((outcome.status, outcome.body, idle), (200, b"", 0))

    def test_a_late_answer_to_an_earlier_call_is_skipped_with_its_body(self):
        late = f"{START}{NAMES.call_id}: c0\r\nContent-Length: 5\r\n\r\nearly"
        first = f"{START}{{echo}}Content-Length: 2\r\n\r\nok"
        head = f"{START}{{echo}}X-Real: yes\r\nContent-Length: 7\r\n\r\n"
        (_, outcome), _ = self.call(first, late + head)
        self.assertIn(("X-Real", "yes"), outcome.headers)

    def test_an_interim_answer_is_skipped(self):
        interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        (outcome,), _ = self.call(f"{interim}{START}{{echo}}Content-Length: 5\r\n\r\n")
        self.assertEqual(outcome.status, 200)

    def test_a_get_still_has_its_body(self):
        text = f"{START}{{echo}}Content-Length: 5\r\n\r\nwhole"
        (outcome,), idle = self.call(text, method="GET")
        self.assertEqual((outcome.body, idle), (b"whole", 1))

    def test_the_length_of_a_body_that_does_not_come_needs_no_room(self):
        text = f"{START}{{echo}}Content-Length: {64 << 20}\r\n\r\n"
        (outcome,), _ = self.call(text)
        self.assertEqual(outcome.status, 200)
