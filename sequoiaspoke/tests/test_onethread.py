"""Tests that a node runs on the single thread of its event loop."""

import threading

from sequoiaspoke.tests.loopback import LoopbackTestCase, raw, request, status


class OneThreadTests(LoopbackTestCase):
    """A library starts threads beside the event loop.

    Threads take memory on every VM. No code of the node is thread-safe: two threads
    that change a counter or a queue could corrupt it on rare occasions, and operators
    would see calls in flight that never end.
    """

    def test_calls_and_versions_start_no_thread(self):
        async def test(deployment):
            port = deployment.sites[0].node.ports["call"]
            self.assertEqual(200, status(await raw(port, request("GET", "/a"))))
            started = [each.name for each in threading.enumerate()]
            self.assertEqual([], [name for name in started if "asyncio" in name])
            self.assertEqual([], [name for name in started if "Pool" in name])

        self.run_with(test)
