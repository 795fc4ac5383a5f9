"""Run a stand-in as a program of its own, until it is told to stop."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import TYPE_CHECKING

from sequoiaspoke.standins.control import Control, PlatformControl
from sequoiaspoke.standins.directory import DocumentDirectory
from sequoiaspoke.standins.platform import PlatformStandin
from sequoiaspoke.standins.upstream import UpstreamStandin

if TYPE_CHECKING:
    from sequoiaspoke.standins.settings import (
        PlatformStandinSettings,
        UpstreamStandinSettings,
    )

POLL = 0.5  # seconds between two looks at the files


async def run_platform(
    settings: PlatformStandinSettings, control_port: int, documents: str
) -> None:
    """Serve the platform, publishing a directory of documents if one is given."""
    platform = PlatformStandin(settings)
    directory = DocumentDirectory(documents, platform) if documents else None
    platform.start()
    if directory is not None:
        directory.poll()
    await run_until_stopped(PlatformControl(platform, control_port), directory)


async def run_upstream(settings: UpstreamStandinSettings, control_port: int) -> None:
    """Serve the upstream."""
    upstream = UpstreamStandin(settings)
    upstream.start()
    await run_until_stopped(Control(upstream, control_port), None)


async def run_until_stopped(
    control: Control, directory: DocumentDirectory | None
) -> None:
    """Tell the ports in one line of JSON and serve until SIGTERM or SIGINT."""
    control.start()
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    ports = {"port": control.standin.port, "control_port": control.port}
    print(json.dumps(ports), flush=True)
    while not stopped.is_set():
        try:
            await asyncio.wait_for(stopped.wait(), POLL if directory else None)
        except TimeoutError:
            directory.poll()
    await control.stop()
    await control.standin.stop()
