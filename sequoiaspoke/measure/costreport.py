"""Show what a cost measurement found: as a table, and as a plot of its growth."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from sequoiaspoke.measure.cost import Cost, power

if TYPE_CHECKING:
    from collections.abc import Sequence

FIGURES = tuple(each.name for each in dataclasses.fields(Cost) if each.name != "peers")
# Size of the plot and of the space round it, in pixels.
WIDTH, HEIGHT, MARGIN = 640, 400, 60
COLOURS = ("#1b6ca8", "#c0392b", "#27864b", "#8e5ba6", "#b9770e", "#555555")


def cost_table(found: Sequence[Cost]) -> str:
    """Return a line a size and the power by which each figure grows."""
    rows = [["peers", *FIGURES]]
    for each in found:
        rows.append(
            [str(each.peers), *(f"{getattr(each, name):.0f}" for name in FIGURES)]
        )
    if len(found) > 1:
        grows = (f"{power(found[0], found[-1], name):.2f}" for name in FIGURES)
        rows.append(["power", *grows])
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(text.rjust(width) for text, width in zip(row, widths, strict=True))
        for row in rows
    )


def cost_plot(found: Sequence[Cost]) -> str:
    """Return a plot of each figure against the size, both axes by powers of ten."""
    sizes = [math.log10(each.peers) for each in found]
    heights = [math.log10(getattr(each, name)) for each in found for name in FIGURES]
    low, high = math.floor(min(heights)), math.ceil(max(heights))
    span = max(sizes) - min(sizes) or 1.0

    def place(each: Cost, name: str) -> str:
        across = (math.log10(each.peers) - min(sizes)) / span
        up = (math.log10(getattr(each, name)) - low) / (high - low)
        x = MARGIN + across * (WIDTH - 3 * MARGIN)
        return f"{x:.0f},{HEIGHT - MARGIN - up * (HEIGHT - 2 * MARGIN):.0f}"

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}"'
        ' font-family="sans-serif" font-size="11">',
        f'<text x="{MARGIN}" y="20">microseconds of processor by peers</text>',
    ]
    for name, colour in zip(FIGURES, COLOURS, strict=True):
        points = [place(each, name) for each in found]
        x, y = points[-1].split(",")
        parts.append(
            f'<polyline fill="none" stroke="{colour}" points="{" ".join(points)}"/>'
            f'<text x="{int(x) + 5}" y="{y}" fill="{colour}">{name}</text>'
        )
    for each in found:
        x, _ = place(each, FIGURES[0]).split(",")
        parts.append(f'<text x="{x}" y="{HEIGHT - MARGIN + 20}">{each.peers}</text>')
    for exponent in range(low, high + 1):
        up = (exponent - low) / (high - low)
        y = HEIGHT - MARGIN - up * (HEIGHT - 2 * MARGIN)
        parts.append(f'<text x="5" y="{y:.0f}">10^{exponent}</text>')
    return "\n".join([*parts, "</svg>", ""])
