"""Tests that a node stays on the one thread of its loop."""

import threading

from sequoiaspoke.tests.loopback import LoopbackTestCase, raw, request, status


class OneThreadTests(LoopbackTestCase):
    """A library starts threads beside the loop.

    They cost memory on every VM and, since nothing in the node is written for
    more than one, a counter or a queue that two of them touch could go wrong
    once in a thousand hours; operators would see calls in flight that never end.
    """

    def test_calls_and_versions_start_no_thread(self):
        async def test(deployment):
            port = deployment.sites[0].node.ports["call"]
            self.assertEqual(200, status(await raw(port, request("GET", "/a"))))
            started = [each.name for each in threading.enumerate()]
            self.assertEqual([], [name for name in started if "asyncio" in name])
            self.assertEqual([], [name for name in started if "Pool" in name])

        self.run_with(test)
