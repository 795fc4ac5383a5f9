"""Check the one file: built twice the same, and it runs on Python alone.

Runs it without the site packages of the Python that built it.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import dist

ALONE = (sys.executable, "-I", "-S")
LIMIT = 60.0  # seconds for any one command
COMMANDS = (
    ("--version",),
    ("check", "examples/abay"),
    ("check", "examples/brambilla"),
    ("demo",),
)


def main() -> int:
    """Run every check and return the exit status."""
    dist.main()
    if not is_reproducible():
        print("failed: a second build has other bytes")
        return 1
    for command in COMMANDS:
        result = subprocess.run(
            (*ALONE, str(dist.OUT), *command),
            capture_output=True,
            check=False,
            cwd=dist.ROOT,
            text=True,
            timeout=LIMIT,
        )
        print(f"command={' '.join(command)} status={result.returncode}")
        if result.returncode:
            print(result.stdout + result.stderr)
            return 1
    return 0


def is_reproducible() -> bool:
    """Tell whether another process with other hash seeds builds the same bytes."""
    with tempfile.TemporaryDirectory() as directory:
        second = Path(directory, "second")
        subprocess.run(
            (sys.executable, dist.__file__, str(second)),
            check=True,
            stdout=subprocess.DEVNULL,
            env={"PYTHONHASHSEED": "1"},
            timeout=LIMIT,
        )
        return second.read_bytes() == dist.OUT.read_bytes()


if __name__ == "__main__":
    sys.exit(main())
