"""Tests of request targets in absolute form at a node, over real sockets."""

import asyncio

from sequoiaspoke.node.client import Address
from sequoiaspoke.tests.loopback import LoopbackTestCase, raw, request, status
from sequoiaspoke.tests.test_absolute_targets import MALFORMED


class RecordingUpstream:
    """An upstream that accepts any target and records the heads of its requests."""

    def __init__(self):
        self.heads = []

    async def serve(self, reader, writer):
        self.heads.append((await reader.readuntil(b"\r\n\r\n")).decode())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()


class AbsoluteTargetTests(LoopbackTestCase):
    """Guards against a rule that another form of the target bypasses."""

    RULES = (
        "[rule shut]\nwhen = path prefix /shut/\nthen = refuse 410 season-over\n"
        "[rule all]\nwhen = host x.example\nthen = route fleet\n"
    )

    def run_with_upstream(self, test):
        async def body(deployment):
            upstream = RecordingUpstream()
            server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
            address = Address(*server.sockets[0].getsockname())
            for site in deployment.sites:
                site.node.home.pool.address = address
            await test(deployment.sites[0].node.ports["call"], upstream)
            server.close()

        self.run_with(body)

    def test_rules_match_the_path_and_the_host_of_the_target(self):
        # A path that a rule refuses was served.
        async def test(port, upstream):
            answer = await raw(port, request("GET", "http://x.example/shut/1"))
            self.assertEqual(410, status(answer))
            answer = await raw(port, request("GET", "http://x.example/a/%2F?b=%20"))
            self.assertEqual(200, status(answer))
            (head,) = upstream.heads
            line, *lines = head.split("\r\n")
            self.assertEqual("GET /a/%2F?b=%20 HTTP/1.1", line)
            hosts = [each for each in lines if each.lower().startswith("host:")]
            self.assertEqual(["Host: x.example"], hosts)

        self.run_with_upstream(test)

    def test_a_malformed_target_is_refused(self):
        async def test(port, upstream):
            for target in MALFORMED:
                answer = await raw(port, request("GET", target))
                self.assertEqual(400, status(answer), target)
            self.assertEqual([], upstream.heads)

        self.run_with_upstream(test)
