"""Command line: select and run a subcommand."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING, Any

from sequoiaspoke import __version__
from sequoiaspoke.errors import SequoiaspokeError

if TYPE_CHECKING:
    from collections.abc import Sequence

# Location of each subcommand: "module:function", or "module" if the module has its own
# COMMANDS table. Only the module of the requested command is imported, so that a node
# starts quickly and uses little memory.
COMMANDS = {
    "node": "node:node",
    "check": "check:check",
    "render": "render:render",
    "explain": "explain:explain",
    "diff": "diff:diff",
    "standin": "standin",
    "demo": "demo:demo",
    "status": "status:status",
    "held": "held:held",
    "release": "held:release",
    "version-of": "versionof:version_of",
    "measure": "measure",
}


def load(location: str) -> Any:
    """Import the function or the COMMANDS table of a subcommand."""
    module_name, _, function = location.partition(":")
    module = importlib.import_module(f"sequoiaspoke.commands.{module_name}")
    return getattr(module, function or "COMMANDS")


def main(argv: Sequence[str] | None = None) -> int:
    """Run a subcommand and return the exit code."""
    args = list(sys.argv[1:] if argv is None else argv)
    if args == ["--version"]:
        print(__version__)
        return 0
    try:
        return run_node(args[1]) if is_plain_node(args) else run_command(args)
    except SequoiaspokeError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return error.exit_code


def is_plain_node(args: list[str]) -> bool:
    """Return whether the arguments are exactly `node SETTINGS`."""
    return len(args) == 2 and args[0] == "node" and not args[1].startswith("-")


def run_node(settings: str) -> int:
    """Run a node without importing defopt.

    To build its help texts, defopt parses doc strings, which takes 5 MB of memory that
    every node would keep as long as it runs.
    """
    return load(COMMANDS["node"])(settings)


def run_command(args: list[str]) -> int:
    """Parse the arguments and run the subcommand."""
    import defopt

    names = [args[0]] if args and args[0] in COMMANDS else list(COMMANDS)
    commands = {name: load(COMMANDS[name]) for name in names}
    result = defopt.run(
        commands,
        argv=args,
        version=__version__,
        no_negated_flags=True,
        argparse_kwargs={"prog": "sequoiaspoke"},
    )
    return result if isinstance(result, int) else 0


if __name__ == "__main__":
    sys.exit(main())
