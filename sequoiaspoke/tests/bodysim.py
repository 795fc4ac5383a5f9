"""Simulate entries and a home that exchange bodies in parts, on a virtual clock."""

import asyncio

from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.memory import MemoryAccount
from sequoiaspoke.core.mesh.model import Endpoint
from sequoiaspoke.core.mesh.outcome import Answer, Request
from sequoiaspoke.sidecar.frames import Dialer
from sequoiaspoke.sidecar.home import Home
from sequoiaspoke.sidecar.homecall import HomeCall
from sequoiaspoke.sidecar.linkclient import LinkClient
from sequoiaspoke.sidecar.linkserver import LinkServer
from sequoiaspoke.sidecar.logs import EventLog
from sequoiaspoke.sidecar.pending import LinkIdentity
from sequoiaspoke.tests.meshsim import Pipe, PipeFrames, run_virtual
from sequoiaspoke.tests.test_meshlink import NoGossip

ENDPOINT = Endpoint("i-1", "fleet", "home", 80, "akaki", 2)
MBPS = 5.0
DELAY = 0.001  # seconds of a frame on its way
TICK = 0.1
WORK = 0.08  # seconds of a call at the upstream


class RatePipe(Pipe):
    """One direction of a link, on which parts take the time of their bytes."""

    def push(self, frame):
        if frame.body_part is not None:
            self.world.parts.append(frame.body_part)
            self.last = max(self.last, self.world.now())
            self.last += len(frame.body_part.data) / (MBPS * 125_000)
        super().push(frame)


class BodyDialer(Dialer):
    def __init__(self, world, host):
        self.world, self.host = world, host

    async def dial(self, host, port):
        world = self.world
        await asyncio.sleep(DELAY)
        if world.is_cut(self.host, host):
            await asyncio.sleep(3600)
        if not world.up:
            raise ConnectionRefusedError(host)
        ways = ("there", "back")
        pipes = [RatePipe(world, (self.host, host, way)) for way in ways]
        world.links.append(pipes)
        there, back = pipes
        world.spawn(world.server.serve(PipeFrames(there, back)))
        return PipeFrames(back, there)


class BodyUpstream:
    """Records the bodies that it runs."""

    report = None

    def __init__(self):
        self.runs = []
        self.seconds = WORK

    async def call(self, request, instance, deadline, idempotent, on_send):
        on_send()
        self.runs.append((request.target, request.body))
        await asyncio.sleep(self.seconds)
        return Answer(200, (), request.target.encode())

    async def refuses_connections(self):
        return False

    def close_idle_connections(self):
        pass

    def tick(self, now):
        pass


class BodyWorld:
    """A home and the links of some entries to it."""

    def __init__(self, entries=2):
        self.cuts = set()
        self.links = []
        self.parts = []
        self.tasks = set()
        self.log = EventLog("x-request-id")
        self.log.allowed = lambda kind: False
        self.upstream = BodyUpstream()
        self.incarnation = 0
        self.start_home()
        self.entries = [self.new_entry(f"e{number}") for number in range(entries)]
        self.outcomes = {}
        self.spawn(self.tick())

    def start_home(self):
        self.up = True
        self.incarnation += 1
        self.directory = Directory()
        self.directory.put(ENDPOINT, 5, self.now())
        self.memory = MemoryAccount()
        self.home = Home(self.upstream, self.directory, self.log, self.memory)
        self.home.set_slots(ENDPOINT.slots)
        self.home.admission.transfers.set_link_mbps(MBPS)
        self.server = LinkServer(self.home, NoGossip(), self.incarnation, self.log)

    def kill_home(self):
        self.up = False
        for running in self.home.calls.values():
            running.cancelled = True
            if running.task is not None:
                running.task.cancel()
        self.home.admission.queue.clear()
        for link in list(self.server.links):
            link.stream.close()

    def new_entry(self, host):
        identity = LinkIdentity(host, "akaki", hash(host))
        dialer = BodyDialer(self, host)
        return LinkClient(("home", 1), identity, NoGossip(), self.log, dialer)

    def now(self):
        return asyncio.get_running_loop().time()

    def delay(self):
        return DELAY

    def is_cut(self, *ends):
        """Return whether a direction of a link, or the whole link, is cut."""
        return ends in self.cuts or ends[:2] in self.cuts

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def tick(self):
        while True:
            if self.up:
                self.home.tick(self.now())
            for entry in self.entries:
                entry.tick(self.now())
            await asyncio.sleep(TICK)

    def send(
        self,
        name,
        size,
        entry=0,
        seconds=3.0,
        headers=(("Host", "x"),),
        idempotent=False,
        large_body=True,
        objective=None,
    ):
        """Send a call from an entry; return the pending call."""
        until = self.now() + seconds
        on_time = until if objective is None else self.now() + objective
        call = HomeCall(
            Request("POST", name, headers, body_of(name, size)),
            ENDPOINT.incarnation,
            "up",
            2,
            idempotent,
            on_time,
            until,
            large_body=large_body,
        )
        return self.entries[entry].submit(
            call, lambda outcome: self.outcomes.update({name: outcome})
        )

    async def until(self, condition, seconds=10.0):
        end = self.now() + seconds
        while not condition():
            if self.now() > end:
                raise AssertionError("the condition was not met in time")
            await asyncio.sleep(0.002)

    async def arrived(self, name):
        """Wait until a part of the only body has arrived."""
        transfers = self.home.admission.transfers.transfers
        await self.until(lambda: any(each.received for each in transfers.values()))

    def break_links(self):
        for pipes in self.links:
            for pipe in pipes:
                pipe.end()

    def close(self):
        self.kill_home()
        for entry in self.entries:
            entry.close()
        for task in list(self.tasks):
            task.cancel()


def body_of(name, size):
    """Return a body that differs between calls and between its parts."""
    return (b"".join(b"%s:%d;" % (name.encode(), n) for n in range(size // 4)))[:size]


def play_bodies(case, scenario, **options):
    """Run a scenario with a world on a virtual clock."""

    async def run():
        world = BodyWorld(**options)
        try:
            await scenario(world)
        finally:
            world.close()
            await asyncio.sleep(0)

    run_virtual(run, case)
