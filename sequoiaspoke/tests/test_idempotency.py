"""Tests of keys, witnesses, leases, the ledger and the home."""

from __future__ import annotations

import dataclasses
import random
import unittest

import testtools

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
from sequoiaspoke.core.idempotency.epoch import Epoch
from sequoiaspoke.core.idempotency.home import HomeCore
from sequoiaspoke.core.idempotency.key import (
    home_of,
    issue_key,
    mint_key,
    parse_key,
)
from sequoiaspoke.core.idempotency.messages import Round
from sequoiaspoke.core.idempotency.safeguards import Safeguards
from sequoiaspoke.core.idempotency.settings import IdempotencySettings
from sequoiaspoke.core.idempotency.witnesses import choose_witnesses
from sequoiaspoke.core.snapshot.model import VmList
from sequoiaspoke.errors import (
    AnswerNotKeptError,
    ConnectionLostError,
    DrainingError,
    InvalidKeyError,
    IssuerGoneError,
    KeyFromFutureError,
    KeyOutcomeUnknownError,
    KeyRefusedError,
    KeyReusedError,
    KeyTooOldError,
    LedgerFullError,
    Ran,
    UpstreamShedError,
    WindowClosedError,
    WrongHomeError,
)
from sequoiaspoke.tests.idempotency_world import (
    SERVICE,
    ZONE,
    World,
    moment_at,
    snapshot_of,
    vm_list,
)

SETTINGS = IdempotencySettings()
RANDOM = random.Random(3)
OPENED = 12.0  # seconds after which a fresh zone runs new keys


class TestKey(testtools.TestCase):
    def test_minted_time_and_zone(self) -> None:
        key = parse_key(mint_key("bole", 1234.567, RANDOM), SETTINGS)
        self.assertEqual(("bole", 1234.567), (key.zone, key.minted))

    def test_issued_key_names_its_process(self) -> None:
        identity = Identity("vm1", "bole", "booking", "booking-1.a", 77)
        key = parse_key(issue_key(identity, 5.0, RANDOM), SETTINGS)
        self.assertEqual(
            ("booking-1.a", 77, 5.0), (key.target, key.incarnation, key.minted)
        )
        self.assertEqual("booking-1.a", home_of(key, ("booking-1.a", "other")))
        self.assertEqual("", home_of(key, ("other",)))

    def test_other_text_has_no_minted_time(self) -> None:
        self.assertIsNone(parse_key('"bole/order-7"', SETTINGS).minted)

    def test_bad_keys_are_refused(self) -> None:
        for text in ("", "no-zone", "/x", "bole/", "bole/a b", "bole/" + "x" * 200):
            self.assertRaises(InvalidKeyError, parse_key, text, SETTINGS)

    def test_a_removed_target_moves_only_its_own_keys(self) -> None:
        keys = [parse_key(f"bole/{i}", SETTINGS) for i in range(200)]
        before = [home_of(key, "abcd") for key in keys]
        after = [home_of(key, "abc") for key in keys]
        moved = {old for old, new in zip(before, after, strict=True) if old != new}
        self.assertEqual({"d"}, moved)


class TestEpoch(testtools.TestCase):
    def test_return_to_the_same_targets_is_noticed(self) -> None:
        """Targets change from A to B and back. A home that missed B would assume that
        it owned its keys all along, although the home under B ran some of them.
        """
        epoch = Epoch(1, "A").advance(2, "B").advance(3, "A")
        self.assertEqual(Epoch(3, "A", 3), epoch)
        self.assertEqual(Epoch(3, "A", 3), Epoch(1, "A").merge(epoch))

    def test_never_goes_back(self) -> None:
        epoch = Epoch(3, "B")
        self.assertEqual(epoch, epoch.advance(2, "A"))
        self.assertEqual(epoch, epoch.advance(3, "A"))


class TestWitnessChoice(testtools.TestCase):
    def test_quorums_of_sets_that_differ_by_two_still_meet(self) -> None:
        chosen = choose_witnesses("booking", [f"vm{i}" for i in range(90)], SETTINGS)
        self.assertEqual((7, 5), (len(chosen.vms), chosen.quorum))
        self.assertGreater(2 * chosen.quorum, len(chosen.vms) + 2)

    def test_no_setting_makes_a_quorum_less_than_a_majority(self) -> None:
        weak = dataclasses.replace(SETTINGS, quorum=1)
        vms = [f"vm{i}" for i in range(9)]
        self.assertEqual(4, choose_witnesses("booking", vms, weak).quorum)

    def test_small_zones_use_all_and_a_majority(self) -> None:
        quorums = [
            choose_witnesses("booking", [f"vm{i}" for i in range(n)], SETTINGS).quorum
            for n in (1, 2, 3, 4, 6)
        ]
        self.assertEqual([1, 2, 2, 3, 4], quorums)


class TestEntry(testtools.TestCase):
    def test_not_run_is_reported_only_if_nothing_can_have_run(self) -> None:
        refused = AttemptResult(Ran.NOT_RUN)
        lost = AttemptResult(Ran.OUTCOME_UNKNOWN)
        settled = AttemptResult(Ran.NOT_RUN, settled=True)
        self.assertIs(Ran.OUTCOME_UNKNOWN, outcome_for_caller((refused,), first=False))
        self.assertIs(Ran.NOT_RUN, outcome_for_caller((refused,), first=True))
        self.assertIs(
            Ran.OUTCOME_UNKNOWN, outcome_for_caller((lost, refused), first=True)
        )
        self.assertIs(Ran.NOT_RUN, outcome_for_caller((lost, settled), first=False))


class HomeCase(testtools.TestCase):
    """A zone of one VM whose home already holds its lease."""

    def setUp(self) -> None:
        super().setUp()
        self.world = World(1)
        self.world.run(OPENED)
        self.core = self.world.nodes[0].core

    @property
    def now(self):
        return self.world.moment(self.world.nodes[0])

    def keyed(self, minted: float = 0.0, body: str = "a") -> KeyedCall:
        text = mint_key(ZONE, self.now.wall + minted, RANDOM)
        fingerprint = Fingerprint("POST", "/book", body, SERVICE)
        return KeyedCall(parse_key(text, SETTINGS), fingerprint)

    def admit(self, call: KeyedCall):
        return self.core.admit(call, self.now)

    def hand_over(self, call: KeyedCall):
        return self.core.hand_over(call.key, self.now)

    def assertRefused(self, error: type, decision, settled: bool = False) -> None:
        self.assertIsInstance(decision, Refuse)
        self.assertIsInstance(decision.error, error)
        self.assertEqual(settled, decision.settled)


class TestHome(HomeCase):
    def test_retry_joins_and_then_gets_the_first_answer(self) -> None:
        call = self.keyed()
        self.assertEqual(Run(), self.admit(call))
        self.assertEqual(Join(), self.admit(call))
        self.assertEqual(Proceed(), self.hand_over(call))
        self.assertEqual(Join(), self.admit(call))
        answer = KeptAnswer(201, "Created", (("A", "b"),), b"booked")
        self.core.finished(call.key, answer, self.now)
        self.assertEqual(Replay(answer), self.admit(call))

    def test_second_hand_over_is_refused(self) -> None:
        call = self.keyed()
        self.admit(call)
        self.hand_over(call)
        self.assertRefused(KeyRefusedError, self.hand_over(call))

    def test_other_body_under_the_same_key(self) -> None:
        """A caller reuses a key for another order. It would get the answer to the
        first order and take the second for placed.
        """
        call = self.keyed()
        self.admit(call)
        other = dataclasses.replace(
            call, fingerprint=dataclasses.replace(call.fingerprint, body_digest="b")
        )
        self.assertRefused(KeyReusedError, self.admit(other))

    def test_broken_connection_leaves_the_outcome_unknown(self) -> None:
        """The connection to the upstream breaks after the order was sent. Running a
        retry could place the order twice.
        """
        call = self.keyed()
        self.admit(call)
        self.hand_over(call)
        self.core.failed(call.key, ConnectionLostError(), self.now)
        self.assertRefused(KeyOutcomeUnknownError, self.admit(call))

    def test_shed_call_is_never_run_later(self) -> None:
        """The upstream sheds the call; its caller gets not-run and makes a new key. A
        copy that arrives late through another entry must not run.
        """
        call = self.keyed()
        self.admit(call)
        self.hand_over(call)
        refusal = self.core.failed(call.key, UpstreamShedError(), self.now)
        self.assertRefused(UpstreamShedError, refusal, settled=True)
        self.assertRefused(KeyRefusedError, self.admit(call), settled=True)

    def test_failure_in_the_queue_was_certainly_not_run(self) -> None:
        call = self.keyed()
        self.admit(call)
        refusal = self.core.failed(call.key, ConnectionLostError(), self.now)
        self.assertRefused(KeyRefusedError, refusal, settled=True)

    def test_minted_before_the_lease(self) -> None:
        self.assertRefused(KeyTooOldError, self.admit(self.keyed(minted=-5.0)))

    def test_minted_in_the_future(self) -> None:
        self.assertRefused(KeyFromFutureError, self.admit(self.keyed(minted=0.6)))

    def test_other_zone(self) -> None:
        key = parse_key(mint_key("bole", self.now.wall, RANDOM), SETTINGS)
        call = dataclasses.replace(self.keyed(), key=key)
        self.assertRefused(WrongHomeError, self.admit(call))

    def test_key_of_an_earlier_process(self) -> None:
        identity = dataclasses.replace(self.core.identity, incarnation=1)
        key = parse_key(issue_key(identity, self.now.wall, RANDOM), SETTINGS)
        call = dataclasses.replace(self.keyed(), key=key)
        self.assertRefused(IssuerGoneError, self.admit(call))

    def test_issued_key_needs_no_window(self) -> None:
        """The node is cut off within its zone. Keys that it issued can run nowhere
        else, so it still runs them.
        """
        self.core.lease._end()
        self.assertRefused(WindowClosedError, self.admit(self.keyed()))
        key = parse_key(issue_key(self.core.identity, self.now.wall, RANDOM), SETTINGS)
        self.assertEqual(Run(), self.admit(dataclasses.replace(self.keyed(), key=key)))

    def test_draining_answers_retries_and_refuses_new_keys(self) -> None:
        """The node drains. A caller whose answer was lost retries before the process
        ends and must get the answer.
        """
        call = self.keyed()
        self.admit(call)
        self.hand_over(call)
        answer = KeptAnswer(200, "OK", (), b"booked")
        self.core.finished(call.key, answer, self.now)
        self.core.drain()
        self.assertEqual(Replay(answer), self.admit(call))
        self.assertRefused(DrainingError, self.admit(self.keyed()), settled=True)

    def test_clock_step_ends_the_lease(self) -> None:
        """The wall clock is set back. Keys minted before the lease would seem to be
        minted within it, and could run a second time.
        """
        self.world.nodes[0].skew -= 5.0
        self.assertRefused(WindowClosedError, self.admit(self.keyed()))


class TestLedger(HomeCase):
    def test_full_ledger_refuses_new_keys_and_keeps_live_ones(self) -> None:
        calls = [self.keyed() for _ in range(self.world.settings.entries)]
        self.assertEqual([Run()] * len(calls), [self.admit(call) for call in calls])
        late = self.keyed()
        self.assertRefused(LedgerFullError, self.admit(late), settled=True)
        self.assertEqual(Join(), self.admit(calls[0]))
        self.core.failed(calls[0].key, UpstreamShedError(), self.now)
        self.assertRefused(KeyRefusedError, self.admit(late), settled=True)
        self.assertEqual(Run(), self.admit(self.keyed(minted=0.1)))

    def test_forgotten_refusals_leave_a_floor(self) -> None:
        """Under heavy shedding more keys are refused than are kept. A late copy of a
        forgotten one must still be refused, since its caller was told not-run.
        """
        self.core.draining = True
        calls = [self.keyed(minted=i / 100) for i in range(9)]
        for call in calls:
            self.assertRefused(DrainingError, self.admit(call), settled=True)
        self.core.draining = False
        for call in calls:
            self.assertRefused(KeyRefusedError, self.admit(call), settled=True)
        self.assertEqual(Run(), self.admit(self.keyed(minted=0.2)))

    def test_largest_and_oldest_bodies_are_evicted(self) -> None:
        small = dataclasses.replace(SETTINGS, answer_bytes=10, kept_bytes=15)
        self.core.ledger.settings = small
        calls = [self.keyed() for _ in range(3)]
        for call, size in zip(calls, (11, 10, 9), strict=True):
            self.admit(call)
            self.hand_over(call)
            answer = KeptAnswer(200, "OK", (), b"x" * size)
            self.core.finished(call.key, answer, self.now)
        self.assertRefused(AnswerNotKeptError, self.admit(calls[0]))
        self.assertRefused(AnswerNotKeptError, self.admit(calls[1]))
        self.assertIsInstance(self.admit(calls[2]), Replay)

    def test_answers_with_large_heads_are_evicted(self) -> None:
        """Heads were kept without a limit beside that of the bodies: of 64 KB each,
        those of a full ledger are 1.3 GB.
        """
        kept_bytes = 100 << 10
        small = dataclasses.replace(SETTINGS, kept_bytes=kept_bytes)
        self.core.ledger.settings = small
        headers = (("X-More", "y" * 60_000),)
        for _ in range(6):
            call = self.keyed()
            self.admit(call)
            self.hand_over(call)
            answer = KeptAnswer(200, "OK", headers, b"")
            self.core.finished(call.key, answer, self.now)
        self.assertIsInstance(self.admit(call), Replay)
        ledger = self.core.ledger
        heads = [entry.answer.headers for entry in ledger.entries.values()]
        self.assertEqual(1, sum(map(bool, heads)))
        self.world.run(SETTINGS.retention + 1)
        self.assertEqual((0, 0), (ledger.kept_bytes, len(ledger.sized)))

    def test_forgotten_key_is_too_old_to_run(self) -> None:
        """A caller retries an order after the ledger has forgotten its key. The key
        must not be taken for a new one.
        """
        call = self.keyed()
        self.admit(call)
        self.hand_over(call)
        self.core.finished(call.key, KeptAnswer(200, "OK", (), b""), self.now)
        self.world.run(SETTINGS.retention + 1)
        self.assertEqual({}, self.core.ledger.entries)
        self.assertRefused(KeyTooOldError, self.admit(call))


class TestLease(testtools.TestCase):
    def home(self, world: World, number: int) -> HomeCore:
        return world.nodes[number].core

    def lease_is_open(self, world: World, number: int) -> bool:
        node = world.nodes[number]
        return node.core.lease.is_open(world.moment(node))

    def test_cut_off_vm_stops_and_the_rest_goes_on(self) -> None:
        """One VM is cut off from its zone. If it went on, a version that it does not
        receive could move its keys to another target, and they would run again there.
        """
        world = World(5)
        world.run(OPENED)
        world.isolated = frozenset({2})
        world.run(4)
        self.assertFalse(self.lease_is_open(world, 2))
        self.assertTrue(self.lease_is_open(world, 0))

    def test_asks_its_own_zone_alone(self) -> None:
        """A whole zone is cut off. If it needed witnesses of other zones, its windows
        would close, although no other zone may run its keys.
        """
        core = HomeCore(SETTINGS, Identity("vm0", ZONE, SERVICE, "t0", 1))
        core.on_snapshot(snapshot_of(1, frozenset({0})))
        near = vm_list(1, (0, 1, 2)).vms
        far = tuple(dataclasses.replace(vm, name="far", zone="bole") for vm in near)
        core.on_vms(VmList(1, near + far), moment_at(0))
        asked = {question.to for question in core.tick(moment_at(1))}
        self.assertEqual({"vm0", "vm1", "vm2"}, asked)

    def test_answer_counts_from_when_it_was_asked(self) -> None:
        """Answers are delayed in the network and arrive after a cut. Counted from
        their arrival, outdated answers would open the window.
        """
        world = World(3)
        world.run(OPENED)
        world.held_from = {1, 2}
        world.run(1)
        world.isolated = frozenset({0})
        world.run(4)
        self.assertFalse(self.lease_is_open(world, 0))
        world.in_flight = [
            sent for sent in world.in_flight if sent[0] in world.held_from
        ]
        world.held_from, world.isolated = set(), frozenset()
        world.deliver_all()
        self.assertFalse(self.lease_is_open(world, 0))

    def test_version_with_the_same_targets_keeps_the_lease(self) -> None:
        world = World(3)
        world.run(OPENED)
        starts_at = self.home(world, 0).lease.starts_at()
        world.versions.append(world.versions[0])
        for number in range(3):
            world.install(number, 2)
        world.run(3)
        self.assertEqual(starts_at, self.home(world, 0).lease.starts_at())

    def test_targets_that_changed_and_changed_back(self) -> None:
        """A home misses the version under which another target owned its keys. Its
        window never closed, and it would run again what already ran there.
        """
        world = World(3)
        world.run(OPENED)
        starts_at = self.home(world, 0).lease.starts_at()
        world.versions += [frozenset({1}), world.versions[0]]
        for version in (2, 3):
            for number in (1, 2):
                world.install(number, version)
            world.run(0.5 if version == 2 else 2.0)
        self.assertGreater(self.home(world, 0).lease.starts_at(), starts_at)

    def test_resumed_process_of_a_replaced_vm(self) -> None:
        """A VM is replaced while its old process is paused. When that process resumes,
        it takes the target for its own, at the same version as all others.
        """
        world = World(3)
        world.run(OPENED)
        old = self.home(world, 0)
        world.start(0, 1)
        world.run(OPENED)
        answer = world.nodes[1].witness.answer(
            old.lease._question("vm1"), world.moment(world.nodes[1])
        )
        known = (old.lease.targets, old.lease.members, old.lease.holder)
        old.lease.rounds[answer.round] = Round(world.now, *known)
        old.on_answer(answer, world.moment(world.nodes[0]))
        self.assertTrue(old.lease.superseded)
        self.assertTrue(self.lease_is_open(world, 0))

    def test_changed_witnesses_must_agree_before_and_after(self) -> None:
        """The VM list replaces most witnesses at once. A quorum of the new ones alone
        need not share a witness with that of a home that still asks the old ones.
        """
        core = HomeCore(SETTINGS, Identity("vm0", ZONE, SERVICE, "t0", 1))
        core.on_snapshot(snapshot_of(1, frozenset({0})))
        core.on_vms(vm_list(1, (0, 1, 2)), moment_at(0))
        core.on_vms(vm_list(2, (0, 3, 4)), moment_at(1))
        asked = {question.to for question in core.tick(moment_at(2))}
        self.assertEqual({f"vm{i}" for i in range(5)}, asked)
        later = moment_at(2 + SETTINGS.departed)
        asked = {question.to for question in core.tick(later)}
        self.assertEqual({"vm0", "vm3", "vm4"}, asked)


class TestSafeguards(testtools.TestCase):
    """Each rule is needed: without it, some history breaks a guarantee."""

    def assertNeeded(self, name: str, history) -> None:
        history(Safeguards())
        without = dataclasses.replace(Safeguards(), **{name: False})
        self.assertRaises(AssertionError, history, without)

    def moved(self, safeguards: Safeguards, skew: float = 0.25) -> World:
        """Return a zone in which version 2 moves every key from vm0 to vm1."""
        world = World(5, safeguards)
        world.nodes[1].skew = skew
        world.versions[0] = frozenset({0})
        for number in range(5):
            world.start(number, 1)
        world.run(OPENED)
        world.versions.append(frozenset({1}))
        return world

    def order(self, world: World, entry: int, caller_key=None):
        caller_key = caller_key or world.mint()
        world.call(caller_key, entry)
        world.deliver_all()
        return caller_key

    def work(self, world: World) -> None:
        for number in range(5):
            while world.hand_over(number):
                pass

    def test_window(self) -> None:
        """A VM is cut off within its zone and misses a version that moves its keys.
        An order that ran on the other side is retried on this one.
        """

        def history(safeguards: Safeguards) -> None:
            world = self.moved(safeguards)
            world.isolated = frozenset({0})
            for number in range(1, 5):
                world.install(number, 2)
            world.run(8)
            caller_key = self.order(world, 1)
            self.work(world)
            self.assertEqual(1, world.runs[caller_key.key.text])
            self.order(world, 0, caller_key)
            self.work(world)
            world.check()

        self.assertNeeded("window", history)

    def test_lease_start(self) -> None:
        """An order's answer is lost, and the next version moves its key. The new
        home does not know that the order ran.
        """

        def history(safeguards: Safeguards) -> None:
            world = self.moved(safeguards)
            caller_key = self.order(world, 0)
            self.work(world)
            for number in range(5):
                world.install(number, 2)
            world.run(8)
            self.order(world, 1, caller_key)
            self.work(world)
            world.check()

        self.assertNeeded("lease_start", history)

    def test_check_at_hand_over(self) -> None:
        """A process is paused with an order in its queue. The key moves to a home
        whose clock is wrong by more than the margin, and runs there. When the process
        resumes, it would run the order again.
        """

        def history(safeguards: Safeguards) -> None:
            world = self.moved(safeguards, skew=-20.0)
            caller_key = self.order(world, 0)
            world.pause(0)
            for number in range(1, 5):
                world.install(number, 2)
            world.run(25)
            self.order(world, 1, caller_key)
            self.work(world)
            self.assertEqual(1, world.runs[caller_key.key.text])
            world.resume(0)
            self.work(world)
            assert world.runs[caller_key.key.text] == 1

        self.assertNeeded("check_at_hand_over", history)

    def test_witness_silence(self) -> None:
        """A partition leaves two homes of a key with two witnesses each, and the fifth
        witness restarts repeatedly with the older version. Each time it has lost its
        record of the newer version, and so it would complete a quorum for both.
        """

        def history(safeguards: Safeguards) -> None:
            world = self.moved(safeguards)
            for _ in range(8):
                world.kill(2)
                world.start(2, 1)
                world.isolated = frozenset({0, 2, 3})
                world.run(1)
                world.isolated = frozenset({0, 3})
                for number in (1, 4):
                    world.install(number, 2)
                world.run(1)
            caller_key = self.order(world, 1)
            self.order(world, 0, caller_key)
            self.work(world)
            world.check()

        self.assertNeeded("witness_silence", history)

    def test_fingerprint(self) -> None:
        """A caller reuses a key for another order and gets the answer to the first."""

        def history(safeguards: Safeguards) -> None:
            world = self.moved(safeguards)
            caller_key = self.order(world, 0)
            self.work(world)
            world.finish(0)
            world.call(caller_key, 0, "b")
            world.deliver_all()
            world.check()

        self.assertNeeded("fingerprint", history)


if __name__ == "__main__":
    unittest.main()
