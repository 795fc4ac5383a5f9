"""Random histories of bodies in parts, with broken links and homes that end."""

import asyncio
import random

from testtools import TestCase

from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Unknown
from sequoiaspoke.sidecar.pending import PendingCall
from sequoiaspoke.tests.bodysim import body_of, play_bodies

SEEDS = range(16)
ENTRIES = 3
CALLS = 30
PAUSE = 0.12  # mean seconds between two actions; a body takes about as long
MAX_SIZE = 120 << 10
HEALING = 8.0  # seconds in which all calls and links come to an end


class History:
    """A random history of one home, and what it must not have caused.

    Attributes
    ----------
    sizes : dict of str to int
        Sizes of the bodies, by target.
    dropped : set of str
        Targets of the calls that were cancelled, which get no outcome.
    """

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)
        self.sizes = {}
        self.pending = {}
        self.dropped = set()

    async def play(self):
        for number in range(CALLS):
            self.send(f"/{number}")
            for _ in range(self.rng.choice((0, 0, 1, 2))):
                await self.pause()
                self.rng.choice(
                    (self.take_back, self.take_back, self.fail, self.cut, self.restart)
                )()
            await self.pause()
        self.world.cuts.clear()
        if not self.world.up:
            self.world.start_home()
        await asyncio.sleep(HEALING)

    async def pause(self):
        await asyncio.sleep(self.rng.uniform(0, 2 * PAUSE))

    def send(self, name):
        entry = self.rng.randrange(ENTRIES)
        self.sizes[name] = self.rng.randint(1, MAX_SIZE)
        seconds = self.rng.choice((0.3, 1.0, 3.0))
        pending = self.world.send(name, self.sizes[name], entry, seconds)
        self.pending[name] = (self.world.entries[entry], pending)

    def take_back(self):
        """Cancel or withdraw one of the newest calls."""
        name = self.rng.choice(list(self.pending)[-3:])
        link, pending = self.pending[name]
        if self.rng.random() < 0.7:
            link.withdraw(pending)
        elif name not in self.world.outcomes:
            self.dropped.add(name)
            link.cancel(pending)

    def fail(self):
        self.world.break_links()

    def cut(self):
        """Cut one direction between an entry and the home, or end all cuts."""
        if self.world.cuts:
            self.world.cuts.clear()
            return
        ends = [f"e{self.rng.randrange(ENTRIES)}", "home"]
        self.rng.shuffle(ends)
        self.world.cuts.add(tuple(ends))

    def restart(self):
        if not self.world.up:
            self.world.start_home()
        elif self.rng.random() < 0.3:
            self.world.kill_home()

    def problems(self):
        runs = self.world.upstream.runs
        targets = [target for target, _ in runs]
        for target, body in runs:
            if targets.count(target) > 1:
                yield f"{target} ran more than once"
            if body != body_of(target, self.sizes[target]):
                yield f"{target} ran with another body"
        for target in self.sizes:
            outcome = self.world.outcomes.get(target)
            if outcome is None and target not in self.dropped:
                yield f"{target} has no outcome"
            if isinstance(outcome, NotRun) and target in targets:
                yield f"{target} ran although it was reported as not run"
        yield from self.leaks()

    def leaks(self):
        home = self.world.home
        held = {
            "calls": home.calls,
            "queue": home.admission.queue,
            "running": home.admission.durations.running,
            "incomplete": home.admission.incomplete,
            "bodies": home.bodies.bodies,
            "sources": home.bodies.sources,
            "complete": home.bodies.complete,
            "transfers": home.admission.transfers.transfers,
        }
        for number, entry in enumerate(self.world.entries):
            held[f"pending {number}"] = entry.pending
            held[f"fetched {number}"] = entry.fetched
            held[f"held {number}"] = entry.probe.held
        for name, left in held.items():
            if left:
                yield f"{name} left: {left}"


class RandomHistoryTests(TestCase):
    def play(self, seed):
        histories = []

        async def scenario(world):
            history = History(world, seed)
            await history.play()
            histories.append((world, list(history.problems())))

        play_bodies(self, scenario, entries=ENTRIES)
        return histories[0]

    def test_no_body_runs_twice_or_incomplete_and_nothing_is_lost(self):
        # Guards against uploads that run although they were reported as not run, and
        # credit, bodies or calls that are kept after cuts, deaths and withdrawals.
        kinds = {Answer: 0, NotRun: 0, Unknown: 0}
        for seed in SEEDS:
            world, problems = self.play(seed)
            self.assertEqual((seed, problems), (seed, []))
            for outcome in world.outcomes.values():
                kinds[type(outcome)] += 1
        for kind, count in kinds.items():
            self.assertTrue(count > len(SEEDS) / 2, (kind, count))

    def test_a_call_taken_for_not_run_after_its_whole_body_was_sent_is_detected(self):
        self.patch(PendingCall, "not_run", True)
        found = [text for seed in SEEDS[:6] for text in self.play(seed)[1]]
        self.assertTrue(any("reported as not run" in text for text in found))
