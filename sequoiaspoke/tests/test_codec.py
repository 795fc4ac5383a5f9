"""Tests of encoding and decoding documents."""

import json

from testtools import ExpectedException, TestCase

from sequoiaspoke.core.rules.model import (
    Comparison,
    Condition,
    Endpoint,
    Field,
    Redirect,
    RouteTo,
    Rule,
    Service,
)
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.publish import make_publication
from sequoiaspoke.errors import DocumentError

RULES = (
    Rule(
        "charges",
        (Condition(Field.PATH, Comparison.PREFIX, ("/billing/",)),),
        RouteTo((WeightedService("billing"),)),
    ),
    Rule("rest", (), Redirect("/fleet/")),
)
SERVICES = (
    Service("billing", (Endpoint("billing-1", "vm-1", "akaki", "127.0.0.1", 1),)),
)


class PublicationTests(TestCase):
    def test_every_part_survives_the_round_trip(self):
        publication = make_publication(7, RULES, SERVICES)
        head = codec.decode_head(codec.encode_head(publication.head))
        rules_digest = head.parts["rules"]
        rules = codec.unpack(publication.parts[rules_digest], rules_digest)
        service_digest = head.parts["service/billing"]
        service = codec.unpack(publication.parts[service_digest], service_digest)
        self.assertEqual(7, head.version)
        self.assertEqual(RULES, codec.decode_rules(rules))
        self.assertEqual(SERVICES[0], codec.decode_service(service))

    def test_the_same_content_has_the_same_digest(self):
        first = make_publication(1, RULES, SERVICES)
        second = make_publication(2, RULES, SERVICES)
        self.assertEqual(first.head.parts, second.head.parts)


class CorruptPartTests(TestCase):
    """A part arrives truncated or with changed bytes.

    Without verifying the digest, a node would apply rules that were never published and
    route calls to the wrong service.
    """

    def test_cut_changed_and_foreign_parts_are_refused(self):
        publication = make_publication(1, RULES, SERVICES)
        digest, packed = next(iter(publication.parts.items()))
        foreign = codec.pack(b"[]")
        for data in (packed[:-3], b"\x00" + packed[1:], foreign, b""):
            with ExpectedException(DocumentError):
                codec.unpack(data, digest)

    def test_wrong_types_and_unknown_keys_are_refused(self):
        for plain in (
            {"version": "7", "parts": {}},
            {"version": 7.5, "parts": {}},
            {"version": 7, "parts": {}, "surprise": 1},
            {"version": 7, "parts": [1]},
            [],
            None,
        ):
            with ExpectedException(DocumentError):
                codec.decode_head(json.dumps(plain).encode())
