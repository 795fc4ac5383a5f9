"""Simulate a mesh of sidecars on a virtual clock, with faults drawn from a seed.

The entries, homes, links and platform state are real code; the event loop's clock, the
connections between nodes and the upstreams are simulated. Nothing waits in real time,
and a seed always gives the same sequence of events.
"""

import asyncio
import heapq
import random
import selectors
from collections import Counter, defaultdict
from typing import ClassVar

from sequoiaspoke.core.mesh.model import Endpoint, MeshConfig, Route, Service
from sequoiaspoke.core.mesh.outcome import Answer, NotRun, Request, Unknown
from sequoiaspoke.core.mesh.reading import ReadingDuty
from sequoiaspoke.core.mesh.retrybudget import RetryLimits
from sequoiaspoke.core.mesh.table import RouteTable
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.sidecar import clock
from sequoiaspoke.sidecar.entry import Entry
from sequoiaspoke.sidecar.frames import Dialer, FrameStream
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.linkserver import LinkServer
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.names import HeaderNames
from sequoiaspoke.sidecar.peers import Peers
from sequoiaspoke.sidecar.pending import LinkIdentity
from sequoiaspoke.sidecar.source import Changes, ItemDecoder, StoreItem
from sequoiaspoke.sidecar.spread import Spread
from sequoiaspoke.sidecar.state import MeshState

SERVICE = "fleet"
SLOTS = 3
RATIO, SLACK, WINDOW = 0.05, 6.0, 10.0
TIMEOUT = 4.0  # seconds for which callers wait
LATE_TOLERANCE = 0.5  # seconds after the timeout from which an answer is a fault


class VirtualSelector(selectors.SelectSelector):
    """Advances the clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no event is scheduled")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the selector's clock."""

    def __init__(self):
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self):
        return self.virtual.now


class Pipe:
    """One direction of a link, which delivers frames in order after a delay."""

    def __init__(self, world, ends):
        self.world = world
        self.ends = ends
        self.arrivals = []
        self.last = 0.0
        self.count = 0
        self.wake = asyncio.Event()
        self.broken = False

    def push(self, frame):
        loop = asyncio.get_running_loop()
        self.last = max(self.last, loop.time() + self.world.delay())
        self.count += 1
        heapq.heappush(self.arrivals, (self.last, self.count, frame))
        loop.call_at(self.last, self.wake.set)

    async def pop(self):
        """Return the next frame, or None after the end of the link."""
        loop = asyncio.get_running_loop()
        while True:
            cut = self.world.is_cut(*self.ends)
            if not cut and self.arrivals and self.arrivals[0][0] <= loop.time():
                return heapq.heappop(self.arrivals)[2]
            if self.broken and not cut:
                return None
            self.wake.clear()
            if cut:
                loop.call_later(0.05, self.wake.set)
            await self.wake.wait()

    def end(self):
        self.broken = True
        self.wake.set()


class PipeFrames(FrameStream):
    """Frames that are sent and read over two pipes."""

    def __init__(self, into, out):
        self.into, self.out = into, out

    def send(self, frame):
        if not self.closed and not self.out.broken:
            self.out.push(frame)

    async def read(self, on_frame):
        while not self.closed:
            frame = await self.into.pop()
            if frame is None:
                break
            if not self.closed:
                on_frame(frame)
        self.close()
        return "closed"

    def close(self):
        self.closed = True
        self.into.end()
        # Frames sent before the end still arrive, as on a real connection.
        loop = asyncio.get_running_loop()
        loop.call_at(max(loop.time(), self.out.last), self.out.end)


class SimDialer(Dialer):
    """Connects to nodes of the same simulation."""

    def __init__(self, world, host):
        self.world, self.host = world, host

    async def dial(self, host, port):
        await asyncio.sleep(self.world.delay())
        if self.world.is_cut(self.host, host):
            await asyncio.sleep(3600)
        node = self.world.nodes[host]
        if not node.up:
            raise ConnectionRefusedError(host)
        there, back = (
            Pipe(self.world, (self.host, host)),
            Pipe(self.world, (self.host, host)),
        )
        self.world.links.append((there, back))
        node.spawn(node.server.serve(PipeFrames(there, back)))
        return PipeFrames(back, there)


class SimUpstream:
    """An upstream that keeps running while its node is killed."""

    report = None

    def __init__(self, world, instance):
        self.world, self.instance = world, instance
        self.slowdown = 1.0
        self.losing_share = 0.0
        self.shedding_share = 0.0

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        rng, world = self.world.rng, self.world
        call_id = request.header("x-request-id")
        world.arrivals[call_id].append((self.instance, world.now()))
        if rng.random() < self.shedding_share:
            return NotRun("upstream-refused", 0.1, from_upstream=True)
        world.ran(call_id, self.instance)
        try:
            await asyncio.sleep(self.slowdown * rng.uniform(0.05, 0.3))
        except asyncio.CancelledError:
            world.cancelled[call_id] += 1
            raise
        if rng.random() < self.losing_share:
            return Unknown("connection-lost")
        return Answer(200, (), call_id.encode(), 0.1)

    async def refuses_connections(self):
        return False

    def tick(self, now):
        pass


class SimItems(ItemDecoder):
    """Decoder of store items, whose keys are names of endpoints."""

    def __init__(self, world):
        self.world = world

    def kind(self, key):
        return self.ENDPOINT

    def instance(self, key):
        return key

    def endpoint(self, key, value):
        return self.world.endpoints[key]

    def config(self, value):
        raise NotImplementedError


class SimNode:
    """A node that can be killed and restarted."""

    def __init__(self, world, host, zone):
        self.world, self.host, self.zone = world, host, zone
        self.upstream = SimUpstream(world, f"i-{host}")
        self.tasks = set()
        self.up = False
        self.start()

    def start(self):
        world, log, rng = self.world, self.world.log, self.world.rng
        self.incarnation = rng.getrandbits(40)
        self.state = MeshState(SimItems(world), log, lambda: None)
        routes = tuple(world.route(name) for name in ("read", "order"))
        config = MeshConfig(1, routes, {SERVICE: Service(SERVICE)})
        self.state.table = RouteTable(config)
        self.home = Home(self.upstream, self.state.directory, log)
        self.home.set_slots(SLOTS)
        spread = Spread(self.state, ReadingDuty(self.host, self.zone), log)
        self.server = LinkServer(self.home, spread, self.incarnation, log)
        identity = LinkIdentity(self.host, self.zone, self.incarnation)
        dialer = SimDialer(world, self.host)
        self.peers = Peers(identity, 1, self.state, spread, rng, log, dialer)
        limits = RetryLimits(RATIO, SLACK, WINDOW)
        self.entry = Entry(
            SERVICE, world.regions, HeaderNames(), self.state, self.home, self.peers,
            limits, rng, log,
        )  # fmt: skip
        self.up = True
        self.spawn(self.tick())

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def tick(self):
        while True:
            now = self.world.now()
            items = tuple(
                StoreItem(name, b"x", 1 + number)
                for number, name in enumerate(self.world.endpoints)
            )
            if not self.world.store_down:
                self.state.apply_snapshot(Changes(items, 100))
            else:
                self.state.record_store_failure("store-unavailable", "down")
            self.home.tick(now)
            self.state.tick(now)
            self.peers.refresh()
            self.peers.tick(now)
            await asyncio.sleep(0.1)

    def kill(self):
        """End like a killed process: send nothing and reset all connections."""
        self.up = False
        for link in list(self.server.links):
            link.stream.close()
        for client in self.peers.links.values():
            client.closed = True
            if client.stream is not None:
                client.stream.close()
            if client.run_task is not None:
                client.run_task.cancel()
        for running in self.home.calls.values():
            running.dropped = True
            if running.task is not None:
                running.task.cancel()
        self.home.admission.queue.clear()
        for task in list(self.tasks):
            task.cancel()


class MeshWorld:
    """Nodes, callers and faults, with a check of the guarantees to callers."""

    # Regions by zone; empty if not known.
    regions: ClassVar[dict[str, str]] = {}

    def __init__(self, seed, nodes=4):
        self.rng = random.Random(seed)
        self.log = EventLog("x-request-id")
        self.log.allowed = lambda kind: False
        self.links = []
        self.cuts = set()
        self.store_down = False
        self.runs = defaultdict(list)
        self.arrivals = defaultdict(list)
        self.cancelled = Counter()
        self.answers = {}
        self.sent = {}
        self.problems = []
        hosts = [f"h{number}" for number in range(nodes)]
        self.endpoints = {
            f"i-{host}": Endpoint(
                f"i-{host}", SERVICE, host, 80, self.zone_of(host), SLOTS
            )
            for host in hosts
        }
        self.nodes = {}
        for host in hosts:
            self.nodes[host] = SimNode(self, host, self.zone_of(host))

    def zone_of(self, host):
        return f"z{int(host[1:]) % 2}"

    def route(self, name):
        split = (WeightedService(SERVICE),)
        return Route(name, "x", f"/{name}/", name == "read", TIMEOUT, 0.5, 1, 2, split)

    def now(self):
        return asyncio.get_running_loop().time()

    def delay(self):
        return self.rng.uniform(0.0005, 0.003)

    def is_cut(self, one, other):
        return (one, other) in self.cuts or (other, one) in self.cuts

    def ran(self, call_id, instance):
        self.runs[call_id].append((instance, self.now()))

    # Callers.

    def request(self, name, call_id):
        headers = (
            ("Host", "x"),
            ("X-Request-Id", call_id),
            ("X-Time-Left-Ms", str(int(TIMEOUT * 1000))),
        )
        return Request("GET", f"/{name}/1", headers, b"")

    async def make_call(self, number):
        """Make one call and check its answer."""
        rng = self.rng
        host = rng.choice(list(self.nodes))
        node = self.nodes[host]
        if not node.up:
            return
        name = rng.choice(("read", "order"))
        call_id = f"{name}-{number}"
        started = self.sent[call_id] = self.now()
        task = node.spawn(node.entry.handle(self.request(name, call_id)))
        try:
            answer = await asyncio.shield(task)
        except asyncio.CancelledError:
            # The entry was killed, so that its caller sees a closed connection.
            return
        if self.now() - started > TIMEOUT + LATE_TOLERANCE:
            self.problems.append(f"{call_id}: answered late")
        self.answers[call_id] = answer
        if answer.status == 200 and answer.body != call_id.encode():
            self.problems.append(f"{call_id}: answer of another call")

    # Faults.

    async def faults(self, seconds):
        """Cause random faults, which may overlap."""
        end = self.now() + seconds
        choices = [
            self.reset_links, self.cut_link, self.kill_node, self.slow_upstream,
            self.lose_answers, self.shed_calls, self.store_outage, self.silence_links,
        ]  # fmt: skip
        tasks = []
        while self.now() < end:
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))
            tasks.append(asyncio.ensure_future(self.rng.choice(choices)()))
        await asyncio.gather(*tasks)

    async def reset_links(self):
        for there, back in self.rng.sample(self.links, min(4, len(self.links))):
            there.end()
            back.end()

    async def silence_links(self):
        """Drop all frames of a few links without closing them."""
        for there, back in self.rng.sample(self.links, min(3, len(self.links))):
            for pipe in (there, back):
                pipe.push = lambda frame: None

    async def cut_link(self):
        pair = tuple(self.rng.sample(list(self.nodes), 2))
        self.cuts.add(pair)
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        self.cuts.discard(pair)

    async def kill_node(self):
        node = self.nodes[self.rng.choice(list(self.nodes))]
        if not node.up:
            return
        node.kill()
        await asyncio.sleep(self.rng.uniform(0.02, 1.0))
        node.start()

    async def slow_upstream(self):
        await self.set_fault("slowdown", self.rng.choice((4.0, 12.0)), 1.0)

    async def lose_answers(self):
        await self.set_fault("losing_share", 0.4, 0.0)

    async def shed_calls(self):
        await self.set_fault("shedding_share", 0.5, 0.0)

    async def set_fault(self, name, value, usual):
        upstream = self.nodes[self.rng.choice(list(self.nodes))].upstream
        setattr(upstream, name, value)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        setattr(upstream, name, usual)

    async def store_outage(self):
        self.store_down = True
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.store_down = False

    # Run.

    async def play(self, seconds=12.0, rate=25.0):
        faults = asyncio.ensure_future(self.faults(seconds))
        callers = []
        end = self.now() + seconds
        while self.now() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            callers.append(asyncio.ensure_future(self.make_call(len(callers))))
        await asyncio.gather(*callers, faults)
        await asyncio.sleep(12.0)
        self.check_guarantees()
        for node in self.nodes.values():
            if node.up:
                node.kill()
        await asyncio.sleep(0)

    def check_guarantees(self):
        """Check the guarantees over all events."""
        for call_id, runs in self.runs.items():
            if call_id.startswith("order") and len(runs) > 1:
                self.problems.append(f"{call_id}: ran {len(runs)} times")
            if len({instance for instance, _ in runs}) > 2:
                self.problems.append(f"{call_id}: more targets than attempts")
        for call_id, answer in self.answers.items():
            ran = self.runs.get(call_id)
            if answer.status == 503 and ran:
                self.problems.append(f"{call_id}: refused as not run, but ran")
            if answer.status == 200 and not ran:
                self.problems.append(f"{call_id}: answered without a run")
        self.check_retries()

    def check_retries(self):
        retry_times = sorted(
            when for arrived in self.arrivals.values() for _, when in arrived[1:]
        )
        for begin in retry_times:
            retries = sum(begin <= when < begin + WINDOW for when in retry_times)
            first_attempts = max(
                sum(since <= sent < since + WINDOW for sent in self.sent.values())
                for since in (begin, begin - WINDOW / 2, begin - WINDOW)
            )
            if retries > RATIO * first_attempts + SLACK:
                self.problems.append(f"{retries} retries for {first_attempts} calls")
                return


def play(seed, case, **options):
    """Run the simulation of a seed and return its world."""
    return play_world(lambda: MeshWorld(seed), case, **options)


def play_world(make, case, **options):
    """Create a world on a virtual clock, run it and return it."""

    async def run():
        world = make()
        await world.play(**options)
        return world

    return run_virtual(run, case)


def run_virtual(scenario, case):
    """Run a scenario on a virtual clock and return its result."""
    loop = VirtualLoop()
    case.patch(clock, "now", loop.time)
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(scenario())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
