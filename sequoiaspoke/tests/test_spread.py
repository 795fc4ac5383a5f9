"""Tests of the distribution of versions under faults, in a simulated fleet."""

from collections import Counter
from typing import TYPE_CHECKING

from testtools import TestCase
from testtools.matchers import GreaterThan, LessThan

from sequoiaspoke.core.spread import events, messages
from sequoiaspoke.tests.fleet import Fleet, publication

if TYPE_CHECKING:
    from sequoiaspoke.core.spread.core import SpreadCore

ZONES = {"akaki": 5, "bole": 5, "kality": 5}
CONVERGENCE = 2.0  # seconds in which an accepted version is in force everywhere


class SpreadTestCase(TestCase):
    def fleet(self, zones=None, version=1, **options):
        fleet = Fleet(zones or ZONES, **options)
        fleet.publish(version)
        fleet.on_step = lambda: self.check(fleet)
        fleet.run(8)
        self.assertEqual({version}, fleet.at_version())
        return fleet

    def check(self, fleet):
        for node in fleet.nodes.values():
            if node.versions != sorted(set(node.versions)):
                self.fail(f"{node.name} went back: {node.versions}")

    def watchers(self, fleet, zone):
        return sorted(
            node.name
            for node in fleet.nodes.values()
            if node.zone == zone and node.core.platform.on_duty
        )


class ReorderingTests(SpreadTestCase):
    """Announcements and parts of several versions arrive out of order.

    A node that installed versions in the order of arrival would go back to rules
    that are withdrawn.
    """

    def test_the_newest_wins_at_every_node(self):
        fleet = self.fleet()
        fleet.delay, fleet.duplicate_rate = 0.4, 0.3
        for version in range(2, 8):
            fleet.publish(version)
            fleet.run(0.3)
        fleet.run(10)
        self.assertEqual({7}, fleet.at_version())

    def test_a_second_content_under_one_version_is_refused_and_counted(self):
        fleet = self.fleet()
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        fleet.publish(2, made=publication(2, route="booking"))
        fleet.run(5)
        roots = {node.core.holder.gate.current.root for node in fleet.nodes.values()}
        self.assertEqual({fleet.published[2]}, roots)
        counters = sum(
            (n.core.holder.counters for n in fleet.nodes.values()), Counter()
        )
        self.assertThat(counters["head-conflict"], GreaterThan(0))


class StalePlatformTests(SpreadTestCase):
    """Many nodes restart while the platform serves an old version.

    A node that relied on the platform alone would enforce rules that the rest of
    the fleet has replaced; a call's result would depend on the node that it enters.
    """

    def test_restarted_nodes_start_with_the_fleets_version(self):
        fleet = self.fleet(version=5)
        fleet.publish(3)
        restarted = list(fleet.nodes)[::2]
        for name in restarted:
            fleet.stop(name)
        for name in restarted:
            fleet.start(name)
        fleet.run(8)
        firsts = {fleet.nodes[name].versions[0] for name in restarted}
        self.assertEqual({5}, firsts)
        self.assertEqual({5}, fleet.at_version())

    def test_links_to_enough_peers_instead_of_waiting(self):
        zones = {"akaki": 2, "bole": 1, "kality": 1}
        fleet = self.fleet(zones, catch_up_wait=7.0)
        for name in list(fleet.nodes):
            fleet.stop(name)
            fleet.start(name)
            fleet.run(4)
            self.assertEqual({1}, fleet.at_version(), name)

    def test_a_restarted_fleet_serves_the_platforms_version(self):
        fleet = self.fleet(version=5)
        fleet.publish(3)
        for name in list(fleet.nodes):
            fleet.stop(name)
        for name in fleet.zones:
            fleet.start(name)
        fleet.run(8)
        self.assertEqual({3}, fleet.at_version())
        fleet.publish(6)
        fleet.run(CONVERGENCE)
        self.assertEqual({6}, fleet.at_version())


class OutageTests(SpreadTestCase):
    """The platform is down for long, nodes restart meanwhile, then it returns.

    If all nodes read at once, the platform would refuse most reads and stay
    overloaded, and versions would take minutes to reach all nodes.
    """

    def test_peers_go_on_and_the_platforms_return_causes_no_read_spike(self):
        fleet = self.fleet({"akaki": 30, "bole": 30})
        fleet.outage(up=False)
        fleet.run(120)
        for name in list(fleet.nodes)[::3]:
            fleet.stop(name)
            fleet.start(name)
        fleet.run(60)
        self.assertEqual({1}, fleet.at_version())
        fleet.publish(2)
        fleet.reads.clear()
        back = fleet.now
        fleet.outage(up=True)
        fleet.run(25)
        self.assertEqual({2}, fleet.at_version())
        per_second = Counter(int(at - back) for at in fleet.reads)
        self.assertThat(max(per_second.values()), LessThan(30))
        fleet.reads.clear()
        fleet.run(30)
        self.assertThat(len(fleet.reads) / 30, LessThan(2.0))

    def test_revisions_restarted_after_the_return_are_followed(self):
        fleet = self.fleet()
        fleet.outage(up=False)
        for document in fleet.documents.values():
            document.revision = 0
        fleet.run(3)
        fleet.outage(up=True)
        fleet.run(25)
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        self.assertEqual({2}, fleet.at_version())


class PartitionTests(SpreadTestCase):
    """A zone is cut off; versions are published just before, during and after.

    Without merging, its nodes would enforce an old version for good, or even bring
    the other zones back to it.
    """

    def test_a_zone_goes_on_and_merges_when_it_is_healed(self):
        fleet = self.fleet()
        fleet.publish(2)
        fleet.run(0.005)
        fleet.cuts = {
            frozenset(("bole", other)) for other in ("akaki", "kality", "platform")
        }
        fleet.publish(3)
        fleet.run(20)
        inside = {
            n.core.holder.version for n in fleet.nodes.values() if n.zone == "bole"
        }
        self.assertEqual(1, len(inside))
        self.assertThat(max(inside), LessThan(3))
        fleet.publish(4)
        fleet.cuts = set()
        fleet.run(25)
        self.assertEqual({4}, fleet.at_version())

    def test_zones_of_one_node_reach_each_other_without_the_platform(self):
        # By hash alone, the links between these names form two separate groups.
        fleet = self.fleet({f"depot-{number}": 1 for number in range(8)})
        cut_off = [name for name in fleet.zones if name != "depot-3-0"]
        fleet.cuts = {frozenset(("platform", name)) for name in cut_off}
        fleet.run(12)
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        self.assertEqual({2}, fleet.at_version())

    def test_a_zone_without_the_platform_gets_versions_from_others(self):
        fleet = self.fleet()
        fleet.cuts = {frozenset(("bole", "platform"))}
        fleet.run(30)
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        self.assertEqual({2}, fleet.at_version())
        self.assertThat(len(self.watchers(fleet, "bole")), LessThan(5))


class PauseTests(SpreadTestCase):
    """A watcher is paused, another node takes over, and the watcher resumes.

    Its outdated messages must change nothing. Until it has asked its peers, it must
    not serve the version that it takes for current.
    """

    def test_a_resumed_watcher_verifies_before_it_serves(self):
        fleet = self.fleet(seed=3)
        watchers = self.watchers(fleet, "akaki")
        self.assertEqual(2, len(watchers))
        paused_node = fleet.nodes[watchers[0]]
        paused_node.paused = True
        fleet.run(15)
        others = set(self.watchers(fleet, "akaki")) - {paused_node.name}
        self.assertThat(len(others), GreaterThan(1))
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        self.assertFalse(paused_node.core.verified(fleet.now))
        paused_node.paused = False
        fleet.run(0.25)
        while not paused_node.core.verified(fleet.now):
            fleet.run(0.01)
        self.assertEqual(2, paused_node.core.holder.version)
        fleet.run(30)
        self.assertEqual({2}, fleet.at_version())
        self.assertEqual(watchers, self.watchers(fleet, "akaki"))

    def test_an_isolated_node_serves_again_after_a_bounded_wait(self):
        fleet = self.fleet()
        paused_node = fleet.nodes["bole-1"]
        paused_node.paused = True
        others = [name for name in fleet.zones if name != "bole-1"]
        fleet.cuts = {frozenset(("bole-1", name)) for name in (*others, "platform")}
        fleet.run(10)
        paused_node.paused = False
        fleet.run(0.5)
        self.assertFalse(paused_node.core.verified(fleet.now))
        fleet.run(3)
        self.assertTrue(paused_node.core.verified(fleet.now))


class SilentLinkTests(SpreadTestCase):
    """Open connections go silent for good while new ones work.

    A node that relied on them would receive no version any more, and would still
    seem healthy.
    """

    def test_silent_links_are_replaced(self):
        fleet = self.fleet()
        for node in fleet.nodes.values():
            for link in node.ends:
                node.ends[link] = ("nobody", 0, 0)
        fleet.run(15)
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        self.assertEqual({2}, fleet.at_version())
        closed = fleet.nodes["akaki-0"].core.state.counters["link-closed-silent"]
        self.assertThat(closed, GreaterThan(0))


class MassRestartTests(SpreadTestCase):
    """Half of the nodes die at once and restart at once.

    The survivors must take over the watch, and the new connections must not
    overload them.
    """

    def test_survivors_take_over_and_restarted_nodes_catch_up(self):
        fleet = self.fleet({"akaki": 20, "bole": 20})
        restarted = [
            n for zone in ("akaki", "bole") for n in self.watchers(fleet, zone)
        ]
        restarted += [name for name in fleet.nodes if name not in restarted][::2]
        for name in restarted:
            fleet.stop(name)
        fleet.run(5)
        self.assertThat(len(self.watchers(fleet, "akaki")), GreaterThan(1))
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        self.assertEqual({2}, fleet.at_version())
        for name in restarted:
            fleet.start(name)
        fleet.run(8)
        self.assertEqual({2}, fleet.at_version())
        fleet.run(60)
        self.assertEqual(2, len(self.watchers(fleet, "akaki")))
        most = max(len(node.core.links.links) for node in fleet.nodes.values())
        self.assertThat(most, LessThan(20))


class PartTests(SpreadTestCase):
    """A part never arrives from the source that was asked, or arrives corrupted.

    A node that kept waiting for it would stay at an old version; one that installed
    it would enforce rules that were never published.
    """

    def test_corrupted_parts_are_fetched_elsewhere(self):
        fleet = self.fleet()
        fleet.corrupt = {"akaki-0", "bole-0", "kality-0", "akaki-1"}
        fleet.publish(2)
        fleet.run(5)
        self.assertEqual({2}, fleet.at_version())

    def test_a_part_missing_on_the_platform_holds_nothing_back(self):
        fleet = self.fleet()
        made = publication(2)
        lost = made.head.parts["service/fleet"]
        kept = made.parts.pop(lost)
        fleet.publish(2, made=made)
        fleet.run(10)
        self.assertEqual({1}, fleet.at_version())
        fleet.put(f"parts/{lost}", kept)
        fleet.run(25)
        self.assertEqual({2}, fleet.at_version())

    def test_a_part_that_all_waited_for_spreads_from_the_first_that_has_it(self):
        # Guards against nodes that wait up to 20 s before they ask a peer that has it.
        fleet = self.fleet()
        made = publication(2)
        lost = made.head.parts["service/fleet"]
        kept = made.parts.pop(lost)
        fleet.publish(2, made=made)
        fleet.run(30)
        fleet.put(f"parts/{lost}", kept)
        while fleet.at_version() == {1}:
            fleet.run(0.1)
        fleet.run(CONVERGENCE)
        self.assertEqual({2}, fleet.at_version())

    def test_a_part_has_one_fetch_in_flight(self):
        fleet = self.fleet({"akaki": 12})
        asked = Counter()
        send = fleet.send

        def counting(node, action):
            if isinstance(action.message, messages.PartsQuestion):
                asked[node.name] += len(action.message.digests)
            send(node, action)

        fleet.send = counting
        fleet.publish(2)
        fleet.run(CONVERGENCE)
        self.assertEqual({2}, fleet.at_version())
        self.assertEqual(1, max(asked.values()))


class InvalidVersionTests(SpreadTestCase):
    """A self-contradictory version is published between two valid ones.

    Every node must refuse all of it and report why, and new nodes must still find
    the valid version before it.
    """

    def test_an_invalid_version_is_refused_everywhere_and_the_next_one_is_taken(self):
        fleet = self.fleet()
        fleet.publish(2, route="nowhere")
        fleet.run(CONVERGENCE)
        self.assertEqual({1}, fleet.at_version())
        refused = {n.core.holder.last_refused.version for n in fleet.nodes.values()}
        self.assertEqual({2}, refused)
        fleet.stop("bole-1")
        fleet.start("bole-1")
        fleet.run(8)
        self.assertEqual([1], fleet.nodes["bole-1"].versions)
        fleet.publish(3)
        fleet.run(CONVERGENCE)
        self.assertEqual({3}, fleet.at_version())


class LateAnswerTests(SpreadTestCase):
    """Answers arrive late, twice, or on another link than their question.

    Without the check of link and number, they could be taken for the answer to
    another question.
    """

    def test_late_answers_are_dropped_and_counted(self):
        fleet = self.fleet({"akaki": 3})
        core: SpreadCore = fleet.nodes["akaki-0"].core
        link = core.links.live()[0]
        before = link.status
        forged = messages.BeatAnswer(messages.Status(99, "ab" * 16))
        core.handle(events.Received(link.number, 12345, forged), fleet.now)
        self.assertEqual(before, link.status)
        self.assertEqual(1, core.state.counters["answer-late"])


class StrategyTests(SpreadTestCase):
    """The strategies for comparison give the same guarantees."""

    def test_every_strategy_distributes_a_change_to_every_node(self):
        for strategy in ("whole-snapshots", "flat-digests"):
            fleet = self.fleet(strategy=strategy)
            fleet.publish(2)
            fleet.run(CONVERGENCE)
            self.assertEqual({2}, fleet.at_version())
