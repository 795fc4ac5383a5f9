"""Tests of the choice of readers and of the deltas that nodes send each other."""

from dataclasses import replace

from testtools import TestCase

from sequoiaspoke.core.mesh.configdelta import KEPT_VERSIONS, ConfigHistory
from sequoiaspoke.core.mesh.directory import Directory
from sequoiaspoke.core.mesh.lapses import OUTAGE_GAP
from sequoiaspoke.core.mesh.model import (
    CallerLimits,
    Departure,
    Endpoint,
    MeshConfig,
    PublishedEndpoint,
    Route,
    Service,
)
from sequoiaspoke.core.mesh.reading import (
    CONFIRMATION_VALID_SECONDS,
    READERS_PER_ZONE,
    ReadingDuty,
)
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
            duty.set_hosts(hosts)
        return found

    def test_two_nodes_of_a_zone_read(self):
        duties = self.duties()
        for duty in duties:
            duty.confirm(100.0)
        reading = [duty for duty in duties if duty.must_read(100.5)]
        self.assertEqual(len(reading), READERS_PER_ZONE)
        self.assertEqual({duty.readers for duty in duties}, {duties[0].readers})

    def test_a_node_that_knows_no_other_reads(self):
        self.assertTrue(ReadingDuty("10.0.0.1", "akaki").must_read(5.0))

    def test_a_node_reads_when_its_readers_are_silent(self):
        # Both readers of a zone are cut off from the store and, while they wait for an
        # answer, send nothing. Calls would go on to a draining upstream until their
        # wait is over.
        duty = next(each for each in self.duties() if not each.on_duty)
        duty.confirm(100.0)
        self.assertFalse(duty.must_read(99.99 + CONFIRMATION_VALID_SECONDS))
        self.assertTrue(duty.must_read(100.0 + CONFIRMATION_VALID_SECONDS + 0.01))

    def test_nodes_with_equal_links_are_chosen_by_hash(self):
        # A node that starts knows only its own link rate. If it preferred itself for
        # that, every node would read until it learned the rates of the others.
        hosts = [f"10.0.0.{number}" for number in range(8)]
        duties = [ReadingDuty(host, "akaki", 1.0, 1000.0) for host in hosts]
        for duty in duties:
            duty.set_hosts(hosts)
        self.assertEqual(len({duty.readers for duty in duties}), 1)
        for duty in duties:
            self.assertFalse(duty.learn_rates(dict.fromkeys(hosts, 1000.0)))

    def test_an_announced_change_extends_no_confirmation(self):
        # The store reports changes to a reader, which confirms that it reads them and
        # is killed. A node that relied on this confirmation alone acted on the change
        # after more than 2 s.
        duty = ReadingDuty("10.0.0.1", "akaki")
        duty.confirm(100.0)
        duty.confirm(100.0, 100.9)
        self.assertFalse(duty.must_read(101.6))
        self.assertTrue(duty.must_read(101.8))
        duty.confirm(101.5, 101.7)
        self.assertFalse(duty.must_read(103.0))

    def test_the_nodes_with_the_fastest_links_read(self):
        # Of 20 nodes two have links of 50 Mbit/s, the others of 2.5. A reader on a slow
        # link takes 1.4 s for each version of 3,300 routes, so that nodes used an older
        # one for more than the 2.5 s allowed after acceptance.
        hosts = [f"10.0.0.{number}" for number in range(20)]
        rates = dict.fromkeys(hosts, 2.5) | {"10.0.0.7": 50.0, "10.0.0.13": 50.0}
        duties = [ReadingDuty(host, "akaki", 1.0, rates[host]) for host in hosts]
        for duty in duties:
            duty.set_hosts(hosts)
        # Each node subscribes to the readers that it has chosen and sends its own rate.
        for _ in range(3):
            for duty in duties:
                for reader in duty.readers:
                    sender = duties[hosts.index(reader)]
                    sender.learn_rates({duty.host: rates[duty.host]})
                    duty.learn_rates(sender.reader_rates)
        reading = {duty.readers for duty in duties}
        self.assertEqual({frozenset(each) for each in reading}, {
            frozenset({"10.0.0.7", "10.0.0.13"})
        })  # fmt: skip
        self.assertTrue(max(duty.rates_serial for duty in duties) <= 4)

    def test_nodes_of_draining_upstreams_read_if_others_are_too_few(self):
        duty = ReadingDuty("10.0.0.1", "akaki")
        duty.set_hosts(HOSTS[:1], HOSTS[:3])
        self.assertEqual(duty.readers[0], HOSTS[0])
        self.assertEqual(len(duty.readers), READERS_PER_ZONE)
        duty.set_hosts(HOSTS[:2], HOSTS[2:])
        self.assertEqual(set(duty.readers), set(HOSTS[:2]))

    def test_an_old_confirmation_does_not_replace_a_newer_one(self):
        duty = next(each for each in self.duties() if not each.on_duty)
        duty.confirm(100.0)
        duty.confirm(90.0)
        self.assertFalse(duty.must_read(100.5))

    def test_a_departing_reader_is_the_only_one_replaced(self):
        before = self.duties()[0].readers
        after = self.duties([host for host in HOSTS if host != before[0]])[0].readers
        self.assertEqual(after[0], before[1])


class ConfigHistoryTests(TestCase):
    def test_a_delta_holds_only_changed_routes(self):
        history = ConfigHistory()
        history.install(config(3, *(route(number) for number in range(1900))))
        changed = [route(number) for number in range(1900)]
        changed[7] = route(7, timeout=2.0)
        history.install(config(5, *changed[:-1]))
        delta = history.delta_since(3)
        self.assertEqual((delta.base, delta.version), (3, 5))
        self.assertEqual(delta.routes, (route(7, timeout=2.0),))
        self.assertEqual(delta.removed, ("r1899",))

    def test_applying_a_delta_gives_the_same_version(self):
        sender, receiver = ConfigHistory(), ConfigHistory()
        for history in (sender, receiver):
            history.install(config(3, route(1), route(2)))
        newer = config(5, route(1, timeout=9.0), route(4))
        sender.install(newer)
        receiver.install(receiver.apply(sender.delta_since(3)))
        self.assertEqual(set(receiver.newest.routes), set(newer.routes))
        self.assertEqual(receiver.newest.version, 5)
        self.assertEqual(receiver.newest.limits, newer.limits)

    def test_a_delta_from_an_unknown_base_is_an_error(self):
        # When versions follow each other quickly, the two readers of a zone see
        # different ones. A delta applied to another base than its own would result in
        # routes of neither version.
        sender, receiver = ConfigHistory(), ConfigHistory()
        sender.install(config(3, route(1)))
        sender.install(config(5, route(2)))
        receiver.install(config(4, route(3)))
        self.assertRaises(KeyError, receiver.apply, sender.delta_since(3))
        whole = sender.delta_since(4)
        self.assertEqual((whole.base, whole.routes), (0, (route(2),)))

    def test_an_older_version_is_never_installed(self):
        history = ConfigHistory()
        history.install(config(5, route(1)))
        self.assertIsNone(history.install(config(4, route(2))))
        self.assertIsNone(history.install(config(5, route(2))))
        self.assertEqual(history.newest.routes, (route(1),))

    def test_unchanged_routes_are_shared(self):
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
        self.assertEqual(history.delta_since(2).base, 0)


class PeerDirectoryTests(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Directory()

    def test_changes_since_a_serial(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        count = self.directory.serial
        self.directory.put(endpoint("i-2"), 6, 10.0)
        self.directory.remove("i-1", 7, 10.0)
        records, departures = self.directory.changed_since(count)
        self.assertEqual([each.endpoint.instance for each in records], ["i-2"])
        self.assertEqual(departures, [Departure("i-1", 0, 7)])

    def test_a_repeated_message_is_no_change(self):
        # Two readers forward to each other what they read. If a departure that is
        # already known counted as a change, they would send it back and forth forever.
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.remove("i-1", 7, 10.0, trusted=True)
        count = self.directory.serial
        self.directory.remove("i-1", 7, 10.0, trusted=True)
        self.directory.remove("i-1", 6, 10.0, trusted=True)
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.assertEqual(self.directory.serial, count)

    def test_a_lapse_is_judged_by_the_own_view_of_the_store(self):
        # A reader that was cut off alone takes this for an outage of the store and
        # sends a departure as a lapse. A node that reached the store all the time must
        # not keep the entry for that: calls would go on to an upstream that has left.
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.remove("i-1", 7, 20.0)
        self.assertEqual(self.directory.serving("fleet"), ())

    def test_a_vanished_entry_is_kept_after_an_outage(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.lapses.store_reached(20.0, OUTAGE_GAP + 1.0)
        self.directory.remove("i-1", 7, 20.1)
        self.assertEqual(self.directory.lapses.vanished_at, {"i-1": 7})
        self.assertEqual(self.directory.expire(22.0), [])
        self.assertEqual(self.directory.expire(22.3), ["i-1"])
        self.assertEqual(self.directory.departures["i-1"].departure.revision, 7)

    def test_a_vanished_entry_that_is_written_again_stays(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.lapses.store_lost()
        self.directory.remove("i-1", 7, 20.0)
        self.directory.put(replace(endpoint("i-1"), slots=9), 8, 21.0)
        self.directory.lapses.store_reached(21.0)
        self.assertEqual(self.directory.expire(60.0), [])

    def test_a_node_that_was_cut_off_alone_drops_vanished_entries(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.lapses.store_lost()
        self.directory.lapses.store_reached(20.0, OUTAGE_GAP - 1.0)
        self.directory.remove("i-1", 7, 20.1)
        self.assertEqual(self.directory.serving("fleet"), ())

    def test_a_removed_entry_is_not_taken_from_a_lagging_node(self):
        # A node starts and reads the store after an upstream has left. A peer that has
        # not learned of the departure yet sends the new node its snapshot.
        self.directory.reconcile([PublishedEndpoint(endpoint("i-2"), 6)], 9, 10.0)
        self.directory.complete_to = 9
        self.assertFalse(self.directory.put(endpoint("i-1"), 5, 11.0, from_peer=True))
        self.assertTrue(self.directory.put(endpoint("i-3"), 10, 11.0, from_peer=True))

    def test_a_departure_is_forgotten_in_time(self):
        self.directory.put(endpoint("i-1"), 5, 10.0)
        self.directory.remove("i-1", 7, 10.0)
        self.directory.expire(100.0)
        self.assertEqual(
            (self.directory.departures, self.directory.last_changed), ({}, {})
        )
