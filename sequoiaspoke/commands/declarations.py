"""Read and check a declarations directory for the commands that take one."""

from __future__ import annotations

from pathlib import Path

from sequoiaspoke.core.rules.parse import Declarations, parse_declarations
from sequoiaspoke.core.rules.reach import unreachable_rules
from sequoiaspoke.core.rules.validate import errors_of, validate
from sequoiaspoke.errors import DeclarationsError, Problem

FILE_PATTERN = "*.ini"


def read_declarations(directory: str) -> Declarations:
    """Read every `*.ini` file of a directory.

    Raises
    ------
    DeclarationsError
        The directory has no such file, or a file cannot be read or parsed.
    """
    paths = sorted(Path(directory).glob(FILE_PATTERN))
    if not paths:
        raise DeclarationsError((Problem(f"no {FILE_PATTERN} file found", directory),))
    files = {}
    problems = []
    for path in paths:
        try:
            files[str(path)] = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            problems.append(Problem(f"cannot be read: {error}", str(path)))
    if problems:
        raise DeclarationsError(tuple(problems))
    return parse_declarations(files)


def find_problems(declarations: Declarations) -> tuple[Problem, ...]:
    """Return all errors and warnings, each with its file and line."""
    rules, services = declarations.rules, declarations.services
    problems = (*validate(rules, services), *unreachable_rules(rules))
    return tuple(declarations.locate(problem) for problem in problems)


def check_declarations(directory: str) -> tuple[Declarations, tuple[Problem, ...]]:
    """Return the declarations of a directory and their warnings.

    Raises
    ------
    DeclarationsError
        The declarations have errors; lists all errors and warnings.
    """
    declarations = read_declarations(directory)
    problems = find_problems(declarations)
    if errors_of(problems):
        raise DeclarationsError(problems)
    return declarations, problems
