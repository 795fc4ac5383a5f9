"""`sequoiaspoke render`: write the documents that operators publish."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import TYPE_CHECKING

from sequoiaspoke.commands.declarations import check_declarations
from sequoiaspoke.core.snapshot.publish import Publication, make_publication
from sequoiaspoke.errors import RequestTextError

if TYPE_CHECKING:
    from sequoiaspoke.core.rules.parse import Declarations

MAX_VERSION = 2**63 - 1  # messages between nodes carry it as a signed 64-bit integer


def render(directory: str, out: str, *, version: int) -> None:
    """Write the documents of a version into a directory.

    Documents are named as on the platform: `parts/DIGEST` and `head`. Publish
    the parts before the head, so that no reader finds a head without its parts.

    :param directory: directory with `*.ini` files
    :param out: directory to write to; created if missing
    :param version: number of the version, higher than any published before
    """
    if not 1 <= version <= MAX_VERSION:
        raise RequestTextError(f"found version {version}; allowed: 1 to {MAX_VERSION}")
    declarations, warnings = check_declarations(directory)
    for warning in warnings:
        print(warning)
    publication = publication_of(declarations, version)
    for name, content in publication.documents().items():
        path = Path(out, name)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(content)
        print(f"document={name} bytes={len(content)}")


def publication_of(declarations: Declarations, version: int) -> Publication:
    """Encode declarations as one version.

    File names and line numbers are left out. Otherwise a comment added to a file would
    change the line of every rule below it, and all nodes would fetch the rules again.
    """
    rules = tuple(
        dataclasses.replace(rule, file="", line=0) for rule in declarations.rules
    )
    return make_publication(version, rules, declarations.services)
