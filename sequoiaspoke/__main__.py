"""The command line: picks the subcommand and hands over to it."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING, Any

import defopt

from sequoiaspoke import __version__
from sequoiaspoke.errors import SequoiaspokeError

if TYPE_CHECKING:
    from collections.abc import Sequence

# Where each subcommand lives: "module:function", or "module" with a COMMANDS
# table of its own. Only the module of the command that was asked for is
# imported, which keeps a node's start short and its memory small.
COMMANDS = {
    "node": "node:node",
    "check": "check:check",
    "render": "render:render",
    "explain": "explain:explain",
    "diff": "diff:diff",
    "standin": "standin",
    "demo": "demo:demo",
    "status": "status:status",
    "version-of": "versionof:version_of",
    "measure": "measure",
}


def load(place: str) -> Any:
    """Import the function, or the table of functions, of a subcommand."""
    module_name, _, function = place.partition(":")
    module = importlib.import_module(f"sequoiaspoke.commands.{module_name}")
    return getattr(module, function or "COMMANDS")


def main(argv: Sequence[str] | None = None) -> int:
    """Run a subcommand and return the exit code."""
    words = list(sys.argv[1:] if argv is None else argv)
    if words == ["--version"]:
        print(__version__)
        return 0
    chosen = [words[0]] if words and words[0] in COMMANDS else list(COMMANDS)
    table = {name: load(COMMANDS[name]) for name in chosen}
    try:
        result = defopt.run(
            table,
            argv=words,
            version=__version__,
            no_negated_flags=True,
            argparse_kwargs={"prog": "sequoiaspoke"},
        )
    except SequoiaspokeError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return error.exit_code
    return result if isinstance(result, int) else 0


if __name__ == "__main__":
    sys.exit(main())
