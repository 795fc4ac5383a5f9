"""Property test: no key runs twice, and a key reported as not-run never ran."""

from __future__ import annotations

import os
import unittest

import hypothesis.strategies as st
import testtools
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sequoiaspoke.core.idempotency.safeguards import Safeguards
from sequoiaspoke.tests.idempotency_world import World

EXAMPLES = int(os.environ.get("PROPERTY_EXAMPLES", "130"))
FIRST_SEED = int(os.environ.get("PROPERTY_SEED", "0"))
STEPS = 40
NUMBER = st.integers(0, 7)
RETRIED = 12
COUNT = st.integers(1, 4)
FEW = st.frozensets(NUMBER, max_size=3)
SETTLE = st.sampled_from((0.5, 0.5, 4, 12))
SKEW = st.sampled_from((-0.25, 0.0, 0.25))
FORM = st.sampled_from(("uuid7", "uuid7", "uuid7", "issued", "opaque"))


def bounded(examples: int) -> settings:
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )


class ZoneMachine(RuleBasedStateMachine):
    """Random fault histories of one zone; see `World`."""

    vms = 5
    safeguards = Safeguards()

    def __init__(self) -> None:
        super().__init__()
        self.world = World(self.vms, self.safeguards)
        self.world.run(12)

    def vm(self, number: int) -> int:
        return number % self.vms

    def pick(self, numbers: frozenset[int]) -> frozenset[int]:
        return frozenset(self.vm(number) for number in numbers)

    def work(self) -> None:
        for number in range(self.vms):
            while self.world.hand_over(number):
                pass

    @rule(seconds=st.sampled_from((0.5, 3.5, 7, 11)))
    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(skew=SKEW, entry=NUMBER, form=FORM, works=st.booleans(), count=COUNT)
    def order(
        self, skew: float, entry: int, form: str, works: bool, count: int
    ) -> None:
        for _ in range(count):
            caller_key = self.world.mint(skew, form, self.vm(entry))
            self.world.call(caller_key, self.vm(entry))
        self.world.deliver_all()
        if works:
            self.work()

    @rule(entry=NUMBER, works=st.booleans(), body=st.sampled_from("aaab"))
    def retry(self, entry: int, works: bool, body: str) -> None:
        for caller_key in self.world.keys[-RETRIED:]:
            for number in range(self.vms):
                self.world.call(caller_key, self.vm(entry + number), body)
        self.world.deliver_all()
        if works:
            self.work()

    @rule(number=NUMBER, shed=st.booleans())
    def hand_over(self, number: int, shed: bool) -> None:
        self.world.hand_over(self.vm(number), shed)

    @rule(whole=st.sampled_from((True, True, False)))
    def finish(self, whole: bool) -> None:
        for number in range(self.vms):
            while self.world.finish(number, whole):
                pass

    @rule(chosen=FEW, late=FEW, cuts=st.booleans(), settle=SETTLE)
    def publish(
        self, chosen: frozenset[int], late: frozenset[int], cuts: bool, settle: float
    ) -> None:
        late = self.pick(late)
        if cuts:
            self.world.isolated = late
        self.world.versions.append(self.pick(chosen) or frozenset({0}))
        for number in set(range(self.vms)) - late:
            self.world.install(number, len(self.world.versions))
        self.world.run(settle)

    @rule()
    def install_newest(self) -> None:
        for number in range(self.vms):
            self.world.install(number, len(self.world.versions))

    @rule(number=NUMBER)
    def pause(self, number: int) -> None:
        self.world.pause(self.vm(number))

    @rule()
    def resume(self) -> None:
        for number in range(self.vms):
            self.world.resume(number)

    @rule(numbers=FEW, back=st.integers(0, 2))
    def restart(self, numbers: frozenset[int], back: int) -> None:
        numbers = self.pick(numbers)
        for number in numbers:
            self.world.kill(number)
        self.world.run(0.5)
        for number in numbers:
            self.world.start(number, max(1, len(self.world.versions) - back))

    @rule(group=FEW)
    def cut(self, group: frozenset[int]) -> None:
        self.world.isolated = self.pick(group)

    @rule()
    def heal(self) -> None:
        self.world.isolated = frozenset()
        self.world.held_from.clear()
        self.world.deliver_all()

    @rule(number=NUMBER)
    def hold(self, number: int) -> None:
        self.world.held_from.add(self.vm(number))

    @rule(index=st.integers(0, 39), loses=st.booleans())
    def duplicate_or_lose(self, index: int, loses: bool) -> None:
        self.world.duplicate(index)
        if loses:
            self.world.drop_in_flight()

    @invariant()
    def guarantees_hold(self) -> None:
        self.world.check()


def machine(vms: int, number: int, safeguards: Safeguards) -> type:
    attributes = {"vms": vms, "safeguards": safeguards}
    cls = type(f"Zone{vms}Machine", (ZoneMachine,), attributes)
    return seed(FIRST_SEED + number)(cls)


class TestAtMostOnce(testtools.TestCase):
    """One test per zone size, so that test workers can share the load."""

    def run_zone(self, vms: int, safeguards: Safeguards = Safeguards()) -> None:
        cls = machine(vms, vms, safeguards)
        run_state_machine_as_test(cls, settings=bounded(EXAMPLES))

    def test_zone_of_three(self) -> None:
        self.run_zone(3)

    def test_zone_of_four(self) -> None:
        self.run_zone(4)

    def test_zone_of_five(self) -> None:
        self.run_zone(5)

    def test_zone_of_eight(self) -> None:
        self.run_zone(8)


if __name__ == "__main__":
    unittest.main()
