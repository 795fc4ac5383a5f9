"""Parse declarations: INI files with rules and services.

Files are read in the order of their names. `[rule NAME]` sections keep their order
across all files, and the first rule that matches a request applies. `[service NAME]`
sections list endpoints, one per line. One `[defaults]` section may set the policy
values that a rule leaves out.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from sequoiaspoke.core.rules.grammar import (
    fail,
    parse_action,
    parse_conditions,
    whole_number,
)
from sequoiaspoke.core.rules.model import (
    CallPolicy,
    Endpoint,
    Priority,
    Rule,
    Service,
)
from sequoiaspoke.core.rules.names import NAME, NAME_ALLOWED
from sequoiaspoke.errors import DeclarationsError, Problem
from sequoiaspoke.ini import parse_ini

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sequoiaspoke.ini import IniSection, IniValue

DEFAULTS_SECTION = "defaults"
ALWAYS = "always"
TARGET = "target"
YES_NO = {"yes": True, "no": False}
ENDPOINT_NUMBERS = ("mesh_port", "slots", "connections")
ENDPOINT_TEXTS = ("vm", "zone", "address")


@dataclass(frozen=True)
class Location:
    """A file and a line in the declarations."""

    file: str
    line: int


@dataclass(frozen=True)
class Declarations:
    """The parsed declarations and the location of each section and key.

    Attributes
    ----------
    places : dict
        Location of each (section, key); the key is empty for the section itself.
    """

    rules: tuple[Rule, ...] = ()
    services: tuple[Service, ...] = ()
    locations: dict[tuple[str, str], Location] = field(default_factory=dict)

    def locate(self, problem: Problem) -> Problem:
        """Return the problem with the file and line of its key or section."""
        location = self.locations.get((problem.section, problem.key))
        location = location or self.locations.get((problem.section, ""))
        if location is None:
            return problem
        return dataclasses.replace(problem, file=location.file, line=location.line)


def parse_declarations(files: Mapping[str, str]) -> Declarations:
    """Parse declaration files, given as a mapping from file name to text.

    Raises
    ------
    DeclarationsError
        Some text cannot be parsed; lists every problem with its file and line.
    """
    parser = DeclarationsParser()
    for name in sorted(files):
        parser.read(name, files[name])
    return parser.build()


class DeclarationsParser:
    """Collects sections and problems file by file."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.sections: list[IniSection] = []
        self.locations: dict[tuple[str, str], Location] = {}
        self.defaults = CallPolicy()
        self.has_defaults = False

    def read(self, file: str, text: str) -> None:
        """Parse the sections of one file."""
        ini = parse_ini(text, file)
        self.problems.extend(ini.problems)
        for section in ini.sections:
            self.record_locations(section)
            if section.name == DEFAULTS_SECTION:
                self.read_defaults(section)
                continue
            kind, _, name = section.name.partition(" ")
            if kind not in ("rule", "service") or not name.strip():
                allowed = "[rule NAME], [service NAME], [defaults]"
                self.report(f"unknown section; allowed: {allowed}", section)
                continue
            if not NAME.fullmatch(name.strip()):
                self.report(f"bad name; allowed: {NAME_ALLOWED}", section)
            self.sections.append(section)

    def record_locations(self, section: IniSection) -> None:
        """Record the location of a section and of its keys."""
        self.locations.setdefault(
            (section.name, ""), Location(section.file, section.line)
        )
        for key, value in section.values.items():
            location = Location(section.file, value.line)
            self.locations.setdefault((section.name, key), location)

    def drop_duplicates(self) -> None:
        """Keep the first section of each name and report the others."""
        seen: dict[str, IniSection] = {}
        for section in self.sections:
            first = seen.setdefault(section.name, section)
            if first is not section:
                location = f"{first.file}:{first.line}"
                self.report(f"duplicate name; the first is in {location}", section)
        self.sections = list(seen.values())

    def read_defaults(self, section: IniSection) -> None:
        """Parse the default policy of rules."""
        if self.has_defaults:
            self.report("duplicate section; one [defaults] is allowed", section)
        self.has_defaults = True
        values = dict(section.values)
        self.defaults = self.read_policy(section, values)
        self.report_unknown(section, values, POLICY_KEYS)

    def build(self) -> Declarations:
        """Build the rules and services from the collected sections.

        Raises
        ------
        DeclarationsError
            Some section cannot be parsed.
        """
        self.drop_duplicates()
        rules, services = [], []
        for section in self.sections:
            kind, _, name = section.name.partition(" ")
            if kind == "rule":
                rules.append(self.read_rule(section, name.strip()))
            else:
                services.append(self.read_service(section, name.strip()))
        if self.problems:
            raise DeclarationsError(tuple(self.problems))
        return Declarations(tuple(rules), tuple(services), self.locations)

    def read_rule(self, section: IniSection, name: str) -> Any:
        """Parse one rule."""
        values = dict(section.values)
        when = self.pop_value(section, values, "when", _parse_when)
        then = self.pop_value(section, values, "then", parse_action)
        policy = self.read_policy(section, values)
        self.report_unknown(section, values, ("when", "then", *POLICY_KEYS))
        return Rule(name, when, then, policy, section.file, section.line)

    def read_policy(
        self, section: IniSection, values: dict[str, IniValue]
    ) -> CallPolicy:
        """Parse the policy keys of a section."""
        given = {
            attribute: self.pop_value(section, values, key, parse)
            for key, (attribute, parse) in POLICY_KEYS.items()
            if key in values
        }
        return dataclasses.replace(self.defaults, **given)

    def read_service(self, section: IniSection, name: str) -> Service:
        """Parse one service and its endpoints."""
        values = dict(section.values)
        common = {
            key: self.pop_value(section, values, key, _parse_count)
            for key in ENDPOINT_NUMBERS
            if key in values
        }
        endpoints = []
        for key in section.values:
            kind, _, target = key.partition(" ")
            if kind == TARGET and target.strip():
                text = self.pop_value(section, values, key, _parse_pairs)
                if text is not None:
                    endpoint = self.read_endpoint(section, key, {**common, **text})
                    endpoints.append(endpoint)
        allowed = ("target NAME", *ENDPOINT_NUMBERS)
        self.report_unknown(section, values, allowed)
        return Service(name, tuple(endpoints))

    def read_endpoint(
        self, section: IniSection, key: str, given: dict[str, Any]
    ) -> Any:
        """Build one endpoint from its parsed line; None if a key is missing."""
        target = key.partition(" ")[2].strip()
        missing = [each for each in (*ENDPOINT_TEXTS, "mesh_port") if each not in given]
        if missing:
            self.report(f"missing: {', '.join(missing)}", section, key)
            return None
        return Endpoint(target=target, **given)

    def pop_value(
        self,
        section: IniSection,
        values: dict[str, IniValue],
        key: str,
        parse: Callable[[str], Any],
    ) -> Any:
        """Remove a key and parse its value; None if it is missing or invalid."""
        value = values.pop(key, None)
        if value is None:
            self.report("missing", section, key)
            return None
        try:
            return parse(value.text)
        except DeclarationsError as error:
            for problem in error.problems:
                self.report(problem.message, section, key)
        return None

    def report_unknown(
        self, section: IniSection, unread: dict[str, IniValue], allowed: Any
    ) -> None:
        """Report the keys of a section that were not read."""
        for key in unread:
            self.report(f"unknown key; allowed: {', '.join(allowed)}", section, key)

    def report(self, message: str, section: IniSection, key: str = "") -> None:
        """Record a problem with its location."""
        value = section.values.get(key)
        line = value.line if value else section.line
        self.problems.append(Problem(message, section.file, line, section.name, key))


def _parse_when(text: str) -> Any:
    return () if text.strip() == ALWAYS else parse_conditions(text)


def _parse_pairs(text: str) -> dict[str, Any]:
    pairs: dict[str, Any] = {}
    for word in text.split():
        key, equals, value = word.partition("=")
        if key not in (*ENDPOINT_TEXTS, *ENDPOINT_NUMBERS) or not equals:
            allowed = ", ".join((*ENDPOINT_TEXTS, *ENDPOINT_NUMBERS))
            fail(f"found {word!r}; allowed: KEY=VALUE with one of {allowed}")
        if key in pairs:
            fail(f"found {key} twice; allowed: once")
        pairs[key] = _parse_count(value) if key in ENDPOINT_NUMBERS else value
    return pairs


def _parse_count(text: str) -> int:
    return whole_number(text, "count or port")


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        fail(f"found {text!r}; allowed: a number of seconds")


def _parse_attempts(text: str) -> int:
    return whole_number(text, "attempts")


def _parse_yes_no(text: str) -> bool:
    if text not in YES_NO:
        fail(f"found {text!r}; allowed: yes or no")
    return YES_NO[text]


def _parse_priority(text: str) -> Priority:
    if text not in {each.value for each in Priority}:
        fail(f"found {text!r}; allowed: {', '.join(each.value for each in Priority)}")
    return Priority(text)


POLICY_KEYS: dict[str, tuple[str, Any]] = {
    "timeout": ("timeout", _parse_seconds),
    "attempts": ("attempts", _parse_attempts),
    "idempotent": ("idempotent", _parse_yes_no),
    "priority": ("priority", _parse_priority),
    "caller": ("caller_header", str.lower),
}
