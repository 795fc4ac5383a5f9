"""Faults that a stand-in can be told to show."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from sequoiaspoke.errors import StandinError
from sequoiaspoke.settings.option import kind_of, option, parse_value, rule_of

if TYPE_CHECKING:
    from collections.abc import Mapping

Faults = TypeVar("Faults", "PlatformFaults", "UpstreamFaults")

UP, UNAVAILABLE, REFUSE = "up", "unavailable", "refuse"

NONE = "none"
BREAK_BEFORE = "break-before"
BREAK_WITHIN = "break-within"
BREAK_AFTER = "break-after"
TRUNCATE = "truncate"
SILENT_BEFORE = "silent-before"
SILENT_AFTER = "silent-after"
CALL_FAULTS = (
    NONE,
    BREAK_BEFORE,
    BREAK_WITHIN,
    BREAK_AFTER,
    TRUNCATE,
    SILENT_BEFORE,
    SILENT_AFTER,
)

TRUE, OK, DRAINING = "true", "ok", "draining"


@dataclass(frozen=True)
class PlatformFaults:
    """What the platform does wrong now."""

    down: str = option(
        UP,
        "Answers 503, or refuses connections.",
        choices=(UP, UNAVAILABLE, REFUSE),
    )
    stale: bool = option(False, "Serves the documents as of the kept moment.")
    delay: float = option(0.0, "Seconds by which each answer is late.", 0, 3600)
    disorder: float = option(
        0.0, "Most seconds of a further random delay, so that answers cross.", 0, 3600
    )
    vms_lag: float = option(
        0.0, "Seconds after which a published VM list shows.", 0, 3600
    )


@dataclass(frozen=True)
class UpstreamFaults:
    """What the upstream does wrong now; a request's own header goes first."""

    call: str = option(NONE, "What goes wrong with each call.", choices=CALL_FAULTS)
    health: str = option(
        TRUE, "What the health page says.", choices=(TRUE, OK, DRAINING)
    )
    load: float = option(-1.0, "Load that is told; -1 for the true one.", -1, 1e6)
    report_lag: float = option(
        0.0, "Seconds for which a report is told again.", 0, 3600
    )
    slowdown: float = option(1.0, "Factor on each service time.", 0, 1e6)


def change_faults(faults: Faults, given: Mapping[str, str]) -> Faults:
    """Return faults with the given ones replaced.

    Raises
    ------
    StandinError
        A name is unknown or its value is not allowed.
    """
    declared = {field.name: field for field in dataclasses.fields(faults)}
    changes = {}
    for name, text in given.items():
        if name not in declared:
            known = ", ".join(declared)
            raise StandinError(f"unknown fault {name!r}; allowed: {known}")
        field = declared[name]
        try:
            changes[name] = parse_value(field, text)
        except (ValueError, KeyError) as error:
            allowed = rule_of(field).allowed(kind_of(field))
            message = f"fault {name}: found {text!r}; allowed: {allowed}"
            raise StandinError(message) from error
    return dataclasses.replace(faults, **changes)
