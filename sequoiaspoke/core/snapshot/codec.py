"""Encode and decode documents: canonical JSON, digests and compression."""

from __future__ import annotations

import hashlib
import json
import re
import zlib
from typing import TYPE_CHECKING, Any, TypeVar

import cattrs
from cattrs.gen import make_dict_structure_fn
from cattrs.strategies import configure_tagged_union

from sequoiaspoke.core.rules import model as rules_model
from sequoiaspoke.core.rules.names import is_ip_address
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.core.snapshot import model as snapshot_model
from sequoiaspoke.core.snapshot.model import Head, VmList
from sequoiaspoke.errors import DocumentError

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Rule, Service

T = TypeVar("T")

DOCUMENT_LIMIT = 1_000_000  # bytes; the platform stores values of up to a megabyte
PART_LIMIT = (
    8_000_000  # bytes after decompression, so that a zip bomb cannot exhaust memory
)
DIGEST_BYTES = 16
MAX_NUMBER = (
    2**63 - 1
)  # of versions and revisions, which messages carry as signed 64 bits
MAX_PORT = 65535
DIGEST = re.compile(rf"[0-9a-f]{{{2 * DIGEST_BYTES}}}")
PART_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,127}")
VM_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
STRICT_CLASSES = (
    rules_model.Condition,
    WeightedService,
    rules_model.RouteTo,
    rules_model.Redirect,
    rules_model.Refuse,
    rules_model.CallPolicy,
    rules_model.Rule,
    rules_model.Endpoint,
    rules_model.Service,
    snapshot_model.Head,
    snapshot_model.Vm,
    snapshot_model.VmList,
)


def make_converter() -> cattrs.Converter:
    """Build the cattrs converter; it rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)
    for exact_type in (int, str, bool):
        converter.register_structure_hook(exact_type, _strict(exact_type))
    converter.register_structure_hook(float, _structure_float)
    configure_tagged_union(rules_model.Action, converter, tag_name="action")
    for cls in STRICT_CLASSES:
        if cls in (rules_model.RouteTo, rules_model.Redirect, rules_model.Refuse):
            continue
        converter.register_structure_hook(cls, make_dict_structure_fn(cls, converter))
    return converter


def _strict(exact_type: type) -> Any:
    # Without this check, a version "7" or 7.9 would be converted to 7 silently, and
    # nodes with different library versions could decode different values.
    def structure(value: Any, _: type) -> Any:
        if type(value) is not exact_type:
            raise TypeError(f"{value!r} is not of type {exact_type.__name__}")
        return value

    return structure


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


CONVERTER = make_converter()


def encode_json(value: Any) -> bytes:
    """Encode dataclasses as canonical JSON."""
    plain = CONVERTER.unstructure(value)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def decode_json(data: bytes, cls: type[T]) -> T:
    """Decode JSON into a dataclass.

    Raises
    ------
    DocumentError
        The bytes are not valid JSON for that class.
    """
    try:
        return CONVERTER.structure(json.loads(data), cls)
    except (ValueError, TypeError, KeyError, RecursionError, AttributeError) as error:
        raise DocumentError(f"no {cls}: {error}") from error
    except Exception as error:  # cattrs' own errors have no common base class
        raise DocumentError(f"no {cls}: {error}") from error


def digest_of(content: bytes) -> str:
    """Return the digest that identifies a part by its uncompressed content."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def pack(content: bytes) -> bytes:
    """Compress the content of a part for the platform and for peers."""
    return zlib.compress(content, 6)


def unpack(packed: bytes, digest: str) -> bytes:
    """Decompress a part and verify its digest.

    Raises
    ------
    DocumentError
        The bytes are corrupt, too large, or do not match the digest.
    """
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(packed, PART_LIMIT)
    except zlib.error as error:
        raise DocumentError(f"part {digest} cannot be decompressed: {error}") from error
    if not inflater.eof:
        raise DocumentError(f"part {digest} is truncated or too large")
    if digest_of(content) != digest:
        raise DocumentError(f"the content of part {digest} does not match its digest")
    return content


def encode_head(head: Head) -> bytes:
    """Encode a head document."""
    return encode_json(head)


def decode_head(data: bytes) -> Head:
    """Decode a head document.

    Raises
    ------
    DocumentError
        The bytes are not a head document, or its values are out of range.
    """
    head = decode_json(data, Head)
    check_head(head)
    return head


def check_head(head: Head) -> None:
    """Check that every node can store a head and pass it on.

    Raises
    ------
    DocumentError
        The version, the name of a part or a digest is invalid.
    """
    if not 1 <= head.version <= MAX_NUMBER:
        raise DocumentError(f"version {head.version} is out of range")
    for name, digest in head.parts.items():
        if not PART_NAME.fullmatch(name) or not DIGEST.fullmatch(digest):
            raise DocumentError(f"bad part {ascii(name[:80])}: {ascii(digest[:80])}")


def root_digest(head: Head) -> str:
    """Return a digest over a complete head."""
    return digest_of(encode_head(head))


def encode_rules(rules: tuple[Rule, ...]) -> bytes:
    """Encode the rules part."""
    return encode_json(rules)


def decode_rules(content: bytes) -> tuple[Rule, ...]:
    """Decode the rules part."""
    return decode_json(content, tuple[rules_model.Rule, ...])


def encode_service(service: Service) -> bytes:
    """Encode a service part."""
    return encode_json(service)


def decode_service(content: bytes) -> Service:
    """Decode a service part."""
    return decode_json(content, rules_model.Service)


def decode_vms(data: bytes) -> VmList:
    """Decode the platform's VM list."""
    vms = decode_json(data, VmList)
    check_vms(vms)
    return vms


def check_vms(vms: VmList) -> None:
    """Check that every node can store a VM list and pass it on.

    Raises
    ------
    DocumentError
        The revision, a name, an address or a port is invalid.
    """
    if not 0 <= vms.revision <= MAX_NUMBER:
        raise DocumentError(f"revision {vms.revision} is out of range")
    for vm in vms.vms:
        names_valid = VM_NAME.fullmatch(vm.name) and VM_NAME.fullmatch(vm.zone)
        port_valid = 0 <= vm.peer_port <= MAX_PORT
        if not names_valid or not port_valid or not is_ip_address(vm.address):
            raise DocumentError(f"bad VM {ascii(vm.name[:80])}")
