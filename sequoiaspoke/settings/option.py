"""Declare a setting with its default, bounds and description."""

from __future__ import annotations

import ipaddress
import types
from dataclasses import MISSING, Field, dataclass, field
from typing import Any

BOOLEANS = types.MappingProxyType(
    {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}
)


@dataclass(frozen=True)
class OptionRule:
    """The description and the allowed values of a setting."""

    doc: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()
    required: bool = False
    ip: bool = False

    def allowed(self, kind: type) -> str:
        """Describe the allowed values for messages and the reference page."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        if self.ip:
            return "an IP address"
        if kind is bool:
            return "yes or no"
        if kind is str:
            return "text that is not empty" if self.required else "text"
        name = "a whole number" if kind is int else "a number"
        return f"{name} from {self.minimum:g} to {self.maximum:g}"


def option(
    default: Any,
    doc: str,
    minimum: float | None = None,
    maximum: float | None = None,
    **rules: Any,
) -> Any:
    """Declare a setting as a field of a frozen dataclass."""
    rule = OptionRule(doc, minimum, maximum, **rules)
    return field(default=default, metadata={"rule": rule})


def rule_of(declared: Field[Any]) -> OptionRule:
    """Return the rule of a declared setting."""
    return declared.metadata["rule"]


def kind_of(declared: Field[Any]) -> type:
    """Return the type of a declared setting, which is that of its default."""
    if declared.default is MISSING:
        raise TypeError(f"setting {declared.name} has no default")
    return type(declared.default)


def parse_value(declared: Field[Any], text: str) -> Any:
    """Convert and validate the text of a setting.

    Raises
    ------
    ValueError
        The value is not allowed.
    """
    rule, kind = rule_of(declared), kind_of(declared)
    value = BOOLEANS[text.lower()] if kind is bool else kind(text)
    if rule.choices and value not in rule.choices:
        raise ValueError(text)
    if rule.ip:
        ipaddress.ip_address(text)
    if rule.required and value == "":
        raise ValueError(text)
    if rule.minimum is not None and not rule.minimum <= value <= rule.maximum:
        raise ValueError(text)
    return value
