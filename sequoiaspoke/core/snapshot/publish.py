"""Build the documents of a version that operators publish."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import RULES_PART, Head, service_part

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Rule, Service

HEAD_DOCUMENT = "head"
VMS_DOCUMENT = "vms"
PART_PREFIX = "parts/"


@dataclass(frozen=True)
class Publication:
    """A head and its compressed parts by digest."""

    head: Head
    parts: dict[str, bytes]

    def documents(self) -> dict[str, bytes]:
        """Return all documents in publishing order: the parts before the head."""
        documents = {PART_PREFIX + name: data for name, data in self.parts.items()}
        documents[HEAD_DOCUMENT] = codec.encode_head(self.head)
        return documents


def make_publication(
    version: int, rules: tuple[Rule, ...], services: tuple[Service, ...]
) -> Publication:
    """Encode one version of the configuration."""
    contents = {RULES_PART: codec.encode_rules(rules)}
    for service in services:
        contents[service_part(service.name)] = codec.encode_service(service)
    digests = {name: codec.digest_of(content) for name, content in contents.items()}
    parts = {digests[name]: codec.pack(content) for name, content in contents.items()}
    return Publication(Head(version, digests), parts)
