"""Build a snapshot from a head and its parts, or refuse the whole version.

Every node runs the same pure function on the same bytes, so a version is installed
either by all nodes or by none. Parts whose digest did not change are reused from the
previous snapshot, so a change of one service decodes only that service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sequoiaspoke.core.rules.matcher import compile_rules
from sequoiaspoke.core.rules.validate import UnchangedParts, errors_of, validate
from sequoiaspoke.core.snapshot import codec
from sequoiaspoke.core.snapshot.model import RULES_PART, SERVICE_PREFIX, Snapshot
from sequoiaspoke.errors import DocumentError, Problem, VersionRefusedError

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.model import Rule, Service
    from sequoiaspoke.core.snapshot.model import Head
    from sequoiaspoke.core.snapshot.store import PartStore


def build_snapshot(head: Head, store: PartStore, previous: Snapshot | None) -> Snapshot:
    """Decode and validate every part of a version.

    Raises
    ------
    VersionRefusedError
        A part is invalid, or the parts are inconsistent with each other.
    """
    problems: list[Problem] = []
    rules = _decode_rules(head, store, previous, problems)
    services = _decode_services(head, store, previous, problems)
    if not problems:
        unchanged = _unchanged_parts(rules, services, previous)
        problems += errors_of(validate(rules, services.values(), unchanged))
    if problems:
        raise VersionRefusedError(tuple(problems))
    if previous and previous.rules is rules:
        return Snapshot(head, rules, services, previous.matcher)
    return Snapshot(head, rules, services, compile_rules(rules))


def _unchanged_parts(
    rules: tuple[Rule, ...], services: dict[str, Service], previous: Snapshot | None
) -> UnchangedParts:
    # Validating 2,000 endpoints again for each change of one would block the event
    # loop, and so every call, for tens of milliseconds.
    if previous is None:
        return UnchangedParts()
    previous_services = previous.services
    unchanged_names = (
        name
        for name, service in services.items()
        if previous_services.get(name) is service
    )
    return UnchangedParts(previous.rules is rules, frozenset(unchanged_names))


def _decode_rules(
    head: Head, store: PartStore, previous: Snapshot | None, problems: list[Problem]
) -> tuple[Rule, ...]:
    digest = head.parts.get(RULES_PART)
    if digest is None:
        problems.append(Problem("the head names no rules", section=RULES_PART))
        return ()
    if previous and previous.head.parts[RULES_PART] == digest:
        return previous.rules
    try:
        return codec.decode_rules(_unpack_part(store, digest))
    except DocumentError as error:
        problems.append(Problem(str(error), section=RULES_PART))
        return ()


def _decode_services(
    head: Head, store: PartStore, previous: Snapshot | None, problems: list[Problem]
) -> dict[str, Service]:
    services = {}
    for part, digest in head.parts.items():
        if part == RULES_PART:
            continue
        name = part.removeprefix(SERVICE_PREFIX)
        if name == part:
            problems.append(Problem("unknown part", section=part))
            continue
        if previous and previous.head.parts.get(part) == digest:
            services[name] = previous.services[name]
            continue
        try:
            services[name] = _decode_service(name, _unpack_part(store, digest))
        except DocumentError as error:
            problems.append(Problem(str(error), section=part))
    return services


def _decode_service(name: str, content: bytes) -> Service:
    service = codec.decode_service(content)
    if service.name != name:
        raise DocumentError(f"the part contains service {service.name!r}")
    return service


def _unpack_part(store: PartStore, digest: str) -> bytes:
    packed = store.get(digest)
    if packed is None:
        raise DocumentError(f"part {digest} is missing")
    return codec.unpack(packed, digest)
