"""Tests of calls that outlast the grace period of a node."""

import asyncio
from dataclasses import replace

from sequoiaspoke.node import headers as names
from sequoiaspoke.tests.loopback import (
    WAIT,
    LoopbackTestCase,
    header,
    raw,
    request,
    rules,
    status,
    until,
)

HELD = request("GET", "/", "Standin-Hold: yes")


class GraceTests(LoopbackTestCase):
    """Guards against a caller that never learns that its call may have run."""

    async def only_site(self, deployment):
        """Return the site whose upstream is the only one that serves."""
        deployment.sites[1].leaving = True
        version = deployment.publish(rules(self.RULES))
        await deployment.converged(version, WAIT)
        return deployment.sites[0]

    async def stop_at_once(self, node):
        limits = replace(node.settings.node, drain=0, grace=0)
        node.settings = replace(node.settings, node=limits)
        await node.stop()

    def test_a_call_that_outlasts_the_grace_period_is_answered(self):
        # The connection was closed without an answer while the upstream ran the call.
        async def test(deployment):
            site = await self.only_site(deployment)
            call = asyncio.ensure_future(raw(site.node.ports["call"], HELD))
            await until(lambda: site.upstream.runs_total == 1)
            await self.stop_at_once(site.node)
            answer = await call
            self.assertEqual(502, status(answer))
            self.assertEqual("outcome-unknown", header(answer, names.RAN))
            self.assertEqual("node-stopped", header(answer, names.REASON))
            self.assertEqual("close", header(answer, "Connection"))
            await until(lambda: site.upstream.counts.cancelled == 1)

        self.run_with(test)

    def test_a_request_behind_it_is_not_run(self):
        async def test(deployment):
            site = await self.only_site(deployment)
            first = b"GET / HTTP/1.1\r\nHost: x\r\nStandin-Hold: yes\r\n\r\n"
            port = site.node.ports["call"]
            calls = asyncio.ensure_future(raw(port, first + request("GET", "/")))
            await until(lambda: site.upstream.runs_total == 1)
            await self.stop_at_once(site.node)
            self.assertEqual(1, (await calls).count(b"HTTP/1.1 "))
            self.assertEqual(1, site.upstream.runs_total)

        self.run_with(test)
