"""Tests of what nodes of a zone decide about reading and telling news."""

from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.configdelta import KEPT_VERSIONS, ConfigHistory
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.lapses import LAPSE_GAP
from sequoiaspoke.core.mesh.model import (
    CallerLimits,
    Departure,
    Endpoint,
    MeshConfig,
    PublishedEndpoint,
    Route,
    Service,
)
from sequoiaspoke.core.mesh.reading import BELIEVED_SECONDS, READERS, ReadingDuty
from sequoiaspoke.core.rules.weights import WeightedService

HOSTS = [f"10.0.0.{number}" for number in range(1, 29)]


def route(number, timeout=4.0):
    split = (WeightedService("fleet"),)
    return Route(
        f"r{number}", "x.example", f"/{number}/", True, timeout, 1.0, 1, 2, split
    )


def config(version, *routes):
    return MeshConfig(version, routes, {"fleet": Service("fleet")}, CallerLimits())


def endpoint(instance, **fields):
    return Endpoint(instance, "fleet", "10.0.0.9", 80, "akaki", 4, **fields)


class ReadingDutyTests(TestCase):
    def duties(self, hosts=HOSTS):
        found = [ReadingDuty(host, "akaki") for host in hosts]
        for duty in found:
            duty.take_hosts(hosts)
        return found

    def test_two_nodes_of_a_zone_read(self):
        duties = self.duties()
        for duty in duties:
            duty.heard(100.0)
        reading = [duty for duty in duties if duty.must_read(100.5)]
        self.assertEqual(len(reading), READERS)
        self.assertEqual({duty.readers for duty in duties}, {duties[0].readers})

    def test_a_node_that_knows_no_other_reads(self):
        self.assertTrue(ReadingDuty("10.0.0.1", "akaki").must_read(5.0))

    def test_a_node_whose_readers_fall_silent_reads_for_itself(self):
        # Both readers of a zone are cut off from the store, and say nothing of it as
        # they wait for an answer. A draining upstream would be sent calls until
        # their wait is over.
        duty = next(each for each in self.duties() if not each.on_duty)
        duty.heard(100.0)
        self.assertFalse(duty.must_read(99.99 + BELIEVED_SECONDS))
        self.assertTrue(duty.must_read(100.0 + BELIEVED_SECONDS + 0.01))

    def test_nodes_whose_links_are_alike_read_by_hash_from_the_start(self):
        # Each knows its own link first. Had it preferred itself for that, every node
        # that starts would read for itself until it is told of the others.
        hosts = [f"10.0.0.{number}" for number in range(8)]
        duties = [ReadingDuty(host, "akaki", 1.0, 1000.0) for host in hosts]
        for duty in duties:
            duty.take_hosts(hosts)
        self.assertEqual(len({duty.readers for duty in duties}), 1)
        for duty in duties:
            self.assertFalse(duty.learn_rates(dict.fromkeys(hosts, 1000.0)))

    def test_a_reader_that_has_news_to_read_is_not_believed_for_long(self):
        # A reader is answered by the store that there are news, says that it reads,
        # and is killed. Believed for its word alone, a node acted on the change 2.09 s
        # after it was made.
        duty = ReadingDuty("10.0.0.1", "akaki")
        duty.heard(100.0)
        duty.heard(100.0, 100.9)
        self.assertFalse(duty.must_read(101.6))
        self.assertTrue(duty.must_read(101.8))
        duty.heard(101.5, 101.7)
        self.assertFalse(duty.must_read(103.0))

    def test_the_nodes_with_the_widest_links_read(self):
        # Of 20 nodes two have links of 50 Mbit/s, the others of 2.5. A reader on one of
        # these takes 1.4 s for each version of 3,300 routes, and calls were decided by
        # an older one 2.6 s after it was accepted, where 2.5 s are allowed.
        hosts = [f"10.0.0.{number}" for number in range(20)]
        rates = dict.fromkeys(hosts, 2.5) | {"10.0.0.7": 50.0, "10.0.0.13": 50.0}
        duties = [ReadingDuty(host, "akaki", 1.0, rates[host]) for host in hosts]
        for duty in duties:
            duty.take_hosts(hosts)
        # Each node subscribes to whom it takes for the readers and tells its own rate.
        for _ in range(3):
            for duty in duties:
                for reader in duty.readers:
                    teller = duties[hosts.index(reader)]
                    teller.learn_rates({duty.host: rates[duty.host]})
                    duty.learn_rates(teller.reader_rates)
        reading = {duty.readers for duty in duties}
        self.assertEqual({frozenset(each) for each in reading}, {
            frozenset({"10.0.0.7", "10.0.0.13"})
        })  # fmt: skip
        self.assertTrue(max(duty.rates_learnt for duty in duties) <= 4)

    def test_nodes_of_leaving_upstreams_read_where_there_are_too_few_others(self):
        duty = ReadingDuty("10.0.0.1", "akaki")
        duty.take_hosts(HOSTS[:1], HOSTS[:3])
        self.assertEqual(duty.readers[0], HOSTS[0])
        self.assertEqual(len(duty.readers), READERS)
        duty.take_hosts(HOSTS[:2], HOSTS[2:])
        self.assertEqual(set(duty.readers), set(HOSTS[:2]))

    def test_an_old_confirmation_does_not_take_back_a_newer_one(self):
        duty = next(each for each in self.duties() if not each.on_duty)
        duty.heard(100.0)
        duty.heard(90.0)
        self.assertFalse(duty.must_read(100.5))

    def test_a_node_that_leaves_changes_at_most_its_own_place(self):
        before = self.duties()[0].readers
        after = self.duties([host for host in HOSTS if host != before[0]])[0].readers
        self.assertEqual(after[0], before[1])


class ConfigHistoryTests(TestCase):
    def test_a_change_of_one_route_is_told_as_one_route(self):
        history = ConfigHistory()
        history.install(config(3, *(route(number) for number in range(1900))))
        changed = [route(number) for number in range(1900)]
        changed[7] = route(7, timeout=2.0)
        history.install(config(5, *changed[:-1]))
        delta = history.since(3)
        self.assertEqual((delta.base, delta.version), (3, 5))
        self.assertEqual(delta.routes, (route(7, timeout=2.0),))
        self.assertEqual(delta.removed, ("r1899",))

    def test_a_change_leads_another_node_to_the_same_version(self):
        teller, learner = ConfigHistory(), ConfigHistory()
        for history in (teller, learner):
            history.install(config(3, route(1), route(2)))
        newer = config(5, route(1, timeout=9.0), route(4))
        teller.install(newer)
        learner.install(learner.apply(teller.since(3)))
        self.assertEqual(set(learner.newest.routes), set(newer.routes))
        self.assertEqual(learner.newest.version, 5)
        self.assertEqual(learner.newest.limits, newer.limits)

    def test_a_change_from_a_version_that_was_never_here_is_an_error(self):
        # Two readers of a zone see different versions of a storm of changes. Applied to
        # another base than its own, a change would leave routes of neither version.
        teller, learner = ConfigHistory(), ConfigHistory()
        teller.install(config(3, route(1)))
        teller.install(config(5, route(2)))
        learner.install(config(4, route(3)))
        self.assertRaises(KeyError, learner.apply, teller.since(3))
        whole = teller.since(4)
        self.assertEqual((whole.base, whole.routes), (0, (route(2),)))

    def test_an_older_version_is_never_taken(self):
        history = ConfigHistory()
        history.install(config(5, route(1)))
        self.assertIsNone(history.install(config(4, route(2))))
        self.assertIsNone(history.install(config(5, route(2))))
        self.assertEqual(history.newest.routes, (route(1),))

    def test_unchanged_routes_are_held_once(self):
        history = ConfigHistory()
        history.install(config(1, route(1), route(2)))
        history.install(config(2, route(1), route(2, timeout=1.0)))
        first, second = history.versions[1].routes, history.versions[2].routes
        self.assertTrue(first[0] is second[0])

    def test_a_few_versions_are_kept(self):
        history = ConfigHistory()
        for version in range(1, 30):
            history.install(config(version, route(version)))
        self.assertEqual(len(history.versions), KEPT_VERSIONS)
        self.assertEqual(history.since(2).base, 0)


class ToldDirectoryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()

    def test_changes_since_a_count_are_told(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        count = self.directory.serial
        self.directory.put(endpoint("i-2"), 6, 10.0)
        self.directory.remove("i-1", 7, 10.0)
        held, gone = self.directory.changed_since(count)
        self.assertEqual([each.endpoint.instance for each in held], ["i-2"])
        self.assertEqual(gone, [Departure("i-1", 0, 7)])

    def test_what_is_told_twice_is_no_change(self):
        # Two readers tell each other what they read. If an end that is known already
        # counted as news, each would tell it the other again for ever, and the nodes of
        # the zone would do nothing else.
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.remove("i-1", 7, 10.0, trusted=True)
        count = self.directory.serial
        self.directory.remove("i-1", 7, 10.0, trusted=True)
        self.directory.remove("i-1", 6, 10.0, trusted=True)
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.assertEqual(self.directory.serial, count)

    def test_a_vanished_entry_is_judged_by_what_this_node_knows_of_the_store(self):
        # A reader was cut off and takes the store's return for its own. It doubts that
        # an upstream has left; taken at its word, calls would go on to that one
        # from nodes to which the store was there all the while.
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.remove("i-1", 7, 20.0)
        self.assertEqual(self.directory.serving("fleet"), ())

    def test_a_vanished_entry_stays_while_the_store_was_away_for_all(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.lapses.reached_store(20.0, LAPSE_GAP + 1.0)
        self.directory.remove("i-1", 7, 20.1)
        self.assertEqual(self.directory.lapses.vanished, {"i-1": 7})
        self.assertEqual(self.directory.expire(22.0), [])
        self.assertEqual(self.directory.expire(22.3), ["i-1"])
        self.assertEqual(self.directory.gone["i-1"].departure.revision, 7)

    def test_a_vanished_entry_that_reports_again_stays(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.lapses.lost_store()
        self.directory.remove("i-1", 7, 20.0)
        self.directory.put(replace(endpoint("i-1"), slots=9), 8, 21.0)
        self.directory.lapses.reached_store(21.0)
        self.assertEqual(self.directory.expire(60.0), [])

    def test_a_node_that_alone_lost_the_store_doubts_nothing_after_it(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.lapses.lost_store()
        self.directory.lapses.reached_store(20.0, LAPSE_GAP - 1.0)
        self.directory.remove("i-1", 7, 20.1)
        self.assertEqual(self.directory.serving("fleet"), ())

    def test_an_entry_that_was_removed_is_not_taken_from_a_node_that_lags(self):
        # A node starts and reads the store, after an upstream has left. Another, which
        # has not heard of that yet, tells the new one all it knows.
        self.directory.reconcile([PublishedEndpoint(endpoint("i-2"), 6)], 9, 10.0)
        self.directory.complete_to = 9
        self.assertFalse(self.directory.put(endpoint("i-1"), 5, 11.0, told=True))
        self.assertTrue(self.directory.put(endpoint("i-3"), 10, 11.0, told=True))

    def test_the_end_of_an_instance_is_forgotten_in_time(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.remove("i-1", 7, 10.0)
        self.directory.expire(100.0)
        self.assertEqual((self.directory.gone, self.directory.marks), ({}, {}))
