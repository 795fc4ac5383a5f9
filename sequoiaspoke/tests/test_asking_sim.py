"""Tests of slot requests between real entries and homes, on a virtual clock."""

import asyncio
from collections import Counter
from dataclasses import replace
from functools import partial

from testtools import TestCase

from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.tests.meshsim import SLOTS, TIMEOUT, MeshWorld, play_world

SEEDS = range(24)
RATE = 70.0  # calls per second, for which about two thirds of the slots are needed


class AskingMesh(MeshWorld):
    """A mesh of two zones whose entries request slots, with nested calls.

    Attributes
    ----------
    old : frozenset of str
        Hosts with an earlier version, which ignores the bound on a call's wait.
    """

    old = frozenset({"h1"})

    def __init__(self, seed, case, nodes=6):
        self.counts = Counter()
        super().__init__(seed, nodes)
        submit, old = Home.submit, {f"i-{host}" for host in self.old}

        def submit_to_old(home, key, call, on_outcome, body=None):
            if home.upstream.instance in old:
                call = replace(call, max_wait=float("inf"))
            submit(home, key, call, on_outcome, body)

        case.patch(Home, "submit", submit_to_old)

    def route(self, name):
        return replace(super().route(name), large_bodies=name == "order")

    def request(self, name, call_id):
        nested = self.rng.random() < 0.3
        return replace(super().request(name, call_id), nested=nested)

    def check_guarantees(self):
        super().check_guarantees()
        for node in filter(lambda each: each.up, self.nodes.values()):
            self.counts += node.entry.attempts.reasons
            admission, stats = node.home.admission, node.entry.attempts.balancer.stats
            if admission.running or admission.waiting or node.home.calls:
                self.problems.append(f"{node.host}: a slot is lost")
            if any(each.in_flight for each in stats.values()):
                self.problems.append(f"{node.host}: calls count as in flight")


class RandomHistoryTests(TestCase):
    def test_nothing_runs_twice_and_no_slot_is_lost(self):
        # Guards against orders that run at two homes, or slots that stay occupied,
        # after a home or entry dies or a link is cut around a slot request.
        counts = Counter()
        for seed in SEEDS:
            world = play_world(
                partial(AskingMesh, seed, self), self, seconds=5.0, rate=RATE
            )
            self.assertEqual((seed, world.problems), (seed, []))
            counts += world.counts
        for name in ("asked", "granted", "busy", "waited"):
            self.assertTrue(counts[name] > 100, (name, counts[name]))


class ScriptedMesh(AskingMesh):
    """A mesh in which the test causes the failures.

    The entry of `h0` makes orders; its zone has the homes of even numbers.
    """

    old = frozenset()

    def request(self, name, call_id):
        return MeshWorld.request(self, name, call_id)

    async def play(self, scenario):
        await asyncio.sleep(1.0)
        await scenario(self)
        await asyncio.sleep(2 * TIMEOUT)
        self.check_guarantees()
        for node in self.nodes.values():
            if node.up:
                node.kill()
        await asyncio.sleep(0)

    def zone(self, name):
        return [node for node in self.nodes.values() if node.zone == name]

    def order(self, number):
        """Start an order; return its task."""
        node, call_id = self.nodes["h0"], f"order-{number}"
        self.sent[call_id] = self.now()
        return node.spawn(node.entry.handle(self.request("order", call_id)))

    async def statuses(self, count):
        """Make orders at once; return the statuses of their answers."""
        tasks = [self.order(number) for number in range(count)]
        answers = await asyncio.gather(*tasks)
        self.answers = {f"order-{n}": each for n, each in enumerate(answers)}
        return [each.status for each in answers]

    def occupy(self, nodes, seconds):
        """Occupy all slots of homes, whose calls usually take as long."""
        loop, now = asyncio.get_running_loop(), self.now()
        for home in (node.home for node in nodes):
            home.admission.durations.mean["order"] = (seconds, 10, now)
            for number in range(SLOTS):
                home.admission.durations.begin(("held", number), "order", now)
                loop.call_later(seconds, home.free_slot, ("held", number), True)


class OneHomeMesh(ScriptedMesh):
    """A mesh with one home in each zone."""

    def zone_of(self, host):
        return f"z{host[1:]}"


class FailureTests(TestCase):
    def play(self, scenario, mesh=ScriptedMesh, nodes=6):
        """Run a scenario; return its world."""
        world = play_world(partial(mesh, 1, self, nodes), self, scenario=scenario)
        self.assertEqual(world.problems, [])
        return world

    def test_a_dead_home_takes_no_call_with_it(self):
        # Guards against calls that end at a home that died before the entry noticed.
        async def scenario(world):
            world.nodes["h2"].kill()
            self.assertEqual(await world.statuses(8), [200] * 8)

        self.play(scenario)

    def test_an_old_home_lets_the_call_wait(self):
        # Guards against calls that are lost at a home that ignores the bound.
        async def scenario(world):
            world.occupy(world.zone("z0"), 0.6)
            self.assertEqual(await world.statuses(8), [200] * 8)

        class OldHomes(ScriptedMesh):
            old = frozenset({"h0", "h2", "h4"})

        self.assertEqual(self.play(scenario, OldHomes).counts["busy"], 0)

    def test_an_entry_that_dies_leaves_no_slot_occupied(self):
        # Guards against slots that are reserved for an entry that is gone.
        async def scenario(world):
            world.occupy(world.zone("z0"), 0.6)
            for number in range(8):
                world.order(number)
            await asyncio.sleep(0.05)
            world.nodes["h0"].kill()

        self.assertTrue(self.play(scenario).runs)

    def test_a_home_that_drains_after_its_refusal_is_not_waited_at(self):
        # Guards against a wait at a home that was best when it was asked and leaves.
        async def scenario(world):
            world.occupy(world.zone("z0"), 0.6)
            home, server = world.nodes["h2"].home, world.nodes["h2"].server
            record = home.record_refusal

            def leave(refused, call):
                record(refused, call)
                home.leaving = True
                server.announce_leaving()

            home.record_refusal = leave
            self.assertEqual(await world.statuses(8), [200] * 8)
            self.assertTrue(home.leaving)

        world = self.play(scenario)
        self.assertNotIn(
            "i-h2", {run for runs in world.runs.values() for run, _ in runs}
        )

    def test_a_cut_after_the_question_gives_one_outcome(self):
        # Guards against an order that is sent on although the first home started it.
        instances = set()
        for delay in range(8):

            async def scenario(world, delay=delay):
                world.occupy([world.nodes["h0"]], 0.3)
                calls = asyncio.ensure_future(world.statuses(4))
                await asyncio.sleep(0.002 * delay)
                world.cuts |= {("h0", "h2"), ("h0", "h4")}
                await asyncio.sleep(1.5)
                world.cuts.clear()
                self.assertEqual(set(await calls) - {200, 502, 504}, set())

            for runs in self.play(scenario).runs.values():
                instances |= {instance for instance, _ in runs}
        # Without calls at the homes behind the cut, the test would show nothing.
        self.assertTrue({"i-h2", "i-h4"} <= instances, instances)

    def test_calls_leave_a_zone_without_a_free_home(self):
        # Guards against late answers while another zone has free homes.
        async def scenario(world):
            world.occupy(world.zone("z0"), 3.0)
            begun = world.now()
            self.assertEqual(await world.statuses(6), [200] * 6)
            self.assertTrue(world.now() - begun < 0.5)

        self.play(scenario)

    def test_calls_wait_in_their_zone_if_it_has_few_homes(self):
        # Guards against calls that leave the zone, or are refused, because the only
        # homes of the zone were busy when they were asked.
        async def scenario(world):
            world.occupy(world.nodes.values(), 0.35)
            self.assertEqual(await world.statuses(2), [200] * 2)
            for runs in world.runs.values():
                self.assertEqual(world.endpoints[runs[0][0]].zone, "z0")

        for mesh, nodes in ((OneHomeMesh, 4), (ScriptedMesh, 4), (ScriptedMesh, 6)):
            self.assertTrue(self.play(scenario, mesh, nodes).counts["waited"] > 0)
