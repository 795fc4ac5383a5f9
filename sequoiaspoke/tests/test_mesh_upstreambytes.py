"""Tests of the bound on the bytes of bodies that run at an upstream."""

from testtools import TestCase

from sequoiaspoke.core.mesh.admission import Admission, Arrival
from sequoiaspoke.core.mesh.outcome import CONNECTION_LOST, Answer, Unknown
from sequoiaspoke.core.mesh.upstreambytes import GROWTH, UpstreamBytes
from sequoiaspoke.tests.bodysim import play_bodies

KB = 1 << 10


class UpstreamBytesTests(TestCase):
    def bounded(self, *sizes):
        """Return the bytes of an upstream after a crash under some bodies."""
        upstream_bytes = UpstreamBytes()
        upstream_bytes.record_crash(list(sizes))
        return upstream_bytes

    def test_only_a_crash_under_many_bytes_sets_a_bound(self):
        # After any other crash, uploads would wait for no reason.
        self.assertIsNone(self.bounded(128 * KB, 128 * KB).limit)
        self.assertEqual(self.bounded(200 * KB, 200 * KB).limit, 200 * KB)

    def test_a_single_body_does_not_explain_a_crash(self):
        # A large request that crashes each upstream would never be held back.
        self.assertFalse(UpstreamBytes().record_crash([0, 300 * KB]))
        self.assertTrue(UpstreamBytes().record_crash([1, 300 * KB]))

    def test_the_bound_grows_with_answers_to_large_bodies(self):
        # One crash would slow down an upstream for good.
        upstream_bytes = self.bounded(200 * KB, 200 * KB)
        for size, answered in ((60 * KB, True), (60 * KB, False), (KB, True)):
            upstream_bytes.add("a", size)
            upstream_bytes.end("a", answered)
        self.assertEqual(upstream_bytes.limit, 200 * KB * GROWTH)

    def test_bodies_within_the_bound_run_and_others_let_small_calls_pass(self):
        # An upstream that has crashed would get the same bytes again. A body above the
        # bound must still run, alone.
        admission = Admission(4)
        admission.upstream_bytes = self.bounded(200 * KB, 200 * KB)
        for name, size in (("a", 300), ("b", 150), ("c", 0), ("d", 40)):
            admission.upstream_bytes.add(name, size * KB)
            admission.arrive(Arrival(name, "up", 2, 9.0, 9.0), 0.0)
        started = []
        for _ in range(3):
            while (arrival := admission.next(0.0)[0]) is not None:
                started.append(arrival.ticket)
            for name in [each for each in started if each in "abd"]:
                admission.upstream_bytes.end(name, answered=False)
        self.assertEqual(started, ["a", "c", "b", "d"])
        self.assertEqual(admission.upstream_bytes.running, set())


class CrashTests(TestCase):
    def test_a_crash_under_bodies_bounds_them_and_suspects_nobody(self):
        async def scenario(world):
            running, most = [], []
            upstream = world.upstream

            async def call(request, instance, deadline, idempotent, on_send):
                on_send()
                running.append(request)
                most.append(sum(len(each.body) for each in running))
                await upstream.gate(deadline)
                running.remove(request)
                return (
                    Unknown(CONNECTION_LOST) if upstream.down else Answer(200, (), b"")
                )

            async def refuses_connections():
                return upstream.down

            upstream.call, upstream.refuses_connections = call, refuses_connections
            upstream.gate = lambda _: world.until(lambda: upstream.down)
            upstream.down = False
            for number in range(2):
                world.send(f"/{number}", 140 * KB, entry=number)
            await world.until(lambda: len(running) == 2)
            upstream.down = True
            await world.until(lambda: len(world.outcomes) == 2)
            reasons = {each.reason for each in world.outcomes.values()}
            self.assertEqual(reasons, {"upstream-crashed"})
            self.assertTrue(world.home.crash_guard.quarantine.empty)
            upstream.down = False
            del most[:]
            upstream.gate = lambda _: world.until(lambda: len(world.outcomes) > 9, 0.2)
            for number in range(2, 4):
                world.send(f"/{number}", 100 * KB, entry=number % 2)
            await world.until(lambda: most)
            await world.until(lambda: not world.home.bodies.bodies)
            self.assertEqual((max(most), len(most)), (100 * KB, 1))

        play_bodies(self, scenario)
