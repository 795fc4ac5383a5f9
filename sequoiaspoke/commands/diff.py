"""`sequoiaspoke diff`: show the differences between two sets of declarations."""

from __future__ import annotations

from sequoiaspoke.commands.declarations import read_declarations
from sequoiaspoke.core.rules.diff import compare


def diff(old: str, new: str) -> None:
    """Print the rules, services and endpoints that differ.

    :param old: directory with the old declarations
    :param new: directory with the new declarations
    """
    changes = compare(read_declarations(old), read_declarations(new))
    for change in changes:
        print(change)
    print(f"changes={len(changes)}")
