"""Tests of the node beside an upstream, with the upstream played."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.model import Endpoint
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.home import LEAVING_QUEUE_SECONDS, Home, HomeCall
from sequoiaspoke.sidecar.logs import EventLog

ENDPOINT = Endpoint("i-1", "fleet", "10.0.0.1", 80, "akaki", 2)


class HeldUpstream:
    """Answers nothing until it is told to."""

    told_load = None

    def __init__(self):
        self.ran = []
        self.gate = asyncio.Event()

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        self.ran.append(request.target)
        await self.gate.wait()
        return Answer(200, (), b"")

    def tick(self, now):
        pass


class LeavingUpstreamTests(TestCase):
    def play(self, scenario):
        self.time = 1000.0
        self.patch(clock, "now", lambda: self.time)

        async def run():
            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            self.directory, self.upstream = Directory(), HeldUpstream()
            self.directory.put(ENDPOINT, 5, self.time)
            self.home = Home(self.upstream, self.directory, log)
            self.home.take_slots(2)
            self.told = {}
            await scenario()

        asyncio.run(run())

    def submit(self, name):
        request = Request("GET", name, (), b"")
        start = ENDPOINT.incarnation
        call = HomeCall(request, start, "r", 0, True, self.time + 9, self.time + 30)
        self.home.submit(name, call, lambda outcome: self.told.update({name: outcome}))

    async def wait(self, seconds):
        self.time += seconds
        self.home.tick(self.time)
        await asyncio.sleep(0)

    def test_calls_that_wait_for_it_are_refused_while_others_can_serve_them(self):
        # An upstream with a queue reports that it leaves. What waits would reach it
        # seconds later, when it is about to exit, and be broken off there.
        async def scenario():
            for number in range(5):
                self.submit(str(number))
            await self.wait(0.1)
            self.assertEqual(self.upstream.ran, ["0", "1"])
            self.directory.put(replace(ENDPOINT, draining=True), 6, self.time)
            await self.wait(0.1)
            self.assertEqual(self.told, {})
            await self.wait(LEAVING_QUEUE_SECONDS + 0.1)
            self.assertEqual(set(self.told), {"2", "3", "4"})
            expected = {(NotRun, "instance-left")}
            found = {(type(each), each.reason) for each in self.told.values()}
            self.assertEqual(found, expected)
            self.upstream.gate.set()
            await self.wait(0.1)
            await asyncio.sleep(0)
            self.assertEqual(len(self.told), 5)
            self.assertEqual(self.upstream.ran, ["0", "1"])

        self.play(scenario)

    def test_calls_that_wait_for_one_that_stays_go_on_waiting(self):
        async def scenario():
            for number in range(5):
                self.submit(str(number))
            await self.wait(LEAVING_QUEUE_SECONDS + 0.3)
            await self.wait(LEAVING_QUEUE_SECONDS + 0.3)
            self.assertEqual(self.told, {})

        self.play(scenario)
