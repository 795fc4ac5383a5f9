"""Tests of load patterns through two nodes over real sockets.

Upstreams hold the calls until the test releases them, so that which calls run, wait
or are refused does not depend on the speed of the machine.
"""

import asyncio
from collections import Counter

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

ROUTE = (
    "[rule all]\nwhen = always\nthen = route fleet\ntimeout = 60\n"
    "priority = patient\ncaller = x-member\nattempts = 1\n"
)
HOLD = "Standin-Hold: yes"
SLOTS, QUEUE = 10, 64


def start_calls(port, count, *lines, path="/"):
    """Start `count` calls at once."""
    call = request("GET", path, *lines)
    return [asyncio.ensure_future(raw(port, call)) for _ in range(count)]


async def count_outcomes(tasks):
    """Count the answers by whether they say that the call ran."""
    return Counter(header(answer, names.RAN) for answer in await asyncio.gather(*tasks))


class PatternTests(LoopbackTestCase):
    def run_pattern(self, test, text=ROUTE):
        """Run a test whose calls enter at one node and run at the other."""

        async def prepared(deployment):
            near, far = deployment.sites
            near.leaving = True
            version = deployment.publish(rules(text))
            await deployment.converged(version, 10)
            await test(near.node.ports["call"], far, far.node.home.gate.admission)

        self.run_with(prepared)

    def test_a_burst_waits_and_is_answered(self):
        """Forty calls come at once; those above the slots wait in the queue."""

        async def test(port, far, admission):
            burst = start_calls(port, 40, HOLD)
            await until(lambda: len(admission.queue) == 40 - SLOTS)
            far.upstream.release()
            self.assertEqual({"ran": 40}, dict(await count_outcomes(burst)))
            self.assertEqual(SLOTS, far.upstream.slots.peak)

        self.run_pattern(test)

    def test_saturation_refuses_the_excess_and_runs_the_rest(self):
        """More calls come at once than the target has slots and queue for.

        The excess is refused while the others still wait, with a Retry-After
        header, and a call that is answered with "not-run" has not run.
        """

        async def test(port, far, admission):
            many = start_calls(port, 120, HOLD)
            excess = 120 - SLOTS - QUEUE
            await until(lambda: sum(task.done() for task in many) == excess)
            for task in many:
                if task.done():
                    answer = task.result()
                    outcome = (status(answer), header(answer, names.RAN))
                    self.assertEqual((503, "not-run"), outcome)
                    self.assertTrue(int(header(answer, "Retry-After")) >= 1)
            far.upstream.release()
            self.assertEqual(
                {"ran": 120 - excess, "not-run": excess},
                dict(await count_outcomes(many)),
            )
            self.assertEqual(120 - excess, far.upstream.runs_total)
            self.assertEqual((SLOTS, 0), (far.upstream.slots.peak, shed(far)))

        def shed(far):
            return far.upstream.counts.shed

        self.run_pattern(test)

    def test_a_flooding_caller_does_not_crowd_out_others(self):
        """One caller fills the target's slots and queue before others call."""

        async def test(port, far, admission):
            flood = start_calls(port, 100, HOLD, "X-Member: script")
            await until(lambda: sum(admission.refused.values()) == 100 - SLOTS - QUEUE)
            others = [
                call
                for n in range(8)
                for call in start_calls(port, 1, f"X-Member: {n}")
            ]
            refused = 100 - SLOTS - QUEUE + len(others)
            await until(lambda: sum(admission.refused.values()) == refused)
            far.upstream.release()
            self.assertEqual({"ran": 8}, dict(await count_outcomes(others)))
            self.assertEqual(100 - refused, (await count_outcomes(flood))["ran"])

        self.run_pattern(test)

    def test_short_calls_are_served_beside_long_ones(self):
        """Slow calls under one rule take the slots; short calls of another come."""
        text = ROUTE.replace("rule all", "rule archive").replace(
            "when = always", "when = path prefix /archive"
        )

        async def test(port, far, admission):
            for _ in range(20):
                await count_outcomes(start_calls(port, 1, "Standin-Service-Ms: 1"))
            await count_outcomes(
                start_calls(port, 1, "Standin-Service-Ms: 2000", path="/archive")
            )
            pages = start_calls(port, 14, HOLD, path="/archive")
            await until(lambda: len(admission.running) + len(admission.queue) == 14)
            for _ in range(6):
                outcomes = await count_outcomes(
                    start_calls(port, 1, "Standin-Service-Ms: 1")
                )
                self.assertEqual({"ran": 1}, dict(outcomes))
            self.assertFalse(any(page.done() for page in pages))
            far.upstream.release()
            self.assertEqual({"ran": 14}, dict(await count_outcomes(pages)))

        self.run_pattern(test, text + ROUTE)

    def test_a_slow_target_gets_no_more_than_it_has_slots_for(self):
        """The target in the caller's zone accepts calls but does not answer."""

        async def test(deployment):
            version = deployment.publish(rules(ROUTE))
            await deployment.converged(version, 10)
            near, far = deployment.sites
            far.upstream.release()
            stuck = near.node.home.gate.admission
            tasks = []
            for _ in range(40):
                held = len(stuck.running)
                (task,) = start_calls(near.node.ports["call"], 1, HOLD)
                tasks.append(task)
                await until(
                    lambda task=task, held=held: (
                        task.done() or len(stuck.running) > held
                    )
                )
            self.assertEqual(0, len(stuck.queue))
            self.assertTrue(far.upstream.runs_total >= 40 - SLOTS)
            near.upstream.release()
            self.assertEqual({"ran": 40}, dict(await count_outcomes(tasks)))

        self.run_with(test)


class LeavingTests(LoopbackTestCase):
    """Guards against new calls to a VM that is about to be replaced.

    They would be aborted when it stops, or prolong its grace period.
    """

    def test_a_vm_listed_as_leaving_gets_no_new_calls(self):
        async def test(deployment):
            near, far = deployment.sites
            far.leaving = True
            deployment.publish_vms()
            balancer = near.node.entry.attempts.balancer
            await until(lambda: far.name in balancer.leaving)
            for _ in range(20):
                answer = await raw(near.node.ports["call"], request("GET", "/"))
                self.assertEqual(200, status(answer))
            self.assertEqual(0, far.upstream.runs_total)

        self.run_with(test)

    def test_a_draining_node_says_so_and_runs_nothing_new(self):
        async def test(deployment):
            near, far = deployment.sites
            near.node.home.gate.admission.drain()
            for _ in range(20):
                answer = await raw(near.node.ports["call"], request("GET", "/"))
                self.assertEqual(200, status(answer))
            self.assertEqual(0, near.upstream.runs_total)
            self.assertEqual(20, far.upstream.runs_total)
            known = near.node.entry.attempts.balancer.load.target_load(near.target)
            self.assertIs(UpstreamState.LEAVING, known.state)

        self.run_with(test)

    def test_a_target_whose_upstream_drains_says_so(self):
        """Only the upstream drains, not its node.

        If the node did not report it, each call there would be refused and retried.
        """

        async def test(deployment):
            near, far = deployment.sites
            near.upstream.drain()
            for _ in range(20):
                answer = await raw(near.node.ports["call"], request("GET", "/"))
                self.assertEqual(200, status(answer))
            self.assertEqual(20, far.upstream.runs_total)
            known = near.node.entry.attempts.balancer.load.target_load(near.target)
            self.assertIs(UpstreamState.LEAVING, known.state)

        self.run_with(test)

    def test_a_target_whose_upstream_is_down_says_so(self):
        async def test(deployment):
            near, far = deployment.sites
            near.upstream.close()
            for _ in range(30):
                answer = await raw(near.node.ports["call"], request("GET", "/"))
                self.assertEqual(200, status(answer))
            self.assertEqual(30, far.upstream.runs_total)
            known = near.node.entry.attempts.balancer.load.target_load(near.target)
            self.assertIs(UpstreamState.DOWN, known.state)

        self.run_with(test)
