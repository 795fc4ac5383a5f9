"""Tests of the memory that a home holds for bodies of any route."""

import asyncio

from sequoiaspoke.core.mesh.memory import SMALL_BODY, header_size
from sequoiaspoke.core.mesh.outcome import Answer, NotRun
from sequoiaspoke.sidecar import linkserver
from sequoiaspoke.sidecar.bodypolicy import MEMORY_REFUSED
from sequoiaspoke.sidecar.linkfeatures import LinkFeatures
from sequoiaspoke.tests.bodysim import body_of
from sequoiaspoke.tests.test_bodies import BodiesCase

SIZE = 64 << 10
# Bytes that the head of a call takes in memory, at most.
HEAD = len("/00/00") + header_size("Host", "x")
ENTRIES, EACH, SLOTS = 5, 4, 12
CALLS = ENTRIES * EACH


class BodyMemoryCase(BodiesCase):
    """Plays calls of routes without large bodies, which are `safe` or `unsafe`."""

    idempotent = False

    def play(self, scenario, slots=SLOTS, bodies=3):
        """Play a scenario with a home whose account has room for some bodies."""

        async def limited(world):
            world.home.set_slots(slots)
            world.memory.limit = bodies * SIZE + CALLS * HEAD
            await scenario(world)

        super().play(limited, entries=ENTRIES)

    def send(self, world, name, size=SIZE, **options):
        return world.send(
            name, size, idempotent=self.idempotent, large_body=False, **options
        )

    def burst(self, world, seconds=20.0):
        """Send calls from all entries at once; return their names."""
        names = []
        for entry in range(ENTRIES):
            for number in range(EACH):
                names.append(f"/{entry}/{number}")
                self.send(world, names[-1], entry=entry, seconds=seconds)
        return names

    def body_bytes(self, world):
        """Return the bytes of all bodies that the home has."""
        calls = world.home.calls.values()
        whole = sum(len(each.call.request.body) for each in calls)
        incomplete = world.home.admission.transfers.transfers.values()
        return whole + sum(each.received for each in incomplete)

    async def until_ended(self, world, count):
        """Wait for outcomes, and check that nothing is held for their calls."""
        peak = 0
        while len(world.outcomes) < count or world.home.calls:
            peak = max(peak, world.memory.held, self.body_bytes(world))
            await asyncio.sleep(0.002)
        self.assertTrue(peak <= world.memory.limit, peak)
        self.assertEqual(world.memory.held, 0)


class BurstTests(BodyMemoryCase):
    def test_a_burst_of_several_entries_is_served_within_the_account(self):
        # Each entry had a bound of its own, and their sum ended the process.
        async def scenario(world):
            names = self.burst(world)
            await self.until_ended(world, CALLS)
            served = [isinstance(world.outcomes[each], Answer) for each in names]
            self.assertEqual(sum(served), CALLS)
            self.assertEqual(
                sorted(world.upstream.runs),
                sorted((each, body_of(each, SIZE)) for each in names),
            )

        self.play(scenario)

    def test_small_calls_are_served_beside_a_burst(self):
        # Those of other callers ended with the process.
        async def scenario(world):
            self.burst(world)
            await world.until(lambda: world.memory.held > SIZE)
            for entry in range(ENTRIES):
                self.send(world, f"/s{entry}", SMALL_BODY // 4, entry=entry)
            small = [f"/s{entry}" for entry in range(ENTRIES)]
            await world.until(lambda: all(each in world.outcomes for each in small))
            self.assertTrue(len(world.outcomes) < CALLS)
            for each in small:
                self.assertIsInstance(world.outcomes[each], Answer)
            await self.until_ended(world, CALLS + ENTRIES)

        self.play(scenario)

    def test_a_body_is_fetched_beside_callers_that_fill_the_account(self):
        # Entries with full accounts that wait for each other served nothing.
        async def scenario(world):
            others = world.memory.limit
            world.memory.reserve(others)
            self.send(world, "/1")
            await world.until(lambda: world.outcomes)
            self.assertIsInstance(world.outcomes["/1"], Answer)
            self.assertEqual(world.memory.held, others)

        self.play(scenario)


class IdempotentBurstTests(BurstTests):
    idempotent = True


class SilentEntryTests(BodyMemoryCase):
    """An entry that announces bodies and does not send them."""

    def play_silent(self, others):
        """Return the reasons of its calls that have ended two seconds later."""
        ended = []

        async def scenario(world):
            world.entries[0].handle_fetch = lambda message: None
            for number in range(3):
                self.send(world, f"/silent/{number}", seconds=9.0)
            await world.until(lambda: world.memory.held > 2 * SIZE)
            begin = world.now()
            names = [f"/{entry}" for entry in range(1, 1 + others)]
            for entry, name in enumerate(names, start=1):
                self.send(world, name, entry=entry, seconds=9.0)
            await world.until(lambda: all(x in world.outcomes for x in names))
            for name in names:
                self.assertIsInstance(world.outcomes[name], Answer)
            await asyncio.sleep(2.0 - (world.now() - begin))
            silent = {x for x in world.outcomes if x.startswith("/silent")}
            ended.append({world.outcomes[name].reason for name in silent})
            await world.until(lambda: len(world.outcomes) == 3 + others)
            self.assertEqual(world.memory.held, 0)

        self.play(scenario)
        return ended[0]

    def test_it_does_not_keep_the_room_that_others_wait_for(self):
        # It held the memory account until the deadlines of its calls.
        self.assertEqual(self.play_silent(others=3), {"body-expired"})

    def test_its_calls_wait_while_nobody_else_needs_the_room(self):
        self.assertEqual(self.play_silent(others=0), set())


class RefusalTests(BodyMemoryCase):
    def test_a_body_above_the_account_is_refused_at_once(self):
        # It waited for its deadline.
        async def scenario(world):
            begin = world.now()
            self.send(world, "/1", world.memory.limit + 1)
            await world.until(lambda: world.outcomes)
            self.assertTrue(world.now() - begin < 0.1)
            self.assertEqual(world.outcomes["/1"].reason, MEMORY_REFUSED)
            self.assertEqual((world.parts, world.memory.held), ([], 0))

        self.play(scenario)

    def test_a_call_that_gets_no_memory_in_time_is_refused_at_once(self):
        # It waited for its deadline, although those before it would take longer.
        async def scenario(world):
            world.upstream.seconds = 1.0
            self.send(world, "/1")
            await world.until(lambda: world.outcomes)
            for number in range(2, 5):
                self.send(world, f"/{number}", seconds=9.0)
            await world.until(lambda: len(world.home.calls) == 3)
            begin = world.now()
            self.send(world, "/5", seconds=3.0)
            await world.until(lambda: "/5" in world.outcomes)
            self.assertTrue(world.now() - begin < 0.1)
            self.assertEqual(world.outcomes["/5"].reason, "no-time")
            self.assertTrue(world.outcomes["/5"].retry_after > 1.0)
            await self.until_ended(world, 5)

        self.play(scenario, bodies=1)

    def test_calls_that_get_memory_late_but_in_time_are_served(self):
        # Those beyond a slot each were refused, as they would miss their objective.
        async def scenario(world):
            world.upstream.seconds = 1.0
            self.send(world, "/warm")
            await world.until(lambda: world.outcomes)
            names = [f"/{number}" for number in range(12)]
            for name in names:
                self.send(world, name, seconds=9.0, objective=3.0)
            await self.until_ended(world, 13)
            for name in names:
                self.assertIsInstance(world.outcomes[name], Answer)

        self.play(scenario, slots=4, bodies=2)

    def test_a_home_without_room_tells_entries_how_long_that_lasts(self):
        # They went on sending bodies to it beside others that had room.
        async def scenario(world):
            world.upstream.seconds = 1.0
            self.send(world, "/1")
            await world.until(lambda: world.outcomes)
            self.assertTrue(world.home.load_report("up", 2).wait < 0.2)
            for number in range(2, 6):
                self.send(world, f"/{number}", seconds=9.0)
            await world.until(lambda: len(world.home.calls) == 4)
            self.assertTrue(world.home.load_report("up", 2).wait > 3.0)
            self.assertEqual(world.home.load_report("other", 2).wait, 0.0)
            await self.until_ended(world, 5)

        self.play(scenario, bodies=1)

    def test_a_whole_body_of_an_old_node_is_refused_without_room(self):
        # Nodes of the previous build send bodies with their calls.
        self.patch(linkserver, "SUPPORTED", LinkFeatures(0))

        async def scenario(world):
            world.upstream.seconds = 1.0
            for number in range(3):
                self.send(world, f"/{number}", entry=number)
            await world.until(lambda: len(world.outcomes) == 1)
            (refused,) = world.outcomes.values()
            self.assertEqual(refused.reason, MEMORY_REFUSED)
            self.assertTrue(refused.retry_after > 0)
            await self.until_ended(world, 3)
            self.assertEqual(len(world.upstream.runs), 2)

        self.play(scenario, bodies=2)


class EndTests(BodyMemoryCase):
    """Each byte is given back once, whatever ends a call."""

    def play_end(self, end, seconds=20.0):
        """End a burst while some bodies are complete, some not, and some wait."""

        async def scenario(world):
            world.upstream.seconds = 0.3
            names = self.burst(world, seconds)
            await world.until(lambda: len(world.upstream.runs) >= 2)
            await end(world)
            await world.until(lambda: not world.home.calls)
            await asyncio.sleep(1.5)
            self.assertEqual(world.memory.held, 0)
            runs = [name for name, _ in world.upstream.runs]
            self.assertEqual(len(runs), len(set(runs)))
            for name in names:
                if isinstance(world.outcomes.get(name), NotRun):
                    self.assertNotIn(name, runs)

        self.play(scenario)

    def test_cancelled(self):
        async def end(world):
            for entry in world.entries:
                for pending in list(entry.pending.values()):
                    entry.cancel(pending)

        self.play_end(end)

    def test_withdrawn(self):
        async def end(world):
            for entry in world.entries:
                for pending in list(entry.pending.values()):
                    entry.withdraw(pending)

        self.play_end(end)

    def test_cut_links(self):
        async def end(world):
            world.break_links()

        self.play_end(end)

    def test_entries_that_are_gone(self):
        async def end(world):
            for entry in world.entries:
                entry.close()

        self.play_end(end)

    def test_deadlines(self):
        async def end(world):
            await world.until(lambda: len(world.outcomes) == CALLS)

        self.play_end(end, seconds=1.2)

    def test_interrupted(self):
        async def end(world):
            for running in list(world.home.calls.values()):
                if running.task is not None:
                    running.task.cancel()
            await world.until(lambda: len(world.outcomes) == CALLS)

        self.play_end(end)

    def test_cancelled_at_a_home_that_leaves(self):
        async def end(world):
            world.home.leaving = True
            for arrival in list(world.home.admission.queue.values()):
                world.home.cancel(arrival.ticket)

        self.play_end(end)
