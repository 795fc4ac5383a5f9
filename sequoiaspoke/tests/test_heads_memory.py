"""Tests of the memory that a home holds for the heads of calls and answers."""

import asyncio
import gc
from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.ledger import MAX_ANSWER_BYTES
from sequoiaspoke.core.mesh.memory import SMALL_BODY, header_size
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request, Unknown
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.bodypolicy import MEMORY_REFUSED, MEMORY_RETRY_AFTER
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.tests.bodysim import ENDPOINT, play_bodies
from sequoiaspoke.tests.meshsim import MeshWorld, play_world, run_virtual
from sequoiaspoke.tests.test_sidecar_home import BlockingUpstream

LINES = 2500 * (("ab", "c"),)
# Bytes that a head of these lines takes in memory, with a target of two bytes.
SIZE = 2 + 2500 * header_size("ab", "c")
SMALL = (SMALL_BODY // header_size("ab", "c") - 1) * (("ab", "c"),)
SLOTS = ENDPOINT.slots
SEEDS = range(4)


class HeadsCase(TestCase):
    def play(self, scenario):
        play_bodies(self, scenario)

    async def ended(self, world, count):
        """Wait until calls have ended, and check that nothing is held for them."""
        await world.until(lambda: not world.home.calls and world.home.ledger.calls)
        await world.until(lambda: len(world.outcomes) == count)
        self.assertEqual(world.memory.held, 0)

    async def queue_one(self, world):
        """Have the slots occupied and another call queued; return that one."""
        for number in range(SLOTS):
            world.send(f"/{number}", 0, headers=LINES)
        last = world.send("/q", 0, headers=LINES)
        await world.until(lambda: len(world.home.calls) == SLOTS + 1)
        self.assertEqual(world.memory.held, (SLOTS + 1) * SIZE)
        return last


class ChargeTests(HeadsCase):
    def test_a_head_is_counted_until_its_call_has_its_answer(self):
        # Heads of many short lines filled the memory of a home.
        async def scenario(world):
            world.send("/1", 0, headers=LINES)
            await world.until(lambda: world.upstream.runs)
            self.assertEqual(world.memory.held, SIZE)
            await self.ended(world, 1)
            self.assertIsInstance(world.outcomes["/1"], Answer)

        self.play(scenario)

    def test_a_head_and_its_body_in_parts_are_counted(self):
        async def scenario(world):
            world.send("/1", 100_000, headers=LINES)
            await world.arrived("/1")
            self.assertEqual(world.memory.held, SIZE + 100_000)
            await self.ended(world, 1)

        self.play(scenario)

    def test_a_call_that_is_asked_for_again_is_counted_once(self):
        async def scenario(world):
            await self.queue_one(world)
            before = world.home.counts["asked-again"]
            world.break_links()
            await world.until(lambda: world.home.counts["asked-again"] > before)
            self.assertTrue(world.memory.held <= (SLOTS + 1) * SIZE)
            await self.ended(world, SLOTS + 1)
            self.assertEqual(len(world.upstream.runs), SLOTS + 1)

        self.play(scenario)

    def test_another_copy_of_a_call_is_not_kept(self):
        async def scenario(world):
            await self.queue_one(world)
            before = world.home.counts["asked-again"]
            world.break_links()
            await world.until(lambda: world.home.counts["asked-again"] > before)
            gc.collect()
            kept = [
                each
                for each in gc.get_objects()
                if isinstance(each, HomeCall) and each.remote
            ]
            self.assertEqual(len(kept), len(world.home.calls))

        gc.collect()
        self.play(scenario)

    def test_a_call_of_the_own_entry_is_not_counted(self):
        # Its entry counts it where its caller sends it.
        async def scenario(world):
            call = world.send("/1", 0, headers=LINES).call
            await self.ended(world, 1)
            local = HomeCall(
                call.request, call.incarnation, "r", 2, False, call.on_time + 9,
                call.deadline + 9,
            )  # fmt: skip
            world.home.submit("own", local, lambda outcome: None)
            self.assertEqual((len(world.home.calls), world.memory.held), (1, 0))
            await world.until(lambda: not world.home.calls)
            self.assertEqual(world.memory.held, 0)

        self.play(scenario)


class EndTests(HeadsCase):
    """Nothing is held for calls that have ended without an answer."""

    def play_end(self, end, expected):
        """Check that a queued call has an outcome after `end` and leaves nothing."""

        async def scenario(world):
            pending = await self.queue_one(world)
            end(world, pending)
            await world.until(lambda: len(world.home.calls) <= SLOTS)
            self.assertTrue(world.memory.held <= SLOTS * SIZE)
            await world.until(lambda: not world.home.calls)
            await asyncio.sleep(1.0)
            self.assertEqual(world.memory.held, 0)
            self.assertEqual(world.outcomes.get("/q"), expected)
            self.assertNotIn("/q", [name for name, _ in world.upstream.runs])

        self.play(scenario)

    def test_withdrawn(self):
        self.play_end(
            lambda world, pending: world.entries[0].withdraw(pending),
            NotRun("withdrawn"),
        )

    def test_cancelled(self):
        self.play_end(lambda world, pending: world.entries[0].cancel(pending), None)

    def test_refused_in_the_queue(self):
        def evacuate(world, pending):
            world.home.set_evacuated(True, 0)

        self.play_end(evacuate, NotRun("zone-evacuated", 0.3))

    def test_refused_at_once(self):
        async def scenario(world):
            world.home.leaving = True
            world.send("/1", 0, headers=LINES)
            await world.until(lambda: world.outcomes)
            self.assertEqual(world.outcomes["/1"].reason, "leaving")
            self.assertEqual(world.memory.held, 0)

        self.play(scenario)

    def test_an_order_that_runs_on_after_its_caller_has_left(self):
        async def scenario(world):
            pending = world.send("/1", 0, headers=LINES)
            await world.until(lambda: world.upstream.runs)
            world.entries[0].cancel(pending)
            await asyncio.sleep(0.01)
            self.assertEqual(world.memory.held, SIZE)
            await world.until(lambda: not world.home.calls)
            self.assertEqual(world.memory.held, 0)

        self.play(scenario)

    def test_without_an_outcome(self):
        async def scenario(world):
            async def call(request, instance, deadline, idempotent, on_send):
                on_send()
                return Unknown("connection-lost")

            world.upstream.call = call
            world.send("/1", 0, headers=LINES)
            await self.ended(world, 1)
            self.assertIsInstance(world.outcomes["/1"], Unknown)

        self.play(scenario)

    def test_an_entry_that_is_gone(self):
        async def scenario(world):
            await self.queue_one(world)
            world.entries[0].close()
            world.break_links()
            await world.until(lambda: not world.home.calls)
            self.assertEqual(world.memory.held, 0)

        self.play(scenario)


class RefusalTests(HeadsCase):
    def test_a_large_head_without_room_is_refused_as_not_run(self):
        async def scenario(world):
            world.memory.limit = 2 * SIZE - 1
            world.send("/1", 0, headers=LINES)
            await world.until(lambda: world.upstream.runs)
            world.send("/2", 0, headers=LINES)
            world.send("/3", 100_000, headers=LINES, entry=1)
            await world.until(lambda: len(world.outcomes) == 2)
            refusal = NotRun(MEMORY_REFUSED, MEMORY_RETRY_AFTER)
            self.assertEqual(world.outcomes, {"/2": refusal, "/3": refusal})
            self.assertEqual(world.memory.held, SIZE)
            self.assertEqual(world.home.counts[MEMORY_REFUSED], 2)
            await self.ended(world, 3)
            self.assertEqual([name for name, _ in world.upstream.runs], ["/1"])
            world.send("/4", 0, headers=LINES)
            await self.ended(world, 4)
            self.assertIsInstance(world.outcomes["/4"], Answer)

        self.play(scenario)

    def test_small_heads_always_fit(self):
        async def scenario(world):
            world.memory.limit = 0
            world.send("/1", 1000, headers=SMALL)
            await self.ended(world, 1)
            self.assertIsInstance(world.outcomes["/1"], Answer)

        self.play(scenario)


class LargeHeadsWorld(MeshWorld):
    """Nodes with room for few heads, and callers of which some send large ones."""

    limit = 2 * SIZE

    def request(self, name, call_id):
        request = super().request(name, call_id)
        if self.rng.random() < 0.5:
            request = replace(request, headers=request.headers + LINES)
        return request

    async def play(self, seconds=8.0, rate=25.0):
        for node in self.nodes.values():
            node.home.memory.limit = self.limit
        await super().play(seconds, rate)

    def check_guarantees(self):
        super().check_guarantees()
        for host, node in self.nodes.items():
            held = node.home.memory.held
            if node.up and held:
                self.problems.append(f"{host}: {held} bytes held for ended calls")


class MeshTests(TestCase):
    def test_another_home_is_asked(self):
        # A home without room would be a refusal for callers whom others could serve.
        async def run():
            world = MeshWorld(1, nodes=3)
            entry, full, _ = world.nodes.values()
            await asyncio.sleep(1.0)
            for node in (entry, full):
                node.home.memory.limit = 0
            entry.home.evacuated = True
            answers = []
            for number in range(20):
                request = world.request("order", f"order-{number}")
                request = replace(request, headers=request.headers + LINES)
                answers.append((await entry.entry.handle(request)).status)
            refused = full.home.counts[MEMORY_REFUSED]
            for node in world.nodes.values():
                node.kill()
            await asyncio.sleep(0)
            world.check_guarantees()
            return answers, refused, world.problems

        answers, refused, problems = run_virtual(run, self)
        self.assertEqual((answers, problems), (20 * [200], []))
        self.assertTrue(refused > 0)

    def test_faults_leave_nothing_held_and_run_no_order_twice(self):
        refused = 0
        for seed in SEEDS:
            world = play_world(lambda seed=seed: LargeHeadsWorld(seed), self)
            self.assertEqual(world.problems, [], f"seed {seed}")
            nodes = world.nodes.values()
            refused += sum(node.home.counts[MEMORY_REFUSED] for node in nodes)
        self.assertTrue(refused > 0)


class KeptAnswerTests(TestCase):
    """Answers that a home keeps in case their calls are asked for again."""

    def play(self, headers, count):
        """Have calls answered; return the ledger afterwards."""

        async def run():
            async def call(request, instance, deadline, idempotent, on_send):
                on_send()
                return Answer(200, headers, b"")

            log = EventLog("x-request-id")
            log.allowed = lambda kind: False
            upstream = BlockingUpstream()
            upstream.call = call
            home = Home(upstream, Directory(), log)
            request, until = Request("POST", "/1", (), b""), clock.now() + 9
            for number in range(count):
                order = HomeCall(
                    request, ENDPOINT.incarnation, "r", 2, False, until, until
                )
                home.submit(number, order, lambda outcome: None)
                while home.calls:
                    await asyncio.sleep(0)
            return home.ledger

        return asyncio.run(run())

    def test_those_with_very_many_headers_are_dropped_beyond_the_limit(self):
        # Only bodies were counted, and a hundred such heads took 160 MB.
        size = 10_000 * header_size("ab", "c")
        ledger = self.play(10_000 * (("ab", "c"),), 20)
        kept = [each for each in ledger.calls.values() if each.outcome is not None]
        self.assertEqual(len(kept), MAX_ANSWER_BYTES // size)
        self.assertEqual(len(ledger.calls), 20)

    def test_those_with_usual_heads_are_kept(self):
        headers = (("Content-Type", "text/plain"), ("Content-Length", "0"))
        ledger = self.play(headers, 2000)
        self.assertTrue(all(each.outcome for each in ledger.calls.values()))
