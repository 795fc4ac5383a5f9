"""Read a settings file and report all its problems at once."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import TYPE_CHECKING, Any

from sequoiaspoke.errors import Problem, SettingsError
from sequoiaspoke.ini import parse_ini
from sequoiaspoke.settings.option import kind_of, parse_value, rule_of
from sequoiaspoke.settings.schema import Settings, sections

if TYPE_CHECKING:
    from sequoiaspoke.ini import IniSection


def load_settings(path: str) -> Settings:
    """Read the settings of a node.

    Raises
    ------
    SettingsError
        The file cannot be read, or some of its settings are invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((Problem(f"cannot be read: {error}", path),)) from error
    return parse_settings(text, path)


def parse_settings(text: str, file: str = "settings") -> Settings:
    """Parse and validate the text of a settings file; see `load_settings`."""
    ini = parse_ini(text, file)
    problems = list(ini.problems)
    known = sections()
    found = {}
    for section in ini.sections:
        if section.name not in known:
            allowed = ", ".join(known)
            message = f"unknown section; allowed: {allowed}"
            problems.append(Problem(message, file, section.line, section.name))
            continue
        found[section.name] = section
    values = {
        name: _section(cls, found.get(name), file, name, problems)
        for name, cls in known.items()
    }
    if problems:
        raise SettingsError(tuple(problems))
    return Settings(**values)


def _section(
    cls: Any, section: IniSection | None, file: str, name: str, problems: list[Problem]
) -> Any:
    given = dict(section.values) if section else {}
    line = section.line if section else 0
    values = {}
    for declared in dataclasses.fields(cls):
        rule = rule_of(declared)
        allowed = rule.allowed(kind_of(declared))
        value = given.pop(declared.name, None)
        if value is None:
            if rule.required:
                message = f"missing; allowed: {allowed}"
                problems.append(Problem(message, file, line, name, declared.name))
            continue
        try:
            values[declared.name] = parse_value(declared, value.text)
        except (ValueError, KeyError):
            message = f"found {value.text!r}; allowed: {allowed}"
            problems.append(Problem(message, file, value.line, name, declared.name))
    for key, value in given.items():
        known = ", ".join(declared.name for declared in dataclasses.fields(cls))
        message = f"unknown key; allowed: {known}"
        problems.append(Problem(message, file, value.line, name, key))
    return cls(**values)
