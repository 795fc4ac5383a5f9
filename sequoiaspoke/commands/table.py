"""Format the tables that commands print."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def aligned(rows: Iterable[Sequence[str]]) -> str:
    """Return one line for each row, with aligned columns."""
    cells = list(rows)
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join("  ".join(map(str.ljust, row, widths)).rstrip() for row in cells)
