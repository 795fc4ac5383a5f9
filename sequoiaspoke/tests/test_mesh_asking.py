"""Tests of the choice of the homes that are asked for a slot."""

import random
from math import inf

from testtools import TestCase

from sequoiaspoke.core.mesh.asking import (
    MAX_NESTED_REQUESTS,
    MAX_REQUESTS,
    WAIT_SHARE,
    Asking,
    Choices,
    ServiceRoom,
    SlotRequests,
)
from sequoiaspoke.core.mesh.balancer import Balancer, LoadReport
from sequoiaspoke.core.mesh.model import Endpoint, Route
from sequoiaspoke.core.mesh.records import EndpointGroup
from sequoiaspoke.core.mesh.sample import Sampler
from sequoiaspoke.core.rules.weights import WeightedService

ROUTE = Route("r", "x", "/r/", True, 4.0, 0.5, 1, 2, (WeightedService("s"),))
NOW, WORK = 100.0, 0.07


class AskedService:
    """A service whose homes are all busy, with the wait of each by instance."""

    def __init__(self, waits, nested=False, body_bytes=0):
        self.waits = waits
        self.endpoints = [
            Endpoint(name, "s", name, 80, name[:2], 2) for name in self.waits
        ]
        self.unusable = set()
        self.asking = Asking(Balancer("z0"), Sampler(random.Random(4)))
        self.call = SlotRequests(ROUTE, nested, body_bytes, NOW + ROUTE.objective)
        for each in self.endpoints:
            self.report(each, 0.0)

    def report(self, endpoint, wait):
        self.asking.balancer.record_load(
            endpoint.incarnation, "r", LoadReport(1.0, WORK, wait), NOW
        )

    def place(self):
        """Return where the call is sent next."""
        choices = Choices(
            EndpointGroup.of(self.endpoints),
            lambda each: each.instance not in self.unusable,
            lambda name: False,
        )
        return self.asking.place(self.call, choices, NOW)

    def refuse(self, endpoint):
        """Refuse a slot request as busy."""
        wait = self.waits[endpoint.instance]
        self.report(endpoint, wait)
        self.call.record_busy(endpoint, wait)
        self.asking.room("s").record(endpoint.zone, True, NOW)

    def play(self):
        """Refuse all slot requests; return the homes asked and the final placement."""
        asked = []
        while (placement := self.place()) is not None and placement.max_wait < inf:
            asked.append(placement.endpoint.instance)
            self.refuse(placement.endpoint)
        return asked, placement


class SlotRequestsTests(TestCase):
    def test_a_call_asks_different_homes_and_waits_at_the_best_of_them(self):
        # Guards against calls that wait behind others although a home nearby is idle.
        service = AskedService({f"z0-{n}": 0.05 + 0.01 * n for n in range(9)})
        asked, placement = service.play()
        self.assertEqual(len(set(asked)), MAX_REQUESTS)
        self.assertEqual(placement.endpoint.instance, min(asked))
        self.assertEqual(service.call.told_wait, service.waits[min(asked)])

    def test_a_call_waits_at_a_home_of_its_zone_if_there_are_few(self):
        # Guards against a service with one home in each zone that refuses all calls.
        for homes in (1, 2, 3):
            waits = {f"z0-{n}": 0.05 for n in range(homes)} | {"z1-0": 0.0}
            asked, placement = AskedService(waits).play()
            self.assertEqual(len(asked), min(homes, MAX_REQUESTS))
            self.assertIn(placement.endpoint.instance, asked)

    def test_a_nested_call_may_wait_where_it_asks(self):
        # Guards against refused nested calls, whose parents fail, though they are next.
        service = AskedService({f"z0-{n}": 0.3 for n in range(9)}, nested=True)
        placement = service.place()
        self.assertEqual(placement.max_wait, WAIT_SHARE * ROUTE.objective)
        asked, placement = service.play()
        self.assertEqual(len(asked), MAX_NESTED_REQUESTS)
        self.assertIn(placement.endpoint.instance, asked)

    def test_a_home_that_has_left_is_not_waited_at(self):
        # Guards against a call that is sent to a home that drains after its refusal.
        service = AskedService({"z0-0": 0.1, "z0-1": 0.05})
        for _ in range(2):
            service.refuse(service.place().endpoint)
        service.unusable.add("z0-1")
        self.assertEqual(service.place().endpoint.instance, "z0-0")

    def test_a_home_whose_upstream_drains_or_has_gone_is_not_waited_at(self):
        # The service no longer has the endpoint, while its node can still be reached.
        # The call would arrive just before the upstream exits.
        service = AskedService({"z0-0": 0.1, "z0-1": 0.05})
        for _ in range(2):
            service.refuse(service.place().endpoint)
        del service.endpoints[1]
        self.assertEqual(service.place().endpoint.instance, "z0-0")

    def test_a_call_that_was_refused_where_it_waited_asks_no_more(self):
        # Guards against calls that ask for ever.
        service = AskedService({f"z0-{n}": 0.1 for n in range(9)})
        service.play()
        self.assertIsNone(service.place())
        self.assertTrue(service.call.exhausted)

    def test_other_homes_are_tried_if_few_were_asked(self):
        # Guards against uploads that are refused in a zone with a single home although
        # other zones have room.
        service = AskedService({"z0-0": 0.1, "z1-0": 0.0}, body_bytes=60_000)
        service.play()
        self.assertFalse(service.call.exhausted)


class OtherZonesTests(TestCase):
    late = {"z0-0": 0.8, "z0-1": 0.9, "z1-0": 0.7, "z1-1": 0.7, "z2-0": 0.7}

    def test_another_zone_is_asked_only_if_that_is_worth_the_traffic(self):
        # Guards against traffic between zones that gains nothing.
        asked, _ = AskedService(self.late | {"z0-0": 0.1}).play()
        self.assertEqual({name[:2] for name in asked}, {"z0"})
        asked, _ = AskedService(self.late).play()
        self.assertEqual([name[:2] for name in asked], ["z0", "z0", "z1"])

    def test_an_upload_stays_in_its_zone(self):
        # Guards against bodies that cost more between zones than their answers bring.
        asked, _ = AskedService(self.late, body_bytes=60_000).play()
        self.assertEqual({name[:2] for name in asked}, {"z0"})

    def test_zones_as_busy_as_the_own_one_are_not_asked(self):
        # Guards against slot requests in all zones while all are overloaded.
        service = AskedService(self.late)
        for _ in range(9):
            service.asking.room("s").record("z1", True, NOW)
        asked, _ = service.play()
        self.assertEqual([name[:2] for name in asked], ["z0", "z0", "z2"])

    def test_other_zones_are_asked_if_the_own_one_has_no_home(self):
        # Guards against a zone without homes whose calls are all placed by old reports.
        asked, placement = AskedService({"z1-0": 0.2, "z2-0": 0.1}).play()
        self.assertEqual(sorted(asked), ["z1-0", "z2-0"])
        self.assertEqual(placement.endpoint.instance, "z2-0")


class ServiceRoomTests(TestCase):
    def test_what_was_met_is_forgotten(self):
        # Guards against zones that are never asked again after a peak.
        room = ServiceRoom()
        for _ in range(9):
            room.record("z1", True, NOW)
        self.assertTrue(room.busy_share("z1", NOW) > 0.8)
        self.assertTrue(room.busy_share("z1", NOW + 5) < 0.3)
        self.assertEqual(room.busy_share("z2", NOW), 0.0)
