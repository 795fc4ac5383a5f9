"""Start, pause and stop processes of the program.

A node starts no other process. The measuring command is a tool outside the
mesh: it plays the many VMs of a fleet on one machine, so it may.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import psutil

import sequoiaspoke
from sequoiaspoke.errors import MeasureError

if TYPE_CHECKING:
    from collections.abc import Sequence

POLL = 0.02  # seconds between two looks at a process that is to end
# The directory, or the one file, that the package was imported from.
PACKAGE_ROOT = Path(sequoiaspoke.__file__).resolve().parent.parent


@dataclass(frozen=True)
class Usage:
    """What a process has used so far."""

    cpu_seconds: float
    rss_bytes: int


class Process:
    """One process of the program, signalled by its own id only.

    Parameters
    ----------
    words : sequence of str
        Subcommand and its arguments.
    log_path : Path
        File that takes the process's standard error.
    """

    def __init__(self, words: Sequence[str], log_path: Path) -> None:
        self.words = list(words)
        self.log_path = log_path
        self.child: subprocess.Popen[bytes] | None = None
        self.reading: psutil.Process | None = None

    @property
    def running(self) -> bool:
        """Return whether the process has been started and not ended."""
        return self.child is not None and self.child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code once it ended; negative after a signal."""
        return self.child.poll() if self.child else None

    def start(self) -> None:
        """Start the process, or start it again after it ended."""
        environment = {**os.environ, "PYTHONPATH": str(PACKAGE_ROOT)}
        with self.log_path.open("ab") as log_file:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "sequoiaspoke", *self.words],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log_file,
                env=environment,
            )
        self.reading = psutil.Process(self.child.pid)

    async def first_line(self) -> dict[str, Any]:
        """Wait for the line of JSON in which a stand-in tells its ports.

        Raises
        ------
        MeasureError
            The process ended without one.
        """
        line = await asyncio.to_thread(self.child.stdout.readline)
        if not line:
            raise MeasureError(f"{self.words} ended at its start: {self.log_tail()}")
        return json.loads(line)

    def log_tail(self) -> str:
        """Return the end of what the process logged."""
        return self.log_path.read_text(errors="replace")[-2000:]

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            self.child.send_signal(number)

    def pause(self) -> None:
        """Stop the process in its tracks."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop in an orderly way."""
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once and reap it."""
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()
            self.child.stdout.close()

    async def ended(self, seconds: float) -> int:
        """Wait for the end and return the exit code.

        Raises
        ------
        MeasureError
            The process still runs when the time is over.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while self.running:
            if loop.time() > end:
                raise MeasureError(f"{self.words} still runs after {seconds:g} s")
            await asyncio.sleep(POLL)
        self.child.stdout.close()
        return self.child.returncode

    def usage(self) -> Usage:
        """Return the processor time and memory used so far."""
        with self.reading.oneshot():
            times = self.reading.cpu_times()
            memory = self.reading.memory_info()
        return Usage(times.user + times.system, memory.rss)
