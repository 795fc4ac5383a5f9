"""Parse and format the text of conditions and actions.

Example:

when = method POST; path prefix /billing/; header x-channel = app, "a, b"
then = route billing 90, billing-new 10 sticky x-member
"""

from __future__ import annotations

import re
from typing import NoReturn

from sequoiaspoke.core.rules.model import (
    Action,
    Comparison,
    Condition,
    Field,
    Redirect,
    Refuse,
    RouteTo,
)
from sequoiaspoke.core.rules.weights import WeightedService
from sequoiaspoke.errors import DeclarationsError, Problem

NUMBER = re.compile(r"[0-9]{1,9}")
NAMED_CONDITION = re.compile(
    r"(?P<name>[^\s=\"]+)\s*(?:(?P<exact>=)|\s(?P<word>prefix|present)(?=\s|$))"
    r"\s*(?P<values>.*)",
    re.DOTALL,
)
NAMED_FIELDS = {"header": Field.HEADER, "query": Field.QUERY}
LISTED_FIELDS = {"method": Field.METHOD, "host": Field.HOST, "zone": Field.ZONE}
PATH_COMPARISONS = {
    each.value: each
    for each in (Comparison.EXACT, Comparison.PREFIX, Comparison.SEGMENTS)
}
NEEDS_QUOTES = re.compile(r"[\s,;=\"]")


def parse_conditions(text: str) -> tuple[Condition, ...]:
    """Parse the conditions of a `when`, separated by semicolons or line breaks.

    Raises
    ------
    DeclarationsError
        The text is not a list of conditions.
    """
    parts = (part.strip() for part in split_unquoted(text, ";\n"))
    return tuple(parse_condition(part) for part in parts if part)


def parse_condition(text: str) -> Condition:
    """Parse one condition; raises as `parse_conditions` does."""
    field, _, rest = text.partition(" ")
    rest = rest.strip()
    if field in LISTED_FIELDS:
        return _parse_listed(LISTED_FIELDS[field], rest, text)
    if field in NAMED_FIELDS:
        return _parse_named(NAMED_FIELDS[field], rest, text)
    if field == "path":
        word, _, values = rest.partition(" ")
        if word not in PATH_COMPARISONS:
            fail(f"found {text!r}; allowed: path exact, path prefix or path segments")
        return Condition(
            Field.PATH, PATH_COMPARISONS[word], _parse_values(values, text)
        )
    allowed = ", ".join(("path", *LISTED_FIELDS, *NAMED_FIELDS))
    fail(f"found {text!r}; allowed: a condition that begins with one of {allowed}")


def _parse_listed(field: Field, rest: str, text: str) -> Condition:
    values = _parse_values(rest.removeprefix("=").strip(), text)
    if field is Field.METHOD:
        values = tuple(value.upper() for value in values)
    if field is Field.HOST:
        values = tuple(value.lower() for value in values)
    return Condition(field, Comparison.EXACT, values)


def _parse_named(field: Field, rest: str, text: str) -> Condition:
    match = NAMED_CONDITION.fullmatch(rest)
    if match is None:
        kind = field.value
        fail(f"found {text!r}; allowed: {kind} NAME = VALUES, prefix VALUES or present")
    name = match["name"].lower() if field is Field.HEADER else match["name"]
    if match["word"] == Comparison.PRESENT.value:
        if match["values"]:
            fail(f"found {text!r}; allowed: nothing after present")
        return Condition(field, Comparison.PRESENT, (), name)
    comparison = Comparison.EXACT if match["exact"] else Comparison.PREFIX
    return Condition(field, comparison, _parse_values(match["values"], text), name)


def _parse_values(rest: str, text: str) -> tuple[str, ...]:
    values = tuple(unquote(part) for part in split_unquoted(rest, ","))
    if not rest.strip():
        fail(f"found {text!r}; allowed: one or more values, separated by commas")
    return values


def parse_action(text: str) -> Action:
    """Parse the action of a `then`.

    Raises
    ------
    DeclarationsError
        The text is not an action.
    """
    word, _, rest = " ".join(text.split()).partition(" ")
    if word == "route" and rest:
        return _parse_route(rest)
    words = rest.split(" ") if rest else []
    if word == "redirect" and len(words) == 1:
        return Redirect(words[0])
    if word == "redirect" and len(words) == 2:
        return Redirect(words[1], whole_number(words[0], "status"))
    if word == "refuse" and not words:
        return Refuse()
    if word == "refuse" and len(words) <= 2:
        return Refuse(whole_number(words[0], "status"), *words[1:])
    fail(
        f"found {text!r}; allowed: route SERVICE [WEIGHT], ... [sticky HEADER], "
        "redirect [STATUS] LOCATION or refuse STATUS [REASON]"
    )


def _parse_route(rest: str) -> RouteTo:
    services, sticky, header = rest.partition(" sticky ")
    split = []
    for part in services.split(","):
        words = part.split()
        if not 1 <= len(words) <= 2:
            fail(f"found {part.strip()!r}; allowed: SERVICE [WEIGHT]")
        weight = whole_number(words[1], "weight") if len(words) == 2 else 1
        split.append(WeightedService(words[0], weight))
    if sticky and len(header.split()) != 1:
        fail(f"found {header!r}; allowed: the name of one header after sticky")
    return RouteTo(tuple(split), header.strip().lower())


def whole_number(text: str, quantity: str) -> int:
    """Parse a non-negative integer; `quantity` names it in the error message."""
    if not NUMBER.fullmatch(text):
        fail(f"found {text!r}; allowed: a whole number as {quantity}")
    return int(text)


def split_unquoted(text: str, separators: str) -> list[str]:
    """Split text at the separators that are outside double quotes."""
    parts = [""]
    quoted = False
    for char in text:
        if char == '"':
            quoted = not quoted
        if char in separators and not quoted:
            parts.append("")
        else:
            parts[-1] += char
    if quoted:
        fail(f"found {text!r}; allowed: double quotes in pairs")
    return parts


def unquote(text: str) -> str:
    """Return a value without surrounding space and double quotes."""
    text = text.strip()
    if '"' not in text:
        return text
    inner = text[1:-1]
    if len(text) < 2 or text != f'"{inner}"' or '"' in inner:
        fail(f"found {text!r}; allowed: quotes round a whole value")
    return inner


def fail(message: str) -> NoReturn:
    """Raise an error about text that cannot be parsed."""
    raise DeclarationsError((Problem(message),))


def describe_condition(condition: Condition) -> str:
    """Format a condition so that `parse_condition` can parse it."""
    field, comparison = condition.field, condition.comparison
    values = ", ".join(_quote(value) for value in condition.values)
    if field is Field.PATH:
        return f"path {comparison.value} {values}"
    if field not in NAMED_FIELDS.values():
        return f"{field.value} {values}"
    if comparison is Comparison.EXACT:
        return f"{field.value} {condition.name} = {values}"
    return f"{field.value} {condition.name} {comparison.value} {values}".strip()


def describe_conditions(conditions: tuple[Condition, ...]) -> str:
    """Format conditions as the value of a `when`."""
    return "; ".join(describe_condition(each) for each in conditions) or "always"


def describe_action(action: Action) -> str:
    """Format an action so that `parse_action` can parse it."""
    if isinstance(action, Redirect):
        return f"redirect {action.status} {action.location}"
    if isinstance(action, Refuse):
        return f"refuse {action.status} {action.reason}"
    split = ", ".join(f"{each.service} {each.weight}" for each in action.split)
    return f"route {split}" + _describe_sticky(action)


def _describe_sticky(action: RouteTo) -> str:
    return f" sticky {action.sticky_header}" if action.sticky_header else ""


def _quote(value: str) -> str:
    return f'"{value}"' if not value or NEEDS_QUOTES.search(value) else value
