"""Tests of the signals that stop a node."""

import asyncio
import os
import signal

from testtools import TestCase

from sequoiaspoke.commands import node as command

WAIT = 20.0  # seconds; only a failing test waits so long


class FakeNode:
    """A node whose stop the test ends."""

    def __init__(self):
        self.stopping = asyncio.Event()
        self.stopped = asyncio.Event()

    async def start(self, stopping):
        return True

    async def stop(self):
        self.stopping.set()
        await self.stopped.wait()


class SignalTests(TestCase):
    """Guards against calls in flight that end with the process."""

    def test_every_stop_signal_lets_calls_finish(self):
        # SIGHUP ended the process at once, during a stop, too.
        self.patch(command, "spare_the_collector", lambda: None)
        previous = signal.signal(signal.SIGHUP, lambda *_: self.unhandled())
        self.addCleanup(signal.signal, signal.SIGHUP, previous)

        async def run(first):
            node = FakeNode()
            running = asyncio.ensure_future(command.run(node))
            await asyncio.sleep(0)
            async with asyncio.timeout(WAIT):
                os.kill(os.getpid(), first)
                await node.stopping.wait()
                os.kill(os.getpid(), signal.SIGHUP)
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.sleep(0.01)
                self.assertFalse(running.done())
                node.stopped.set()
                await running

        for first in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.run(run(first))

    def unhandled(self):
        raise AssertionError("SIGHUP would have ended the process")
