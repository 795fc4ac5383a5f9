"""Tests of `Expect: 100-continue` at a node."""

from sequoiaspoke.tests.nodeserver import ServerTestCase

CONTINUE = b" 100 "


class ExpectTests(ServerTestCase):
    """Guards against a caller that waits for `100 Continue` for ever."""

    HEAD = "POST / HTTP/{}\r\nHost: x\r\nExpect: {}\r\nContent-Length: 2\r\n\r\n"

    def test_the_expectation_is_not_case_sensitive(self):
        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(self.HEAD.format("1.1", "100-Continue").encode())
            self.assertIn(CONTINUE, await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"ok")
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))

        self.play(scenario)

    def test_a_caller_of_http_1_0_gets_no_interim_answer(self):
        # It takes the interim answer for the final one (RFC 9110, 15.2).
        async def scenario(reader, writer):
            self.handler.gate.set()
            writer.write(self.HEAD.format("1.0", "100-continue").encode() + b"ok")
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))

        self.play(scenario)
