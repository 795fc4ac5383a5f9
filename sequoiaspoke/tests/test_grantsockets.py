"""Tests of granted direct connections over real sockets."""

import asyncio
from dataclasses import replace

from sequoiaspoke.core.routing.model import UpstreamState
from sequoiaspoke.node import headers as names
from sequoiaspoke.tests.loopback import (
    LoopbackTestCase,
    header,
    raw,
    request,
    rules,
    status,
    until,
)

# Long enough for a slow machine; the limits of a lease are tested without sockets.
LEASE = 4.0
RATE = 0.1


def enable_grants(entry, home):
    """Let `home` grant connections to its upstream and `entry` use them."""
    grants = home.node.grants
    address = f"127.0.0.1:{home.upstream.port}"
    routing = replace(
        grants.settings.routing,
        grant_address=address,
        grant_lease=LEASE,
        grant_rate=RATE,
        grant_call=60.0,
    )
    grants.settings = replace(grants.settings, routing=routing)
    grants.core.settings = routing
    grants.core.closed = False
    direct = entry.node.entry.attempts.direct
    direct.settings = grants.settings
    direct.core.settings = routing
    direct.enabled = True
    return direct


class GrantedTests(LoopbackTestCase):
    RULES = LoopbackTestCase.RULES.replace("= 5", "= 60") + "priority = patient\n"

    def run_granted(self, test):
        """Run a test that starts with a grant in use."""

        async def prepared(deployment):
            near, far = deployment.sites
            self.near = near
            direct = enable_grants(near, far)
            near.leaving = True
            version = deployment.publish(rules(self.RULES))
            await deployment.converged(version, 10)
            port = near.node.ports["call"]
            while not direct.core.ways["direct"]:
                self.assertEqual(200, status(await raw(port, request("GET", "/"))))
            await test(port, far, direct.core.ways)

        self.run_with(prepared)

    async def hold_one_directly(self, port, ways):
        """Start held calls until one of them goes directly."""
        before, calls = ways["direct"], []
        while ways["direct"] == before:
            taken = ways.total()
            held = request("GET", "/", "Standin-Hold: yes")
            calls.append(asyncio.ensure_future(raw(port, held)))
            await until(lambda taken=taken: ways.total() > taken)
        return calls

    def test_direct_calls_are_counted_at_the_home(self):
        async def test(port, far, ways):
            calls = await self.hold_one_directly(port, ways)
            core = far.node.grants.core
            self.assertEqual(core.reserved, far.node.home.gate.admission.reserved)
            self.assertTrue(core.reserved > 0)
            far.upstream.release()
            self.assertEqual({200}, set(map(status, await asyncio.gather(*calls))))

        self.run_granted(test)

    def test_waiting_calls_take_granted_slots_back(self):
        """Many calls arrive at once while an entry holds granted slots.

        Without a recall they would wait while the granted slots are idle.
        """

        async def test(port, far, ways):
            held = request("GET", "/", "Standin-Hold: yes")
            calls = [asyncio.ensure_future(raw(port, held)) for _ in range(40)]
            admission = far.node.home.gate.admission
            await until(lambda: len(admission.queue) >= 28)
            far.upstream.release()
            self.assertEqual({200}, set(map(status, await asyncio.gather(*calls))))
            self.assertTrue(far.upstream.slots.peak <= 10)
            self.assertEqual(0, far.upstream.counts.shed)
            await until(lambda: far.node.grants.core.reserved == 0)

        self.run_granted(test)

    def test_an_upstream_that_drains_is_called_through_its_home(self):
        """An operator drains an upstream that is only called under grants.

        Its node sees none of those calls. The entry must stop calling it directly,
        and must not report its own upstream as leaving.
        """

        async def test(port, far, ways):
            far.upstream.drain()
            leaving = far.node.home.report
            while leaving().state is not UpstreamState.LEAVING:
                answer = await raw(port, request("GET", "/"))
                self.assertEqual("not-run", header(answer, names.RAN))
            before = ways["direct"]
            await raw(port, request("GET", "/"))
            self.assertEqual(before, ways["direct"])
            own = self.near.node.home.report().state
            self.assertIsNot(UpstreamState.LEAVING, own)

        self.run_granted(test)

    def test_a_stop_waits_for_direct_calls_and_allows_no_new_ones(self):
        """A node stops while an entry runs a direct call at its upstream.

        The node does not see that call; a stop that did not wait for its grant
        would cut it off.
        """

        async def test(port, far, ways):
            calls = await self.hold_one_directly(port, ways)
            stop = asyncio.ensure_future(far.node.stop())
            await until(lambda: far.node.draining)
            for _ in range(5):
                await raw(port, request("GET", "/"))
            self.assertFalse(stop.done())
            far.upstream.release()
            await stop
            self.assertEqual({200}, set(map(status, await asyncio.gather(*calls))))
            runs = far.upstream.runs_total
            answer = await raw(port, request("GET", "/"))
            self.assertEqual("not-run", header(answer, names.RAN))
            self.assertEqual(runs, far.upstream.runs_total)

        self.run_granted(test)
