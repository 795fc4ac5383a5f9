"""Simulation of a fleet: spread cores, the platform and the network."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from sequoiaspoke.core.rules.model import Endpoint, RouteTo, Rule, Service
from sequoiaspoke.core.rules.weights import WeightedService as To
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import Vm, VmList
from sequoiaspoke.core.snapshot.publish import make_publication
from sequoiaspoke.core.spread import events
from sequoiaspoke.core.spread.core import SpreadCore
from sequoiaspoke.core.spread.settings import SpreadSettings
from sequoiaspoke.core.spread.state import Identity
from sequoiaspoke.settings.schema import Settings
from sequoiaspoke.wire.codec import decode_message, encode_message

TICK = 0.25
TIMEOUT = 2.0
SERVICES = ("fleet", "booking")


def publication(version, route="fleet"):
    """Make a publication whose fleet service differs for each version."""
    targets = [(name, version if name == "fleet" else 0) for name in SERVICES]
    services = tuple(
        Service(name, (Endpoint(f"{name}-{n}", name, "akaki", "127.0.0.1", n + 1),))
        for name, n in targets
    )
    rules = (Rule("all", (), RouteTo((To(route),))),)
    return make_publication(version, rules, services)


@dataclass
class Document:
    revision: int
    body: bytes


@dataclass
class Node:
    name: str
    zone: str
    core: SpreadCore
    incarnation: int
    paused: bool = False
    inbox: list = field(default_factory=list)
    ends: dict = field(default_factory=dict)  # link -> (other name, link, its inc.)
    versions: list = field(default_factory=list)


class Fleet:
    """Nodes and the platform on a simulated clock, with faults between them."""

    def __init__(self, zones, seed=1, **spread):
        self.rng = random.Random(seed)
        self.settings = replace(Settings(), spread=SpreadSettings(**spread))
        self.now = 0.0
        self.queue = []
        self.sequence = itertools.count()
        self.accepted = itertools.count(-1, -1)
        self.nodes = {}
        self.documents = {}
        self.published = {}
        self.waiting = []
        self.reads = []
        self.bytes = Counter()
        self.platform_up = True
        self.cuts = set()  # pairs of zones or names; "platform" may be one
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay = 0.01
        self.corrupt = set()  # names whose part answers are corrupted
        self.on_step = lambda: None
        self.zones = {f"{z}-{i}": z for z, n in zones.items() for i in range(n)}
        vms = tuple(Vm(n, z, "127.0.0.1", 1, 2) for n, z in self.zones.items())
        self.put("vms", codec.encode_json(VmList(1, vms)))
        for name in self.zones:
            self.start(name)

    def schedule(self, delay, call, *values):
        heapq.heappush(
            self.queue, (self.now + delay, next(self.sequence), call, values)
        )

    def start(self, name):
        incarnation = self.rng.getrandbits(32)
        identity = Identity(name, self.zones[name], incarnation)
        core = SpreadCore(self.settings, identity, random.Random(incarnation))
        self.nodes[name] = Node(name, self.zones[name], core, incarnation)
        self.schedule(self.rng.uniform(0, TICK), self.tick, name, incarnation)

    def stop(self, name):
        for link in list(self.nodes[name].ends):
            self.close_link(self.nodes[name], link)
        del self.nodes[name]

    def put(self, name, body):
        old = self.documents.get(name)
        self.documents[name] = Document(old.revision + 1 if old else 1, body)
        waiting, self.waiting = self.waiting, []
        for node, action in waiting:
            self.read(node, action, counted=False)

    def publish(self, version, route="fleet", made=None):
        made = made or publication(version, route)
        self.published.setdefault(version, codec.root_digest(made.head))
        for name, body in made.documents().items():
            self.put(name, body)

    def is_cut(self, one, other):
        zones = [self.zones.get(name, name) for name in (one, other)]
        pairs = itertools.product((one, zones[0]), (other, zones[1]))
        return any(frozenset(pair) in self.cuts for pair in pairs)

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, values = heapq.heappop(self.queue)
            call(*values)
            self.on_step()
        self.now = end

    def tick(self, name, incarnation):
        node = self.nodes.get(name)
        if node is None or node.incarnation != incarnation:
            return
        self.schedule(TICK, self.tick, name, incarnation)
        if node.paused:
            return
        for event in node.inbox:
            self.carry_out(node, node.core.handle(event, self.now))
        node.inbox.clear()
        self.carry_out(node, node.core.tick(self.now))

    def deliver(self, name, incarnation, event):
        node = self.nodes.get(name)
        if node is None or node.incarnation != incarnation:
            return
        if node.paused:
            node.inbox.append(event)
            return
        self.carry_out(node, node.core.handle(event, self.now))

    def schedule_event(self, node, event, delay):
        self.schedule(delay, self.deliver, node.name, node.incarnation, event)

    def carry_out(self, node, actions):
        for action in actions:
            match action:
                case events.ReadPlatform():
                    self.read(node, action)
                case events.CancelRead():
                    self.waiting = [w for w in self.waiting if w[1] is not action]
                case events.OpenLink():
                    self.open(node, action)
                case events.CloseLink():
                    self.close_link(node, action.link)
                case events.Send():
                    self.send(node, action)
                case events.Installed():
                    node.versions.append(action.snapshot.version)

    def read(self, node, action, counted=True):
        if counted:
            self.reads.append(self.now)
        failed = events.PlatformFailed(action.read, action.document)
        document = self.documents.get(action.document)
        if self.is_cut(node.name, "platform"):
            self.schedule_event(node, failed, TIMEOUT)
        elif not self.platform_up or (document is None and not action.wait):
            absent = replace(failed, absent=self.platform_up)
            self.schedule_event(node, absent, self.delay)
        elif document and document.revision > action.after:
            body, revision = document.body, document.revision
            name = action.document
            answer = events.PlatformAnswered(action.read, name, revision, body)
            self.schedule_event(node, answer, self.rng.uniform(0, self.delay))
        else:
            self.waiting.append((node, action))
        if counted and self.waiting and self.waiting[-1][1] is action:
            unchanged = events.PlatformUnchanged(action.read, action.document)
            self.schedule(action.wait, self.end_watch, node, action, unchanged)

    def end_watch(self, node, action, event):
        if any(waiting[1] is action for waiting in self.waiting):
            self.waiting = [w for w in self.waiting if w[1] is not action]
            self.schedule_event(node, event, 0)

    def outage(self, up):
        self.platform_up = up
        waiting, self.waiting = self.waiting, []
        for node, action in waiting:
            self.read(node, action, counted=False)

    def open(self, node, action):
        peer = self.nodes.get(action.peer)
        if peer is None:
            self.schedule_event(node, events.LinkDown(action.link), self.delay)
        elif self.is_cut(node.name, action.peer):
            self.schedule_event(node, events.LinkDown(action.link), TIMEOUT)
        else:
            other = next(self.accepted)
            node.ends[action.link] = (peer.name, other, peer.incarnation)
            peer.ends[other] = (node.name, action.link, node.incarnation)
            self.schedule_event(peer, events.LinkUp(other), self.delay)
            self.schedule_event(node, events.LinkUp(action.link), self.delay)

    def close_link(self, node, link):
        end = node.ends.pop(link, None)
        peer = self.nodes.get(end[0]) if end else None
        if peer and peer.incarnation == end[2] and not self.is_cut(node.name, end[0]):
            peer.ends.pop(end[1], None)
            self.schedule_event(peer, events.LinkDown(end[1]), self.delay)

    def send(self, node, action):
        payload = encode_message(action.number, action.message)
        self.bytes[node.name] += len(payload) + 4
        end = node.ends.get(action.link)
        if end is None or self.is_cut(node.name, end[0]):
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
            if self.rng.random() >= self.loss_rate:
                delay = self.rng.uniform(0, self.delay)
                self.schedule(
                    delay, self.deliver_message, end, payload, node.name in self.corrupt
                )

    def deliver_message(self, end, payload, corrupt):
        number, message = decode_message(payload)
        parts = getattr(message, "parts", None)
        if corrupt and parts:
            bad = tuple(replace(part, packed=part.packed[:-1]) for part in parts)
            message = replace(message, parts=bad)
        self.deliver(end[0], end[2], events.Received(end[1], number, message))

    def versions(self):
        return {name: node.core.holder.version for name, node in self.nodes.items()}

    def at_version(self):
        return set(self.versions().values())
