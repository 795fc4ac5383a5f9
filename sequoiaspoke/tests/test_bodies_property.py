"""Property test of bodies in parts over random histories, on a virtual clock."""

import asyncio
from random import Random

from testtools import TestCase

from sequoiaspoke.core.mesh.outcome import NotRun
from sequoiaspoke.sidecar.transfers import PART_BYTES
from sequoiaspoke.tests.bodysim import body_of, play_bodies

KB = 1 << 10
SEEDS = range(60)
STEPS = 60
STEP = 0.1  # mean seconds between two events
DELAYS = (0.001, 0.001, 0.001, 0.06)  # seconds of a frame on its way
MAX_CREDIT_SECONDS = 1.0


class History:
    """Random calls, cuts, deaths and late messages in a world.

    Attributes
    ----------
    sizes : dict of str to int
        Sizes of the bodies, by the targets of their calls.
    failures : list of str
        What was seen that must not be.
    """

    def __init__(self, world, seed):
        self.world = world
        self.rng = Random(seed)
        self.sizes = {}
        self.pending = {}
        self.failures = []
        world.delay = lambda: self.rng.choice(DELAYS)
        self.events = (
            [self.send] * 6
            + [self.cut] * 3
            + [self.heal, self.cancel, self.withdraw, self.break_links] * 2
            + [self.restart_home, self.replace_entry, self.evacuate]
        )

    async def play(self):
        self.world.memory.limit = self.rng.choice((400, 1000, 24_000)) * KB
        for _ in range(STEPS):
            self.rng.choice(self.events)()
            await asyncio.sleep(self.rng.expovariate(1 / STEP))
            self.check_credit()
        self.world.cuts.clear()
        self.world.home.set_evacuated(False, 0)
        for _ in range(60):
            await asyncio.sleep(STEP)
            self.check_credit()

    # Events.

    def send(self):
        name = f"/{len(self.sizes)}"
        size = self.rng.choice((100, PART_BYTES + 1, 60 * KB, 360 * KB))
        entry = self.rng.randrange(len(self.world.entries))
        seconds = self.rng.choice((0.3, 1.0, 4.0))
        self.sizes[name] = size
        pending = self.world.send(name, size, entry, seconds)
        self.pending[name] = self.world.entries[entry], pending

    def cut(self):
        entry = self.rng.choice(self.world.entries)
        ends = (entry.identity.host, "home")
        way = self.rng.choice(((), ("there",), ("back",)))
        self.world.cuts.add(ends + way)

    def heal(self):
        self.world.cuts.clear()

    def cancel(self):
        if self.pending:
            name = self.rng.choice(list(self.pending))
            entry, pending = self.pending.pop(name)
            entry.cancel(pending)

    def withdraw(self):
        if self.pending:
            entry, pending = self.rng.choice(list(self.pending.values()))
            entry.withdraw(pending)

    def break_links(self):
        self.world.break_links()

    def restart_home(self):
        self.world.kill_home()
        self.world.start_home()

    def replace_entry(self):
        number = self.rng.randrange(len(self.world.entries))
        self.world.entries[number].close()
        self.world.entries[number] = self.world.new_entry(f"n{len(self.sizes)}")

    def evacuate(self):
        self.world.home.set_evacuated(self.rng.random() < 0.3, 0)

    # Checks.

    def check_credit(self):
        transfers = self.world.home.admission.transfers
        now = self.world.now()
        for each in transfers.transfers.values():
            if each.credit and now - each.active_at > MAX_CREDIT_SECONDS:
                self.failures.append(f"credit of {each.credit} bytes is lost")
        if transfers.credit > transfers.window:
            self.failures.append(f"{transfers.credit} bytes exceed the window")

    def check_end(self):
        """Return what is wrong once nothing is under way any more."""
        world, failures = self.world, self.failures
        names = [name for name, _ in world.upstream.runs]
        if len(names) > len(set(names)):
            failures.append("a call has run twice")
        for name, body in world.upstream.runs:
            if body != body_of(name, self.sizes[name]):
                failures.append(f"{name} has run with another body")
            if isinstance(world.outcomes.get(name), NotRun):
                failures.append(f"{name} has run and was reported as not run")
        failures += [
            f"{name} has no outcome"
            for name, (_, pending) in self.pending.items()
            if not pending.done
        ]
        bodies = world.home.bodies
        left = {
            "calls": world.home.calls,
            "incomplete": world.home.admission.incomplete,
            "running": world.home.admission.running,
            "bodies": bodies.bodies or bodies.sources or bodies.complete,
            "transfers": bodies.transfers.transfers,
            "upstream bytes": world.home.upstream_bytes.sizes,
            "reserved": bodies.room.reserved or world.memory.held,
        }
        failures += [f"{name} left" for name, found in left.items() if found]
        return failures


class BodyHistoryTests(TestCase):
    """Bodies, credit, memory and outcomes stay right whatever fails.

    A body that runs twice or incomplete corrupts what its caller stores. Lost credit
    stops a home's uploads, and lost memory all of its large bodies.
    """

    def test_random_histories(self):
        runs = 0
        for seed in SEEDS:
            histories = []

            async def scenario(world, seed=seed, histories=histories):
                histories.append(History(world, seed))
                await histories[0].play()
                self.assertEqual(histories[0].check_end(), [], f"seed {seed}")

            play_bodies(self, scenario, entries=3)
            runs += len(histories[0].world.upstream.runs)
        self.assertTrue(runs > 5 * len(SEEDS), runs)
