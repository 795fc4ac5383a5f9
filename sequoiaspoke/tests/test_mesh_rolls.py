"""Tests of calls while an entry and the homes of a service stop one after another."""

import asyncio
from dataclasses import dataclass, field, replace
from itertools import cycle
from math import inf

from testtools import TestCase

from sequoiaspoke.core.mesh.model import Endpoint
from sequoiaspoke.core.mesh.outcome import TIMED_OUT, Answer, Request, Unknown
from sequoiaspoke.sidecar.settings import SidecarSettings
from sequoiaspoke.sidecar.stopplan import (
    LINGER_SECONDS,
    RESTART_SECONDS,
    plan_stop,
)
from sequoiaspoke.tests.meshsim import (
    SERVICE,
    MeshWorld,
    SimNode,
    SimUpstream,
    run_virtual,
)

ADDRESS = ("10.0.0.1", 1)
# Seconds from the signal to the kill of a node, and those in which nothing that an
# upstream works on may be broken off.
GRACE = 6.0
KEPT = 5 / 6 * GRACE
SETTINGS = SidecarSettings(
    "n", SERVICE, "akaki", *[ADDRESS] * 5, drain=GRACE - 0.05, break_off_after=KEPT
)
# Seconds from the start of a home until its entry sends it calls again, at most.
LINKED = 0.3
# Seconds from the exit of a node to its next start, and between two stops of homes.
RESTART, GAP = 0.6, 1.0
# Seconds between two calls, and before and after the entry's signal in which they come.
INTERVAL, BEFORE, AFTER = 0.05, 14.0, 3.0
# Seconds between two looks at whether a stopping node is idle.
POLL = 0.01
# Slots of a home that has one for each call, and of one at which calls wait.
ENOUGH, FEW = 80, 16
# Routes and seconds of work of the calls, which come in turn.
ORDERS = tuple(("order", work) for work in (0.05, 1.0, 2.6, 4.5))
READS = tuple(("read", work) for work in (3.0, 4.0, 4.5, 4.8))
# Calls of which few are long, and the timeouts of their routes.
MOSTLY_SHORT = {
    "calls": (
        *(("order", work) for work in (0.05, 0.3, 1.0, 2.1)),
        *(("read", work) for work in (0.2, 0.5, 1.0, 5.3)),
    ),
    "timeouts": {"order": 5.0, "read": 15.0},
}
# The same with a long call now and then.
SELDOM_LONG = 7 * (("order", 0.05),) + (("order", 4.2),)
SELDOM_LONG += 5 * (("read", 0.1),) + (("read", 4.6),)
# Seconds from the first signal to that of the entry, and to the home's departure.
AHEAD = (2.0, 2.5, 3.0, 3.5, 4.0)
LEAVES_AFTER = SETTINGS.leave_after


@dataclass(frozen=True)
class Roll:
    """What stops when, and which calls are made meanwhile.

    Attributes
    ----------
    ahead : float
        Seconds from the signal of the first home to that of the entry.
    entry_stops : bool
        Whether the entry stops at all.
    stopping, staying : int
        Numbers of homes that stop and that go on.
    slots : int
        Calls that an upstream runs at once.
    calls : tuple of tuple of str and float
        Routes and work of the calls.
    timeouts : dict of str to float
        Timeouts of the routes in seconds.
    before : float
        Seconds from the start of the nodes to the entry's signal.
    restarted : float
        Seconds before the first signal at which the homes that stop are killed and
        start again, 0 if they don't.
    """

    ahead: float = 0.0
    entry_stops: bool = True
    stopping: int = 2
    staying: int = 0
    slots: int = ENOUGH
    calls: tuple[tuple[str, float], ...] = ORDERS + READS
    timeouts: dict[str, float] = field(
        default_factory=lambda: {"order": 8.0, "read": 8.0}
    )
    before: float = BEFORE
    restarted: float = 0.0

    @property
    def begins_at(self):
        """Return when the homes run, in seconds from the entry's signal."""
        return LINKED - self.ahead - self.restarted if self.restarted else -inf


@dataclass(frozen=True)
class Reply:
    """The answer to a call; times count from the entry's signal.

    Attributes
    ----------
    running : bool
        Whether an upstream was at work on the call when it was answered.
    """

    call_id: str
    sent_at: float
    answered_at: float
    status: int
    retry_after: float
    running: bool
    timeout: float

    @property
    def seconds(self):
        """Return the seconds for which the caller waited."""
        return self.answered_at - self.sent_at

    @property
    def lost(self):
        """Return whether the call was broken off too early, and not by its timeout."""
        return (
            self.status in (502, 504)
            and self.running
            and self.answered_at < KEPT
            and self.seconds < self.timeout - POLL
        )


class WorkingUpstream(SimUpstream):
    """Works on each call for as long as the call says, also if its node exits."""

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        call_id, now = request.header("x-request-id"), self.world.now()
        work = float(request.header("x-work"))
        self.world.ran(call_id, self.instance)
        until = max(now + work, self.world.works_until.get(call_id, 0.0))
        self.world.works_until[call_id] = until
        if now + work > deadline:
            await asyncio.sleep(max(0.0, deadline - now))
            return Unknown(TIMED_OUT)
        await asyncio.sleep(work)
        return Answer(200, (), call_id.encode(), work)


class RolledNode(SimNode):
    """A node that stops as the process of a sidecar does."""

    def start(self):
        super().start()
        self.home.upstream = WorkingUpstream(self.world, f"i-{self.host}")
        self.home.health_monitor.upstream = self.home.upstream
        self.home.set_slots(self.world.roll.slots)
        self.home.admission.upstream_slots.has_answered = True
        self.home.reachable = self.peers.reachable

    async def stop(self):
        """Stop, exit once idle and start again."""
        began = self.world.now()
        plan = plan_stop(SETTINGS, began, 0.0)
        self.entry.stop(plan)
        self.home.stop(plan)
        await asyncio.sleep(plan.leaves_at - began)
        self.home.leaving = True
        self.server.announce_leaving()
        await asyncio.sleep(began + LINGER_SECONDS - self.world.now())
        while (self.home.calls or self.entry.active) and (
            self.world.now() < plan.exits_at
        ):
            await asyncio.sleep(POLL)
        self.kill()
        await asyncio.sleep(RESTART)
        self.start()


class RollWorld(MeshWorld):
    """An entry beside the homes of a service."""

    def __init__(self, roll):
        self.roll = roll
        self.works_until = {}
        self.replies = []
        super().__init__(1, nodes=0)
        hosts = [f"h{number}" for number in range(1 + roll.stopping + roll.staying)]
        for host in hosts[1:]:
            zone = self.zone_of(host)
            endpoint = Endpoint(f"i-{host}", SERVICE, host, 80, zone, roll.slots)
            self.endpoints[endpoint.instance] = endpoint
        for host in hosts:
            self.nodes[host] = RolledNode(self, host, self.zone_of(host))
        self.rolled = hosts[1 : 1 + roll.stopping]
        self.entry = self.nodes["h0"].entry
        self.signal_at = self.now() + roll.before

    def route(self, name):
        return replace(super().route(name), timeout=self.roll.timeouts[name])

    async def make_call(self, number, name, work):
        """Make one call and keep its reply."""
        call_id = f"{name}-{number}-{work}"
        headers = (("Host", "x"), ("X-Request-Id", call_id), ("X-Work", str(work)))
        sent = self.now()
        answer = await self.entry.handle(Request("POST", f"/{name}/1", headers, b""))
        now = self.now()
        self.answers[call_id] = answer
        retry_after = dict(answer.headers).get("Retry-After", "0")
        reply = Reply(
            call_id,
            sent - self.signal_at,
            now - self.signal_at,
            answer.status,
            float(retry_after),
            now < self.works_until.get(call_id, 0.0),
            self.roll.timeouts[name],
        )
        self.replies.append(reply)

    async def stop_homes(self):
        """Stop the homes in turn."""
        roll = self.roll
        await asyncio.sleep(roll.before - roll.ahead - roll.restarted)
        if roll.restarted:
            for host in self.rolled:
                self.nodes[host].kill()
                self.nodes[host].start()
            await asyncio.sleep(roll.restarted)
        stops = []
        for host in self.rolled:
            stops.append(asyncio.ensure_future(self.nodes[host].stop()))
            await asyncio.sleep(GAP)
        await asyncio.gather(*stops)

    async def make_calls(self):
        """Make all calls and wait for their answers."""
        tasks = []
        # The first calls come once the entry has its links.
        await asyncio.sleep(0.5)
        for number, call in enumerate(cycle(self.roll.calls)):
            if self.now() >= self.signal_at + AFTER:
                break
            tasks.append(asyncio.ensure_future(self.make_call(number, *call)))
            await asyncio.sleep(INTERVAL)
        await asyncio.gather(*tasks)

    async def play(self):
        """Make calls while the homes and then the entry stop."""
        calls = asyncio.ensure_future(self.make_calls())
        stops = asyncio.ensure_future(self.stop_homes())
        await asyncio.sleep(self.roll.before)
        if self.roll.entry_stops:
            self.entry.stop(plan_stop(SETTINGS, self.now(), 0.0))
        await asyncio.gather(calls, stops)
        for call_id, answer in self.answers.items():
            runs = self.runs.get(call_id, ())
            if answer.status == 503 and runs:
                self.problems.append(f"{call_id}: refused as not run, but ran")
            if call_id.startswith("order") and len(runs) > 1:
                self.problems.append(f"{call_id}: ran {len(runs)} times")
        for node in self.nodes.values():
            if node.up:
                node.kill()
        await asyncio.sleep(0)


class RollCase(TestCase):
    """Plays rolls on a virtual clock."""

    def replies(self, roll):
        """Return the replies to the calls of a roll."""

        async def scenario():
            world = RollWorld(roll)
            await world.play()
            return world

        world = run_virtual(scenario, self)
        self.assertEqual([], world.problems)
        return world.replies

    def lost(self, rolls):
        """Return the calls of rolls that were lost, by the time of the first stop."""
        found = {}
        for roll in rolls:
            replies = self.replies(roll)
            self.assertTrue(any(each.status == 200 for each in replies))
            found[roll.ahead] = [
                each.call_id
                for each in replies
                if each.lost and each.sent_at > roll.begins_at
            ]
        return {ahead: lost for ahead, lost in found.items() if lost}


class OtherHomeTests(RollCase):
    """Another home of the service goes on."""

    def test_no_call_is_cut_off_by_the_exit_of_a_home(self):
        # A home took reads after its signal that ended after its exit. Their entry was
        # stopping as well, could not try them again and answered 502.
        for slots in (ENOUGH, FEW):
            rolls = [Roll(ahead, staying=1, slots=slots) for ahead in AHEAD]
            self.assertEqual({}, self.lost(rolls))
            rolls = [replace(each, **MOSTLY_SHORT) for each in rolls]
            self.assertEqual({}, self.lost(rolls))


class NoOtherHomeTests(RollCase):
    """All homes of the service stop."""

    def test_what_a_home_takes_ends_before_its_exit(self):
        # Refused by all homes, long calls came back and were taken by one that exited
        # before they ended. Their callers were told 502 while the upstream worked.
        for stopping in (1, 2):
            rolls = [Roll(ahead, stopping=stopping) for ahead in AHEAD]
            self.assertEqual({}, self.lost(rolls))

    def test_calls_that_are_seldom_long_are_not_cut_off(self):
        # Few calls of a route are as long as these, and its mean tells little of them.
        for stopping in (1, 2):
            rolls = [Roll(ahead, stopping=stopping, **MOSTLY_SHORT) for ahead in AHEAD]
            self.assertEqual({}, self.lost(rolls))

    def test_calls_that_wait_for_a_slot_are_not_cut_off(self):
        # Seconds after the signal they were started in one moment, and broken off
        # together.
        for stopping in (1, 2):
            rolls = [Roll(ahead, stopping=stopping, slots=FEW) for ahead in AHEAD]
            self.assertEqual({}, self.lost(rolls))
            rolls = [replace(each, **MOSTLY_SHORT) for each in rolls]
            self.assertEqual({}, self.lost(rolls))

    def test_short_calls_are_taken(self):
        # A home that refuses all calls from its signal on is away for longer.
        calls = (("order", 0.05), ("order", 0.3), ("read", 0.05), ("read", 0.3))
        for reply in self.replies(Roll(entry_stops=False, stopping=1, calls=calls)):
            if reply.sent_at < LEAVES_AFTER - POLL:
                self.assertEqual(200, reply.status, reply)

    def test_a_refused_caller_is_told_when_a_home_is_back(self):
        # It was told 0.3 s, the time of homes that send calls to others, and came back
        # again and again.
        replies = self.replies(Roll(entry_stops=False, stopping=1))
        refused = [
            each
            for each in replies
            if each.status == 503 and each.sent_at < LEAVES_AFTER - POLL
        ]
        self.assertTrue(refused)
        for reply in refused:
            back_at = reply.answered_at + reply.retry_after
            self.assertTrue(GRACE <= back_at <= GRACE + RESTART_SECONDS, reply)
            self.assertTrue(reply.seconds < POLL, reply)


class NewHomeTests(RollCase):
    """Homes that started seconds before they stop."""

    # Seconds from the start of the homes to the entry's signal.
    before = 6.0

    def assert_kept(self, stopping, staying, ahead, **options):
        """Check that no call of some rolls is lost."""
        rolls = [
            Roll(each, True, stopping, staying, before=self.before, **options)
            for each in ahead
        ]
        self.assertEqual({}, self.lost(rolls))

    def test_the_first_long_calls_are_not_cut_off(self):
        # They take more than half of their timeout, and none as long has ended.
        self.assert_kept(1, 0, AHEAD)
        self.assert_kept(2, 0, AHEAD, calls=tuple(reversed(ORDERS + READS)))

    def test_the_first_long_calls_that_wait_for_a_slot_are_not_cut_off(self):
        # They were assumed to take half of what was left after the wait, and were
        # answered 502 while an upstream worked on them.
        for stopping, staying in ((1, 1), (2, 0), (2, 1)):
            self.assert_kept(stopping, staying, AHEAD, slots=FEW)

    def test_a_long_call_now_and_then_is_not_cut_off(self):
        # It takes more than half of its timeout, and none as long has ended.
        self.assert_kept(1, 0, AHEAD, calls=SELDOM_LONG)

    def test_first_calls_that_are_seldom_long_are_not_cut_off(self):
        # The entry stops as well, so that little of their long timeout was left, and
        # half of that was assumed.
        self.assert_kept(2, 0, AHEAD, **MOSTLY_SHORT)

    def test_the_longest_calls_that_wait_for_a_slot_are_not_cut_off(self):
        # They take more than half of their timeout, and none as long has ended.
        calls = tuple(reversed(ORDERS + READS))
        self.assert_kept(2, 1, AHEAD, slots=FEW, calls=calls)


class RestartedHomeTests(RollCase):
    """Homes that were started again seconds before they stop; the entry is older."""

    def assert_kept(self, stopping, staying, **options):
        """Check that no call of some rolls is lost."""
        rolls = [
            Roll(each, True, stopping, staying, restarted=4.0, **options)
            for each in AHEAD
        ]
        self.assertEqual({}, self.lost(rolls))

    def test_a_home_knows_what_its_entry_has_measured(self):
        # Only short calls had ended at the home. It took long ones, and its exit broke
        # them off.
        self.assert_kept(2, 0, calls=tuple(reversed(ORDERS + READS)))

    def test_a_home_at_which_calls_wait_knows_it_too(self):
        calls = sorted(ORDERS + READS, key=lambda each: -each[1])
        self.assert_kept(2, 1, slots=FEW, calls=tuple(calls))

    def test_short_calls_of_a_long_timeout_are_taken(self):
        # By its timeout alone, a home refused all calls of a route until one as long
        # could have ended.
        calls = (("order", 0.05), ("order", 0.3), ("read", 0.05), ("read", 0.3))
        roll = Roll(entry_stops=False, stopping=1, restarted=4.0, calls=calls)
        roll = replace(roll, timeouts={"order": 12.0, "read": 12.0})
        for reply in self.replies(roll):
            if roll.begins_at < reply.sent_at < LEAVES_AFTER - POLL:
                self.assertEqual(200, reply.status, reply)
