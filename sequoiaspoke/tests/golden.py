"""Golden files: expected output that a person can read.

`GOLDEN=write` in the environment writes them anew (`make golden`).
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from testtools import TestCase

GOLDEN = Path(__file__).parent / "golden"
ROOT = Path(__file__).parents[2]


def assert_golden(test: TestCase, name: str, text: str, folder: Path = GOLDEN) -> None:
    """Compare text with a golden file, or write the file."""
    path = folder / name
    if os.environ.get("GOLDEN") == "write":
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")
    test.assertEqual(path.read_text(encoding="utf-8"), text)
