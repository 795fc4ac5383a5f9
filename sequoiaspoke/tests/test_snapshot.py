"""Tests of gathering, validating and installing versions."""

from testtools import ExpectedException, TestCase

from sequoiaspoke.core.rules.model import Endpoint, RouteTo, Rule, Service
from sequoiaspoke.core.rules.weights import WeightedService as To
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.gate import Verdict
from sequoiaspoke.core.snapshot.holder import SnapshotHolder
from sequoiaspoke.core.snapshot.model import Head, Vm, VmList
from sequoiaspoke.core.snapshot.publish import make_publication
from sequoiaspoke.errors import DocumentError


def service(name, *ports):
    targets = (
        Endpoint(f"{name}-{p}", f"vm-{p}", "akaki", "127.0.0.1", p) for p in ports
    )
    return Service(name, tuple(targets))


def publication(version, fleet=(1,), billing=(2,), route="fleet"):
    rules = (Rule("all", (), RouteTo((To(route),))),)
    return make_publication(
        version, rules, (service("fleet", *fleet), service("billing", *billing))
    )


def offer(holder, published, only=None):
    decision = holder.offer_head(published.head, "test", 1.0)
    for digest in decision.missing if only is None else only:
        holder.offer_part(digest, published.parts[digest], 1.0)
    return decision


class GateTests(TestCase):
    """Heads are reordered in transit: an older one arrives after a newer one.

    If a node installed the older one, withdrawn rules would route calls again, to
    services that should no longer get them.
    """

    def test_versions_never_go_back(self):
        holder = SnapshotHolder()
        offer(holder, publication(2))
        before = holder.current
        self.assertEqual(Verdict.OLDER, offer(holder, publication(1)).verdict)
        self.assertEqual(Verdict.CURRENT, offer(holder, publication(2)).verdict)
        self.assertIs(before, holder.current)
        self.assertEqual(1, holder.counters["head-older"])

    def test_the_first_of_two_contents_under_one_version_is_kept(self):
        holder = SnapshotHolder()
        offer(holder, publication(2))
        other = publication(2, fleet=(7,))
        self.assertEqual(Verdict.CONFLICT, offer(holder, other).verdict)
        self.assertEqual((1,), ports(holder, "fleet"))
        pending = publication(3, fleet=(8,))
        holder.offer_head(pending.head, "test", 1.0)
        conflicting = publication(3, fleet=(9,))
        self.assertEqual(Verdict.CONFLICT, offer(holder, conflicting).verdict)
        offer(holder, pending)
        self.assertEqual((8,), ports(holder, "fleet"))

    def test_a_late_part_of_an_overtaken_version_changes_nothing(self):
        holder = SnapshotHolder()
        old = publication(1)
        holder.offer_head(old.head, "test", 1.0)
        offer(holder, publication(2, fleet=(5,), billing=(6,)))
        for digest, packed in old.parts.items():
            holder.offer_part(digest, packed, 1.0)
        self.assertEqual(2, holder.version)
        self.assertEqual((5,), ports(holder, "fleet"))


class AtomicInstallTests(TestCase):
    """Parts are lost or corrupted, or an invalid version is published.

    A partly installed version would have rules without their services, and calls that
    both the old and the new version can route would fail.
    """

    def test_a_version_is_installed_only_with_all_its_parts(self):
        holder = SnapshotHolder()
        published = publication(1)
        digests = list(published.parts)
        offer(holder, published, digests[:-1])
        self.assertIsNone(holder.current)
        self.assertEqual((digests[-1],), holder.missing())
        corrupt = published.parts[digests[-1]][:-2]
        self.assertFalse(holder.offer_part(digests[-1], corrupt, 1.0).accepted)
        self.assertIsNone(holder.current)
        offer(holder, published, digests[-1:])
        self.assertEqual(1, holder.version)

    def test_an_invalid_version_between_valid_ones_is_refused(self):
        holder = SnapshotHolder()
        offer(holder, publication(1))
        for bad in (publication(2, route="nowhere"), publication(3, fleet=())):
            offer(holder, bad)
            self.assertEqual(1, holder.version)
            self.assertEqual(Verdict.REFUSED, offer(holder, bad).verdict)
        self.assertEqual(3, holder.last_refused.version)
        self.assertIn("fleet", holder.last_refused.reason)
        offer(holder, publication(4))
        self.assertEqual(4, holder.version)

    def test_foreign_and_unknown_parts_are_refused(self):
        published = publication(1)
        fleet = published.head.parts["service/fleet"]
        swapped = dict(published.head.parts) | {"service/billing": fleet}
        no_rules = {"service/fleet": fleet}
        strange = dict(published.head.parts) | {"other": fleet}
        for parts in (swapped, no_rules, strange):
            holder = SnapshotHolder()
            holder.offer_head(Head(1, parts), "test", 1.0)
            for digest, packed in published.parts.items():
                holder.offer_part(digest, packed, 1.0)
            self.assertIsNone(holder.current)
            self.assertEqual(1, holder.counters["version-refused"])


class BoundsTests(TestCase):
    """A faulty publishing tool writes numbers or names that messages cannot carry.

    A node that accepted them would fail when it passes them on, and its peers would not
    learn of any later version either.
    """

    def test_heads_and_vm_lists_out_of_bounds_are_refused(self):
        digest = "ab" * 16
        heads = [Head(version) for version in (0, -1, 2**63)]
        heads += [Head(1, parts) for parts in ({"rules": "ab"}, {"a\ud800": digest})]
        for head in heads:
            with ExpectedException(DocumentError):
                codec.decode_head(codec.encode_head(head))
        lists = [VmList(2**63)]
        for bad in ({"name": "a b"}, {"address": "localhost"}, {"peer_port": 65536}):
            vm = {"name": "vm", "zone": "z", "address": "127.0.0.1", "peer_port": 1}
            lists.append(VmList(1, (Vm(**(vm | bad), mesh_port=1),)))
        for vms in lists:
            with ExpectedException(DocumentError):
                codec.decode_vms(codec.encode_json(vms))


class ChurnTests(TestCase):
    """Targets come and go frequently, and each change affects one part.

    If every change decoded all parts, nodes would spend their CPU time on configuration
    instead of calls.
    """

    def test_only_the_changed_service_is_fetched_and_decoded(self):
        holder = SnapshotHolder()
        offer(holder, publication(1))
        before = holder.current
        decision = offer(holder, publication(2, fleet=(1, 3)))
        fleet = codec.digest_of(codec.encode_service(service("fleet", 1, 3)))
        self.assertEqual((fleet,), decision.missing)
        self.assertIs(before.rules, holder.current.rules)
        self.assertIs(before.services["billing"], holder.current.services["billing"])
        self.assertEqual((1, 3), ports(holder, "fleet"))

    def test_a_change_is_validated_against_what_did_not_change(self):
        holder = SnapshotHolder()
        offer(holder, publication(1, fleet=(1,), billing=(2,)))
        offer(holder, publication(2, fleet=(2,), billing=(2,)))
        self.assertIn("duplicate", holder.last_refused.reason)
        offer(holder, publication(3, fleet=(-1,), billing=(2,)))
        self.assertIn("mesh_port", holder.last_refused.reason)
        offer(holder, publication(4, fleet=(), billing=(2,)))
        self.assertEqual((4, 1), (holder.last_refused.version, holder.version))

    def test_the_store_keeps_the_parts_of_two_versions(self):
        holder = SnapshotHolder()
        for version in range(1, 6):
            offer(holder, publication(version, fleet=(version,)))
        self.assertEqual(4, len(holder.store.parts))


def ports(holder, name):
    return tuple(e.mesh_port for e in holder.current.services[name].endpoints)
