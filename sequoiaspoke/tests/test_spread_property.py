"""Property test: invariants of a small fleet hold at each step under random faults.

`make property` runs many more examples; SPREAD_EXAMPLES sets how many.
"""

import itertools
import os
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from testtools import ExpectedException, TestCase

from sequoiaspoke.core.snapshot import holder
from sequoiaspoke.core.snapshot.gate import VersionGate
from sequoiaspoke.core.snapshot.install import build_snapshot
from sequoiaspoke.core.spread.pull import Puller
from sequoiaspoke.errors import VersionRefusedError
from sequoiaspoke.tests.fleet import Fleet, publication

EXAMPLES = int(os.environ.get("SPREAD_EXAMPLES", "200"))
STEPS = 25
ZONES = {"akaki": 3, "bole": 2, "kality": 1}
NAMES = tuple(f"{zone}-{number}" for zone, n in ZONES.items() for number in range(n))
PLACES = (*ZONES, *NAMES, "platform")
PAIRS = tuple(itertools.combinations(PLACES, 2))
HEAL_SECONDS = 45.0  # in which every backoff ends and every node catches up
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    database=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


class SpreadMachine(RuleBasedStateMachine):
    """Publishes versions, causes faults and ends them, in any order."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(ZONES, seed=7)
        self.fleet.on_step = self.check
        self.version = 1
        self.contents = {}
        self.seen = {}
        self.publish()
        self.fleet.run(4)

    def check(self):
        for name, node in self.fleet.nodes.items():
            snapshot = node.core.holder.current
            before = self.seen.get((name, node.incarnation))
            if snapshot is before:
                continue
            self.seen[name, node.incarnation] = snapshot
            assert snapshot is not None
            assert before is None or snapshot.version > before.version, "went back"
            self.check_whole(snapshot)

    def check_whole(self, snapshot):
        assert snapshot.head in self.contents[snapshot.version], "never published"
        names = {part.removeprefix("service/") for part in snapshot.head.parts}
        assert set(snapshot.services) == names - {"rules"}, "in part"
        for each in snapshot.rules:
            for choice in each.then.split:
                service = snapshot.services.get(choice.service)
                assert service and service.endpoints, "rule without its service"

    def put(self, version, route="fleet"):
        made = publication(version, route)
        self.contents.setdefault(version, []).append(made.head)
        self.fleet.publish(version, made=made)

    @rule()
    def publish(self):
        self.version += 1
        self.put(self.version)

    @rule()
    def publish_refused(self):
        self.version += 1
        self.put(self.version, route="nowhere")

    @rule(back=st.integers(1, 3))
    def publish_stale(self, back):
        self.put(max(1, self.version - back))

    @rule()
    def publish_other_content(self):
        self.put(self.version, route="booking")

    @rule(up=st.booleans())
    def outage(self, up):
        self.fleet.outage(up)

    @rule(pair=st.sampled_from(PAIRS))
    def cut(self, pair):
        self.fleet.cuts.add(frozenset(pair))

    @rule()
    def heal_cuts(self):
        self.fleet.cuts.clear()

    @rule(name=st.sampled_from(NAMES))
    def stop_or_start(self, name):
        if name in self.fleet.nodes:
            self.fleet.stop(name)
        else:
            self.fleet.start(name)

    @rule(name=st.sampled_from(NAMES))
    def pause_or_resume(self, name):
        if name in self.fleet.nodes:
            self.fleet.nodes[name].paused ^= True

    @rule(name=st.sampled_from(NAMES))
    def silence_links(self, name):
        if name in self.fleet.nodes:
            ends = self.fleet.nodes[name].ends
            ends.update(dict.fromkeys(ends, ("nobody", 0, 0)))

    @rule(
        loss=st.sampled_from((0.0, 0.1, 0.4)),
        doubled=st.sampled_from((0.0, 0.5)),
        delay=st.sampled_from((0.01, 0.5, 3.0)),
        corrupt=st.sets(st.sampled_from(NAMES), max_size=2),
    )
    def vary_network_faults(self, loss, doubled, delay, corrupt):
        fleet = self.fleet
        fleet.loss_rate, fleet.duplicate_rate, fleet.delay = loss, doubled, delay
        fleet.corrupt = corrupt

    @rule(seconds=st.sampled_from((0.02, 0.3, 2.0, 6.0)))
    def run(self, seconds):
        self.fleet.run(seconds)

    def teardown(self):
        self.vary_network_faults(0.0, 0.0, 0.01, set())
        self.heal_cuts()
        for name in NAMES:
            if name not in self.fleet.nodes:
                self.fleet.start(name)
            self.fleet.nodes[name].paused = False
        self.publish()
        self.fleet.outage(up=True)
        self.fleet.run(HEAL_SECONDS)
        assert self.fleet.at_version() == {self.version}, self.fleet.versions()
        assert all(
            node.core.verified(self.fleet.now) for node in self.fleet.nodes.values()
        )


class InvariantTests(TestCase):
    """Messages are lost, late, duplicated and reordered; nodes restart, pause and
    are cut off, in any combination.

    If a combination broke an invariant, calls would be decided by withdrawn rules
    or by rules whose services are missing.
    """

    def test_invariants_hold_after_every_step_and_all_converge(self):
        run_state_machine_as_test(SpreadMachine, settings=SETTINGS)


class BrokenCoreTests(TestCase):
    """The property test must detect a core without its safeguards.

    Otherwise it might be unable to fail, and miss the faults that it is for.
    """

    def assert_fault_found(self):
        with ExpectedException(AssertionError):
            run_state_machine_as_test(SpreadMachine, settings=SETTINGS)

    def test_a_gate_that_lets_older_versions_through(self):
        def judge(gate, version, root):
            return REAL_JUDGE(GateWithoutVersion(gate), version, root)

        def install(gate, installed):
            gate.current = installed
            gate.candidates.clear()

        with (
            mock.patch.object(VersionGate, "classify", judge),
            mock.patch.object(VersionGate, "install", install),
        ):
            self.assert_fault_found()

    def test_a_puller_that_never_retries(self):
        with mock.patch.object(Puller, "failed", lambda *_: None):
            self.assert_fault_found()

    def test_an_install_without_validation(self):
        def build(head, store, before):
            try:
                return build_snapshot(head, store, before)
            except VersionRefusedError:
                with mock.patch(
                    "sequoiaspoke.core.snapshot.install.validate", return_value=()
                ):
                    return build_snapshot(head, store, before)

        with mock.patch.object(holder, "build_snapshot", build):
            self.assert_fault_found()


REAL_JUDGE = VersionGate.classify


class GateWithoutVersion:
    """A gate that always reports version 0, as if none were in force."""

    def __init__(self, gate):
        self.candidates = gate.candidates
        self.refused = gate.refused

    def version(self):
        return 0

    def first_root(self, version):
        return None
