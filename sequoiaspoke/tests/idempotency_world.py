"""Simulation of a zone of nodes, callers and an upstream that counts its runs."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from sequoiaspoke.core.idempotency.assignment import zone_targets
from sequoiaspoke.core.idempotency.calls import (
    Fingerprint,
    Identity,
    Join,
    KeptAnswer,
    KeyedCall,
    Proceed,
    Refuse,
    Replay,
    Run,
)
from sequoiaspoke.core.idempotency.entry import AttemptResult, outcome_for_caller
from sequoiaspoke.core.idempotency.home import HomeCore
from sequoiaspoke.core.idempotency.key import (
    Key,
    home_of,
    issue_key,
    mint_key,
    parse_key,
)
from sequoiaspoke.core.idempotency.messages import Answer, Question
from sequoiaspoke.core.idempotency.moment import Moment
from sequoiaspoke.core.idempotency.safeguards import Safeguards
from sequoiaspoke.core.idempotency.settings import IdempotencySettings
from sequoiaspoke.core.idempotency.witnesses import Witness
from sequoiaspoke.core.rules.matcher import Matcher
from sequoiaspoke.core.rules.model import Endpoint, Service
from sequoiaspoke.core.snapshot.model import Head, Snapshot, Vm, VmList
from sequoiaspoke.errors import (
    ConnectError,
    ConnectionLostError,
    Ran,
    UpstreamShedError,
)

ZONE, SERVICE = "akaki", "booking"
STEP = 0.5
RECENT = 40


def snapshot_of(version: int, targets: frozenset[int]) -> Snapshot:
    endpoints = tuple(
        Endpoint(f"t{i}", f"vm{i}", ZONE, "127.0.0.1", 1) for i in sorted(targets)
    )
    services = {SERVICE: Service(SERVICE, endpoints)}
    return Snapshot(Head(version), (), services, Matcher(()))


def vm_list(revision: int, numbers: Any) -> VmList:
    vms = tuple(Vm(f"vm{i}", ZONE, "127.0.0.1", 1, 1) for i in numbers)
    return VmList(revision, vms)


def moment_at(now: float, skew: float = 0.0) -> Moment:
    return Moment(now, 1_000_000 + now + skew)


@dataclass
class Attempt:
    """One attempt of a caller, as its entry sees it."""

    call: KeyedCall
    first: bool
    entry: int
    outcome: Ran | None = None
    answer: KeptAnswer | None = None


@dataclass
class CallerKey:
    """A key and its caller's attempts."""

    key: Key
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def done(self) -> bool:
        return any(attempt.outcome is Ran.NOT_RUN for attempt in self.attempts)


@dataclass
class Node:
    """One VM's process."""

    number: int
    skew: float
    core: HomeCore | None = None
    witness: Witness | None = None
    version: int = 0
    paused: bool = False
    inbox: list[Any] = field(default_factory=list)
    queue: list[Attempt] = field(default_factory=list)
    running: list[Attempt] = field(default_factory=list)
    joined: list[Attempt] = field(default_factory=list)


class World:
    """Real cores on a simulated network that delays, duplicates and loses messages."""

    def __init__(
        self, vms: int, safeguards: Safeguards = Safeguards(), versions: int = 1
    ) -> None:
        self.settings = IdempotencySettings(refusals=3, entries=50)
        self.safeguards = safeguards
        self.now = 0.0
        self.random = random.Random(7)
        self.versions = [frozenset(range(vms))] * versions
        half = self.settings.clock_margin / 2
        self.nodes = [Node(i, half * (-1) ** i) for i in range(vms)]
        self.isolated: frozenset[int] = frozenset()
        self.held_from: set[int] = set()
        self.in_flight: list[tuple[int, int, Any]] = []
        self.recent: deque[tuple[int, int, Any]] = deque(maxlen=RECENT)
        self.runs: Counter[str] = Counter()
        self.keys: list[CallerKey] = []
        self.faults: list[str] = []
        for node in self.nodes:
            self.start(node.number, versions)

    # -- processes -----------------------------------------------------------

    def moment(self, node: Node) -> Moment:
        return moment_at(self.now, node.skew)

    def start(self, number: int, version: int) -> None:
        node = self.nodes[number]
        incarnation = int(self.moment(node).wall * 1000)
        identity = Identity(f"vm{number}", ZONE, SERVICE, f"t{number}", incarnation)
        node.core = HomeCore(self.settings, identity, self.safeguards)
        node.witness = Witness(
            self.settings, identity.vm, ZONE, self.now, self.safeguards
        )
        node.paused = False
        node.version = 0
        vms = vm_list(1, range(len(self.nodes)))
        node.core.on_vms(vms, self.moment(node))
        node.witness.on_vms(vms)
        self.install(number, version)

    def kill(self, number: int) -> None:
        node = self.nodes[number]
        lost = node.queue + node.running + node.joined
        node.core = node.witness = None
        node.queue, node.running, node.joined, node.inbox = [], [], [], []
        for attempt in lost:
            self.complete(attempt, AttemptResult(Ran.OUTCOME_UNKNOWN))

    def install(self, number: int, version: int) -> None:
        node = self.nodes[number]
        if node.core is None or node.paused or version <= node.version:
            return
        node.version = version
        snapshot = snapshot_of(version, self.versions[version - 1])
        node.core.on_snapshot(snapshot)
        node.witness.on_snapshot(snapshot)

    def pause(self, number: int) -> None:
        self.nodes[number].paused = True

    def resume(self, number: int) -> None:
        node = self.nodes[number]
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for message in inbox:
            self.receive(node, message)

    # -- network -------------------------------------------------------------

    def send(self, source: int, to: int, message: Any) -> None:
        self.in_flight.append((source, to, message))

    def connected(self, source: int, to: int) -> bool:
        return (source in self.isolated) == (to in self.isolated)

    def deliver_all(self) -> None:
        """Deliver all messages that are not held or cut off, and their replies."""
        moved = True
        while moved:
            in_flight, self.in_flight = self.in_flight, []
            moved = False
            for source, to, message in in_flight:
                if source in self.held_from or not self.connected(source, to):
                    self.in_flight.append((source, to, message))
                    continue
                moved = True
                self.recent.append((source, to, message))
                self.deliver(to, message)

    def duplicate(self, index: int) -> None:
        if self.recent:
            _, to, message = self.recent[index % len(self.recent)]
            self.deliver(to, message)

    def drop_in_flight(self) -> None:
        lost, self.in_flight = self.in_flight, []
        for _, _, message in lost:
            if isinstance(message, Attempt):
                self.complete(message, AttemptResult(Ran.OUTCOME_UNKNOWN))

    def deliver(self, to: int, message: Any) -> None:
        node = self.nodes[to]
        if node.core is None:
            if isinstance(message, Attempt):
                self.complete(message, AttemptResult(ConnectionLostError.ran))
        elif node.paused:
            node.inbox.append(message)
        else:
            self.receive(node, message)

    def receive(self, node: Node, message: Any) -> None:
        now = self.moment(node)
        if isinstance(message, Attempt):
            self.on_attempt(node, message)
        elif isinstance(message, Answer):
            node.core.on_answer(message, now)
        elif (answer := node.witness.answer(message, now)) is not None:
            self.send(node.number, int(message.target[1:]), answer)

    def run(self, seconds: float) -> None:
        for _ in range(max(1, round(seconds / STEP))):
            self.now += STEP
            self.tick()

    def tick(self) -> None:
        for node in self.nodes:
            if node.core is None or node.paused:
                continue
            for question in node.core.tick(self.moment(node)):
                self.ask(node, question)
        self.deliver_all()

    def ask(self, node: Node, question: Question) -> None:
        self.send(node.number, int(question.to[2:]), question)

    # -- callers -------------------------------------------------------------

    def mint(
        self, skew: float = 0.0, form: str = "uuid7", issuer: int = 0
    ) -> CallerKey:
        wall = moment_at(self.now, skew).wall
        text = f"{ZONE}/order-{len(self.keys)}"
        core = self.nodes[issuer].core
        if form == "uuid7" or core is None:
            text = mint_key(ZONE, wall, self.random)
        elif form == "issued":
            text = issue_key(core.identity, wall, self.random)
        self.keys.append(CallerKey(parse_key(text, self.settings)))
        return self.keys[-1]

    def call(
        self, caller_key: CallerKey, entry: int, body: str = "a"
    ) -> Attempt | None:
        """Send an attempt through an entry to the home according to its version."""
        node = self.nodes[entry]
        if caller_key.done or node.core is None or node.paused:
            return None
        fingerprint = Fingerprint("POST", "/book", body, SERVICE)
        call = KeyedCall(caller_key.key, fingerprint)
        attempt = Attempt(call, not caller_key.attempts, entry)
        for earlier in caller_key.attempts:
            earlier.first = False  # its answer alone no longer proves not-run
        caller_key.attempts.append(attempt)
        snapshot = snapshot_of(node.version, self.versions[node.version - 1])
        home = home_of(caller_key.key, zone_targets(snapshot, SERVICE, ZONE))
        if home:
            self.send(entry, int(home[1:]), attempt)
        else:
            self.complete(attempt, AttemptResult(ConnectError.ran))
        return attempt

    def complete(
        self, attempt: Attempt, result: AttemptResult, answer: KeptAnswer | None = None
    ) -> None:
        """Record an attempt's outcome; later ones are ignored."""
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome_for_caller((result,), attempt.first)
        attempt.answer = answer
        call = attempt.call
        whole = f"{call.key.text} {call.fingerprint.body_digest}".encode()
        if answer is not None and answer.body != whole:
            self.faults.append(f"{call.key.text} got another call's answer")

    # -- the home and its upstream -------------------------------------------

    def on_attempt(self, node: Node, attempt: Attempt) -> None:
        decision = node.core.admit(attempt.call, self.moment(node))
        if isinstance(decision, Run):
            node.queue.append(attempt)
        elif isinstance(decision, Join):
            node.joined.append(attempt)
        elif isinstance(decision, Replay):
            self.complete(attempt, AttemptResult(Ran.RAN), decision.answer)
        else:
            self.refuse(attempt, decision)

    def refuse(self, attempt: Attempt, decision: Refuse) -> None:
        self.complete(attempt, AttemptResult(decision.error.ran, decision.settled))

    def hand_over(self, number: int, shed: bool = False) -> bool:
        """Hand the oldest queued call to the upstream, which counts or sheds it."""
        node = self.nodes[number]
        if node.core is None or node.paused or not node.queue:
            return False
        attempt = node.queue.pop(0)
        key = attempt.call.key
        decision = node.core.hand_over(key, self.moment(node))
        if not isinstance(decision, Proceed):
            self.end(node, attempt, decision)
        elif shed:
            refusal = node.core.failed(key, UpstreamShedError(), self.moment(node))
            self.end(node, attempt, refusal)
        else:
            self.runs[key.text] += 1
            node.running.append(attempt)
        return True

    def finish(self, number: int, whole: bool = True) -> bool:
        """End the oldest running call, with a whole answer or a broken connection."""
        node = self.nodes[number]
        if node.core is None or node.paused or not node.running:
            return False
        attempt = node.running.pop(0)
        call, now = attempt.call, self.moment(node)
        if not whole:
            self.end(
                node, attempt, node.core.failed(call.key, ConnectionLostError(), now)
            )
            return
        body = f"{call.key.text} {call.fingerprint.body_digest}".encode()
        answer = KeptAnswer(200, "OK", (), body)
        node.core.finished(call.key, answer, now)
        for waiting in self.waiting(node, attempt):
            self.complete(waiting, AttemptResult(Ran.RAN), answer)
        return True

    def end(self, node: Node, attempt: Attempt, decision: Refuse) -> None:
        for waiting in self.waiting(node, attempt):
            self.refuse(waiting, decision)

    def waiting(self, node: Node, attempt: Attempt) -> list[Attempt]:
        text = attempt.call.key.text
        joined = [other for other in node.joined if other.call.key.text == text]
        node.joined = [other for other in node.joined if other not in joined]
        return [attempt, *joined]

    def check(self) -> None:
        """Raise AssertionError if a guarantee to a caller is broken."""
        doubled = [key for key, count in self.runs.items() if count > 1]
        assert not doubled, f"ran twice: {doubled}"
        for caller_key in self.keys:
            ran = self.runs[caller_key.key.text]
            assert not (caller_key.done and ran), (
                f"reported as not-run, but ran: {caller_key.key.text}"
            )
        assert not self.faults, self.faults
