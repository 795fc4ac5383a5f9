"""INI files with the line of every section and key."""

from __future__ import annotations

import configparser
import re
from dataclasses import dataclass, field

from sequoiaspoke.errors import Problem

SECTION_LINE = re.compile(r"\[(?P<name>[^]]+)\]")
KEY_LINE = re.compile(r"(?P<key>[^\s#;=:][^=:]*?)\s*[=:]")


@dataclass(frozen=True)
class IniValue:
    """The text of one key and the line it stands on."""

    text: str
    line: int


@dataclass(frozen=True)
class IniSection:
    """One section, its keys in the order of the file."""

    name: str
    file: str
    line: int
    values: dict[str, IniValue] = field(default_factory=dict)


@dataclass(frozen=True)
class IniFile:
    """What one file holds, and what is wrong with its form."""

    file: str
    sections: tuple[IniSection, ...] = ()
    problems: tuple[Problem, ...] = ()


def parse_ini(text: str, file: str) -> IniFile:
    """Parse INI text; a file that breaks the form yields only problems."""
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section="\0none"
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        return IniFile(file, problems=_form_problems(error, file))
    lines = _line_numbers(text)
    sections = []
    for name in parser.sections():
        values = {
            key: IniValue(value, lines.get((name, key), 0))
            for key, value in parser.items(name)
        }
        sections.append(IniSection(name, file, lines.get((name, ""), 0), values))
    return IniFile(file, tuple(sections))


def _form_problems(error: configparser.Error, file: str) -> tuple[Problem, ...]:
    if isinstance(error, configparser.MissingSectionHeaderError):
        return (Problem(f"not in a section: {error.line!r}", file, error.lineno),)
    if isinstance(error, configparser.ParsingError) and error.errors:
        return tuple(
            Problem(f"not a key or section: {text}", file, line)
            for line, text in error.errors
        )
    return (
        Problem(
            error.message.replace("\n", " "),
            file,
            getattr(error, "lineno", 0) or 0,
            str(getattr(error, "section", "") or ""),
            str(getattr(error, "option", "") or ""),
        ),
    )


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    lines: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = SECTION_LINE.match(line)
        if header:
            section = header["name"]
            lines[section, ""] = number
            continue
        key = KEY_LINE.match(line)
        if key:
            lines.setdefault((section, key["key"].strip()), number)
    return lines
